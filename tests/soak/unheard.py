"""The name of a version that the store acknowledges and that a late write of the
older name replaces, while no watch is answered: as a rule nobody reads it."""

import asyncio
import random

from acknowledged import CONTACT_S, SOON_S, VERSION_S
from platform_standin import MODEL
from rewinds import end_all

KEY = f"op/version/{MODEL}"
LEAD_S = (0.0, 0.3)  # From the silence to the name that nobody hears.
OVERWRITTEN_S = (0.05, 0.5)
REST_S = (0.1, 1.0)  # From the late write to the end of the silence.
AWAY_S = (1.0, 6.0)  # Of the origin; the newer name binds after 8 s all the same.
HELD_S = (0.5, 3.0)
END_S = (0.0, 3.0)


async def play_unheard(soak, count):
    """Only a store that is held away adds to the time until the newer name binds, not
    the silence, an origin that is away or the end of the processes."""
    dice = random.Random(f"{soak.seed} unheard")
    while soak.faults:
        await asyncio.sleep(0.1)
    for _ in range(count):
        await play_one(soak, dice)


async def play_one(soak, dice):
    soak.count("fault unheard")
    await soak.name_version()
    await asyncio.sleep(dice.uniform(0.3, 3))
    faults = []
    if dice.random() < 0.4:
        soak.count("unheard: origin away")
        faults.append(asyncio.create_task(soak.spoil(soak.origin, "down", dice.uniform(*AWAY_S))))
        await asyncio.sleep(dice.uniform(0, 1))
    await name_unheard(soak, dice)
    after = dice.choice(["nothing", "end all", "end all", "store", "store, end all"])
    soak.count(f"unheard: then {after}")
    if "store" in after:
        faults.append(asyncio.create_task(hold_store(soak, dice)))
    await asyncio.sleep(dice.uniform(*END_S))
    if "end all" in after:
        await end_all(soak)
    if dice.random() < 0.3:
        soak.count("unheard: engines crash")
        for engine in soak.engines:
            engine.crash()
    await asyncio.gather(*faults)
    await judge_served(soak)
    await asyncio.sleep(dice.uniform(1, 3))


async def name_unheard(soak, dice):
    """Names a version, and writes the older name over it, before watches are answered."""
    older, how = soak.version, dice.choice(["hang", "cut"])
    forgets = dice.random() < 0.75
    soak.store.silence_watches(how)
    await asyncio.sleep(dice.uniform(*LEAD_S))
    await soak.name_version()
    revision = soak.store.items[KEY]["revision"]
    await asyncio.sleep(dice.choice([0, dice.uniform(*OVERWRITTEN_S)]))
    await soak.store.put(KEY, {"modelId": MODEL, "version": older})
    await asyncio.sleep(dice.uniform(*REST_S))
    if forgets:
        soak.store.forget_history()
    await soak.store.answer_watches()
    await asyncio.sleep(SOON_S)
    shown = "in an answer" if revision in soak.store.shown else "in no answer"
    soak.count(f"unheard: watches {how}, {'410' if forgets else 'go on'}, {shown}")


async def hold_store(soak, dice):
    trouble = soak.acknowledged.begin("store", None)
    await soak.spoil(soak.store, dice.choice(["busy", "silent", "slow"]), dice.uniform(*HELD_S))
    trouble.end = soak.acknowledged.now()


async def judge_served(soak):
    """Called at the end of the last fault: all upstreams serve the newest version
    once it binds. What begins on older ones is judged with all that began."""
    begun, clock = soak.acknowledged.now(), soak.acknowledged.now
    while any(one.version != soak.version for one in soak.engines):
        await asyncio.sleep(0.1)
        waited = clock() - begun - soak.standstills.lasted(begun, clock())
        if waited > VERSION_S + SOON_S:
            older = [f"{one.id} serves {one.version}" for one in soak.engines]
            soak.broken("unheard", f"not {soak.version} everywhere {waited:.1f} s after the last "
                                   f"fault: {older}")
            break
    soak.counts.setdefault("served after", []).append(round(clock() - begun, 1))
    bound = soak.acknowledged.versions[soak.version] + VERSION_S + SOON_S
    await asyncio.sleep(max(bound - clock(), CONTACT_S + 1))
