"""Callers of streams that leave, early or after a pause, beside suspended instances, and what is
judged of it: an entry answers a patient caller before it leaves, and no request of a caller that has
left arrives at an engine or runs there, except at one that is suspended. An engine that is not heard gets
at most one request a second from each entry while another one is."""

import asyncio
import math
import random
import signal

TARGETS = {"targetLatencyMs": 400, "targetItlMs": 250}
PATIENCE_S = 2.0  # The least pause after which callers leave; these targets give no more.
DISTURBED_S = 5.0
LEFT_S = 0.5  # After it nothing may arrive or run for a caller that has left.
ALLOWED = 3
CALLERS = 40
EARLY, EARLY_S = 0.3, (0.0, 1.0)  # Fraction of requests whose callers leave early, and when.
SUSPENDED_S = (2.5, 5.0)
UNHEARD_S = 1.5  # From then on a suspended engine counts as not heard.
BETWEEN_S = (0.5, 2.0)


class Leaving:
    def __init__(self, soak):
        self.soak, self.left, self.impatient = soak, {}, []
        self.suspended = {}  # Spans by engine.

    async def caller(self, dice):
        soak, clock = self.soak, asyncio.get_running_loop().time
        while not soak.stopping:
            entry = dice.choice(soak.entries)
            asked = soak.number_request(entry)
            early = dice.uniform(*EARLY_S) if dice.random() < EARLY else None
            try:
                reader, writer = await asyncio.open_connection(*entry.callers.split(":"))
            except OSError:
                await asyncio.sleep(0.1)
                continue
            begun = clock()
            writer.write(soak.request(asked, False))
            try:
                await self.read(reader, early and begun + early)
            except asyncio.TimeoutError:
                soak.count("left early" if early else "left after a pause")
                # An entry that was stopped or suspended, or had no time, may see the close late.
                if not soak.disturbed_since(entry.name, begun) and \
                        not soak.standstills.lasted(begun, clock()):
                    self.left[asked] = clock()
                    if not early:
                        self.impatient.append(asked)
            except ConnectionError:
                soak.count("cut")
            writer.transport.abort()
            await asyncio.sleep(dice.uniform(0, 0.2))

    @staticmethod
    async def read(reader, until):
        """Reads to the end of the answer, or until its caller leaves."""
        clock = asyncio.get_running_loop().time
        text = b""
        while not text.endswith(b"0\r\n\r\n") and b"Content-Length: 0" not in text:
            limit = PATIENCE_S if until is None else min(PATIENCE_S, max(0.001, until - clock()))
            more = await asyncio.wait_for(reader.read(65536), limit)
            if not more:
                return
            text += more

    async def play(self):
        """Suspends instances, all, half or one of them, and returns when all run."""
        soak, dice = self.soak, random.Random(f"{self.soak.seed} leaving")
        end = asyncio.get_running_loop().time() + soak.seconds
        places = list(range(len(soak.engines)))
        while asyncio.get_running_loop().time() < end:
            some = dice.sample(places, dice.choice([len(places), len(places) // 2, 1]))
            length = dice.uniform(*SUSPENDED_S)
            await asyncio.gather(*(self.suspend(at, length) for at in some))
            await asyncio.sleep(dice.uniform(*BETWEEN_S))

    async def suspend(self, place, length):
        engine, side = self.soak.engines[place], self.soak.sides[place]
        clock = asyncio.get_running_loop().time
        self.soak.count("suspended")
        begun = clock()
        side.send(signal.SIGSTOP)
        engine.speaks.clear()
        await asyncio.sleep(length)
        engine.speaks.set()
        side.send(signal.SIGCONT)
        self.suspended.setdefault(engine, []).append((begun, clock()))

    def judge(self):
        if len(self.impatient) > ALLOWED:
            self.soak.broken("gone", f"{len(self.impatient)} callers had no answer before they left: "
                                     f"{self.impatient[:3]}")
        late = [asked for one in self.soak.engines for at, asked in one.arrivals
                if at > self.left.get(asked, at) + LEFT_S
                and not self.soak.is_cut_off(one, asked, self.left[asked])]
        run = [asked for one in self.soak.engines for asked, at in one.worked.items()
               if at > self.left.get(asked, at) + LEFT_S
               and not self.soak.is_cut_off(one, asked, self.left[asked])
               and not self.was_suspended(one, self.left[asked])]
        for what, requests in (("arrived", late), ("ran", run)):
            self.soak.counts[f"{what} after their callers left"] = len(requests)
            if len(requests) > ALLOWED:
                self.soak.broken("gone", f"{len(requests)} requests {what} after their callers had left: "
                                         f"{requests[:3]}")

        for engine, spans in self.suspended.items():
            for begun, end in spans:
                self.judge_unheard(engine, begun, self.until_woken(engine, begun, end))

    def judge_unheard(self, engine, begun, end):
        soak = self.soak
        sound = [one for one in soak.engines if not self.overlaps(one, begun, end)
                 and not self.is_disturbed(one, begun, end)]
        for entry in soak.entries:
            if not sound or self.disturbed_within(entry.name, begun, end) or \
                    self.is_disturbed(engine, begun, end):
                continue
            sent = [asked for at, asked in engine.arrivals
                    if begun + UNHEARD_S < at < end and soak.sent_to.get(asked) == entry.name]
            soak.count("judged suspensions")
            if len(sent) > max(1, math.ceil(end - begun - UNHEARD_S)):
                soak.broken("unheard", f"{entry.name} sent {len(sent)} requests to engine {engine.number}, "
                                       f"which was not heard: {sent[:3]}")

    def until_woken(self, engine, begun, end):
        """The end of a suspension, or of its first part if a fault that stops or resumes the sidecar
        lets it be heard."""
        faults = self.soak.disturbed.get(self.side_of(engine).name, [])
        return min([end, *(at for at in faults if at > begun)])

    def side_of(self, engine):
        return self.soak.sides[self.soak.engines.index(engine)]

    def is_disturbed(self, engine, begun, end):
        return any(self.disturbed_within(name, begun, end) for name in (engine.number, self.side_of(engine).name))

    def overlaps(self, engine, begun, end):
        return any(first < end and begun < last for first, last in self.suspended.get(engine, []))

    def disturbed_within(self, name, begun, end):
        return any(begun - DISTURBED_S < at < end for at in self.soak.disturbed.get(name, []))

    def was_suspended(self, engine, left):
        return any(begun <= left + LEFT_S and left <= end
                   for begun, end in self.suspended.get(engine, []))
