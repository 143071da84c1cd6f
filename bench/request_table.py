#!/usr/bin/env python3
"""Tells from entries' logs what became of requests, and why.

    request_table.py LOG [--from S] [--to S]

LOG holds the entries' lines, each with the time in seconds and the instance
before the JSON object. Prints how new requests, those of callers that came
back and plain ones ended, how predicted first events compare with seen ones,
and the reasons of refusals and failures.
"""
import argparse
import collections
import json


def lines(path):
    """Yields time, instance, event and fields of each structured line."""
    with open(path, errors="replace") as log:
        for line in log:
            start = line.find("{")
            words = line[:start].split() if start > 0 else []
            if len(words) < 2:
                continue
            try:
                entry = json.loads(line[start:])
                yield float(words[0]), words[1], entry["message"], entry["context_map"]
            except (ValueError, KeyError):
                continue


def chosen_span(description):
    """Reads the log's path and the span of time from the command line."""
    arguments = argparse.ArgumentParser(description=description.splitlines()[0])
    arguments.add_argument("log")
    arguments.add_argument("--from", dest="begin", type=float, default=0)
    arguments.add_argument("--to", dest="end", type=float, default=float("inf"))
    return arguments.parse_args()


def quantiles(values):
    values = sorted(values)
    return [values[min(len(values) - 1, int(len(values) * part))] for part in (0.1, 0.5, 0.9)]


def kind_of(fields):
    """Tells from its first attempt what a request was."""
    if fields["version"] == "0":
        return "plain"
    return "came back" if int(fields.get("waited_before_ms", 0)) > 0 else "new"


def main():
    chosen = chosen_span(__doc__)

    kinds, ends, firsts = {}, {}, collections.defaultdict(list)
    reasons = collections.Counter()
    sent = collections.Counter()
    for moment, instance, event, fields in lines(chosen.log):
        request = fields.get("request")
        if request is None or not chosen.begin <= moment < chosen.end:
            continue
        if event == "request_sent":
            kinds.setdefault(request, kind_of(fields))
            sent[instance] += 1
        elif event == "first_event":
            pair = (int(fields["predicted_ms"]), int(fields["seen_ms"]))
            firsts[kinds.get(request, "unknown")].append(pair)
        elif event in ("request_answered", "request_failed", "request_refused"):
            ends[request] = event.removeprefix("request_")
        if event in ("request_failed", "request_refused", "attempt_failed"):
            why = fields.get("reason") or fields.get("why", "")
            reasons[event, why] += 1

    outcomes = collections.Counter((kinds.get(one, "never sent"), end) for one, end in ends.items())
    for (kind, end), count in sorted(outcomes.items()):
        print(f"{count:7} {kind}: {end}")
    for kind, pairs in sorted(firsts.items()):
        predicted, seen = zip(*pairs)
        print(f"{kind}: first event predicted {quantiles(predicted)} seen {quantiles(seen)} ms (10, 50, 90 in 100)")
    for (event, why), count in reasons.most_common(20):
        print(f"{count:7} {event}: {why}")
    for instance, count in sorted(sent.items()):
        print(f"{count:7} attempts of {instance}")


if __name__ == "__main__":
    main()
