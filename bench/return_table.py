#!/usr/bin/env python3
"""Tells from entries' logs how well callers that come back are known.

    return_table.py LOG [--from S] [--to S]

LOG holds the entries' lines, each with the time in seconds and the instance
before the JSON object. A request that repeats the content of one that was
refused counts as its caller's return if it comes from 0.05 s before the time
that caller was told to 1.2 s after it, or within 0.15 s of the refusal. Prints
how many returns were known and how many new callers were taken for returns, and
how predicted first events compare with seen ones.
"""
import collections

from request_table import chosen_span, lines, quantiles

AT_ONCE = 0.15
TOO_SOON = 0.05
PATIENCE = 1.2


def is_return(moment, refusals):
    """Finds and removes the refusal that a request comes back from."""
    for one in refusals:
        refused, due = one
        if moment - refused <= AT_ONCE or due - TOO_SOON <= moment <= due + PATIENCE:
            refusals.remove(one)
            return True
    return False


def main():
    chosen = chosen_span(__doc__)

    refusals = collections.defaultdict(list)
    seen = set()
    known = collections.Counter()
    errors = []
    for moment, _, event, fields in lines(chosen.log):
        if event == "first_event":
            errors.append(int(fields["seen_ms"]) - int(fields["predicted_ms"]))
        if event not in ("request_sent", "request_refused"):
            continue
        content, request = fields["content"], fields["request"]
        if request not in seen:
            seen.add(request)
            returned = is_return(moment, refusals[content])
            if chosen.begin <= moment < chosen.end:
                known["return" if returned else "new", fields["known_by"]] += 1
        if event == "request_refused":
            due = moment + int(fields["retry_after_ms"]) / 1000
            refusals[content].append((moment, due))

    for (truth, evidence), count in sorted(known.items()):
        print(f"{count:7} {truth}, known by {evidence}")
    returns = sum(count for (truth, _), count in known.items() if truth == "return")
    fresh = sum(count for (truth, _), count in known.items() if truth == "new")
    if returns:
        print(f"returns known: {1 - known['return', 'none'] / returns:.3f} of {returns}")
    if fresh:
        print(f"new callers taken for returns: {1 - known['new', 'none'] / fresh:.4f} of {fresh}")
    if errors:
        print(f"first event seen after its prediction: {quantiles(errors)} ms (10, 50, 90 in 100)")


if __name__ == "__main__":
    main()
