"""Moments at which the machine gave the soak no time to run. Its stand-ins stand
still as well then, so that nothing the processes do could be answered; such a
moment counts as a freeze of them all."""

import asyncio
import os
import signal
import time

TICK_S = 0.05
LEAST_S = 0.5  # Shorter ones are within what each bound allows for a busy machine.


class Standstills:
    def __init__(self):
        self.spans = []  # (begin, end) by the loop's clock.

    async def watch(self):
        loop = asyncio.get_running_loop()
        before = loop.time()
        while True:
            await asyncio.sleep(TICK_S)
            now = loop.time()
            if now - before - TICK_S >= LEAST_S:
                self.spans.append((before, now))
            before = now

    def lasted(self, begin, end):
        """For how long the soak stood still between two moments."""
        return sum(max(0.0, min(end, to) - max(begin, at)) for at, to in self.spans)


def stand_still(children, seconds):
    """Stops all processes and the soak itself, as a machine without time does."""
    running = [one for one in children if one.poll() is None]
    for one in running:
        os.kill(one.pid, signal.SIGSTOP)
    time.sleep(seconds)
    for one in running:
        os.kill(one.pid, signal.SIGCONT)
