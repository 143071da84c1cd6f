"""What lies between the processes and the stand-ins: proxies that spoil what
passes, and the links between halls that several proxies share."""

import asyncio
import functools

from framings import reset


class PacedLink:
    """One way of a hall's link. All that passes waits in one queue, so that a full
    link delays small messages as well, and bytes for a caller that left still pass."""

    QUEUE_S = 0.25  # What the queue holds; who finds it full waits before it.

    def __init__(self, rate):
        self.rate, self.free, self.carried = rate, 0.0, 0
        self.door = asyncio.Lock()

    async def enter(self, size):
        """Returns when these bytes are through."""
        loop = asyncio.get_running_loop()
        async with self.door:
            while (ahead := self.free - loop.time() - self.QUEUE_S) > 0:
                await asyncio.sleep(ahead)
            self.free = max(self.free, loop.time()) + size / self.rate
            self.carried += size
            return self.free


class HallLink:
    """The link between a hall and the store's, each way with a queue of its own.

    Calls between processes pass beside it: they reach each other by their own
    loopback addresses and one port, where no proxy can stand between. So a process
    behind a full link still hears of changes by its peers, which a real hall may
    not; a run without any process in the store's hall is where listings show."""

    def __init__(self, rate):
        self.ways = {"out": PacedLink(rate), "back": PacedLink(rate)}

    def carried(self):
        return sum(one.carried for one in self.ways.values())


class Proxy:
    """Stands before one address and spoils what passes."""

    PART = 65536
    PACED_PART = 16384

    def __init__(self, host, target, link=None):
        self.host, self.target, self.link = host, target, link
        self.fault, self.open = "none", set()
        self.ending = asyncio.Lock()

    async def start(self):
        self.listener = await asyncio.start_server(self.accept, self.host, 0)
        self.port = self.listener.sockets[0].getsockname()[1]

    def address(self):
        return f"{self.host}:{self.port}"

    def reset_all(self):
        for writer in list(self.open):
            reset(writer)

    async def end_as_killed(self, length):
        """As if the process behind it were killed: the port refuses for a while, and
        open connections end in order."""
        async with self.ending:
            self.listener.close()
            for writer in list(self.open):
                writer.close()
            await asyncio.sleep(length)
            self.listener = await asyncio.start_server(self.accept, self.host, self.port)

    async def accept(self, reader, writer):
        host, port = self.target().split(":")
        try:
            behind, to = await asyncio.open_connection(host, int(port))
        except OSError:
            reset(writer)
            return
        self.open |= {writer, to}
        await asyncio.gather(self.copy(reader, to, "out"), self.copy(behind, writer, "back"))
        self.open -= {writer, to}

    async def copy(self, reader, writer, way):
        through, end = 0.0, writer.close
        try:
            while data := await reader.read(self.PACED_PART if self.link else self.PART):
                while self.fault == "silent" or self.fault == f"cut_{way}":
                    await asyncio.sleep(0.05)
                if self.fault == "delay":
                    await asyncio.sleep(0.08)
                if self.link:
                    through = await self.link.ways[way].enter(len(data))
                self.at(through, self.write, writer, data)
                await writer.drain()
        except ConnectionError:
            end = functools.partial(reset, writer)  # A link does not turn a reset into an end.
        finally:
            self.at(through, end)

    def at(self, when, act, *what):
        if self.link:
            asyncio.get_running_loop().call_at(when, act, *what)
        else:
            act(*what)

    @staticmethod
    def write(writer, data):
        if not writer.is_closing():
            writer.write(data)
