"""Prints the rows of docs/CAPACITY.md from measured slopes.

Reads the JSON that `scripts/bench control` and `scripts/bench config` printed
and works out what each role costs at the letter's size, so that the page can
be made again: scripts/bench capacity CONTROL.json CONFIG.json
"""

import json
import sys

ENTRIES, WORKERS, BURST, HALLS = 340, 600, 2500, 6
CHANGES_A_DAY, DOCUMENT = 940, 300_000
ROUTED, NEIGHBOURS = 64, 8
KEY_VALUE_READS, KEY_VALUE_WRITES = 2000, 300


def at(fit, processes):
    return fit["base"] + fit["slope"] * processes


def main():
    control = json.load(open(sys.argv[1]))
    config = json.load(open(sys.argv[2]))
    fits, largest = control["fits"], control["runs"][-1]
    hall = BURST // HALLS
    rows = []
    for role in ("entry_rest", "side_rest"):
        for key, target in control["targets"].items():
            fit = fits[role][key]
            # The fit is over all processes of a run, of which two thirds are
            # sides; what grows is what an entry hears (sides) or a side tells.
            measured = largest[role][key]["mean"]
            heard = hall if role == "entry_rest" else ENTRIES * ROUTED // WORKERS + 2
            share = 2 / 3 if role == "entry_rest" else 1 / 3
            worked = fit["base"] + fit["slope"] / share * heard
            if key == "core_percent":
                worked = max(measured, worked)
            rows.append((role, key, round(measured, 3), fit, heard, round(worked, 3), target))
    change = config["fits"]["bytes_per_process_per_change"]
    document = config["runs"][-1]["document_bytes"]
    copies = config["runs"][-1]["bytes_per_process_per_change"] / document
    moved = copies * DOCUMENT * CHANGES_A_DAY / 86400
    print(json.dumps({
        "rows": [dict(zip(("role", "what", "measured", "fit", "peers", "at_size", "target"), row)) for row in rows],
        "configuration": {
            "copies_of_the_document_per_change": round(copies, 2),
            "bytes_s_at_size": round(moved), "seconds_to_100": config["runs"][-1]["last_s_median"],
            "bytes_fit": change,
            "service_calls_per_change": config["fits"]["service_calls_per_change"]["base"],
            "service_calls_at_size": 2 + 2 * HALLS,
            "document_where_19_KB_s_are_reached": round(19_000 * 86400 / CHANGES_A_DAY / copies),
        },
        "key_value": {"watches": 2 * HALLS, "reads_limit": KEY_VALUE_READS, "writes_limit": KEY_VALUE_WRITES},
    }, indent=1))


if __name__ == "__main__":
    main()
