"""Starts the system's real processes and the stand-ins on loopback.

Scaffolding of the demo, the session tests and the benches. Every process
takes any free port and says which, so nothing here is fixed.
"""

import http.client
import json
import os
import pathlib
import selectors
import signal
import subprocess
import tempfile
import threading
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
KEY = "1:" + "5a" * 32
TOKEN = "operators"


def binary(name):
    build = os.environ.get("COURSEJUNCTION_BUILD", "build")
    return str(ROOT / build / "bin" / name)


def call(method, url, body=None, headers=None, timeout=30):
    """One HTTP call: (status, headers, bytes)."""
    parts = urllib.parse.urlsplit(url)
    link = http.client.HTTPConnection(parts.hostname, parts.port, timeout=timeout)
    data = body
    if body is not None and not isinstance(body, (bytes, str)):
        data = json.dumps(body)
    path = parts.path + ("?" + parts.query if parts.query else "")
    try:
        link.request(method, path, data, headers or {})
        answer = link.getresponse()
        return answer.status, {k.lower(): v for k, v in answer.getheaders()}, answer.read()
    finally:
        link.close()


def ask(url, body=None, method=None):
    """One JSON call that must succeed."""
    method = method or ("GET" if body is None else "POST")
    status, _, text = call(method, url, body)
    if not 200 <= status < 300:
        raise RuntimeError(f"{method} {url}: {status} {text[:200]!r}")
    return json.loads(text)


def wait_for(what, condition, timeout=60.0, every=0.05):
    """Waits until a condition holds; the limit only ends a hopeless wait."""
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(every)
    raise TimeoutError(f"not in {timeout} s: {what}")


class Process:
    """One child that prints a line of JSON with its ports among its logs."""

    def __init__(self, args, log):
        self.args = args
        self.child = subprocess.Popen(
            args, stdout=subprocess.PIPE, stderr=log, stdin=subprocess.DEVNULL
        )
        self.ready = self.read_ready(log)
        self.port = self.ready["http_port"]
        self.url = f"http://127.0.0.1:{self.port}"
        self.reader = threading.Thread(
            target=self.copy_output, args=(log,), daemon=True
        )
        self.reader.start()

    def read_ready(self, log):
        """Reads on to the line with the ports; logs may come before it."""
        while line := self.child.stdout.readline():
            told = json.loads(line)
            if "http_port" in told:
                return told
            log.write(line)
        raise RuntimeError(f"{self.args[0]} ended with {self.child.wait()}")

    def copy_output(self, log):
        """Logs come on standard output: they join the lab's log."""
        while line := self.child.stdout.readline():
            log.write(line)

    @property
    def pid(self):
        return self.child.pid

    def running(self):
        return self.child.poll() is None

    def signal(self, number):
        if self.running():
            self.child.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.child.wait()

    def terminate(self):
        self.signal(signal.SIGTERM)

    def freeze(self):
        self.signal(signal.SIGSTOP)

    def wake(self):
        self.signal(signal.SIGCONT)


class Lab:
    """Halls in small: stand-ins, entries and sides."""

    def __init__(self, halls=None, lag_ms=0):
        self.halls = halls or {"north": "east", "south": "east", "lake": "west"}
        self.dir = tempfile.TemporaryDirectory(prefix="coursejunction-")
        self.log = open(pathlib.Path(self.dir.name) / "log", "wb")
        self.all = []
        self.entries = {}
        self.sides = {}
        self.specs = {}
        self.engines = None
        self.unfenced = None
        self.origin = None
        self.store = None
        self.kv = self.run("standin_key_value")
        self.list = self.run("standin_instance_list")
        if lag_ms:
            ask(self.list.url + "/faults", {"lag_ms": lag_ms})

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.close()

    def run(self, name, *args):
        one = Process([binary(name), *map(str, args)], self.log)
        self.all.append(one)
        return one

    def close(self):
        for one in self.all:
            one.wake()
            one.signal(signal.SIGKILL)
        for one in self.all:
            one.child.wait()
            one.reader.join()
            one.child.stdout.close()
        self.log.close()
        self.dir.cleanup()

    def log_text(self):
        self.log.flush()
        return (pathlib.Path(self.dir.name) / "log").read_text(errors="replace")

    # Platform.

    def start_origin(self, rate=0, store_rate=0):
        self.origin = self.run("standin_origin", "--rate", rate)
        self.store = self.run("standin_origin", "--rate", store_rate)

    def start_engines(self, *args):
        self.engines = self.run("standin_model_engine", *args)

    def create_model(self, name, size, chunk=1 << 17, seed=1, **more):
        body = {"name": name, "bytes": size, "chunk_bytes": chunk, "seed": seed, **more}
        version = ask(self.origin.url + "/models", body)["version"]
        if self.store:
            ask(self.store.url + "/models", body)
        return version

    # Daemons.

    def settings(self, role, name, hall, sections):
        region = self.halls[hall]
        parts = {
            "instance": {
                "role": role, "id": name, "hall": hall, "region": region,
                "address": "127.0.0.1", "peer_port": 0, "http_port": 0,
            },
            "security": {"keys": KEY, "active_key": 1},
            "platform": {
                "instance_list": self.list.url + "/instances",
                "instance_list_interval": "250ms",
                "key_value": self.kv.url,
            },
            "membership": {"heartbeat_interval": "250ms", "report_interval": "500ms"},
        }
        if role == "entry":
            parts["security"]["operator_token"] = TOKEN
        for section, values in sections.items():
            parts.setdefault(section, {}).update(values)
        text = ""
        for section, values in parts.items():
            text += f"[{section}]\n"
            text += "".join(f"{key} = {value}\n" for key, value in values.items())
        path = pathlib.Path(self.dir.name) / f"{name}.ini"
        path.write_text(text)
        return path

    def register(self, name, process, role, hall, kind="", labels=()):
        body = {
            "id": name, "role": role, "hall": hall, "region": self.halls[hall],
            "peer": f"127.0.0.1:{process.ready['peer_port']}",
            "http": f"127.0.0.1:{process.port}",
            "state": "live", "kind": kind, "labels": list(labels),
        }
        ask(self.list.url + "/instances/" + name, body, "PUT")

    def unregister(self, name):
        ask(self.list.url + "/instances/" + name, method="DELETE")

    def mark_leaving(self, name):
        ask(self.list.url + f"/instances/{name}/leaving", {}, "POST")

    def start_entry(self, name, hall, **sections):
        path = self.settings("entry", name, hall, sections)
        one = self.run("coursejunctiond", path)
        self.entries[name] = one
        self.register(name, one, "entry", hall)
        return one

    def start_side(self, name, hall, engine=None, kind="model", labels=(),
                   program="coursejunctiond", register=True, **sections):
        upstream = {"kind": kind}
        if kind == "model":
            upstream["url"] = f"{(engine or self.engines).url}/{name}"
        else:
            upstream["url"] = engine.url
        if labels:
            upstream["labels"] = ",".join(labels)
        sections.setdefault("upstream", {})
        upstream.update(sections["upstream"])
        sections["upstream"] = upstream
        transfer = {}
        if self.origin:
            transfer["origin"] = self.origin.url
        if self.store:
            transfer["weight_store"] = self.store.url
        transfer.update(sections.get("transfer", {}))
        sections["transfer"] = transfer
        path = self.settings("side", name, hall, sections)
        one = self.run(program, path)
        self.sides[name] = one
        self.specs[name] = (hall, engine, kind, labels, program, sections)
        if register:
            self.register(name, one, "side", hall, kind, labels)
        return one

    def restart_side(self, name):
        hall, engine, kind, labels, program, sections = self.specs[name]
        return self.start_side(name, hall, engine, kind, labels, program, **sections)

    # Operators.

    def ctl(self, *args, entry=None, check=True, timeout=120):
        url = (entry or next(one for one in self.entries.values() if one.running())).url
        done = subprocess.run(
            [binary("coursejunctionctl"), *map(str, args), "--entry", url, "--token", TOKEN],
            capture_output=True, text=True, timeout=timeout,
        )
        if check and done.returncode != 0:
            raise RuntimeError(f"ctl {args}: exit {done.returncode}: {done.stderr}")
        return done

    def apply(self, name, version, counts, wait=False, entry=None, check=True, **more):
        spec = {
            "name": name, "model": more.pop("model", name), "version": version,
            "placements": [{"hall": h, "count": n} for h, n in counts.items()], **more,
        }
        path = pathlib.Path(self.dir.name) / f"{name}-{version[:8]}.json"
        path.write_text(json.dumps(spec))
        return self.ctl("apply", "-f", path, *(["--wait"] if wait else []),
                        entry=entry, check=check, timeout=900)

    def status(self, name, entry=None):
        return json.loads(self.ctl("status", name, "-o", "json", entry=entry).stdout)["items"][0]

    def converged(self, name, timeout=120):
        def look():
            status = self.status(name)
            return status if status["converged"] else None
        return wait_for(f"{name} converged", look, timeout, 0.2)

    def dump(self, process):
        return ask(process.url + "/dump")

    def record(self, name, engine=None):
        return ask(f"{(engine or self.engines).url}/{name}/record")

    # Callers.

    def complete(self, entry, model, prompt="hello", headers=None, stream=False,
                 max_tokens=8, timeout=30):
        body = {"model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": stream}
        return call("POST", entry.url + "/v1/completions", body,
                    {"Organisation": "school", **(headers or {})}, timeout)


class Engines:
    """A view of events in a stream."""

    @staticmethod
    def events(text):
        """Parsed events of a streamed answer and its outcome line, if any."""
        events, outcome = [], None
        for block in text.split("\n\n"):
            lines = block.split("\n")
            if lines[0] == "event: outcome":
                outcome = lines[1][len("data: "):]
            elif lines[0].startswith("data: {"):
                events.append(json.loads(lines[0][len("data: "):]))
        return events, outcome
