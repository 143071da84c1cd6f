"""Golden file of one whole session: apply, converge, requests of two
organisations, a second version, racing operators, a planned stop."""

import json
import unittest

from support import Caller, LabCase, ROOT, call, wait_for

GOLDEN = ROOT / "tests" / "session" / "whole_session.golden"


class WholeSession(LabCase):
    def test_session_matches_its_golden_file(self):
        lines = self.session()
        text = "\n".join(lines) + "\n"
        if not GOLDEN.exists():
            GOLDEN.write_text(text)
            self.fail("golden file was missing and has been written: read it")
        self.assertEqual(GOLDEN.read_text(), text)

    def session(self):
        lab, lines = self.lab, []
        say = lines.append
        lab.start_origin()
        lab.start_engines()
        counts = {}
        for hall in lab.halls:
            lab.start_entry(f"entry-{hall}", hall)
            for at in range(2):
                lab.start_side(f"side-{hall}-{at}", hall)
            counts[hall] = 2
        names = {}
        one = lab.create_model("one", 1 << 20, chunk=1 << 16, seed=1)
        two = lab.create_model("two", 1 << 20, chunk=1 << 16, seed=2, like="one", shared=0.5)
        names[one], names[two] = "VERSION-ONE", "VERSION-TWO"

        def tidy(text):
            for version, name in names.items():
                text = text.replace(version, name).replace(version[:12], name)
            return "\n".join(line.rstrip() for line in text.splitlines())

        north = lab.entries["entry-north"]
        say("$ apply tutor VERSION-ONE")
        say(tidy(lab.apply("tutor", one, counts, wait=True, entry=north).stdout))
        for entry in lab.entries:
            self.heard(entry, 2)
        say("$ get")
        say(tidy(lab.ctl("get", entry=north).stdout))
        say("$ status")
        lab.converged("tutor")
        say(tidy(lab.ctl("status", "tutor", entry=north).stdout))
        for organisation in ("association", "bikes"):
            caller = Caller(north, tokens=3, headers={"Organisation": organisation, "Request-Id": organisation}).end()
            say(f"$ stream as {organisation}: {caller.status}")
            say(tidy(caller.text.decode()))
        status, headers, _ = lab.complete(north, "tutor", max_tokens=3, headers={"Request-Id": "r3"})
        say(f"$ whole answer: {status} {headers['outcome']} {names[headers['weights']]}")
        status, headers, body = lab.complete(north, "nobody")
        say(f"$ unknown model: {status} {headers['outcome']} {json.loads(body)['error']}")
        status, headers, body = call("POST", north.url + "/v1/completions", "{", {})
        say(f"$ bad body: {status} {headers['outcome']} {json.loads(body)['error']}")

        say("$ apply tutor VERSION-TWO")
        say(tidy(lab.apply("tutor", two, counts, wait=True, entry=north).stdout))
        loser = lab.apply("tutor", one, counts, entry=north, check=False, revision=1)
        say(f"$ apply with an old revision: exit {loser.returncode}")
        say(tidy(loser.stderr))
        bad = lab.apply("tutor", one, counts, entry=north, check=False, weigh="money")
        say(f"$ apply with a bad field: exit {bad.returncode}")
        say(tidy(bad.stderr))
        caller = Caller(north, tokens=2, headers={"Request-Id": "r4"}).end()
        say(f"$ stream: {caller.status}")
        say(tidy(caller.text.decode()))
        say("$ abort tutor")
        say(tidy(lab.ctl("abort", "tutor", "--wait", entry=north).stdout))
        caller = Caller(north, tokens=2, headers={"Request-Id": "r5"}).end()
        say(tidy(caller.text.decode()))

        say("$ planned stop of entry-south while it streams")
        south = lab.entries["entry-south"]
        caller = Caller(south, tokens=60).begun()
        lab.ctl("leave", entry=south)
        caller.end()
        say(f"stream whole: {caller.whole(60)}")
        say(f"exit: {south.child.wait()}")
        say("$ delete tutor")
        say(tidy(lab.ctl("delete", "tutor", entry=north).stdout.split('"write"')[0]))
        wait_for("deleted", lambda: lab.ctl("get", "tutor", entry=north, check=False).returncode == 3)
        say("$ get tutor: exit 3")
        return lines


if __name__ == "__main__":
    unittest.main()
