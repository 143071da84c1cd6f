#!/usr/bin/env python3
"""Tells where a played day lost most, from the report that the bench writes.

    day_table.py REPORT.json...

Prints a table a day: the windows with the least worth and how their requests
ended, what was priced, and what each role used.
"""

import json
import sys

WORST_WINDOWS = 5
LEAST_PRICE = 0.001  # Of the day's worth; smaller ones are left out.


def row(*cells):
    return "| " + " | ".join(str(cell) for cell in cells) + " |"


def table(head, rows):
    return [row(*head), row(*["---"] * len(head)), *(row(*one) for one in rows), ""]


def windows(report):
    """The windows with the least worth, by their loss of worth times requests."""
    def lost(one):
        return (1 - one["worth"]) * (one["n"] - one["not_owed"])
    worst = sorted(report["windows"], key=lost, reverse=True)[:WORST_WINDOWS]
    return [(one["name"], one["n"], one["in_aim"], one["late"], one["refused"], one["failed"],
             one["worth"]) for one in sorted(worst, key=lambda one: float(one["name"]))]


def prices(report):
    found = [(name, amount, worth) for name, amount, worth in report["prices"]
             if worth >= LEAST_PRICE]
    return sorted(found, key=lambda one: -one[2])


def roles(report):
    return [(one["role"], one["n"], one["cpu_mean"], one["cpu_peak"], one["mem_peak_mb"])
            for one in report["nodes"]]


def day(path):
    with open(path, encoding="utf-8") as file:
        report = json.load(file)
    return [f"{path}: worth {report['G']}, served {report['served']}", "",
            *table(["from second", "asked", "in time", "late", "refused", "failed", "worth"],
                   windows(report)),
            *table(["price", "amount", "worth"], prices(report)),
            *table(["role", "processes", "cores, mean", "cores, most", "MB, most"], roles(report))]


def main(paths):
    if not paths:
        print(__doc__.strip(), file=sys.stderr)
        return 2
    for path in paths:
        print("\n".join(day(path)))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
