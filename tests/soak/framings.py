"""How the stand-ins mark the ends of their answers, and where they break them off."""

import random
import socket
import struct

UNFRAMED_SHARE = 0.2
BREAK_SHARE = 0.002  # Of events: as often as an engine resets a stream.


class Framings:
    """Draws framings by seed; apart from the dice of the faults, so that kept seeds
    keep their faults."""

    def __init__(self, seed, breaks=True, only_connections=False):
        self.dice = random.Random(f"framings {seed}")
        self.breaks, self.only_connections = breaks, only_connections

    def ends_with_connection(self):
        """Whether an answer that is no stream has neither a length nor chunks."""
        return self.dice.random() < UNFRAMED_SHARE

    def of_stream(self):
        if self.only_connections:
            return "connection"
        return self.dice.choice(["chunks", "chunks", "connection", "connection", "length"])

    def ends_in_order(self):
        """Whether a connection that breaks off is closed instead of reset."""
        return self.dice.random() < 0.5

    def breaks_inside(self):
        """Whether the connection ends in order inside the next event."""
        return self.breaks and self.dice.random() < BREAK_SHARE


def reset(writer):
    """Resets a connection; asyncio alone would close it in order."""
    try:
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except OSError:
        pass  # It is closed already.
    writer.transport.abort()


def without_length(answer):
    """An answer that ends with its connection."""
    head, _, body = answer.partition(b"\r\n\r\n")
    lines = [line for line in head.split(b"\r\n") if not line.startswith(b"Content-Length:")]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def begin_of_stream(framing, size):
    """The header that marks the end of a stream of this size, if there is one."""
    if framing == "chunks":
        return ["Transfer-Encoding: chunked"]
    return [f"Content-Length: {size}"] if framing == "length" else []


def part_of_stream(framing, part):
    return f"{len(part):x}\r\n".encode() + part + b"\r\n" if framing == "chunks" else part
