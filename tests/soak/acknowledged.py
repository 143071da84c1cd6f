"""What the store has acknowledged binds after a time: configurations, names of
versions, and upstreams that drain. Judged at entries that were in touch: neither they
nor the store had a fault for a while."""

import asyncio
import math
import random

from configuration import newest_key, newest_path

SOON_S = 0.5  # What is on its way, and a busy machine.
CONTACT_S = 3.0
CONFIGURATION_S = 2.0
DOWNGRADE_S = 0.25
DRAIN_S = 2.0
VERSION_S = 8.0
STORE_KINDS = {"store", "forget", "reset", "rewind", "hall"}
ENTRY_KINDS = {"kill", "stop", "pause", "suspend", "way"}
LINK_KINDS = {"way", "engine", "reborn_cut"}


class Trouble:
    def __init__(self, kind, name, begin):
        self.kind, self.name, self.begin, self.end = kind, name, begin, math.inf

    def overlaps(self, begin, end):
        return self.begin <= end and self.end >= begin

    def reaches(self, entry):
        return self.kind in STORE_KINDS or (self.kind in ENTRY_KINDS and self.name == entry)


class Acknowledged:
    def __init__(self, soak):
        self.soak = soak
        self.configurations, self.versions = {}, {}  # Each with its first acknowledgement.
        self.drains = {}  # Keys of records, in the same way.
        self.troubles = []
        self.seen = {}  # Each entry's life, the newest configuration seen of it, and when.

    @staticmethod
    def now():
        return asyncio.get_running_loop().time()

    def configuration(self, number):
        self.configurations.setdefault(number, self.now())

    def version(self, number):
        self.versions.setdefault(number, self.now())

    def record(self, key, value):
        if value["state"] == "draining":
            self.drains.setdefault(key, self.now())

    def begin(self, kind, name):
        self.troubles.append(Trouble(kind, name, self.now()))
        return self.troubles[-1]

    def in_touch(self, entry, begin, end):
        begin -= CONTACT_S
        return not any(one.reaches(entry) and one.overlaps(begin, end) for one in self.troubles) \
            and not self.soak.standstills.lasted(begin, end)

    # Configurations, judged by routes and keys that only one of them has.

    async def ask(self):
        dice = random.Random(f"{self.soak.seed} asked")
        while not self.soak.stopping:
            entry = dice.choice(self.soak.entries)
            number = dice.choice([self.soak.configuration, *list(self.configurations)[-4:]])
            await self.ask_for(entry, number, dice.random() < 0.5)
            await asyncio.sleep(dice.uniform(0, 0.1))

    async def ask_for(self, entry, number, by_key):
        path = "/note/x" if by_key else f"{newest_path(number)}x"
        life, sent = entry.child, self.now()
        status = await self.soak.ask_single(entry, path, newest_key(number) if by_key else "key")
        if life is not entry.child:
            return
        if status == 200:
            self.judge_handled(entry, sent, number, number)
            before, newest, _ = self.seen.get(entry, (None, 0, 0))
            if before is not life or newest < number:
                self.seen[entry] = (life, number, self.now())
        elif status in (401, 404) and number == self.soak.configuration:
            self.judge_handled(entry, sent, number - 1, number)

    def judge_handled(self, entry, sent, handled, asked):
        """A request was handled as that configuration, or an older one, does it."""
        what = f"{entry.name} handled a request for {asked} by {handled} or older"
        newer = {number: at for number, at in self.configurations.items() if number > handled}
        late = [number for number, at in newer.items() if at + CONFIGURATION_S + SOON_S < sent]
        if late and self.in_touch(entry.name, sent, self.now()):
            number = max(late)
            self.soak.broken("configuration", f"{what}, {sent - newer[number]:.2f} s after {number} "
                                              "was acknowledged")
        life, number, at = self.seen.get(entry, (None, 0, 0))
        calm = self.in_touch(entry.name, sent, self.now())
        bound = DOWNGRADE_S if calm else 8 * DOWNGRADE_S
        if life is entry.child and number > handled and sent > at + bound:
            self.soak.broken("regress", f"{what}, {sent - at:.2f} s after it showed {number}")

    # What reached engines, judged at the end.

    def judge(self):
        if not self.soak.judges_acknowledged:
            return
        judged = [0, 0]
        for engine in self.soak.engines:
            for at, asked, version, ident in engine.begun:
                entry = self.soak.sent_to.get(asked)
                if entry is None or not self.in_touch(entry, at, at):
                    continue
                judged[0] += 1
                drained = self.drains.get(f"servers/{ident}", math.inf)
                if at > drained + DRAIN_S + SOON_S:
                    self.soak.broken("draining", f"{asked} began on {ident} at {entry} {at - drained:.2f} s "
                                                 "after that was acknowledged")
                calm = self.calm_since(at)
                judged[1] += at - calm > VERSION_S + SOON_S
                late = [number for number, named in self.versions.items() if number > version
                        and at - max(named, calm) > VERSION_S + SOON_S]
                if late:
                    self.soak.broken("version", f"{asked} began on {version} at {ident} "
                                                f"{at - self.versions[max(late)]:.2f} s after "
                                                f"{max(late)} was acknowledged")
        self.soak.counts["judged"] = judged

    def calm_since(self, at):
        """Since when neither the store nor a link had a fault, at a moment."""
        return max((min(one.end, at) for one in self.troubles if one.begin <= at
                    and one.kind in STORE_KINDS | LINK_KINDS), default=0.0)
