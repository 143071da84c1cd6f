"""Processes that stand still between a check and what they do after it, and what is judged of
it: no event is made with weights that were taken while a chunk was missing, of another version or
bad for long, and no entry in touch sends requests to an upstream that has left."""

import asyncio
import random
import signal

from acknowledged import DRAIN_S, SOON_S
from platform_standin import CHUNKS

KINDS = ["check", "order", "removal"]
PAUSE_S = (0.3, 9.0)
LONG_S = (3.5, 9.0)  # Longer than `BAD_S` of the stand-in and the limit of a load.
AT_ORDER_S = (5.0, 9.0)
NEXT_VERSION_S = (1.7, 3.4)  # From an order that is not handled to the name of the next version.
CHECK_S = 10.0  # An engine that holds the version already is never checked.
SERVES_ON_S = (8.0, 16.0)
AFTER_ORDER_S = 3.0
STREAM_SLOWNESS = 2.0  # Streams run while their engine is to load another version.
CALLERS = 12  # Further ones, so that each entry sends to each upstream every few hundred ms.


async def play_pauses(soak, count):
    """Rounds of one to three overlapping pauses of each kind."""
    dice = random.Random(f"{soak.seed} pauses")
    soak.faults.append("pauses")
    for one in soak.engines:
        one.slowness = STREAM_SLOWNESS
    play = {"check": pause_after_check, "order": pause_at_order, "removal": pause_beside_removal,
            "end": end_after_order}
    for _ in range(count):
        kinds = ["end"] if soak.asked.ends else dice.choices(KINDS, k=dice.randint(1, 3))
        plays = []
        for kind in kinds:
            soak.count(f"pause {kind}")
            plays.append(play[kind](soak, random.Random(dice.random()), dice.uniform(0, 2)))
        await asyncio.gather(*plays)
        soak.origin.fault = "none"
        await asyncio.sleep(dice.uniform(0.5, 4))
    await asyncio.sleep(1)  # Requests that hung are answered by now.
    soak.faults.remove("pauses")


async def pause(soak, one, length):
    """A process stands still, unless a fault ends it just now."""
    soak.standing.add(one)
    trouble = soak.acknowledged.begin("pause", one.name)
    soak.disturb(one.name)
    if not one.ending:
        one.send(signal.SIGSTOP)
    await asyncio.sleep(length)
    one.send(signal.SIGCONT)
    soak.disturb(one.name)
    soak.standing.discard(one)
    trouble.end = soak.acknowledged.now()


async def pause_after_check(soak, dice, delay):
    """A sidecar stands still after it has read back all chunks and before its order; some of
    them turn bad meanwhile."""
    await asyncio.sleep(delay)
    await soak.name_version()
    place = await checked_place(soak)
    if place is None:
        return soak.count("pause check: too late")
    engine = soak.engines[place]
    pausing = asyncio.create_task(pause(soak, soak.sides[place], dice.uniform(*dice.choice([PAUSE_S, LONG_S]))))
    await asyncio.sleep(dice.uniform(0, 0.3))
    if engine.has_checked(soak.version):
        soak.count("pause check: before the order")
        engine.turn_bad(dice.sample(range(CHUNKS), dice.randint(1, 3)))
    await pausing


async def checked_place(soak):
    """Waits until an engine that runs requests has been read back; returns its place."""
    clock = soak.acknowledged.now
    end = clock() + CHECK_S
    while clock() < end:
        for place, one in enumerate(soak.engines):
            if one.has_checked(soak.version) and one.running and soak.sides[place] not in soak.standing:
                return place
        await asyncio.sleep(0.003)
    return None


async def stands_still_at_order(soak, engine):
    """Names a version; returns whether the engine stands still as its order arrives, in time."""
    engine.pause_at_order()
    await soak.name_version()
    try:
        await asyncio.wait_for(engine.order_arrived.wait(), CHECK_S)
    except asyncio.TimeoutError:
        engine.resume()
        return False
    return True


async def pause_at_order(soak, dice, delay):
    """An engine stands still as its order arrives; the next version is named meanwhile, of which
    the origin provides a part only for a while."""
    await asyncio.sleep(delay)
    engine = dice.choice(soak.engines)
    length = dice.uniform(*AT_ORDER_S)
    if not await stands_still_at_order(soak, engine):
        return soak.count("pause order: too late")
    soak.count("pause order: at the order")
    begun = soak.acknowledged.now()
    await asyncio.sleep(dice.uniform(*NEXT_VERSION_S))
    soak.origin.provided = dice.randrange(1, CHUNKS)
    soak.origin.fault = "part"
    await soak.name_version()
    await asyncio.sleep(begun + length - soak.acknowledged.now())
    engine.resume()
    await asyncio.sleep(dice.uniform(1, 4))
    soak.origin.fault = "none"


async def pause_beside_removal(soak, dice, delay):
    """An entry stands still while the record of an upstream goes without a word or after it said
    that it drains, and while another entry of its hall starts again; the upstream serves on."""
    await asyncio.sleep(delay)
    pairs = [(one, other) for one in soak.entries for other in soak.entries
             if one is not other and one.hall == other.hall and not {one, other} & soak.standing]
    present = [one for one in soak.services if one.id not in soak.hidden and not one.draining]
    if not pairs or len(present) < 3:
        return
    (paused, restarted), leaver = dice.choice(pairs), dice.choice(present)
    soak.standing |= {paused, restarted}
    restart = asyncio.create_task(restart_entry(soak, restarted, 0 if dice.random() < 0.7 else 2.5))
    await asyncio.sleep(dice.uniform(0, 1))
    pausing = asyncio.create_task(pause(soak, paused, dice.uniform(*dice.choice([PAUSE_S, LONG_S]))))
    await asyncio.sleep(dice.uniform(0.1, 1.4))
    if dice.random() < 0.3:
        leaver.draining = True
        await asyncio.sleep(dice.uniform(0.3, 1.5))
    soak.hidden.add(leaver.id)
    await asyncio.gather(pausing, restart, asyncio.sleep(dice.uniform(*SERVES_ON_S)))
    await leaver.end()


async def end_after_order(soak, dice, delay):
    """An engine stands still as its order arrives and takes it with chunks that have turned bad.
    Then its sidecar ends, all processes do, or it stands still while the entries of its hall start
    again."""
    await asyncio.sleep(delay)
    place = dice.randrange(len(soak.engines))
    engine, side = soak.engines[place], soak.sides[place]
    if not await stands_still_at_order(soak, engine):
        return soak.count("pause end: too late")
    engine.turn_bad(dice.sample(sorted(engine.staged), min(3, len(engine.staged))))
    await asyncio.sleep(dice.uniform(*LONG_S))
    before = engine.sequence
    engine.resume()
    end = soak.acknowledged.now() + AFTER_ORDER_S
    while engine.sequence == before and soak.acknowledged.now() < end:
        await asyncio.sleep(0.005)
    await asyncio.sleep(dice.uniform(0, 0.5))
    way = dice.choice(["killed", "stopped", "all killed", "entries"])
    soak.count(f"pause end: {way}")
    if way == "entries":
        near = [one for one in soak.entries if one.hall == side.hall]
        restarts = [restart_entry(soak, one, dice.uniform(0, 1)) for one in near]
        await asyncio.gather(pause(soak, side, dice.uniform(*LONG_S)), *restarts)
    else:
        ended = soak.entries + soak.sides if way == "all killed" else [side]
        for one in ended:
            soak.disturb(one.name)
        await asyncio.gather(*(one.stop(signal.SIGTERM if way == "stopped" else signal.SIGKILL) for one in ended))
    await asyncio.sleep(dice.uniform(1, 3))


async def restart_entry(soak, entry, delay):
    await asyncio.sleep(delay)
    trouble = soak.acknowledged.begin("stop", entry.name)
    soak.disturb(entry.name)
    await entry.stop(signal.SIGTERM)
    soak.standing.discard(entry)
    trouble.end = soak.acknowledged.now()


def judge_pauses(soak):
    for one in soak.engines:
        soak.counts["orders taken wrong"] = soak.counts.get("orders taken wrong", 0) + len(one.wrong_weights)
        for (ident, taken), requests in one.faulty_events.items():
            soak.broken("whole", f"{len(requests)} requests got events of {ident}, made with {taken}: "
                                 f"{sorted(requests)[:3]}")
    late, judged = {}, 0
    for one in soak.services:
        for at, asked, ident in one.begun:
            entry = soak.sent_to.get(asked)
            gone = soak.acknowledged.drains.get(f"servers/{ident}", at)
            if entry is None or at <= gone + DRAIN_S + SOON_S:
                continue
            judged += 1
            if soak.acknowledged.in_touch(entry, at, at):
                late.setdefault((ident, entry), []).append((round(at - gone, 2), asked))
    soak.counts["requests to upstreams that left"] = judged
    for (ident, entry), requests in late.items():
        soak.broken("draining", f"{entry} sent {len(requests)} requests to {ident} after it had left: "
                                f"{requests[:3]}")
