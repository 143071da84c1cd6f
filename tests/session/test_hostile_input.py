"""Hostile bytes are refused, memory stays bounded, the process lives."""

import os
import pathlib
import socket
import struct
import unittest

from support import LabCase, call, wait_for


def resident_kib(pid):
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1])
    return 0


def prefix(version=1, kind=1, key=1, flags=0, head=0, payload=0, sequence=0):
    return b"CJ" + struct.pack("<BBBBHIIQ", version, kind, key, flags, 0, head, payload, sequence)


class HostileInput(LabCase):
    def send(self, port, data):
        """Sends bytes and reads until the other end closes."""
        link = socket.create_connection(("127.0.0.1", port))
        link.settimeout(30)
        try:
            link.sendall(data)
            while link.recv(4096):
                pass
        except ConnectionError:
            pass
        finally:
            link.close()

    def test_frames(self):
        entry = self.lab.start_entry("entry-1", "north")
        port = entry.ready["peer_port"]
        before = resident_kib(entry.pid)
        for data in (
            b"GET / HTTP/1.1\r\n\r\n" * 10,
            prefix(version=9) + b"x" * 100,
            prefix(head=0x7fffffff, payload=0x7fffffff),
            prefix(kind=77),
            prefix(key=8, head=4) + b"abcd" + bytes(16),
            prefix(head=4) + b"abcd" + bytes(16),
            os.urandom(5000),
        ):
            self.send(port, data)
        # Half a frame, and then nothing: closed after the handshake's limit.
        self.send(port, prefix(head=1000)[:20])
        link = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        for size in (0, 1, 24, 100, 1400):
            link.sendto(os.urandom(size), ("127.0.0.1", port))
        link.close()
        wait_for("datagrams refused", lambda: b"datagrams_refused_total" in call("GET", entry.url + "/metrics")[2])
        self.assertTrue(entry.running())
        self.assertGreater(self.lab.dump(entry)["traffic"]["frames_refused"], 3)
        self.assertLess(resident_kib(entry.pid) - before, 20_000)

    def test_http(self):
        entry = self.lab.start_entry("entry-1", "north")
        before = resident_kib(entry.pid)
        for data in (
            b"POST /v1/completions HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n",
            b"GET /" + b"a" * 3_000_000 + b" HTTP/1.1\r\n\r\n",
            b"GET / HTTP/1.1\r\n" + b"X: y\r\n" * 400_000 + b"\r\n",
        ):
            link = socket.create_connection(("127.0.0.1", entry.port))
            link.settimeout(2)
            try:
                link.sendall(data)
                link.recv(4096)
            except OSError:
                pass
            link.close()
        halves = []
        for _ in range(100):
            link = socket.create_connection(("127.0.0.1", entry.port))
            link.sendall(b"GET /dump HTTP/1.1\r\nHos")
            halves.append(link)
        self.assertEqual(call("GET", entry.url + "/metrics")[0], 200)
        for link in halves:
            link.close()
        self.assertTrue(entry.running())
        self.assertLess(resident_kib(entry.pid) - before, 40_000)


if __name__ == "__main__":
    unittest.main()
