"""A small stand-in of the users' platform for the cases 6 to 10: its store, plain
workers, requesters, and the start of the project's processes with the commands and
templates of the deploy file. Everything is on loopback addresses."""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import time
import tomllib
import traceback
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent

STATUS_PORT = 9464  # It is fixed in the templates of the deploy file.

# A case that is stopped ends the processes that it started.
signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))


def free_port(*hosts):
    """A port below the range that the kernel gives out, free on all these addresses."""
    while True:
        port = random.SystemRandom().randrange(10000, 30000)
        try:
            for host in hosts:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(type=kind) as one:
                        one.bind((host, port))
            return port
        except OSError:
            continue


def free_host():
    """A loopback address on which the status port of the templates is free."""
    while True:
        host = f"127.86.{random.SystemRandom().randrange(1, 255)}.{random.SystemRandom().randrange(1, 255)}"
        try:
            with socket.socket() as one:
                one.bind((host, STATUS_PORT))
            return host
        except OSError:
            continue


class Record:
    """Collects what was sent, answered and run."""

    def __init__(self, folder):
        self.path = pathlib.Path(folder) / "record.txt"
        self.began = time.monotonic()
        self.lines = []

    def add(self, text):
        self.lines.append(f"{time.monotonic() - self.began:9.3f} s  {text}")

    def write(self):
        self.path.write_text("\n".join(self.lines) + "\n")


async def read_head(reader):
    """One head: (first line, headers in lower case), or nothing at the end."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *rest = text.split("\r\n")
    headers = {}
    for line in rest:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.lower()] = value.strip()
    return first, headers


def answer(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} X", *headers, f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Server:
    """Serves one loopback address."""

    def __init__(self, host, port=0):
        self.host, self.port = host, port
        self.writers = set()

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, self.host, self.port)
        self.port = self.listener.sockets[0].getsockname()[1]

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while head := await read_head(reader):
                if not await self.handle(head[0], head[1], reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store(Server):
    """The platform's metadata store: keys with revisions, ranges and watches."""

    def __init__(self, host):
        super().__init__(host)
        self.revision = 1
        self.items = {}
        self.history = []
        self.leases = 0
        self.changed = asyncio.Condition()

    async def put(self, key, value):
        self.set(key, json.dumps(value).encode())
        async with self.changed:
            self.changed.notify_all()

    def set(self, key, value):
        self.revision += 1
        created = self.items.get(key, {"created": self.revision})["created"]
        self.items[key] = {"keyFile": key, "payload": base64.b64encode(value).decode(),
                           "revision": self.revision, "created": created, "leaseId": 0}
        self.history.append(self.items[key])

    async def handle(self, first, headers, reader, writer):
        method, target, _ = first.split(" ", 2)
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        parts = urllib.parse.urlsplit(target)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(parts.query).items()}
        status, value = await self.answer_of(method, parts.path, query, body)
        writer.write(answer(status, json.dumps(value).encode(),
                            ["Content-Type: application/json"]))
        await writer.drain()
        return True

    async def answer_of(self, method, path, query, body):
        prefix = query.get("pathPrefix", "")
        if path == "/kv-range":
            after = query.get("after", "")
            keys = sorted(k for k in self.items if k > after and k.startswith(prefix))
            return 200, {"entries": [self.items[k] for k in keys[:500]],
                         "hasMore": len(keys) > 500, "timestamp": self.revision}
        if path == "/kv-key":
            item = self.items.get(query.get("keyFile", ""))
            return (404, {}) if item is None else (200, {**item, "timestamp": self.revision})
        if path == "/kv-watch":
            after = int(query["after"])
            end = time.monotonic() + int(query["waitMs"]) / 1000
            while True:
                events = [one for one in self.history
                          if one["revision"] > after and one["keyFile"].startswith(prefix)]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "timestamp": self.revision}
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
        if path == "/kv-lease":
            self.leases += 1
            return 200, {"leaseId": self.leases, "ttlMs": json.loads(body)["ttlMs"]}
        if path == "/kv-txn":
            asked = json.loads(body)
            for one in asked.get("expectedRevision", []):
                held = self.items.get(one["keyFile"], {"revision": 0})
                if held["revision"] != one["revision"]:
                    return 412, {"entries": [held]}
            for one in asked.get("write", []):
                self.set(one["keyFile"], base64.b64decode(one["payload"]))
            for key in asked.get("remove", []):
                if self.items.pop(key, None):
                    self.revision += 1
                    self.history.append({"keyFile": key, "revision": self.revision,
                                         "compacted": True})
            async with self.changed:
                self.changed.notify_all()
            return 200, {"revision": self.revision}
        if path.startswith("/kv-keep/"):
            return 200, {"ttlMs": 10000}
        return 404, {}


def deploy():
    return tomllib.loads((ROOT / "deploy/system.toml").read_text())


def fill(template, fields):
    """Fills a template of settings as the platform does (the forms that the project uses)."""
    def section(found):
        table = fields[found.group(1)]
        return "".join(found.group(2).replace("{{@}}", key).replace("{{.}}", value)
                       for key, value in table.items())

    text = re.sub(r"{{#(\w+)}}(.*?){{/\1}}", section, template, flags=re.S)
    return re.sub(r"{{([\w.]+)}}", lambda found: str(fields.get(found.group(1), "")), text)


class Daemon:
    """One process of the project, started with the command of the deploy file."""

    def __init__(self, folder, role, fields):
        self.role = deploy()["roles"][role]
        self.folder = folder
        self.path = pathlib.Path(folder) / f"{fields['nodeName']}.conf"
        self.path.write_text(fill((ROOT / self.role["template"]).read_text(), fields))
        self.log = open(pathlib.Path(folder) / f"{fields['nodeName']}.log", "ab")
        self.child = None

    def start(self):
        self.child = subprocess.Popen(
            self.role["run"].split(" "), cwd=ROOT, stdin=subprocess.DEVNULL,
            stdout=self.log, stderr=self.log,
            env={"PATH": os.environ["PATH"], "HOME": self.folder,
                 "COURSEJUNCTION_SETTINGS": str(self.path)})

    def running(self):
        return self.child is not None and self.child.poll() is None

    def memory_mb(self):
        """Resident memory, in MB."""
        try:
            pages = int(pathlib.Path(f"/proc/{self.child.pid}/statm").read_text().split()[1])
        except (OSError, IndexError):
            return 0.0
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6

    def kill(self):
        if self.running():
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
        if self.child is not None:
            self.child.wait()


def entry_fields(name, host, ports, store, zones, seeds="", grace=8):
    """The fields that the entry's template uses."""
    return {"nodeName": name, "ip": host, "zone": next(iter(zones)),
            "region": zones[next(iter(zones))], "zones": zones,
            "portRange": f"{ports['peer']},{ports['peer']}",
            "seedNodes": seeds or f"{host}:{ports['frontend']}",
            "listen.frontend": f"{host}:{ports['frontend']}",
            "listen.readiness": f"{host}:{ports['readiness']}",
            "platform.address": store, "bounds.version_ms": 8000, "bounds.graceS": grace}


def run_case(main):
    """Runs a case and ends this process with its exit code: 1 if the rule was broken, 0 if
    it held, 2 if the case could not run, which an exception means as well."""
    try:
        code = asyncio.run(main())
    except Exception:
        traceback.print_exc()
        code = 2
    sys.exit(code if code in (0, 1) else 2)


async def wait_ready(address, limit=20.0):
    host, port = address.split(":")
    end = time.monotonic() + limit
    while time.monotonic() < end:
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(f"GET /readyz HTTP/1.1\r\nHost: {address}\r\n\r\n".encode())
            head = await asyncio.wait_for(read_head(reader), 2)
            writer.close()
            if head and head[0].split(" ")[1] == "200":
                return True
        except (OSError, asyncio.TimeoutError):
            pass
        await asyncio.sleep(0.1)
    return False
