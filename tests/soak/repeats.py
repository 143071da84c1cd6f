"""Engines that read requests and lose their responses by a reset, and what is judged
in every run: requests that arrive again at upstreams keep to the retry budget of the
installation, summed over all entries."""

import asyncio
import random

WINDOW_S = 10.0
RATIO = 0.2
ALLOWANCE = 104  # The smallest of the installations.
LOST = 0.5  # Fraction of responses. The others leave connections that are used again.
LOSING_S = (1.0, 4.0)
SOUND_S = (0.1, 0.5)
CALLERS = 40  # Further ones, so that the ratio counts and not the allowance alone.


async def play_lost_responses(soak):
    """Returns when no response is lost any more."""
    dice = random.Random(f"{soak.seed} lost responses")
    end = asyncio.get_running_loop().time() + soak.seconds
    while asyncio.get_running_loop().time() < end:
        for one in soak.engines:
            one.lost = LOST
        await asyncio.sleep(dice.uniform(*LOSING_S))
        for one in soak.engines:
            one.lost = 0.0
        await asyncio.sleep(dice.uniform(*SOUND_S))


def judge_repeats(soak):
    for name, upstreams in (("engines", soak.engines), ("services", soak.services)):
        arrivals = sorted((at, asked) for one in upstreams for at, asked, *_ in one.arrivals)
        known, requests, repeats = set(), [], []
        for at, asked in arrivals:
            (repeats if asked in known else requests).append(at)
            known.add(asked)
        soak.counts[f"requests at {name}"] = len(requests)
        soak.counts[f"repeats at {name}"] = len(repeats)
        for end in repeats:
            count = within(repeats, end)
            # Requests are counted in the window, or in an earlier one that has more.
            asked = max(within(requests, end - WINDOW_S * back) for back in (0, 0.5, 1))
            if count > RATIO * asked + ALLOWANCE:
                soak.broken("budget", f"{count} repeats at {name} in {WINDOW_S} s, {asked} requests")


def within(times, end):
    return sum(end - WINDOW_S < at <= end for at in times)
