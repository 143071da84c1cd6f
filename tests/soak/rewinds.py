"""A store that comes back from an older copy, operators and engines that write
again what it lost, and an older version whose name is written after a newer one."""

import asyncio
import random
import signal

from acknowledged import CONTACT_S, SOON_S, VERSION_S
from platform_standin import MODEL

AWAY_S = (0.2, 2.0)
COPY_AGE_S = (1.0, 5.0)
AGAIN_S = (0.3, 1.3)  # Records are written up to 0.2 s after that.
MOST_LOST = 60  # Writes of others, beside heartbeats, that the copy lacks.
LAPSE_S = 3.6  # Three heartbeats that did not come.


async def play_rewinds(soak, count):
    """Some follow each other at once, some after a calm in which bounds hold."""
    dice = random.Random(f"{soak.seed} rewinds")
    soak.faults.append("rewinds")
    for _ in range(count):
        await asyncio.sleep(dice.choice([dice.uniform(0.2, 1.0), dice.uniform(3, 8)]))
        await rewind(soak, dice)
    soak.faults.remove("rewinds")


async def rewind(soak, dice):
    soak.count("fault rewind")
    for at in range(dice.choice([0, dice.randint(1, MOST_LOST)])):
        await soak.store.put("other/writer", at)
    trouble = soak.acknowledged.begin("rewind", None)
    await soak.store.rewind(dice.uniform(*AWAY_S), dice.uniform(*COPY_AGE_S), dice.random() < 0.5)
    trouble.end = asyncio.get_running_loop().time()
    for key in soak.store.items:
        if key.startswith("servers/") and key not in soak.told:
            soak.lapsing[key] = trouble.end + LAPSE_S
    for key in sorted(soak.told):
        soak.silent[key] = trouble.end + dice.uniform(*AGAIN_S)
    soak.told.clear()
    spawn(soak, write_orders_again(soak, dice.uniform(*AGAIN_S)))
    spawn(soak, asyncio.sleep(AGAIN_S[1] + 0.2))
    if soak.lapsing:
        spawn(soak, asyncio.sleep(LAPSE_S + 0.2))


def spawn(soak, what):
    """Part of the fault, which is over when all its parts are."""
    async def play():
        await what
        soak.faults.remove("rewind")
    soak.faults.append("rewind")
    soak.tasks.append(asyncio.create_task(play()))


async def write_orders_again(soak, wait):
    await asyncio.sleep(wait)
    if not soak.store.holds("op/config", soak.rules()):
        await soak.change_rules(0)
    if soak.version > 1:
        named = {"modelId": MODEL, "version": soak.version}
        if not soak.store.holds(f"op/version/{MODEL}", named):
            await soak.write_version(soak.version)


async def give_orders(soak):
    """Configurations change, and at times new versions are named."""
    dice = random.Random(f"{soak.seed} orders")
    soak.faults.append("orders")
    while not soak.calm:
        await soak.change_rules(dice.randint(1, 4))
        if dice.random() < 0.15:
            await soak.name_version()
        await asyncio.sleep(dice.uniform(0.3, 4))
    soak.faults.remove("orders")


async def drain_engines(soak):
    """One engine at a time says that it drains, serves on for some seconds and ends."""
    dice = random.Random(f"{soak.seed} drains")
    soak.faults.append("drains")
    while not soak.calm:
        await asyncio.sleep(dice.uniform(0.2, 1.5))
        engine = dice.choice(soak.engines)
        life, left = engine.born, dice.uniform(4, 7)
        soak.count("drain")
        engine.draining = True
        while left > 0 and engine.born == life:
            await asyncio.sleep(0.1)
            left -= 0.1
        if engine.born == life:
            engine.crash()
    soak.faults.remove("drains")


async def play_late_writes(soak, count):
    """The write of an older name got no answer, and is done again after the next one
    was acknowledged. No fault disturbs the time in which the newer name must bind."""
    dice = random.Random(f"{soak.seed} late writes")
    while soak.faults:
        await asyncio.sleep(0.1)
    for _ in range(count):
        soak.count("fault late write")
        if dice.random() < 0.5:
            soak.tasks.append(asyncio.create_task(
                soak.spoil(soak.origin, "down", dice.uniform(1, 6))))
        await soak.name_version()
        older = soak.version
        await asyncio.sleep(dice.uniform(0.3, 1.5))
        await soak.name_version()
        named = asyncio.get_running_loop().time()
        await asyncio.sleep(dice.uniform(0.5, 3))
        await soak.store.put(f"op/version/{MODEL}", {"modelId": MODEL, "version": older})
        await asyncio.sleep(dice.uniform(0, 3))
        ends = dice.choice(["none", "all", "all"])
        if ends == "all":
            await end_all(soak)
        lives = dice.choice(["go on", "crash", "lose power"])
        soak.count(f"late write: {ends} end, engines {lives}")
        for engine in soak.engines if lives != "go on" else []:
            if lives == "crash":
                engine.crash()
            else:
                engine.lose_power()
        bound = named + VERSION_S + SOON_S + dice.uniform(1, 3)
        await asyncio.sleep(max(bound - asyncio.get_running_loop().time(), CONTACT_S + 1))


async def end_all(soak):
    everyone = soak.entries + soak.sides
    troubles = [soak.acknowledged.begin("kill", one.name) for one in everyone]
    await asyncio.gather(*(one.stop(signal.SIGKILL) for one in everyone))
    for one in troubles:
        one.end = asyncio.get_running_loop().time()
