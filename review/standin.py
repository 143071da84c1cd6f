"""Stand-ins of the platform for the cases of this review, written from the users' pages:
the metadata store, the origin of weights, model workers, plain workers and requesters. All of
them run in one process on loopback addresses; the project's daemons run as processes."""

import asyncio
import base64
import hashlib
import json
import os
import pathlib
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
DAEMON = ROOT / "target" / "bin" / "coursejunctiond"  # `run` of deploy/system.toml
MODEL = "daka510000"
BLOCKS = 64
BLOCK_BYTES = 32768
LAYERS = 16
KEY = "jnbanfqasnmgkcuyj8pj"
LLM, PLAIN, WEIGHTS = "assistant-llm", "frontdesk-app", "billing-app"


def now():
    return time.monotonic()


def piece_of(version, index):
    return hashlib.sha256(f"{version}/{index}".encode()).digest() * (BLOCK_BYTES // 32)


def reset(writer):
    """Resets a connection; a plain close would end it in order."""
    try:
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except OSError:
        pass
    writer.transport.abort()


async def read_message(reader):
    """Returns (first line, headers, body) of a message, or nothing at the end."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        headers = {}
        for line in head[1:]:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        return head[0], headers, body
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None


def answer(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} X", *headers, f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def json_answer(status, value):
    return answer(status, json.dumps(value).encode(), ["Content-Type: application/json"])


class Record:
    """Writes record.txt: what was sent, answered and run, with seconds from the start."""

    def __init__(self, folder):
        self.began = now()
        self.file = open(pathlib.Path(folder) / "record.txt", "w")

    def line(self, text):
        self.file.write(f"{now() - self.began:8.3f} s  {text}\n")
        self.file.flush()


class Server:
    """Serves HTTP/1.1 at one address."""

    def __init__(self, host, port=0):
        self.host, self.port = host, port
        self.writers = set()
        self.listener = None

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, self.host, self.port, limit=1 << 20)
        self.port = self.listener.sockets[0].getsockname()[1]

    def address(self):
        return f"{self.host}:{self.port}"

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while message := await read_message(reader):
                first, headers, body = message
                method, target, _ = first.split(" ", 2)
                made = await self.handle(method, target, headers, body, writer)
                if made is None:
                    return
                writer.write(made)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store(Server):
    """The platform's store: ranges, watches, conditional transactions and leases."""

    def __init__(self, host):
        super().__init__(host)
        self.revision = 1
        self.items, self.history = {}, []
        self.changed = asyncio.Condition()
        self.leases = 0

    async def put(self, key, value):
        """The operator's or a worker's write; returns when it is acknowledged."""
        self.set_item(key, json.dumps(value).encode(), 0)
        await self.tell()

    async def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.history.append({"keyFile": key, "revision": self.revision, "compacted": True})
            await self.tell()

    def set_item(self, key, payload, lease):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {"keyFile": key, "payload": base64.b64encode(payload).decode(),
                           "revision": self.revision, "created": created, "leaseId": lease}
        self.history.append(self.items[key])

    async def tell(self):
        async with self.changed:
            self.changed.notify_all()

    async def handle(self, method, target, headers, body, writer):
        await asyncio.sleep(0.004)
        parts = urllib.parse.urlsplit(target)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(parts.query).items()}
        if parts.path == "/kv-range":
            prefix, after = query.get("pathPrefix", ""), query.get("after", "")
            keys = sorted(k for k in self.items if k > after and k.startswith(prefix))
            return json_answer(200, {"entries": [self.items[k] for k in keys[:400]],
                                     "hasMore": len(keys) > 400, "timestamp": self.revision})
        if parts.path == "/kv-watch":
            return await self.watch(int(query["after"]), int(query["waitMs"]))
        if parts.path == "/kv-lease" and method == "POST":
            self.leases += 1
            return json_answer(200, {"leaseId": self.leases, "ttlMs": json.loads(body)["ttlMs"]})
        if parts.path == "/kv-txn" and method == "POST":
            return await self.transact(json.loads(body))
        return answer(404)

    async def watch(self, after, wait_ms):
        deadline = now() + wait_ms / 1000
        while True:
            events = [one for one in self.history if one["revision"] > after]
            left = deadline - now()
            if events or left <= 0:
                return json_answer(200, {"events": events, "timestamp": self.revision})
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def transact(self, asked):
        keys = [one["keyFile"] for one in asked["write"]] + asked["remove"]
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return answer(403)
        for one in asked["expectedRevision"]:
            held = self.items.get(one["keyFile"], {"keyFile": one["keyFile"], "revision": 0})
            if held["revision"] != one["revision"]:
                return json_answer(412, {"entries": [held]})
        for one in asked["write"]:
            self.set_item(one["keyFile"], base64.b64decode(one["payload"]), one["leaseId"])
        for key in asked["remove"]:
            if self.items.pop(key, None):
                self.revision += 1
                self.history.append({"keyFile": key, "revision": self.revision, "compacted": True})
        await self.tell()
        return json_answer(200, {"revision": self.revision})


class Origin(Server):
    """Provides the manifests and the pieces of every version named so far."""

    LINK_BYTES_PER_S = 9.9e6 / 8

    def __init__(self, host):
        super().__init__(host)
        self.newest, self.link_free = 1, 0.0

    async def stop(self):
        """Ends as a crash does: its address refuses, open connections are reset."""
        self.listener.close()
        for writer in list(self.writers):
            reset(writer)

    async def handle(self, method, target, headers, body, writer):
        made = self.answered(target)
        self.link_free = max(self.link_free, now()) + len(made) / self.LINK_BYTES_PER_S
        await asyncio.sleep(max(0.0, self.link_free - now()))
        return made

    def answered(self, target):
        parts = urllib.parse.urlsplit(target)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(parts.query).items()}
        version = int(query.get("version", self.newest))
        if version > self.newest:
            return answer(404)
        if version <= self.newest - 2:
            return answer(410)
        if parts.path == f"/manifest/{MODEL}":
            hashes = [hashlib.sha256(piece_of(version, at)).hexdigest() for at in range(BLOCKS)]
            return json_answer(200, {"modelId": MODEL, "version": version, "layers": LAYERS,
                                     "blockBytes": BLOCK_BYTES, "hashes": hashes})
        if parts.path == f"/piece/{MODEL}":
            return answer(200, piece_of(version, int(query["sampleCount"])))
        return answer(404)


class Engine(Server):
    """A model worker. It takes at a `start` what lies staged then, unchecked, and notes which
    pieces were missing, spoilt or of another version (rule WHOLE: not those that turned bad in
    the last 3 s)."""

    EVENTS, EVENT_S, WARMUP_S = 24, 0.06, 0.3
    TURNED_BAD_S = 3.0

    def __init__(self, host, ident, zone, record):
        super().__init__(host)
        self.id, self.zone, self.record = ident, zone, record
        self.version, self.loading, self.sequence, self.running = 1, False, 0, 0
        self.staged, self.bad_since = {}, {}
        self.read_back = {}  # Piece: when it was last read from the staging area.
        self.streams, self.faulty_layers = set(), []
        self.tokens_of_faulty = []  # Requests that got a token from such layers.
        self.begun = []  # (time, request, version) of each that it began to run.

    def entry(self, sequence=1):
        return {"service": LLM, "address": self.address(), "zone": self.zone, "version": "v1",
                "slots": 16, "state": "ready", "coldRemainingMs": 0, "sequence": sequence,
                "phase": "colocated", "modelList": self.models()}

    def models(self):
        return [{"name": MODEL, "version": self.version, "loras": []}] if self.version else []

    def turn_bad(self, count):
        """Some of the pieces that lie here turn bad."""
        for at in random.sample(sorted(self.staged), count):
            self.staged[at] = bytes([self.staged[at][0] ^ 255]) + self.staged[at][1:]
            self.bad_since.setdefault(at, now())
            self.record.line(f"worker {self.id}: piece {at} that lies there turns bad")

    async def handle(self, method, target, headers, body, writer):
        parts = urllib.parse.urlsplit(target)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(parts.query).items()}
        at = int(query["sampleCount"]) if "sampleCount" in query else None
        if parts.path == "/report":
            layers = [{"source": 0, "targetVersion": LAYERS, "version": self.version}]
            return json_answer(200, {
                "phase": "colocated", "modelList": self.models(), "utilization": self.loading,
                "layers": layers if self.version else [], "sequence": self.sequence, "queued": 0,
                "active": self.running, "kvInUse": 1000 * self.running, "kvSize": 1640000,
                "sessions": 0, "pace": 1.0})
        # On loopback the machine that calls can't be told, so all calls count as local ones.
        if parts.path == f"/stage-put/{MODEL}":
            self.staged[at] = body
            self.bad_since.pop(at, None)
            self.read_back.pop(at, None)
            return answer(200)
        if parts.path == f"/stage-get/{MODEL}":
            if at is None:
                return json_answer(200, {"held": sorted(self.staged)})
            if at not in self.staged:
                return answer(404)
            self.read_back[at] = now()
            return answer(200, self.staged[at])
        if parts.path == "/order":
            return self.order(json.loads(body))
        if method == "GET" and parts.path == "/healthz":
            return answer(200, b"", [f"X-Coursejunction-Instance-Id: {self.id}"])
        return await self.stream(headers, writer)

    def order(self, wanted):
        if wanted.get("operation") != "start":
            return answer(400)
        if wanted.get("expectedRevision", self.sequence) != self.sequence or self.loading:
            return answer(409)
        if self.version == wanted["version"]:
            return answer(200)
        self.sequence += 1
        faulty = []
        for at in range(BLOCKS):
            if self.staged.get(at) == piece_of(wanted["version"], at):
                continue
            bad_for = now() - self.bad_since[at] if at in self.bad_since else None
            if bad_for is None or bad_for > self.TURNED_BAD_S:
                faulty.append(at)
                why = "missing or of another version" if bad_for is None else f"spoilt for {bad_for:.3f} s"
                self.record.line(f"worker {self.id}: the layer of piece {at} is taken while it is {why}")
        self.record.line(f"worker {self.id} takes the order to start version {wanted['version']} "
                         f"({wanted['method']}), {len(faulty)} pieces wrong")
        self.loading, self.version = True, 0
        for writer in list(self.streams) if wanted["method"] == "truncate" else []:
            reset(writer)
        asyncio.get_running_loop().create_task(self.load(wanted["version"], faulty))
        return answer(202)

    async def load(self, version, faulty):
        await asyncio.sleep(self.WARMUP_S)
        self.version, self.faulty_layers, self.loading = version, faulty, False
        self.record.line(f"worker {self.id} holds version {version}")

    async def stream(self, headers, writer):
        asked = headers.get("x-coursejunction-attempt-id", "")
        signed = [f"X-Coursejunction-Attempt-Id: {asked}"]
        expected = headers.get("x-coursejunction-expect-version", str(self.version))
        if not asked:
            return answer(400, b"", ["X-Coursejunction-Not-Executed: 1"])
        if (headers.get("x-coursejunction-expect-instance", self.id) != self.id
                or not self.version or expected != str(self.version)):
            return answer(421, b"", signed + [f"X-Coursejunction-Instance-Id: {self.id}"])
        if self.running >= 16:
            return answer(503, b"", signed + ["X-Coursejunction-Not-Executed: 1"])
        version, first = self.version, int(headers.get("last-event-id", "0")) + 1
        self.running += 1
        self.streams.add(writer)
        self.begun.append((now(), asked, version))
        self.record.line(f"worker {self.id} runs {asked} on version {version}")
        try:
            writer.write("\r\n".join([
                "HTTP/1.1 200 OK", *signed, f"X-Coursejunction-Server-Signature: {self.id}.{asked}",
                f"X-Coursejunction-Weight-Versions: {version}", "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked", "", ""]).encode())
            for at in range(first, self.EVENTS + 1):
                await asyncio.sleep(self.EVENT_S)
                if self.faulty_layers:
                    self.tokens_of_faulty.append(asked)
                event = f"id: {at}\ndata: {asked} {at}\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
            return b"0\r\n\r\n"
        finally:
            self.running -= 1
            self.streams.discard(writer)


class Plain(Server):
    """A worker of a plain service; notes each run of a request."""

    WORK_S = 0.015

    def __init__(self, host, ident, zone, record):
        super().__init__(host)
        self.id, self.zone, self.record = ident, zone, record
        self.runs, self.arrivals = [], []  # (time, request)

    def entry(self, sequence=1):
        return {"service": PLAIN, "address": self.address(), "zone": self.zone, "version": "v1",
                "slots": 6, "state": "ready", "coldRemainingMs": 0, "sequence": sequence}

    async def handle(self, method, target, headers, body, writer):
        if method == "GET" and target == "/healthz":
            return answer(200, b"", [f"X-Coursejunction-Instance-Id: {self.id}"])
        asked = headers.get("x-coursejunction-attempt-id", "")
        if not asked:
            return answer(400, b"", ["X-Coursejunction-Not-Executed: 1"])
        signed = [f"X-Coursejunction-Attempt-Id: {asked}"]
        if headers.get("x-coursejunction-expect-instance", self.id) != self.id:
            return answer(421, b"", signed + [f"X-Coursejunction-Instance-Id: {self.id}"])
        self.arrivals.append((now(), asked))
        self.runs.append((now(), asked))
        self.record.line(f"worker {self.id} runs {asked}")
        await asyncio.sleep(self.WORK_S)
        return answer(200, asked.encode(), signed + [
            f"X-Coursejunction-Server-Signature: {self.id}.{asked}"])

    async def end(self):
        """Ends as planned, after it has served on."""
        self.listener.close()
        for writer in list(self.writers):
            writer.close()
        self.record.line(f"worker {self.id} ends")


def settings_of_machine(deployment, name, role, host, zone):
    """The settings file of a machine, as the templates in deploy/ are filled in."""
    lines = [
        "[instance]", f"id={name}", f"role={role}", f"address={host}", f"hall={zone}",
        f"region={deployment.regions[zone]}", "[halls]",
        *[f"{hall}={region}" for hall, region in deployment.regions.items()],
        "[peers]", f"ports={deployment.peer_port},{deployment.peer_port}",
        "seeds=" + ",".join(f"{one}:{deployment.peer_port}" for one in deployment.seeds),
        "[store]", f"address={deployment.store_address(name)}",
        "[bounds]", "version_time=8000ms", "stop_grace=8s",
        "[status]", f"port={deployment.status_port}", "[log]", "level=info"]
    return lines


class Machine:
    """A machine of the system: one process of the daemon."""

    def __init__(self, deployment, name, role, host, zone, more):
        self.deployment, self.name, self.host, self.zone = deployment, name, host, zone
        self.path = deployment.folder / f"{name}.ini"
        self.path.write_text("\n".join(
            settings_of_machine(deployment, name, role, host, zone) + more) + "\n")
        self.log = open(deployment.folder / f"{name}.log", "ab")
        self.child = None
        self.calm_since = now()  # The last start or signal of the test.

    def start(self):
        self.calm_since = now()
        self.child = subprocess.Popen(
            [str(DAEMON), "--platform"], cwd=ROOT, stdout=self.log, stderr=self.log,
            env={"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"),
                 "COURSEJUNCTION_SETTINGS": str(self.path)})

    def kill(self):
        """The process is killed; the platform starts it again."""
        self.calm_since = now()
        self.child.kill()
        self.child.wait()

    async def stop(self, grace_s=8.0):
        """Planned stop: SIGTERM, and SIGKILL after `graceS`."""
        self.signal(signal.SIGTERM)
        end = now() + grace_s
        while self.child.poll() is None and now() < end:
            await asyncio.sleep(0.02)
        self.kill()

    def signal(self, number):
        self.calm_since = now()
        if self.child and self.child.poll() is None:
            self.child.send_signal(number)

    def end(self):
        if self.child and self.child.poll() is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
        if self.child:
            self.child.wait()

    def text(self):
        return (self.deployment.folder / f"{self.name}.log").read_text(errors="replace")


def free_port(hosts):
    """A port that is free for TCP and UDP at all these hosts."""
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


class Deployment:
    """The stand-ins and the processes of one small deployment."""

    def __init__(self, case_folder, regions):
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self.temporary.name)
        self.record = Record(case_folder)
        self.regions = regions
        self.net = random.SystemRandom().randrange(16, 250)
        self.store, self.origin = Store("127.0.0.1"), Origin("127.0.0.1")
        self.store_proxies = {}
        self.machines, self.seeds = [], []

    def host(self, number):
        return f"127.{self.net}.0.{number}"

    def store_address(self, name):
        return self.store_proxies.get(name, self.store).address()

    def draw_ports(self, hosts):
        self.peer_port = free_port(hosts)
        self.status_port = free_port(hosts)
        self.caller_port = free_port(hosts)
        self.ready_port = free_port(hosts)

    def add_entry(self, name, host, zone):
        one = Machine(self, name, "entry", host, zone, [
            "[callers]", f"address={host}:{self.caller_port}",
            f"ready_address={host}:{self.ready_port}"])
        self.machines.append(one)
        return one

    def add_side(self, name, engine, zone):
        one = Machine(self, name, "side", engine.host, zone, [
            "[upstream]", f"address={engine.address()}", "[link]", "rate=7.6Mbit/s"])
        self.machines.append(one)
        return one

    def manifest(self, version=1):
        """The operator's configuration: the kinds of request of the site's sheet."""
        return {
            "version": version,
            "routes": [
                {"name": "desk-answer", "hostname": "jepu9.example", "pathPrefix": "/lepu270/",
                 "type": "streaming", "resumable": True, "service": LLM, "timeoutMs": 6000,
                 "targetLatencyMs": 400, "targetItlMs": 300, "maxAttempts": 2, "priority": 1,
                 "sticky": False, "public": False},
                {"name": "door-checkin", "hostname": "voka93.example", "pathPrefix": "/filo73/",
                 "type": "non_idempotent", "service": PLAIN, "timeoutMs": 1000,
                 "targetLatencyMs": 100, "maxAttempts": 1, "priority": 2, "public": False},
                {"name": "pay-confirm", "hostname": "hulo84.example", "pathPrefix": "/boye614/",
                 "type": "idempotent", "service": PLAIN, "timeoutMs": 1000,
                 "targetLatencyMs": 100, "maxAttempts": 2, "priority": 2, "public": False}],
            "services": [
                {"name": LLM, "maxConnections": 434, "healthPath": "/healthz",
                 "backend": {"slots": 16, "step_ms": 6.73, "per_seq_ms": 0.0219,
                             "context_per_k": 0.0068, "read_per_s": 30600.0, "pairs_per_m": 0.647,
                             "chunk": 2048, "stride": 6, "kvCapacity": 1640000,
                             "usual": {"prompt": 607, "answer": 70}, "layers": LAYERS,
                             "blocks": BLOCKS, "blockBytes": BLOCK_BYTES,
                             "modelList": [{"name": MODEL, "warmupS": Engine.WARMUP_S}]}},
                {"name": PLAIN, "maxConnections": 110, "healthPath": "/healthz"},
                {"name": WEIGHTS, "maxConnections": 48, "origin": self.origin.address(),
                 "zone": list(self.regions)[0], "linkMbps": 9.9}],
            "tenants": [{"name": "bozi300", "apiKeys": [KEY], "priority": 0}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576,
                       "headerTimeoutMs": 5000, "idleTimeoutMs": 20000}}

    async def ready(self, machines, limit_s=20.0):
        """Waits until entries answer the platform's readiness check."""
        end = now() + limit_s
        for one in machines:
            while True:
                if one.child.poll() is not None or now() > end:
                    raise CannotRun(f"{one.name} isn't ready")
                try:
                    reader, writer = await asyncio.open_connection(one.host, self.ready_port)
                    writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2)
                    writer.close()
                    if b" 200 " in head.split(b"\r\n")[0]:
                        break
                except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                    pass
                await asyncio.sleep(0.1)

    def end(self):
        for one in self.machines:
            one.end()
        if os.environ.get("KEEP_LOGS"):
            for one in self.machines:
                pathlib.Path(os.environ["KEEP_LOGS"], f"{one.name}.log").write_text(one.text())
        self.temporary.cleanup()


class CannotRun(Exception):
    """The case could not be played."""


class Requester:
    """Sends requests to one entry and reads their answers."""

    def __init__(self, deployment, entry):
        self.deployment, self.entry = deployment, entry
        self.number = 0

    async def ask_stream(self, asked):
        """One stream on a new connection; returns its status (0: cut) and its event ids."""
        record = self.deployment.record
        record.line(f"requester sends {asked} to {self.entry.name}")
        status, ids, whole = 0, [], False
        try:
            reader, writer = await asyncio.open_connection(
                self.entry.host, self.deployment.caller_port, limit=1 << 20)
        except OSError:
            record.line(f"requester: {asked}: {self.entry.name} takes no connection")
            return 0, []
        try:
            body = b"hello"
            writer.write("\r\n".join([
                "POST /lepu270/2f HTTP/1.1", "Host: jepu9.example",
                f"X-Coursejunction-Attempt-Id: {asked}", f"X-Coursejunction-Model: {MODEL}",
                "X-Coursejunction-Token-Usage: 600,140",
                f"X-Coursejunction-Prefix-Hash: 5c1e07a2:40,{asked[:8]}:560",
                "X-Coursejunction-Deadline-Ms: 6000", f"Authorization: Token {KEY}",
                f"Content-Length: {len(body)}", "Connection: close", "", ""]).encode() + body)
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 7)
            status = int(head.split(b" ")[1])
            text = await asyncio.wait_for(reader.read(-1), 8)
            whole = text.endswith(b"0\r\n\r\n")
            ids = [int(line[4:]) for line in text.split(b"\n") if line.startswith(b"id: ")]
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            pass
        finally:
            writer.close()
        record.line(f"requester: {asked} gets {status}, {len(ids)} events, "
                    f"{'whole' if whole else 'not whole'}")
        return status, ids

    async def ask_plain(self, asked, method="GET", path="/boye614/bo77/2f", host="hulo84.example"):
        """One request for the plain service on a new connection; returns its status (0: none)."""
        record = self.deployment.record
        record.line(f"requester sends {asked} to {self.entry.name}")
        status = 0
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(
                self.entry.host, self.deployment.caller_port), 1)
        except (OSError, asyncio.TimeoutError):
            record.line(f"requester: {asked}: {self.entry.name} takes no connection")
            return 0
        try:
            writer.write("\r\n".join([
                f"{method} {path} HTTP/1.1", f"Host: {host}",
                f"X-Coursejunction-Attempt-Id: {asked}", "X-Coursejunction-Deadline-Ms: 1000",
                f"Authorization: Token {KEY}", "Content-Length: 0", "Connection: close",
                "", ""]).encode())
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 1)
            status = int(head.split(b" ")[1])
            await asyncio.wait_for(reader.read(-1), 1)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            pass
        finally:
            writer.close()
        record.line(f"requester: {asked} gets {status or 'no answer'}")
        return status


def run_case(folder, regions, play):
    """Plays a case and ends with its result: 1 broken, 0 held, 2 could not run."""
    async def main():
        deployment = Deployment(folder, regions)
        try:
            return await asyncio.wait_for(play(deployment), 110)
        except (CannotRun, asyncio.TimeoutError) as why:
            deployment.record.line(f"could not run: {why or 'not over in time'}")
            return 2
        finally:
            deployment.end()

    # Ends the processes that were started also if the script is ended from outside.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    sys.exit(asyncio.run(main()))
