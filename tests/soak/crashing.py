"""A caller whose request, or a part of whose prompts, ends every engine that begins to
run it, and what is judged of it: the entries together let it reach few more once it has ended three,
and go on to serve what all others ask for, though it was beside each of these ends."""

import asyncio
import random
import signal
import zlib

from platform_standin import CRASHING, CRASHING_PART, MODEL

CONTACT_S = 3.0  # What all entries know of each other by then.
MOST_LATE = 3  # Arrivals beyond that.
RUN_S = 1.0  # From the sending of a request to the end of its engine, at most.
ENDS_OF_PART = 5  # Engines that a part may end before it is to be known.
MOST_TRIALS = 2  # One, and one more where two entries take a trial for theirs.
NOTED_S = 2.0  # From the third end until all that must outlast processes is written.
CALM_S = 4.0
LEAST_SERVED = 0.5  # Of the others' requests, in the calm after the faults.
PAUSE_S = 0.3  # Between two copies; each goes to any entry.


STREAM_LINES = [f"X-Coursejunction-Model: {MODEL}", "X-Coursejunction-Token-Usage: 100,60"]


FIRST_PART = "aa00:40"
SUBJECTS = [f"be{number:02d}:200" for number in range(8)]


def prompt_of(asked, dice, *more):
    """A prompt of parts: all requests share the first, several a subject, none the last."""
    own = f"{zlib.crc32(asked.encode()):08x}:60"
    return "X-Coursejunction-Prefix-Hash: " + ",".join(
        [FIRST_PART, *more, dice.choice(SUBJECTS), own])


async def send_copy(soak, entry, number, path, more, body=CRASHING):
    host, port = entry.callers.split(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write("\r\n".join([
            f"POST {path} HTTP/1.1", "Host: a.example", "Authorization: Token key",
            f"X-Coursejunction-Attempt-Id: {soak.seed:x}-crash-{number:x}",
            "X-Coursejunction-Deadline-Ms: 6000", *more, f"Content-Length: {len(body)}",
            "", ""]).encode() + body)
        await asyncio.wait_for(reader.readline(), 7)
        writer.close()
    except (OSError, asyncio.TimeoutError):
        pass  # The entry is away or holds it; what reaches engines is judged.


async def send_copies(soak):
    """Sends the same content under new ids until the run ends."""
    dice, number = random.Random(soak.seed), 0
    while not soak.stopping:
        number += 1
        await send_copy(soak, dice.choice(soak.entries), number, "/chat/x", STREAM_LINES)
        await asyncio.sleep(PAUSE_S)


async def send_crashing_part(soak):
    """Sends requests of which no two are alike; one part of their prompts ends engines."""
    dice, number = random.Random(soak.seed), 0
    while not soak.stopping:
        number += 1
        prompt = prompt_of(f"part {number}", dice, f"{CRASHING_PART}:90")
        await send_copy(soak, dice.choice(soak.entries), number, "/chat/x",
                        [*STREAM_LINES, prompt], f"part {number}".encode())
        await asyncio.sleep(PAUSE_S)


async def send_copies_widely(soak):
    """Sends copies to all entries at once, for engines and for plain services."""
    number = 0
    while not soak.stopping:
        copies = []
        for entry in soak.entries:
            number += 2
            copies += [send_copy(soak, entry, number, "/chat/x", STREAM_LINES),
                       send_copy(soak, entry, number + 1, "/note/x", [])]
        await asyncio.gather(*copies)
        await asyncio.sleep(PAUSE_S)


async def lose_all_entries(soak):
    """All entries end at once, some time after the third engine, and start again
    knowing nothing; the copies go on."""
    soak.faults.append("blackout")
    while len(ends_of(soak)) < 3:
        await asyncio.sleep(0.05)
    await asyncio.sleep(NOTED_S)
    soak.blackout = asyncio.get_running_loop().time()
    await asyncio.gather(*(one.stop(signal.SIGKILL) for one in soak.entries))
    await asyncio.sleep(CONTACT_S)
    soak.faults.remove("blackout")


def ends_of(soak):
    return sorted(at for one in soak.engines for at in one.crashed)


def service_ends_of(soak):
    return sorted(at for one in soak.services for at in one.crashed)


async def judge_bystanders(soak):
    """The others' requests in the calm, while copies still come."""
    def answers():
        return soak.counts.get("chat 200", 0), soak.counts.get("chat 503", 0)
    served, refused = answers()
    await asyncio.sleep(CALM_S)
    served, refused = answers()[0] - served, answers()[1] - refused
    soak.counts["calm"] = [served, refused]
    if served < LEAST_SERVED * (served + refused):
        soak.broken("bystanders", f"{served} served and {refused} refused in {CALM_S} s of calm")


def judge_crashes(soak):
    if soak.asked.crashing_part:
        return judge_part(soak)
    judge_ends(soak, "crashes", ends_of(soak))
    if soak.asked.wide:
        judge_ends(soak, "service crashes", service_ends_of(soak))


def judge_part(soak):
    """Counts what engines received with the part once all entries can know of it."""
    arrivals = sorted(at for one in soak.engines for at in one.part_arrivals)
    ends = ends_of(soak)
    soak.counts["part arrivals"], soak.counts["crashes"] = len(arrivals), len(ends)
    if len(ends) < ENDS_OF_PART:
        return
    known = ends[ENDS_OF_PART - 1] + CONTACT_S
    late = [at for at in arrivals
            if at > known and not soak.standstills.lasted(at - RUN_S - CONTACT_S, at)]
    soak.counts["part arrivals late"] = len(late)
    if len(late) > MOST_LATE:
        soak.broken("part", f"{len(late)} requests with the part reached engines late, "
                            f"{len(arrivals)} in all")


def judge_ends(soak, name, ends):
    """Counts what was sent by entries that had run for a while: after a standstill
    of the machine none had, and none can have heard of the others."""
    soak.counts[name] = len(ends)
    if len(ends) < 3:
        return
    late = [at for at in ends if at > ends[2] + CONTACT_S
            and not soak.standstills.lasted(at - RUN_S - CONTACT_S, at)]
    if len(late) > MOST_LATE:
        soak.broken(name, f"{len(late)} engines more ended after the third, {len(ends)} in all")
    after = [at for at in ends if soak.blackout and at > soak.blackout]
    if len(after) > MOST_TRIALS:
        soak.broken(name, f"{len(after)} engines ended after all entries had started again")
