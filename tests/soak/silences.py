"""Sound upstreams that fall silent and go on, their connections staying open, and
what is judged of it: nothing ends for silence, and each request that an entry has
read has one final line in its log. A request that was sent on an open connection
and that no line names is counted as unread; nothing in the log tells why."""

import asyncio
import json
import random
import signal

SILENCE_S = (0.3, 1.3)
SPEECH_S = 0.5  # Of one upstream between two silences.
BETWEEN_S = (0.1, 1.5)
CHANGE_S = (0.5, 2.0)  # Between two configurations.
STOP_S = (0.2, 2.0)  # From the start of an entry to the end of the next one.
IDLE_MS = [500, 1000, 3000, 20000]
KEEPERS = 12  # Callers that leave their connections idle for long.
KEPT_S = 3.0
LOGGED_S = 0.5
FINAL = {"request_answered", "request_failed", "request_refused", "request_turned_away",
         "request_rejected"}


class Faultless:
    """Dice of stand-ins that never lose a request."""

    @staticmethod
    def random():
        return 1.0


async def play_silences(soak):
    """Returns when all upstreams speak again and all entries run."""
    dice = random.Random(f"{soak.seed} silences")
    end = asyncio.get_running_loop().time() + soak.seconds
    tasks = [asyncio.create_task(change_configurations(soak, end))]
    if soak.asked.stops:
        tasks.append(asyncio.create_task(stop_entries(soak, end)))
    while asyncio.get_running_loop().time() < end:
        tasks += [asyncio.create_task(fall_silent(soak, one, dice.uniform(*SILENCE_S)))
                  for one in draw_upstreams(dice, soak.engines + soak.services)]
        await asyncio.sleep(dice.uniform(*BETWEEN_S))
    await asyncio.gather(*tasks)


def draw_upstreams(dice, upstreams):
    """All, half or one of them."""
    return dice.sample(upstreams, dice.choice([len(upstreams), len(upstreams) // 2, 1]))


async def fall_silent(soak, one, length):
    if not one.speaks.is_set() or one in soak.resting:
        return
    soak.count("silences")
    soak.resting.add(one)
    one.speaks.clear()
    await asyncio.sleep(length)
    one.speaks.set()
    await asyncio.sleep(SPEECH_S)
    soak.resting.remove(one)


async def change_configurations(soak, end):
    """Also for how long an idle connection is kept."""
    dice = random.Random(f"{soak.seed} configurations")
    while asyncio.get_running_loop().time() < end:
        soak.idle_ms = dice.choice(IDLE_MS)
        await soak.change_rules(1)
        await asyncio.sleep(dice.uniform(*CHANGE_S))


async def stop_entries(soak, end):
    dice, at = random.Random(f"{soak.seed} stops"), 0
    while asyncio.get_running_loop().time() < end:
        await asyncio.sleep(dice.uniform(*STOP_S))
        await soak.entries[at % len(soak.entries)].stop(signal.SIGTERM)
        at += 1


async def judge_silences(soak):
    await asyncio.sleep(LOGGED_S)
    if not soak.asked.stops:
        judge_answers(soak)
    named, final = read_log(soak.dir / "log")
    for asked in named | soak.answers.keys():
        if final.get(asked, 0) != 1:
            soak.broken("line", f"{asked} has {final.get(asked, 0)} final lines")
    soak.counts["unread"] = len(soak.sent_to.keys() - named - soak.answers.keys())


def judge_answers(soak):
    for asked, (status, _) in soak.answers.items():
        if status == 502 or asked in soak.cut:
            soak.broken("silence", f"{asked} got {status}{' cut' if asked in soak.cut else ''}")


def read_log(path):
    """Returns the requests that any line names, and how many final lines each has."""
    named, final = set(), {}
    for line in path.read_text(errors="replace").splitlines():
        try:
            told = json.loads(line)
        except ValueError:
            continue  # Another line of the same file, as of a process that fails.
        asked = told.get("context_map", {}).get("request")
        if asked:
            named.add(asked)
            final[asked] = final.get(asked, 0) + (told["message"] in FINAL)
    return named, final
