"""The processes of the system as a soak starts, stops and restarts them."""

import asyncio
import os
import random
import pathlib
import signal
import socket
import struct
import subprocess

GRACE_S = 8.0
STANDS_S = 0.1  # A suspended process takes no time of the soak's.
LATE_S = 4.0  # The machine that runs the soak may be busy.
START_S = 30.0  # As above.


DRAWN_PORTS = set()


def is_free(host, port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as one:
            try:
                one.bind((host, port))
            except OSError:
                return False
    return True


def free_port(*hosts):
    """A port that is free now at all these hosts and was not drawn before, below those
    that the system gives out by itself: it must still be free when a process that was
    killed starts again."""
    while True:
        port = random.SystemRandom().randrange(10000, 30000)
        if port not in DRAWN_PORTS and all(is_free(host, port) for host in hosts):
            DRAWN_PORTS.add(port)
            return port


class Daemon:
    """One process of the system; started again after it ends."""

    def __init__(self, soak, name, hall, settings):
        self.soak, self.name, self.hall = soak, name, hall
        self.path = soak.dir / f"{name}.ini"
        self.path.write_text(settings)
        self.jump, self.jumped = soak.dir / f"{name}.jump", 0
        self.jump.write_bytes(struct.pack("<q", 0))
        self.child, self.ending, self.ended = None, False, False

    def start(self):
        environment = {**os.environ, "COURSEJUNCTION_SETTINGS": str(self.path)}
        if self.soak.asked.suspending:
            library = pathlib.Path(self.soak.binary).parent.parent / "lib" / "libsuspended_clock.so"
            environment |= {"LD_PRELOAD": str(library), "SUSPENDED_MICROSECONDS": str(self.jump)}
        self.child = subprocess.Popen([self.soak.binary, "--platform"], env=environment,
                                      stdout=self.soak.log, stderr=self.soak.log)

    async def started(self):
        """Waits until the process listens."""
        for _ in range(int(START_S / 0.05)):
            try:
                _, writer = await asyncio.open_connection(*self.status.split(":"))
                return writer.close()
            except OSError:
                await asyncio.sleep(0.05)
        self.soak.broken("process", f"{self.name} does not listen {START_S:.0f} s after its start")

    def send(self, number):
        if self.child.poll() is None:
            self.child.send_signal(number)

    async def suspend(self, length):
        """The instance is suspended: its steady clock stands, the others go on."""
        self.send(signal.SIGSTOP)
        await asyncio.sleep(STANDS_S)
        self.jumped += int(length * 1e6)
        self.jump.write_bytes(struct.pack("<q", self.jumped))
        self.send(signal.SIGCONT)

    async def stop(self, number):
        """Ends the process, at last by force, and starts it again."""
        self.send(signal.SIGCONT)
        self.send(number)
        if self.ending:
            return  # An earlier fault ends it and starts it again, once.
        self.ending = True
        for _ in range(int((GRACE_S + LATE_S) / 0.05)):
            if self.child.poll() is not None:
                break
            await asyncio.sleep(0.05)
        else:
            self.soak.broken("stop", f"{self.name} still runs after its grace")
        self.kill()
        await asyncio.sleep(self.soak.noise.uniform(0, 0.5))
        self.ending = False
        if not self.ended:
            self.start()

    def kill(self):
        if self.child.poll() is None:
            self.child.kill()
        self.child.wait()
