"""Bench: how soon a change is in force everywhere, and what it costs.

For several numbers of processes: time from the operator's call until the last
process is on the revision, calls at the key-value service a change, bytes a
process, all in one run, with the fit over the sizes.
"""

import argparse
import concurrent.futures
import json
import statistics
import sys
import time

from control import AUTH, fit, traffic
from lab import Lab, ask, call, wait_for


def spec(number):
    return {"name": f"d{number}", "model": "m", "version": "a" * 64,
            "placements": [{"hall": "nowhere", "count": 1}]}


def until_everywhere(lab, revision, pool):
    """Seconds until each process says that it is on the revision."""
    def one(process):
        while True:
            text = call("GET", process.url + "/metrics")[2].decode()
            for line in text.splitlines():
                if line.startswith("coursejunction_configuration_revision "):
                    if float(line.split()[1]) >= revision:
                        return time.monotonic()
            time.sleep(0.005)
    return max(pool.map(one, [*lab.entries.values(), *lab.sides.values()]))


def measure(size, changes):
    with Lab() as lab, concurrent.futures.ThreadPoolExecutor(16) as pool:
        halls = list(lab.halls)
        lab.start_origin()
        lab.start_engines()
        entries = max(6, size // 3)
        for at in range(entries):
            lab.start_entry(f"entry-{at}", halls[at % 3], membership={"heartbeat_interval": "1s"})
        for at in range(size - entries):
            lab.start_side(f"side-{at}", halls[at % 3], membership={"heartbeat_interval": "1s"})
        for one in (*lab.entries.values(), *lab.sides.values()):
            wait_for("members", lambda one=one: len(lab.dump(one)["members"]) == size)
        call("POST", lab.entries["entry-0"].url + "/v1/deployments", spec(0), AUTH)
        until_everywhere(lab, 1, pool)
        before = ask(lab.kv.url + "/counts")
        moved = {name: traffic(lab, one) for name, one in lab.sides.items()}
        seconds = []
        for number in range(1, changes + 1):
            entry = lab.entries[f"entry-{number % entries}"]
            began = time.monotonic()
            status, _, _ = call("POST", entry.url + "/v1/deployments", spec(number), AUTH)
            assert status == 200, status
            seconds.append(until_everywhere(lab, number + 1, pool) - began)
        after = ask(lab.kv.url + "/counts")
        took = {name: traffic(lab, one) - moved[name] for name, one in lab.sides.items()}
        calls = sum(after[key] - before[key] for key in ("reads", "writes", "watches"))
        return {
            "processes": size, "entries": entries, "changes": changes,
            "last_s_median": round(statistics.median(seconds), 3), "last_s_most": round(max(seconds), 3),
            "service_calls_per_change": round(calls / changes, 2), "watching": after["watching"],
            "bytes_per_process_per_change": round(statistics.mean(took.values()) / changes),
            "document_bytes": len(json.dumps(lab.dump(lab.entries["entry-0"])["configuration"])),
        }


def main():
    parser = argparse.ArgumentParser(prog="bench config", description=__doc__)
    parser.add_argument("--sizes", default="12,48,100")
    parser.add_argument("--changes", type=int, default=12)
    args = parser.parse_args()
    runs = [measure(int(size), args.changes) for size in args.sizes.split(",")]
    fits = {key: fit([(one["processes"], one[key]) for one in runs])
            for key in ("last_s_median", "service_calls_per_change", "bytes_per_process_per_change")}
    print(json.dumps({"runs": runs, "fits": fits}))


if __name__ == "__main__":
    sys.exit(main())
