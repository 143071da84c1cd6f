"""Bench: how the choice of an upstream matters.

The product's score against least loaded and round robin, in one run: goodput
within the deadline, first token and fairness at 0.5, 1, 2 and 4 times the
capacity, with prompts whose prefixes engines cache, one upstream three times
as slow and one dead.
"""

import argparse
import json
import sys

from lab import Lab, ask
from serve import heard, load

SIDES, SLOTS, TOKENS = 6, 8, 16


def measure(policy, factor, capacity, args):
    with Lab() as lab:
        lab.start_origin()
        lab.start_engines("--slots", SLOTS, "--token-us", 5000, "--prefill-us", 120000)
        entries = [lab.start_entry(f"entry-{at}", "north", requests={"routing": policy}) for at in range(2)]
        for at in range(SIDES):
            lab.start_side(f"side-{at}", "north", upstream={"slots": SLOTS})
        version = lab.create_model("one", 1 << 18)
        lab.apply("tutor", version, {"north": SIDES})
        lab.converged("tutor")
        for entry in entries:
            heard(lab, entry, SIDES)
        ports = [one.port for one in entries]
        ask(lab.engines.url + "/side-1/faults", {"slow": 3})
        lab.sides["side-0"].kill()
        prompts = {"prompt": 1024, "prompts": 20, "tokens": TOKENS}
        load(ports, streams=SLOTS * 3, seconds=2, **prompts)
        if capacity is None:
            full = load(ports, streams=SLOTS * (SIDES - 1), seconds=4, **prompts)
            return full["whole"] / full["seconds"]
        result = load(ports, rate=capacity * factor, seconds=args.seconds,
                      deadline_ms=args.deadline_ms, shares="6,2,1,1", **prompts)
        by = result["by_organisation"]
        offered = min(capacity, capacity * factor)
        return {
            "policy": policy, "factor": factor,
            "goodput_ratio": round(result["in_time"] / args.seconds / offered, 3),
            "first_token_p50_ms": round(result["first_p50_s"] * 1000, 1),
            "first_token_p95_ms": round(result["first_p95_s"] * 1000, 1),
            "refused": result["refused"], "cut": result["cut"],
            "large_whole": by.get("organisation-0", 0),
            "small_whole": [by.get(f"organisation-{at}", 0) for at in (2, 3)],
        }


def main():
    parser = argparse.ArgumentParser(prog="bench route", description=__doc__)
    parser.add_argument("--factors", default="0.5,1,2,4")
    parser.add_argument("--seconds", type=float, default=6)
    parser.add_argument("--deadline-ms", type=int, default=1500)
    args = parser.parse_args()
    # The capacity of the weakest baseline is the common measure.
    capacity = measure("round_robin", 1, None, args)
    rows = [measure(policy, float(factor), capacity, args)
            for factor in args.factors.split(",")
            for policy in ("scored", "least_loaded", "round_robin")]
    print(json.dumps({"capacity_s": round(capacity, 1), "rows": rows}))


if __name__ == "__main__":
    sys.exit(main())
