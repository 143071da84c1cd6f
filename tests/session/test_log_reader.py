"""A process whose logs nobody reads goes on and stops as planned."""

import os
import signal
import socket
import subprocess
import tempfile
import unittest

import support  # noqa: F401  (puts bench/ on the path)
import lab


SETTINGS = """[instance]
id=entry-1
role=entry
address=127.0.0.1
hall=h
region=r
[peers]
ports={ports}
[callers]
address=127.0.0.1:0
ready_address=127.0.0.1:0
[store]
address=127.0.0.1:1
[bounds]
stop_grace=1s
"""


def free_port():
    """A port that was free a moment ago, for TCP and UDP alike."""
    with socket.socket() as one:
        one.bind(("127.0.0.1", 0))
        return one.getsockname()[1]


class LogReader(unittest.TestCase):
    def test_nobody_reads(self):
        with tempfile.NamedTemporaryFile("w", suffix=".ini") as file:
            file.write(SETTINGS.format(ports=free_port()))
            file.flush()
            read, write = os.pipe()
            child = subprocess.Popen(
                [lab.binary("coursejunctiond"), "--platform", file.name],
                stdout=write,
                stderr=subprocess.DEVNULL,
                stdin=subprocess.DEVNULL,
            )
            os.close(write)
            try:
                seen = b""
                while b"started" not in seen:
                    part = os.read(read, 4096)
                    self.assertTrue(part, "the daemon ended")
                    seen += part
                # From here on nobody reads any more.
                # Fill the pipe, so that every further line finds it full.
                filler = os.open(f"/proc/self/fd/{read}", os.O_WRONLY | os.O_NONBLOCK)
                try:
                    while True:
                        os.write(filler, b"x" * 4096)
                except BlockingIOError:
                    pass
                os.close(filler)
                child.send_signal(signal.SIGHUP)
                child.send_signal(signal.SIGTERM)
                self.assertEqual(child.wait(timeout=30), 0)
            finally:
                child.kill()
                child.wait()
                os.close(read)


if __name__ == "__main__":
    unittest.main()
