"""Bench: a new version onto many instances in a burst, with live requests.

Links are paced by the processes themselves: a side sends a chunk only when
its uplink, and takes one in only when its downlink, has carried the bytes at
the link's rate (link_pacer); the origin paces all its answers over one link.
With model size M and rate r = M / bound, an instance's link carries two
copies in the window W = 2 * bound and the origin's carries four.
"""

import argparse
import json
import math
import random
import sys
import threading
import time

from lab import Engines, Lab, ask, call, wait_for


def percentile(values, portion):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * portion))] if ordered else None


class Traffic:
    """Streams a steady rate of live requests and judges every answer."""

    def __init__(self, lab, model, rate, tokens=6):
        self.lab, self.model, self.rate, self.tokens = lab, model, rate, tokens
        self.results = []
        self.lock = threading.Lock()
        self.stopping = False
        self.threads = [
            threading.Thread(target=self.run, args=(at,), daemon=True) for at in range(8)
        ]

    def start(self):
        for one in self.threads:
            one.start()

    def stop(self):
        self.stopping = True
        for one in self.threads:
            one.join()

    def run(self, at):
        turn = random.Random(at)
        while not self.stopping:
            time.sleep(turn.expovariate(self.rate / len(self.threads)))
            self.one(turn)

    def one(self, turn):
        entry = turn.choice([e for e in self.lab.entries.values() if e.running()])
        began = time.monotonic()
        first, text, fault = None, b"", ""
        try:
            import http.client
            link = http.client.HTTPConnection("127.0.0.1", entry.port, timeout=60)
            body = json.dumps({"model": self.model, "prompt": "x" * turn.randint(1, 400),
                               "max_tokens": self.tokens, "stream": True})
            link.request("POST", "/v1/completions", body, {"Organisation": "school"})
            answer = link.getresponse()
            status = answer.status
            while True:
                part = answer.read1(65536)
                if not part:
                    break
                first = first or time.monotonic() - began
                text += part
            link.close()
        except Exception as caught:  # a cut stream is a result, not an error
            status, fault = 0, repr(caught)
        events, outcome = Engines.events(text.decode())
        weights = {one["weights"] for one in events}
        whole = (status == 200 and outcome == "answered" and len(weights) == 1
                 and [one["index"] for one in events] == list(range(self.tokens)))
        with self.lock:
            self.results.append((began, first, whole, weights, f"{status} {outcome} {fault} {len(events)} {text[-120:]!r}"))

    def between(self, start, end):
        with self.lock:
            return [one for one in self.results if start <= one[0] < end]


def start_lab(args, rate, extra):
    lab = Lab(lag_ms=args.lag_ms if args.faults else 0)
    lab.start_origin(rate=2 * rate, store_rate=rate)
    engine = ["--load-ms", 200, "--token-us", 8000, "--prefill-us", 20000]
    lab.start_engines(*engine)
    lab.unfenced = lab.run("standin_model_engine", "--unfenced", *engine)
    halls = list(lab.halls)
    for hall in halls:
        lab.start_entry(f"entry-{hall}", hall, membership={"heartbeat_interval": "500ms"})
    for at in range(args.instances):
        hall = halls[at % len(halls)]
        fenced = at % 4 != 3
        liar = args.faults and at == 5
        lab.start_side(
            f"side-{at}", hall,
            engine=lab.engines if fenced else lab.unfenced,
            program="standin_faulty_side" if liar else "coursejunctiond",
            upstream={"checks_orders": "true" if fenced else "false"},
            membership={"heartbeat_interval": "1s", "report_interval": "1s"},
            transfer={
                "upload_rate": f"{rate:.0f}B/s", "download_rate": f"{rate:.0f}B/s",
                "policy": args.policy, "origin_extra_percent": int(extra * 100),
            },
        )
    return lab


def inject(lab, args, bound, killed):
    """Faults, each at its time within the transfer."""
    names = list(lab.sides)
    start = time.monotonic()

    def at(portion):
        time.sleep(max(0, start + portion * bound - time.monotonic()))

    at(0.15)
    ask(lab.origin.url + "/faults", {"down": True})
    ask(lab.store.url + "/faults", {"down": True})
    at(0.25)
    ask(lab.origin.url + "/faults", {"down": False})
    ask(lab.store.url + "/faults", {"down": False})
    at(0.35)
    frozen = [name for name in names if name not in ("side-5",)][:2]
    for name in frozen:
        lab.sides[name].freeze()
    at(0.5)
    rest = [name for name in names if name not in frozen and name != "side-5"]
    for name in random.Random(7).sample(rest, max(1, len(names) // 10)):
        lab.sides[name].kill()
        killed.append(name)
    for name in frozen:
        lab.sides[name].wake()
    at(0.6)
    for name in killed:
        lab.unregister(name)


def serving(lab, version, skip):
    """Names whose engine serves the version, told by the entries' status."""
    for entry in lab.entries.values():
        status, _, text = call("GET", entry.url + "/v1/status/tutor", headers={"Authorization": "Bearer operators"})
        if status == 200:
            item = json.loads(text)["items"][0]
            return item
    return {"serving": 0, "wanted": 1}


def measure(args, extra=0.0):
    size = args.mib << 20
    chunk = args.chunk_kib << 10
    rate = size / args.bound
    killed = []
    lab = start_lab(args, rate, extra)
    with lab:
        halls = list(lab.halls)
        counts = {hall: len(range(at, args.instances, len(halls))) for at, hall in enumerate(halls)}
        closed = max(1, math.ceil(max(counts.values()) / 2))
        first = lab.create_model("one", 1 << 18, chunk=1 << 16, seed=1)
        lab.apply("tutor", first, counts, max_closed_per_hall=closed)
        lab.converged("tutor", 120)
        second = lab.create_model("two", size, chunk=chunk, seed=2)
        before = ask(lab.origin.url + "/counts")["bytes"]
        stored = ask(lab.store.url + "/counts")["bytes"]
        traffic = Traffic(lab, "tutor", args.live)
        traffic.start()
        quiet_from = time.monotonic()
        time.sleep(args.quiet)
        if args.faults:
            ask(lab.origin.url + "/faults", {"corrupt_every": 100, "corrupt_manifests": 1})
        began = time.monotonic()
        lab.apply("tutor", second, counts, max_closed_per_hall=closed, weigh=args.weigh)
        if args.faults:
            ask(lab.kv.url + "/faults", {"down": True})
            threading.Thread(target=inject, args=(lab, args, args.bound, killed), daemon=True).start()
        needed = args.instances - (max(1, args.instances // 10) if args.faults else 0)
        seconds, curve, complete = None, [], None
        while time.monotonic() - began < args.bound * args.limit:
            item = serving(lab, second, killed)
            now = time.monotonic() - began
            curve.append((round(now, 2), item["serving"]))
            if complete is None and item.get("bytes_total") and item["bytes_done"] >= needed * size:
                complete = now
            if item["serving"] >= needed and (not args.faults or len(killed) == args.instances - needed):
                seconds = now
                break
            time.sleep(0.1)
        ended = time.monotonic()
        traffic.stop()
        ask(lab.kv.url + "/faults", {"down": False})
        bytes_now = ask(lab.origin.url + "/counts")["bytes"] - before
        store_now = ask(lab.store.url + "/counts")["bytes"] - stored
        cross = corrupt = duplicate = sent_most = 0
        for name, one in lab.sides.items():
            if not one.running():
                continue
            moved = lab.dump(one)["state"]["transfer"]
            cross += moved["cross_hall_bytes"]
            corrupt += moved["corrupt"]
            duplicate += moved["duplicate"]
            sent_most = max(sent_most, moved["sent_bytes"])
        partial = mixed = cut = 0
        for at, name in enumerate(lab.sides):
            record = lab.record(name, lab.engines if at % 4 != 3 else lab.unfenced)
            partial += record["partial"] + sum(
                count for version, count in record["answers"].items() if version not in (first, second))
            mixed += record["mixed"]
            cut += record["cut_by_load"]
        quiet = [one[1] for one in traffic.between(quiet_from, began) if one[1]]
        during = traffic.between(began, ended)
        busy = [one[1] for one in during if one[1]]
        failed = [one for one in during if not one[2]]
        for one in failed[:5]:
            print("failed:", round(one[0] - began, 2), one[4], file=sys.stderr)
        if seconds is None and args.debug:
            for name, one in lab.sides.items():
                if one.running():
                    state = lab.dump(one)["state"]
                    if state["phase"] != "serving" or state["serving"] != second:
                        print(name, state["phase"], state["reason"], json.dumps(state["transfer"])[:600], file=sys.stderr)
        if args.debug:
            print(curve[::10], file=sys.stderr)
            print(lab.log_text()[-3000:], file=sys.stderr)
        ratio = None
        if quiet and busy:
            ratio = round(percentile(busy, 0.95) / percentile(quiet, 0.95), 2)
        # Bytes of the control plane and manifests are small beside the chunks.
        return {
            "policy": args.policy, "weigh": args.weigh, "origin_extra": extra,
            "faults": args.faults, "instances": args.instances, "killed": len(killed),
            "model_mib": args.mib, "chunk_kib": args.chunk_kib,
            "time_s": round(seconds, 2) if seconds else None,
            "transfer_s": round(complete, 2) if complete else None,
            "bound_s": args.bound,
            "time_over_bound": round(seconds / args.bound, 3) if seconds else None,
            "origin_copies": round(bytes_now / size, 3),
            "weight_store_copies": round(store_now / size, 3),
            "cross_hall_copies": round(cross / size, 3),
            "most_sent_copies": round(sent_most / size, 2),
            "duplicate_chunks": duplicate, "corrupt_refused": corrupt,
            "partial_served": partial + mixed, "cut_by_load": cut,
            "live_requests": len(during), "live_failed": len(failed),
            "live_p95_ratio": ratio,
        }


def main():
    parser = argparse.ArgumentParser(prog="bench burst", description=__doc__)
    parser.add_argument("--instances", type=int, default=16)
    parser.add_argument("--faults", action="store_true")
    parser.add_argument("--weigh", choices=["time", "origin"], default="time")
    parser.add_argument("--policy", default="swarm",
                        choices=["swarm", "stripes", "chain", "origin_only"])
    parser.add_argument("--extra", type=float, default=0.0,
                        help="copies beyond the first that the origin may give")
    parser.add_argument("--bound", type=float, default=20.0, help="W/2 in seconds")
    parser.add_argument("--mib", type=int, default=24, help="size of the model")
    parser.add_argument("--chunk-kib", type=int, default=96)
    parser.add_argument("--live", type=float, default=30.0, help="live requests a second")
    parser.add_argument("--quiet", type=float, default=8.0)
    parser.add_argument("--limit", type=float, default=6.0, help="give up after this many bounds")
    parser.add_argument("--lag-ms", type=int, default=2000)
    parser.add_argument("--debug", action="store_true")
    args = parser.parse_args()
    print(json.dumps(measure(args, args.extra)))


if __name__ == "__main__":
    main()
