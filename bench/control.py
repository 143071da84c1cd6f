"""Bench: what control costs a process, at rest and under one change a second.

Starts several sizes of the system in one run and fits, for each role, percent
of a core, resident memory and bytes a second against the number of peers:
value = base + slope * peers, with the residual's spread. docs/CAPACITY.md is
worked out from these slopes.
"""

import argparse
import json
import os
import pathlib
import statistics
import sys
import threading
import time

from lab import Lab, ask, call, wait_for

TICKS = os.sysconf("SC_CLK_TCK")
AUTH = {"Authorization": "Bearer operators"}


def cpu_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_mb(pid):
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


def traffic(lab, one):
    counts = lab.dump(one)["traffic"]
    return counts["bytes_in"] + counts["bytes_out"] + counts["gossip_bytes"]


def sample(lab, processes, seconds):
    """Percent of a core, resident MB and bytes a second of each process."""
    before = {name: (cpu_seconds(one.pid), traffic(lab, one)) for name, one in processes.items()}
    start = time.monotonic()
    time.sleep(seconds)
    took = time.monotonic() - start
    result = {}
    for name, one in processes.items():
        cpu, moved = before[name]
        result[name] = {
            "core_percent": 100 * (cpu_seconds(one.pid) - cpu) / took,
            "resident_mb": resident_mb(one.pid),
            "bytes_s": (traffic(lab, one) - moved) / took,
        }
    return result


def summary(samples, names):
    return {key: {"mean": round(statistics.mean(samples[name][key] for name in names), 3),
                  "most": round(max(samples[name][key] for name in names), 3)}
            for key in ("core_percent", "resident_mb", "bytes_s")}


def fit(points):
    """Least squares of value over peers: base, slope, spread of residuals."""
    xs, ys = [x for x, _ in points], [y for _, y in points]
    mean_x, mean_y = statistics.mean(xs), statistics.mean(ys)
    spread = sum((x - mean_x) ** 2 for x in xs)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread if spread else 0
    base = mean_y - slope * mean_x
    residuals = [y - base - slope * x for x, y in points]
    return {"base": round(base, 4), "slope": round(slope, 5),
            "spread": round(max(map(abs, residuals)), 4)}


def changes(lab, entry, stop):
    """One configuration change a second."""
    revision, number = 0, 0
    while not stop.is_set():
        number += 1
        body = {"name": f"d{number % 50}", "model": "m", "version": "a" * 64, "revision": revision,
                "placements": [{"hall": "nowhere", "count": 1}]}
        if number <= 50:
            call("POST", entry.url + "/v1/deployments", body, AUTH)
        else:
            known = ask_auth(entry, f"/v1/deployments/d{number % 50}")
            body["revision"] = known["revision"]
            body["max_closed_per_hall"] = number
            call("PUT", entry.url + f"/v1/deployments/d{number % 50}", body, AUTH)
        stop.wait(1.0)


def ask_auth(entry, path):
    return json.loads(call("GET", entry.url + path, headers=AUTH)[2])


def measure(size, seconds):
    entries, sides = max(3, size // 3), size - max(3, size // 3)
    with Lab() as lab:
        lab.start_origin()
        lab.start_engines()
        halls = list(lab.halls)
        slow = {"membership": {"heartbeat_interval": "1s", "report_interval": "1s"},
                "platform": {"instance_list_interval": "1s"}}
        for at in range(entries):
            lab.start_entry(f"entry-{at}", halls[at % 3], **json.loads(json.dumps(slow)))
        for at in range(sides):
            lab.start_side(f"side-{at}", halls[at % 3], **json.loads(json.dumps(slow)))
        everyone = {**lab.entries, **lab.sides}
        for one in lab.entries.values():
            wait_for("members", lambda one=one: len(lab.dump(one)["members"]) == size)
        time.sleep(3)
        rest = sample(lab, everyone, seconds)
        stop = threading.Event()
        writer = threading.Thread(target=changes, args=(lab, lab.entries["entry-0"], stop))
        writer.start()
        time.sleep(2)
        busy = sample(lab, everyone, seconds)
        stop.set()
        writer.join()
        state = lab.dump(lab.entries["entry-1"])["state"]["reports"]
        return {
            "processes": size, "entries": entries, "sides": sides,
            "reports_heard_by_an_entry": len(state["reports"]),
            "entry_rest": summary(rest, lab.entries), "side_rest": summary(rest, lab.sides),
            "entry_changes": summary(busy, lab.entries), "side_changes": summary(busy, lab.sides),
        }


def main():
    parser = argparse.ArgumentParser(prog="bench control", description=__doc__)
    parser.add_argument("--sizes", default="12,36,72")
    parser.add_argument("--seconds", type=float, default=10)
    args = parser.parse_args()
    runs = [measure(int(size), args.seconds) for size in args.sizes.split(",")]
    fits = {}
    for role in ("entry_rest", "side_rest", "entry_changes", "side_changes"):
        fits[role] = {key: fit([(one["processes"], one[role][key]["mean"]) for one in runs])
                      for key in ("core_percent", "resident_mb", "bytes_s")}
    print(json.dumps({"runs": runs, "fits": fits,
                      "targets": {"core_percent": 1.6, "resident_mb": 32, "bytes_s": 19000}}))


if __name__ == "__main__":
    sys.exit(main())
