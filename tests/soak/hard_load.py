"""Load and operations of deployments whose capacity is short or uneven, in parts that
can be enabled by name: evacuated halls, upstreams with a cold start, requests that must
stay in their regions, engines of uneven pace, and callers that read late or disconnect."""

import argparse
import asyncio
import os
import pathlib
import random
import socket

from framings import reset
from platform_standin import LARGE_BODY, MODEL

PARTS = ["evacuation", "cold", "regions", "pace", "readers"]
STREAMS = {"chat": "key", "urgent": "college", "bulk": "key"}  # Each with the key of its callers.
IN_FLIGHT_S = 0.5  # Allows for requests in flight and for a busy machine.
LINK_KINDS = {"engine", "reborn_cut"}  # Faults that delay requests and deliver them later.
UNAWARE_KINDS = {"store", "forget", "way", "reset", "pause", "suspend"}  # Entries learn of records late.

EVACUATE_S = 5.0  # The platform's bounds.evacuateMs.
EVACUATED_S = (6.5, 9.0)
JUDGED_S = 1.5  # Minimum time for which each evacuation is judged.
RESTORED_S = 3.0  # From the end of a fault of the store until a restarted entry has read all of it.

COLD_OVERSHOOT, COLD_ALLOWANCE = 1.5, 5  # The platform's bounds.
COLD_WINDOW_S = 1.0
AWARE_S = 1.0  # From the acknowledgement of a record until entries act on it.
BURST = 60  # Requests at once: more than one cold engine may take in a second.
COLD_CALM_ROUNDS = 3  # After the faults, as one that delays a record excludes much of what follows.
BURST_PAUSE_S = (1.0, 2.0)

PACE_S = 0.6
SLOWNESS = [2.5, 5.0]

READERS = 40  # Their unread answers of 6 MB would together exceed ENTRY_BYTES.
READER_BUFFER = 16384
SEGMENT = 1400  # With the large segments of loopback, the entry's send buffer takes a whole answer.
UNREAD_S = [0.5] + [6.0] * 5  # Engines cut off answers that stay unread for the longer time.
ENTRY_BYTES = 160e6
ABANDONED_S = 0.5
MOST_ABANDONED = 2  # In addition to ABANDONED_SHARE of the requests whose callers disconnected.
ABANDONED_SHARE = 0.02


def parts_of_option(text):
    parts = text.split(",")
    if unknown := set(parts) - set(PARTS):
        raise argparse.ArgumentTypeError(f"no such part: {sorted(unknown)}; there are {PARTS}")
    return parts


class HardLoad:
    """Changes nothing in a run without parts. Uses random generators of its own, so that the
    seeds of earlier runs still produce the same faults."""

    def __init__(self, soak, halls, all_halls):
        self.soak, self.parts = soak, soak.asked.hard_load or []
        self.generator = random.Random(f"hard load {soak.seed}")
        self.halls = all_halls[:self.generator.choice([2, 3])] if self.parts else halls
        regions = [self.region(hall) for hall in self.halls]
        self.allowed = {name: self.generator.sample(regions, self.generator.randint(1, max(1, len(regions) - 1)))
                        for name in ("local", "bound")}  # Of a route and of a tenant.
        self.cold_per_s, self.cold_start_s = self.generator.randint(4, 8), self.generator.uniform(2, 4)
        self.cold_until, self.cold_spans = {}, []  # By engine; (engine, id, acknowledged at, end).
        self.evacuations = []  # (halls, acknowledged at, removed at).
        self.restricted = {}  # The allowed regions of each restricted request.
        self.closed = {}  # When callers disconnected, by request.
        self.abandoned = set()  # Requests that ran or arrived too long after that.
        self.most_bytes, self.ending = 0, []
        self.awaited = ["restricted 200"] if "regions" in self.parts else []

    @staticmethod
    def now():
        return asyncio.get_running_loop().time()

    # Settings, configuration and records.

    def region(self, hall):
        return f"region-{hall}" if self.parts else hall

    def settings(self):
        if not self.parts:
            return ""
        return "[halls]\n" + "".join(f"{hall}={self.region(hall)}\n" for hall in self.halls)

    def extend(self, rules):
        if not self.parts:
            return
        chat = rules["routes"][0]
        rules["routes"] += [
            {**chat, "name": "urgent", "pathPrefix": "/urgent/", "priority": 0,
             "targetLatencyMs": 400, "targetItlMs": 300},
            {**chat, "name": "bulk", "pathPrefix": "/bulk/", "priority": 2,
             "targetLatencyMs": 1000, "targetItlMs": 400},
            {**chat, "name": "local", "pathPrefix": "/local/",
             "allowedRegions": self.allowed["local"]}]
        rules["tenants"] += [
            {"name": "college", "apiKeys": ["college"], "priority": 1},
            {"name": "bound", "apiKeys": ["bound"], "priority": 2,
             "allowedRegions": self.allowed["bound"]}]
        if "cold" in self.parts:
            rules["services"][0] |= {"coldStartS": self.cold_start_s, "coldPerS": self.cold_per_s}

    def cold_ms(self, one):
        """Rounded up to seconds, so that a record changes at most once a second."""
        left = self.cold_until.get(one, 0.0) - self.now()
        return 1000 * int(left + 1) if left > 0 else 0

    # Callers.

    async def ask(self, path, key, body="hi", read_after=0.0, entry=None):
        """One request on a connection of its own."""
        entry = entry or self.generator.choice(self.soak.entries)
        single = path == "note"
        opened = await self.open(entry, path, key)
        if opened is None:
            return None
        asked, reader, writer = opened
        try:
            await self.soak.ask(reader, writer, asked, single, f"/{path}/x", key, body, read_after)
        finally:
            writer.close()
        return self.soak.answers.get(asked, (None, single))[0]

    async def open(self, entry, path, key):
        """Returns the request's id and a connection, or nothing while the entry is away.
        Its receive buffer is small, so that an answer that is not read stays at the entry."""
        host, port = entry.callers.split(":")
        one = socket.socket()
        one.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READER_BUFFER)
        one.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT)
        one.setblocking(False)
        try:
            await asyncio.get_running_loop().sock_connect(one, (host, int(port)))
            reader, writer = await asyncio.open_connection(sock=one)
        except OSError:
            one.close()
            await asyncio.sleep(0.1)
            return None
        asked = self.soak.number_request(entry)
        if sets := [set(self.allowed[name]) for name in (path, key) if name in self.allowed]:
            self.restricted[asked] = set.intersection(*sets)
        return asked, reader, writer

    async def call(self):
        """Callers of other priorities, and in the part `regions` restricted ones."""
        restricted = [("local", "key"), ("chat", "bound")]
        kinds = list(STREAMS.items())[1:]
        if "regions" in self.parts:
            kinds += restricted + [("local", "bound"), ("note", "bound")]
        while not self.soak.stopping:
            path, key = self.generator.choice(kinds)
            status = await self.ask(path, key)
            if (path, key) in restricted:
                self.soak.count(f"restricted {status}")
            await asyncio.sleep(self.generator.uniform(0, 0.1))

    async def send_bursts(self):
        calm = 0
        while calm < COLD_CALM_ROUNDS:
            await asyncio.gather(*(self.ask(*self.generator.choice(list(STREAMS.items())))
                                   for _ in range(BURST)))
            await asyncio.sleep(self.generator.uniform(*BURST_PAUSE_S))
            calm += self.soak.calm

    async def read_late(self):
        """Many callers of one entry leave large answers unread, for some time or until the end."""
        while not self.soak.calm:
            entry = self.generator.choice(self.soak.entries)
            await asyncio.gather(*(
                self.ask("bulk", "key", LARGE_BODY.decode(), self.generator.choice(UNREAD_S), entry)
                for _ in range(READERS)))

    async def disconnect(self):
        while not self.soak.calm:
            path, key = self.generator.choice(list(STREAMS.items()))
            entry = self.generator.choice(self.soak.entries)
            if (opened := await self.open(entry, path, key)) is None:
                continue
            asked, _, writer = opened
            writer.write(self.soak.request(asked, False, f"/{path}/x", key, "hi"))
            await asyncio.sleep(self.generator.choice([0.0, self.generator.uniform(0, 0.3)]))
            self.generator.choice([reset, lambda one: one.close()])(writer)
            self.closed[asked] = self.now()
            self.soak.tasks.append(asyncio.create_task(self.check_abandoned(asked)))
            await asyncio.sleep(self.generator.uniform(0, 0.1))

    async def check_abandoned(self, asked):
        await asyncio.sleep(ABANDONED_S)
        if any(asked in one.active for one in self.soak.engines):
            self.abandoned.add(asked)

    # Operations and states of upstreams.

    async def evacuate(self):
        soak, generator = self.soak, random.Random(f"{self.soak.seed} evacuations")
        while not soak.calm:
            halls = generator.sample(self.halls, generator.randint(1, len(self.halls) - 1))
            for hall in halls:
                await soak.store.put(f"op/evacuate/{hall}", {})
            acknowledged = self.now()
            await asyncio.sleep(generator.uniform(*EVACUATED_S))
            while self.now() < self.aware_since(acknowledged, {"store"}, EVACUATE_S) + JUDGED_S:
                await asyncio.sleep(0.1)
            if "cold" in self.parts and generator.random() < 0.5:
                await self.make_cold([one for one in soak.engines if soak.hall(one.number) in halls])
            self.evacuations.append((halls, acknowledged, self.now()))
            for hall in halls:
                await soak.store.remove(f"op/evacuate/{hall}")
            await asyncio.sleep(generator.uniform(0.5, 2))

    async def make_cold(self, engines):
        """Makes engines cold; returns when their records say so."""
        for one in engines:
            self.cold_until[one] = self.now() + self.cold_start_s
        await self.soak.tell_upstreams()

    async def start_cold_periods(self):
        calm, generator = 0, random.Random(f"{self.soak.seed} cold starts")
        while calm < COLD_CALM_ROUNDS:
            await self.make_cold([generator.choice(self.soak.engines)])
            await asyncio.sleep(generator.uniform(1, 3))
            calm += self.soak.calm

    async def record_cold_spans(self):
        """Records when the store first says that an engine is cold; a new one is from its start."""
        born, noted = {one: one.born for one in self.soak.engines}, {}
        while not self.soak.stopping:
            for one in self.soak.engines:
                if born[one] != one.born:
                    born[one] = one.born
                    self.cold_until[one] = self.now() + self.cold_start_s
                until = self.cold_until.get(one, 0.0)
                told = self.soak.told.get(f"servers/{one.id}", {})
                if until > self.now() and noted.get(one) != (one.born, until) \
                        and told.get("born") == one.born and told["coldRemainingMs"]:
                    noted[one] = (one.born, until)
                    self.cold_spans.append((one, one.id, self.now(), until))
            await asyncio.sleep(0.02)

    async def change_pace(self):
        generator = random.Random(f"{self.soak.seed} pace")
        while not self.soak.calm:
            one = generator.choice(self.soak.engines)
            one.slowness = generator.choice(SLOWNESS)
            self.soak.count("slow phases")
            await asyncio.sleep(PACE_S)
            one.slowness = 1.0
            await asyncio.sleep(generator.uniform(0, 0.4))

    async def watch_memory(self):
        while not self.soak.stopping:
            for entry in self.soak.entries:
                statm = pathlib.Path(f"/proc/{entry.child.pid}/statm")
                if entry.child.poll() is None:
                    bytes_ = int(statm.read_text().split()[1]) * os.sysconf("SC_PAGESIZE")
                    self.most_bytes = max(self.most_bytes, bytes_)
            await asyncio.sleep(0.1)

    def start(self):
        """Returns the tasks that end with the run; the others end after the faults."""
        of_parts = {"evacuation": [self.evacuate], "cold": [self.start_cold_periods, self.send_bursts], "regions": [],
                    "pace": [self.change_pace], "readers": [self.read_late, self.disconnect, self.disconnect]}
        self.ending = [asyncio.create_task(one()) for part in self.parts for one in of_parts[part]]
        lasting = [self.call] * 4 + [self.watch_memory] if self.parts else []
        lasting += [self.record_cold_spans] if "cold" in self.parts else []
        return [asyncio.create_task(one()) for one in lasting]

    async def finish(self):
        """Returns after the last evacuation, so that callers are there until its end."""
        await asyncio.gather(*self.ending)

    # What is judged at the end.

    def judge(self):
        """The part `pace` has no check of its own: slow engines must not fail the general ones."""
        for part in set(self.parts) - {"pace"}:
            getattr(self, f"judge_{part}")()

    def upstreams(self):
        return [(one, self.soak.hall(at)) for kind in (self.soak.engines, self.soak.services)
                for at, one in enumerate(kind)]

    def held_back(self, at):
        """Whether a link may have delivered a request late, or the soak itself got no processor
        time."""
        return self.soak.standstills.lasted(at - IN_FLIGHT_S, at) > 0 or any(
            one.kind in LINK_KINDS and one.overlaps(at - IN_FLIGHT_S, at)
            for one in self.soak.acknowledged.troubles)

    def aware_since(self, told, kinds, bound):
        """Returns when entries must act on what was acknowledged at `told`: once no such fault
        occurred for `bound` seconds."""
        begin = told
        for one in sorted(self.soak.acknowledged.troubles, key=lambda one: one.begin):
            if one.kind in kinds and one.overlaps(begin, begin + bound):
                begin = one.end
        return begin + bound + self.soak.standstills.lasted(told, begin + bound)

    def is_restored(self, asked, at):
        """Whether the entry of a request did not restart shortly after a fault of the store."""
        return not self.soak.disturbed_since(self.soak.sent_to.get(asked), at) or not any(
            one.kind == "store" and one.overlaps(at - RESTORED_S, at)
            for one in self.soak.acknowledged.troubles)

    def judge_evacuation(self):
        for halls, acknowledged, removed in self.evacuations:
            begin = self.aware_since(acknowledged, {"store"}, EVACUATE_S)
            late = sorted((at, asked, one.id) for one, hall in self.upstreams() if hall in halls
                          for at, asked, *_ in one.begun if begin < at < removed
                          and self.is_restored(asked, at) and not self.held_back(at))
            if late:
                at, asked, ident = late[0]
                self.soak.broken("evacuated", f"{len(late)} requests, the first {asked} at {ident}, "
                                 f"{at - acknowledged:.2f} s after the evacuation of {halls}")
        self.soak.counts["evacuations"] = len(self.evacuations)

    def judge_cold(self):
        bound = COLD_OVERSHOOT * self.cold_per_s + COLD_ALLOWANCE
        most = 0
        for one, ident, told, end in self.cold_spans:
            begin = self.aware_since(told, UNAWARE_KINDS, AWARE_S)
            times = [at for at, _, _, named in one.begun if named == ident and begin <= at <= end]
            windows = [[other for other in times if at <= other < at + COLD_WINDOW_S] for at in times]
            worst = max((window for window in windows if not any(map(self.held_back, window))),
                        key=len, default=[])
            most = max(most, len(worst))
            if len(worst) > bound:
                self.soak.broken("cold", f"{len(worst)} requests within 1 s at {ident}, which takes "
                                         f"{self.cold_per_s}, {worst[0] - told:.2f} s after its record said so")
        self.soak.counts["cold judged"] = [len(self.cold_spans), most, bound]

    def judge_regions(self):
        outside = [(asked, one.id, hall) for one, hall in self.upstreams() for _, asked in one.arrivals
                   if self.region(hall) not in self.restricted.get(asked, [self.region(hall)])]
        for asked, ident, hall in outside:
            self.soak.broken("region", f"{asked} may be served in {sorted(self.restricted[asked])} and "
                                       f"reached {ident} in {self.region(hall)}")

    def judge_readers(self):
        if self.most_bytes > ENTRY_BYTES:
            self.soak.broken("memory", f"an entry took {self.most_bytes / 1e6:.0f} MB")
        for one, _ in self.upstreams():
            self.abandoned |= {asked for at, asked in one.arrivals
                               if at > self.closed.get(asked, at) + ABANDONED_S}
        late = [asked for asked in sorted(self.abandoned)
                if not self.soak.disturbed_since(self.soak.sent_to[asked], self.closed[asked])
                and not any(self.held_back(self.closed[asked] + ahead) for ahead in (0, ABANDONED_S))]
        if len(late) > MOST_ABANDONED + ABANDONED_SHARE * len(self.closed):
            self.soak.broken("abandoned", f"{len(late)} of {len(self.closed)} requests still ran or arrived "
                                          f"{ABANDONED_S} s after their callers disconnected: {late[:5]}")
        self.soak.counts["abandoned"] = [len(late), len(self.closed)]
        self.soak.counts["most MB"] = round(self.most_bytes / 1e6)
