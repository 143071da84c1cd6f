"""Shared by the session tests: the lab, and a caller in the background."""

import http.client
import json
import pathlib
import sys
import threading
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "bench"))

from lab import TOKEN, Engines, Lab, ask, call, wait_for  # noqa: E402

__all__ = ["Caller", "Engines", "Lab", "LabCase", "ROOT", "TOKEN", "ask", "call", "wait_for"]


class LabCase(unittest.TestCase):
    """A case with a lab of its own."""

    halls = None

    def setUp(self):
        self.lab = Lab(self.halls)
        self.addCleanup(self.lab.close)

    def serving_model(self, sides, engine_args=(), entries=("entry-1",), hall="north", **spec):
        """Starts entries and sides in one hall that serve one small model."""
        lab = self.lab
        lab.start_origin()
        lab.start_engines(*engine_args)
        for name in entries:
            lab.start_entry(name, hall)
        for name in sides:
            lab.start_side(name, hall)
        version = lab.create_model("one", 1 << 18, chunk=1 << 15)
        lab.apply("tutor", version, {hall: len(sides)}, **spec)
        lab.converged("tutor")
        for name in entries:
            self.heard(name, len(sides))
        return version

    def heard(self, entry, count, model="tutor"):
        """Waits until an entry believes that many upstreams are open."""
        def look():
            state = self.lab.dump(self.lab.entries[entry])["state"]["requests"]
            return sum(one["open"] and one["model"] == model for one in state["upstreams"]) >= count
        wait_for(f"{entry} sees {count} upstreams", look)

    def key_value_copy(self):
        """The key-value service takes the copy that `key_value_restored` brings back."""
        ask(self.lab.kv.url + "/copy", {})

    def key_value_restored(self):
        """The service goes away and comes back from its copy."""
        ask(self.lab.kv.url + "/faults", {"down": True})
        ask(self.lab.kv.url + "/restore", {})
        ask(self.lab.kv.url + "/faults", {"down": False})

    def upstream_of(self, entry, stream_id=None):
        """Sides that now run a request."""
        return [name for name, one in self.lab.sides.items()
                if one.running() and self.lab.dump(one)["state"]["requests"]["runs"]]


class Caller(threading.Thread):
    """One request in the background; `events` grows as they come."""

    def __init__(self, entry, model="tutor", tokens=40, prompt="hello", stream=True,
                 headers=None, path="/v1/completions", body=None):
        super().__init__(daemon=True)
        self.entry, self.path = entry, path
        self.body = body if body is not None else json.dumps(
            {"model": model, "prompt": prompt, "max_tokens": tokens, "stream": stream})
        self.headers = {"Organisation": "school", **(headers or {})}
        self.text = b""
        self.status, self.fault, self.answer_headers = None, None, {}
        self.start()

    def run(self):
        link = http.client.HTTPConnection("127.0.0.1", self.entry.port, timeout=60)
        try:
            link.request("POST", self.path, self.body, self.headers)
            answer = link.getresponse()
            self.status = answer.status
            self.answer_headers = {k.lower(): v for k, v in answer.getheaders()}
            while True:
                part = answer.read1(65536)
                if not part:
                    break
                self.text += part
        except (OSError, http.client.HTTPException) as caught:
            self.fault = caught
        finally:
            link.close()

    def begun(self):
        wait_for("stream begun", lambda: b"\n\n" in self.text or self.status not in (None, 200))
        return self

    def end(self):
        self.join(60)
        return self

    @property
    def events(self):
        return Engines.events(self.text.decode())[0]

    @property
    def outcome(self):
        return Engines.events(self.text.decode())[1]

    @property
    def json(self):
        return json.loads(self.text)

    def whole(self, tokens):
        """A stream with all tokens in order, of one version, marked answered."""
        return (self.status == 200 and self.outcome == "answered"
                and [one["index"] for one in self.events] == list(range(tokens))
                and len({one["weights"] for one in self.events}) == 1)
