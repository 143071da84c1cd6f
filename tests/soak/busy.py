"""Entries that get little processor time, beside callers that give up soon, and what is judged of it:
no request arrives at an engine after its caller has left, however long both lie unread in the kernel
of the entry. Times are those of the callers and the engines."""

import asyncio
import random
import signal

LEFT_S = 0.5  # After it nothing may arrive for a caller that has left.
ALLOWED = 3
CALLERS = 60
WAITS_S = (0.02, 0.8)  # How long callers wait for the first bytes of an answer.
STOPPED_S, RUNNING_S = (0.3, 1.4), (0.01, 0.08)
BEFORE_S = 1.0  # The first requests are served in time, so that connections to engines are kept.


class Busy:
    def __init__(self, soak):
        self.soak, self.left = soak, {}

    async def caller(self, dice):
        soak, clock = self.soak, asyncio.get_running_loop().time
        while not soak.stopping:
            entry = dice.choice(soak.entries)
            asked = soak.number_request(entry)
            try:
                reader, writer = await asyncio.open_connection(*entry.callers.split(":"))
                writer.write(soak.request(asked, False))
                await asyncio.wait_for(reader.read(65536), dice.uniform(*WAITS_S))
                writer.close()
            except asyncio.TimeoutError:
                soak.count("gave up")
                self.left[asked] = clock()
                if dice.random() < 0.5:
                    writer.transport.abort()
                writer.close()
            except OSError:
                pass
            await asyncio.sleep(dice.uniform(0, 0.1))

    async def play(self):
        """Stops each entry again and again, so that it runs for a few moments between."""
        end = asyncio.get_running_loop().time() + self.soak.seconds
        await asyncio.sleep(BEFORE_S)
        await asyncio.gather(*(self.starve(entry, end, random.Random(f"{self.soak.seed} {entry.name}"))
                               for entry in self.soak.entries))

    async def starve(self, entry, end, dice):
        while asyncio.get_running_loop().time() < end:
            entry.send(signal.SIGSTOP)
            await asyncio.sleep(dice.uniform(*STOPPED_S))
            entry.send(signal.SIGCONT)
            await asyncio.sleep(dice.uniform(*RUNNING_S))

    def judge(self):
        late = [asked for engine in self.soak.engines for at, asked in engine.arrivals
                if asked in self.left and at > self.left[asked] + LEFT_S
                and not self.soak.is_cut_off(engine, asked, self.left[asked])]
        self.soak.counts["arrived after their callers gave up"] = len(late)
        if len(late) > ALLOWED:
            self.soak.broken("gone", f"{len(late)} requests arrived after their callers had given up: "
                                     f"{late[:3]}")
