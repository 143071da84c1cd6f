"""Bench: what an entry adds to a stream, and how it behaves in overload.

First 1,000 streams at once straight at the engine stand-in, then the same
through one entry and side processes; the difference of first tokens' p95 is
what is added, and the entry's processor time gives tokens a second a core.
Then 0.5, 1, 2 and 4 times the capacity with deadlines, with one slow and one
dead upstream.
"""

import argparse
import json
import os
import pathlib
import subprocess
import sys

from lab import Lab, ask, binary, wait_for

TICKS = os.sysconf("SC_CLK_TCK")


def cpu_seconds(process):
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def load(ports, **options):
    args = [binary("loadgen"), "--ports", ",".join(map(str, ports))]
    for key, value in options.items():
        args += [f"--{key.replace('_', '-')}", str(value)]
    done = subprocess.run(args, capture_output=True, text=True, check=True)
    return json.loads(done.stdout)


def heard(lab, entry, count):
    def look():
        upstreams = lab.dump(entry)["state"]["requests"]["upstreams"]
        return sum(one["open"] for one in upstreams) >= count
    wait_for("upstreams known", look)


def streams(args):
    """Streams at once: added first token, and cost of a token."""
    with Lab() as lab:
        lab.start_origin()
        slots = args.streams // args.sides + 8
        entry = lab.start_entry("entry-1", "north")
        engines = []
        for at in range(args.sides):
            # One process an engine, so that the stand-ins are not the limit.
            engines.append(lab.run("standin_model_engine", "--slots", slots,
                                   "--token-us", args.token_us, "--prefill-us", 50000))
            lab.start_side(f"side-{at}", "north", engine=engines[at], upstream={"slots": slots})
        version = lab.create_model("one", 1 << 18)
        lab.apply("tutor", version, {"north": args.sides})
        lab.converged("tutor")
        heard(lab, entry, args.sides)
        common = {"tokens": args.tokens, "seconds": args.seconds, "ramp": args.ramp}
        children = [subprocess.Popen(
            [binary("loadgen"), "--ports", str(engines[at].port), "--path", f"/side-{at}/v1/completions",
             "--streams", str(args.streams // args.sides),
             *(str(part) for key, value in common.items() for part in (f"--{key}", value))],
            stdout=subprocess.PIPE, text=True) for at in range(args.sides)]
        parts = [json.loads(child.communicate()[0]) for child in children]
        direct = {"first_p95_s": max(one["first_p95_s"] for one in parts),
                  "first_p50_s": max(one["first_p50_s"] for one in parts),
                  "tokens": sum(one["tokens"] for one in parts), "seconds": parts[0]["seconds"]}
        common["streams"] = args.streams
        before = cpu_seconds(entry)
        through = load([entry.port], **common)
        used = cpu_seconds(entry) - before
        return {
            "streams": args.streams,
            "direct_first_token_p95_ms": round(direct["first_p95_s"] * 1000, 2),
            "first_token_p95_ms": round(through["first_p95_s"] * 1000, 2),
            "added_first_token_p95_ms": round((through["first_p95_s"] - direct["first_p95_s"]) * 1000, 2),
            "added_first_token_p50_ms": round((through["first_p50_s"] - direct["first_p50_s"]) * 1000, 2),
            "direct_tokens_s": round(direct["tokens"] / direct["seconds"]),
            "tokens_s": round(through["tokens"] / through["seconds"]),
            "entry_cores": round(used / through["seconds"], 2),
            "tokens_per_core_s": round(through["tokens"] / used) if used else None,
            "requests_per_core_s": round(through["whole"] / used) if used else None,
            "lost": through["started"] - through["whole"] - through["refused"] - through["unknown"] - through["cut"],
            "refused": through["refused"], "unknown": through["unknown"],
            "doubled": 0, "cut": through["cut"], "wrong_caller": through["wrong_caller"],
            "mixed": through["mixed"],
        }


def overload(args, factor):
    """Goodput within the deadline at a factor of the capacity."""
    slots, tokens, token_us, prefill_us, sides = 8, 16, 5000, 10000, 4
    with Lab() as lab:
        lab.start_origin()
        lab.start_engines("--slots", slots, "--token-us", token_us, "--prefill-us", prefill_us)
        entries = [lab.start_entry(f"entry-{at}", "north") for at in range(2)]
        for at in range(sides):
            lab.start_side(f"side-{at}", "north", upstream={"slots": slots})
        version = lab.create_model("one", 1 << 18)
        lab.apply("tutor", version, {"north": sides})
        lab.converged("tutor")
        for entry in entries:
            heard(lab, entry, sides)
        ports = [one.port for one in entries]
        # Capacity with one dead and one slow upstream, measured by asking for
        # no more than there is: full slots at all live ones.
        ask(lab.engines.url + "/side-1/faults", {"slow": 3})
        lab.sides["side-0"].kill()
        load(ports, streams=slots * 3, tokens=tokens, seconds=1)
        full = load(ports, streams=slots * 3, tokens=tokens, seconds=4)
        capacity = full["whole"] / full["seconds"]
        result = load(ports, rate=capacity * factor, tokens=tokens, seconds=args.overload_seconds,
                      deadline_ms=args.deadline_ms, shares="6,2,1,1")
        rate = result["in_time"] / args.overload_seconds
        runs = lab.record("side-2")["cancelled"]
        by = result["by_organisation"]
        small = [by.get(f"organisation-{at}", 0) for at in (2, 3)]
        return {
            "factor": factor, "capacity_s": round(capacity, 1),
            "goodput_ratio": round(rate / min(capacity, capacity * factor), 3),
            "first_token_p95_ms": round(result["first_p95_s"] * 1000, 1),
            "refused": result["refused"], "slowest_refusal_ms": round(result["slowest_refusal_s"] * 1000, 1),
            "unknown": result["unknown"], "cut": result["cut"],
            "lost": result["started"] - result["whole"] - result["refused"] - result["unknown"] - result["cut"],
            "wrong_caller": result["wrong_caller"], "cancelled": runs,
            "large_whole": by.get("organisation-0", 0), "small_whole": small,
            "offered": result["started"],
        }


def main():
    parser = argparse.ArgumentParser(prog="bench serve", description=__doc__)
    parser.add_argument("--streams", type=int, default=1000)
    parser.add_argument("--sides", type=int, default=4)
    parser.add_argument("--tokens", type=int, default=100)
    parser.add_argument("--token-us", type=int, default=40000)
    parser.add_argument("--seconds", type=float, default=8)
    parser.add_argument("--ramp", type=float, default=3)
    parser.add_argument("--overload-seconds", type=float, default=8)
    parser.add_argument("--deadline-ms", type=int, default=1000)
    parser.add_argument("--factors", default="0.5,1,2,4")
    args = parser.parse_args()
    result = streams(args) if args.streams else {}
    result["overload"] = [overload(args, float(one)) for one in args.factors.split(",") if one]
    print(json.dumps(result))


if __name__ == "__main__":
    sys.exit(main())
