"""Upstreams that say in their answers that they leave, rest, or take so many
requests a second, and what is judged of it: each entry that was told obeys, and a
limit holds for all of them together. An entry that was stopped, killed or suspended
meanwhile is excused."""

import asyncio
import math
import random

SOON_S = 0.5  # What is on its way when an answer tells something still arrives.
DRAIN_S = 2.0
CONTACT_S = 3.0
WINDOW_S = 4.0
MOST_IN_REST = 2  # Of one entry, beside what was on its way.
PAUSE_S = 0.8  # Between the end of a notice and the next one.


def most_in_window(per_second):
    return 1.5 * per_second * WINDOW_S + 5


class Notice:
    """What one upstream says for a while, and which requests reached it meanwhile."""

    def __init__(self, kind, amount, clock):
        self.kind, self.amount, self.clock = kind, amount, clock
        self.begun, self.arrivals = clock(), []

    def take(self, asked):
        """Notes a request; returns the headers of its answer, and whether it is run."""
        self.arrivals.append((self.clock(), asked))
        if self.kind == "leaving":
            return ["Server-Leaving: 1"], True
        if self.kind == "limit":
            return [f"Server-Limit: {self.amount}"], True
        # Rounded up: what is told must not end before the rest that is judged.
        left = max(math.ceil(100 * (self.begun + self.amount - self.clock())) / 100, 0.01)
        return [f"Retry-After: {left:.2f}", "X-Coursejunction-Not-Executed: 1"], False

    def faults(self, entry_of, excused):
        """Returns what broke.
        entry_of: the entry that a request was sent to.
        excused: whether an entry was disturbed since a moment."""
        told, known = {}, []
        for at, asked in self.arrivals:
            entry = entry_of(asked)
            first = told.setdefault(entry, at)
            if entry is not None and at > first + SOON_S and not excused(entry, self.begun):
                known.append((at, first, entry))
        return getattr(self, f"judge_{self.kind}")(known)

    def judge_leaving(self, known):
        return [f"{entry} sent a request {at - first:.2f} s after it was told that its upstream leaves"
                for at, first, entry in known if at > first + DRAIN_S]

    def judge_rest(self, known):
        counts = {}
        for at, _, entry in known:
            if at < self.begun + self.amount:
                counts[entry] = counts.get(entry, 0) + 1
        return [f"{entry} sent {count} requests within a rest of {self.amount:.1f} s"
                for entry, count in counts.items() if count > MOST_IN_REST]

    def judge_limit(self, known):
        times = [at for at, _, _ in known if at >= self.begun + CONTACT_S]
        worst = max((sum(1 for other in times if at <= other < at + WINDOW_S) for at in times), default=0)
        if worst <= most_in_window(self.amount):
            return []
        return [f"{worst} requests in {WINDOW_S:.0f} s at an upstream that takes {self.amount} a second"]


async def give_notices(soak):
    """Some upstream after the other says something of itself, until the run ends. One
    that leaves is replaced."""
    dice, clock = random.Random(soak.seed), asyncio.get_running_loop().time
    while not soak.stopping:
        kind = dice.choice(["limit", "limit", "leaving", "rest"])
        one = dice.choice(soak.engines if kind == "leaving" else soak.engines + soak.services)
        if one.notice is not None:
            await asyncio.sleep(PAUSE_S)
            continue
        amount = dice.choice([0.8, 1, 2, 5]) if kind == "limit" else dice.uniform(1, 4)
        soak.count(f"notice {kind}")
        one.notice = Notice(kind, amount, clock)
        soak.notices.append(one.notice)
        soak.tasks.append(asyncio.create_task(end_notice(one, kind, dice.uniform(5, 9))))
        await asyncio.sleep(PAUSE_S * dice.uniform(1, 4))


async def end_notice(one, kind, length):
    notice = one.notice
    await asyncio.sleep(length)
    if one.notice is not notice:
        return  # Its life ended before.
    one.notice = None
    if kind == "leaving":
        one.crash()


def judge_notices(soak):
    for notice in soak.notices:
        for what in notice.faults(soak.sent_to.get, soak.disturbed_since):
            soak.broken(notice.kind, what)
