"""The main job on stand-ins: three halls, two organisations, two versions.

Prints what happens as it goes and a last line of JSON with the counts; exits
non-zero when a promise broke; leaves no process behind.
"""

import json
import sys
import threading
import time

from lab import Engines, Lab, ask, call, wait_for


class Callers:
    """Two organisations that stream all the time and judge each answer."""

    def __init__(self, lab):
        self.lab, self.stopping, self.lock = lab, False, threading.Lock()
        self.counts = {"requests": 0, "whole": 0, "broken": 0, "wrong_caller": 0, "mixed": 0}
        self.versions = {}
        self.threads = [threading.Thread(target=self.run, args=(name, at), daemon=True)
                        for at, name in enumerate(("association", "bikes") * 2)]
        for one in self.threads:
            one.start()

    def run(self, organisation, at):
        number = 0
        while not self.stopping:
            number += 1
            name = f"{organisation}-{at}-{number}"
            entry = list(self.lab.entries.values())[number % len(self.lab.entries)]
            try:
                status, _, body = self.lab.complete(
                    entry, "tutor", stream=True, max_tokens=12,
                    headers={"Organisation": organisation, "Request-Id": name})
                self.judge(name, status, body)
            except Exception:
                self.judge(name, 0, b"")

    def judge(self, name, status, body):
        events, outcome = Engines.events(body.decode())
        with self.lock:
            self.counts["requests"] += 1
            whole = status == 200 and outcome == "answered" and len(events) == 12
            self.counts["whole" if whole else "broken"] += 1
            self.counts["wrong_caller"] += any(one["id"] != name for one in events)
            versions = {one["weights"] for one in events}
            self.counts["mixed"] += len(versions) > 1
            for one in versions:
                self.versions[one] = self.versions.get(one, 0) + 1

    def stop(self):
        self.stopping = True
        for one in self.threads:
            one.join()


def main():
    began = time.monotonic()

    def say(text):
        print(f"[{time.monotonic() - began:5.1f} s] {text}", flush=True)

    size = 8 << 20
    with Lab() as lab:
        say("starting the platform's stand-ins: key-value service, instance list, origin, engines")
        lab.start_origin(rate=4 << 20)
        lab.start_engines("--token-us", 8000)
        counts = {}
        for hall, region in lab.halls.items():
            lab.start_entry(f"entry-{hall}", hall)
            for at in range(4):
                lab.start_side(f"side-{hall}-{at}", hall, transfer={
                    "upload_rate": "2MiB/s", "download_rate": "2MiB/s"})
            counts[hall] = 4
            say(f"hall {hall} in region {region}: 1 entry, 4 side processes")
        ledger = lab.run("standin_plain_service")
        lab.start_side("side-ledger", "north", engine=ledger, kind="plain", labels=("service=ledger",))
        one = lab.create_model("one", size, seed=1)
        two = lab.create_model("two", size, seed=2, like="one", shared=0.25)
        say(f"coursejunctionctl apply: tutor at version {one[:12]} on 12 instances")
        lab.apply("tutor", one, counts, wait=True, max_closed_per_hall=2)
        first_bytes = ask(lab.origin.url + "/counts")["bytes"]
        say(f"12 of 12 serve it; {first_bytes / size:.2f} copies came from the origin")
        for entry in lab.entries.values():
            wait_for("upstreams known", lambda entry=entry: sum(
                one["open"] for one in lab.dump(entry)["state"]["requests"]["upstreams"]) >= 12)
        callers = Callers(lab)
        time.sleep(2)
        say(f"two organisations stream: {callers.counts['whole']} whole answers so far")
        say(f"coursejunctionctl apply: version {two[:12]}, a quarter of it the same")
        changed = time.monotonic()
        lab.apply("tutor", two, counts, wait=True, max_closed_per_hall=2)
        took = time.monotonic() - changed
        second_bytes = ask(lab.origin.url + "/counts")["bytes"] - first_bytes
        say(f"12 of 12 serve it after {took:.1f} s; {second_bytes / size:.2f} copies came from the origin")
        entries = list(lab.entries.values())
        wait_for("ledger known", lambda: any(
            one["model"] == "ledger" and one["open"]
            for one in lab.dump(entries[0])["state"]["requests"]["upstreams"]))
        for number in range(5):
            for entry in (entries[0], entries[0]):
                call("POST", entry.url + "/services/ledger/charge", "{}", {
                    "Request-Id": f"charge-{number}", "Not-Repeatable": "true", "Organisation": "bikes"})
        runs = ask(ledger.url + "/record")["runs"]
        say(f"five charges, each asked for twice: {sum(runs.values())} runs")
        say("planned stop of entry-south while callers stream")
        south = lab.entries.pop("entry-south")
        lab.ctl("leave", entry=south)
        south.child.wait()
        callers.stop()
        say("callers have stopped")
        print(lab.ctl("status").stdout, flush=True)
        records = [lab.record(name) for name in lab.sides if name != "side-ledger"]
        result = {
            **callers.counts,
            "partial_served": sum(one["partial"] + one["mixed"] for one in records),
            "cut_by_load": sum(one["cut_by_load"] for one in records),
            "charges": 5, "charge_runs": sum(runs.values()),
            "doubled": sum(count > 1 for count in runs.values()),
            "rollout_s": round(took, 2),
            "origin_copies": [round(first_bytes / size, 3), round(second_bytes / size, 3)],
            "versions_answered": len(callers.versions),
        }
        kept = (result["broken"] == 0 and result["wrong_caller"] == 0 and result["mixed"] == 0
                and result["partial_served"] == 0 and result["cut_by_load"] == 0
                and result["doubled"] == 0 and result["charge_runs"] == 5
                and result["versions_answered"] == 2)
        result["promises_kept"] = kept
    print(json.dumps(result))
    return 0 if kept else 1


if __name__ == "__main__":
    sys.exit(main())
