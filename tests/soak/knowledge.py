"""Judges what each process knows once the faults are over: the newest state of
the store, and that the links between halls come to rest."""

import asyncio
import json

STATED_S = 6.0  # Configurations differ for no longer, beside what the links take.
TRIES = 2  # One listing may be under way, and be lost, when the last fault ends.
REST_S = 3.0
REST_TRIES = 3
REST_SHARE = 0.2  # Of what a link can carry; records and watches are far below.


class Knowledge:
    """What the store held at one moment, and who knows it since."""

    def __init__(self, soak, late):
        self.soak = soak
        self.revision = soak.store.revision
        self.records = {key.partition("/")[2] for key in soak.store.items
                        if key.startswith("servers/")}
        self.bound = self.listing_s() + STATED_S + late

    def listing_s(self):
        """How long the slowest link needs for a listing of each entry behind it."""
        if not self.soak.links:
            return 0.0
        halls = [one.hall for one in self.soak.entries if one.hall in self.soak.links]
        most = max((halls.count(hall) for hall in halls), default=0)
        return TRIES * most * self.soak.store.listed_bytes() / self.soak.rate

    async def judge(self):
        everyone = self.soak.entries + self.soak.sides
        for what in await asyncio.gather(*(self.wait_for(one) for one in everyone)):
            if what:
                self.soak.broken("knows", f"{what} {self.bound:.1f} s after the last fault")

    async def wait_for(self, one):
        """Returns what the process still lacks at the end of the bound."""
        loop = asyncio.get_running_loop()
        begun = loop.time()
        still = self.soak.standstills
        while (lacks := await self.lacks(one)) and \
                loop.time() < begun + self.bound + still.lasted(begun, loop.time()):
            await asyncio.sleep(0.2)
        return f"{one.name} {lacks}" if lacks else None

    async def lacks(self, one):
        try:
            state = json.loads((await get(one.status, "/dump"))[1])
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
            return "tells no state"
        if state["mirror_revision"] < self.revision:
            return f"is at revision {state['mirror_revision']}, not {self.revision}"
        if state["mirror_revision"] > self.soak.store.revision:
            return f"is at revision {state['mirror_revision']}, which the store does not have"
        if one not in self.soak.entries:
            return None
        held = {name.partition("/")[2] for name in self.soak.store.items}
        unknown = self.records & held - {known["id"] for known in state["upstreams"]}
        if unknown:
            return f"does not know {sorted(unknown)}"
        newest = self.soak.rate or self.soak.judges_acknowledged
        if newest and await self.soak.ask_newest(one) in (404, None):
            return f"has no route of configuration {self.soak.configuration}"
        return None


async def judge_rest(soak):
    """Nothing changes any more: whoever still fills a link asks in vain. A last
    listing may be under way, so that only a link which never rests is judged."""
    for _ in range(REST_TRIES):
        busy = [f"{hall} {share:.0%}" for hall, share in (await shares(soak)).items()
                if share > REST_SHARE]
        if not busy:
            return
    soak.broken("rest", f"links still full in the calm: {busy}")


async def shares(soak):
    """How much of what it can carry each link carries in the next seconds."""
    before = {hall: link.carried() for hall, link in soak.links.items()}
    await asyncio.sleep(REST_S if before else 0)
    return {hall: (link.carried() - before[hall]) / (soak.rate * REST_S)
            for hall, link in soak.links.items()}


async def get(address, path):
    """One call of its own: (status, body)."""
    return await asyncio.wait_for(fetch(address, f"GET {path} HTTP/1.1\r\nHost: x\r\n"
                                                 "Connection: close\r\n\r\n"), 2)


async def fetch(address, asked):
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(asked.encode())
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        length = next((int(line.partition(":")[2]) for line in head.split("\r\n")
                       if line.lower().startswith("content-length:")), 0)
        return int(head.split()[1]), await reader.readexactly(length)
    finally:
        writer.close()
