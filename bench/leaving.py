"""Bench: how soon new work at a leaving upstream ends, the list lagging."""

import argparse
import json
import sys
import threading
import time

from lab import Lab, ask, wait_for


def main():
    parser = argparse.ArgumentParser(prog="bench leaving", description=__doc__)
    parser.add_argument("--lag-ms", type=int, default=10_000)
    parser.add_argument("--rounds", type=int, default=3)
    args = parser.parse_args()
    last = []
    with Lab(lag_ms=0) as lab:
        lab.start_origin()
        lab.start_engines()
        entries = [lab.start_entry(f"entry-{at}", "north") for at in range(3)]
        names = [f"side-{at}" for at in range(args.rounds + 1)]
        for name in names:
            lab.start_side(name, "north")
        version = lab.create_model("one", 1 << 18)
        lab.apply("tutor", version, {"north": len(names)})
        lab.converged("tutor")
        for entry in entries:
            wait_for("heard", lambda entry=entry: sum(
                one["open"] for one in lab.dump(entry)["state"]["requests"]["upstreams"]) == len(names))
        ask(lab.list.url + "/faults", {"lag_ms": args.lag_ms})
        stopping = threading.Event()

        def run(at):
            number = 0
            while not stopping.is_set():
                number += 1
                lab.complete(entries[(at + number) % 3], "tutor", max_tokens=2)

        threads = [threading.Thread(target=run, args=(at,)) for at in range(12)]
        for one in threads:
            one.start()
        time.sleep(1)
        for name in names[:args.rounds]:
            # The platform tells the instance; the list follows after the lag.
            lab.sides[name].terminate()
            marked = time.monotonic()
            newest, count = 0.0, sum(lab.record(name)["answers"].values())
            while lab.sides[name].running():
                now = sum(lab.record(name)["answers"].values())
                if now != count:
                    newest, count = time.monotonic() - marked, now
                time.sleep(0.005)
            last.append(round(newest, 3))
        stopping.set()
        for one in threads:
            one.join()
    print(json.dumps({"list_lag_ms": args.lag_ms, "last_new_answer_after_s": last, "target_s": 3.0}))


if __name__ == "__main__":
    sys.exit(main())
