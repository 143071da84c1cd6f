"""WHOLE: a sidecar stands still between its check of the staged pieces and its order."""

import asyncio
import os
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standin import BLOCKS, CannotRun, Engine, MODEL, Requester, now, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SIDES = 9  # One of them is 0.111; `node_freeze` on "side" of the site: share = 0.12
FREEZE_S = 4.0  # `node_freeze` on "side" of the site: for_s = 4.0
BAD_PIECES = 3  # `garble` `rot` of the site: x = 0.06 of 64 pieces
ZONES = {"amman-hall-a": "amman", "irbid-hall-b": "irbid"}


async def load(deployment, entries, stopping):
    """Streams so that every worker always runs some: about 28 a second of 1.5 s each."""
    number, tasks = 0, set()
    requesters = [Requester(deployment, one) for one in entries]
    while not stopping.is_set():
        number += 1
        asked = f"{os.getpid():08x}{number:08x}"
        task = asyncio.create_task(requesters[number % len(requesters)].ask_stream(asked))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(0.035)
    await asyncio.wait(tasks, timeout=10) if tasks else None


async def checked_side(engines, sides):
    """Waits until a side has read back all pieces of version 2 that lie at its worker, as it does
    before it has them loaded, and its order is still to come 0.2 s later."""
    checked_at = {}
    end = now() + 30
    while now() < end:
        for engine, side in zip(engines, sides):
            whole = len(engine.staged) == BLOCKS and len(engine.read_back) == BLOCKS
            if not whole or engine.sequence > 0:
                checked_at.pop(engine.id, None)
            elif now() - checked_at.setdefault(engine.id, now()) >= 0.2:
                return engine, side
        await asyncio.sleep(0.005)
    raise CannotRun("every order came within 0.2 s of the check")


async def freeze_after_check(deployment, engines, sides):
    """A side stands still between its check and its order, and pieces turn bad."""
    engine, side = await checked_side(engines, sides)
    side.signal(signal.SIGSTOP)
    deployment.record.line(f"{side.name} stands still")
    await asyncio.sleep(0.3)
    engine.turn_bad(BAD_PIECES)
    await asyncio.sleep(FREEZE_S - 0.3)
    side.signal(signal.SIGCONT)
    deployment.record.line(f"{side.name} goes on")


async def play(deployment):
    hosts = [deployment.host(at) for at in range(1, 13)]
    deployment.draw_ports(hosts)
    deployment.seeds = hosts[:2]
    await deployment.store.start()
    await deployment.origin.start()
    zones = list(ZONES)
    engines = [Engine(hosts[2 + at], f"i-7f3a91c{at}", zones[at % 2], deployment.record)
               for at in range(SIDES)]
    for one in engines:
        await one.start()
    await deployment.store.put("op/config", deployment.manifest())
    await deployment.store.put(f"op/version/{MODEL}", {"modelId": MODEL, "version": 1})

    async def keep_entries():
        sequence = 0
        while True:
            sequence += 1
            for one in engines:
                await deployment.store.put(f"servers/{one.id}", one.entry(sequence))
            await asyncio.sleep(1.2)
    keeping = asyncio.create_task(keep_entries())
    entries = [deployment.add_entry(f"edge-{at}", hosts[at], zones[at]) for at in range(2)]
    sides = [deployment.add_side(f"side-{at}", one, one.zone) for at, one in enumerate(engines)]
    for one in entries + sides:
        one.start()
    await deployment.ready(entries)
    stopping = asyncio.Event()
    loading = asyncio.create_task(load(deployment, entries, stopping))
    await asyncio.sleep(4)
    deployment.origin.newest = 2
    await deployment.store.put(f"op/version/{MODEL}", {"modelId": MODEL, "version": 2})
    deployment.record.line("the operator names version 2; acknowledged")
    if TROUBLE:
        await freeze_after_check(deployment, engines, sides)
    end = now() + 20
    while any(one.version != 2 for one in engines):
        if now() > end:
            raise CannotRun(f"versions {[one.version for one in engines]} after 20 s")
        await asyncio.sleep(0.1)
    await asyncio.sleep(4)
    stopping.set()
    await loading
    keeping.cancel()
    broken = {one.id: sorted(set(one.tokens_of_faulty)) for one in engines if one.tokens_of_faulty}
    for ident, asked in broken.items():
        deployment.record.line(f"WHOLE broken: worker {ident} made tokens for {len(asked)} requests "
                               f"with layers that it took while a piece was spoilt: {asked[:5]}")
    if not broken:
        deployment.record.line("WHOLE held")
    return 1 if broken else 0


run_case(HERE, ZONES, play)
