"""Callers get their own whole answers; at most one run where that is asked."""

import json
import signal
import unittest

from support import Caller, LabCase, ask, call, wait_for
from unframed_service import UnframedService


class ModelRequests(LabCase):
    def test_a_killed_side_costs_no_stream(self):
        self.serving_model(["side-1", "side-2", "side-3"])
        entry = self.lab.entries["entry-1"]
        callers = [Caller(entry, tokens=80, headers={"Request-Id": f"r{at}"}) for at in range(9)]
        for caller in callers:
            caller.begun()
        self.lab.sides["side-1"].kill()
        for caller in callers:
            caller.end()
            self.assertTrue(caller.whole(80), caller.text[-300:])
        # The same request and sampling, wherever it ran, gives the same text.
        again = Caller(entry, tokens=80, headers={"Request-Id": "r0"}).end()
        self.assertEqual([one["text"] for one in again.events],
                         [one["text"] for one in callers[0].events])

    def test_a_stream_that_cannot_go_on_ends_visibly_broken(self):
        self.serving_model(["side-1"])
        caller = Caller(self.lab.entries["entry-1"], tokens=200).begun()
        self.lab.sides["side-1"].kill()
        caller.end()
        self.assertIsNotNone(caller.fault)
        self.assertNotEqual(caller.outcome, "answered")

    def test_an_engine_that_breaks_off_is_never_taken_for_whole(self):
        self.serving_model(["side-1"])
        ask(self.lab.engines.url + "/side-1/faults", {"cut_after": 3})
        caller = Caller(self.lab.entries["entry-1"], tokens=20).end()
        self.assertNotEqual(caller.outcome, "answered")

        def dispatched():
            # The side looks at its engine anew before it takes more work.
            whole = Caller(self.lab.entries["entry-1"], tokens=20, stream=False).end()
            return whole if whole.json["outcome"] != "not_run" else None
        self.assertEqual(wait_for("dispatched", dispatched).json["outcome"], "unknown")

    def test_a_caller_that_leaves_is_cancelled_in_the_engine(self):
        self.serving_model(["side-1"])
        entry = self.lab.entries["entry-1"]
        import socket
        link = socket.create_connection(("127.0.0.1", entry.port))
        body = json.dumps({"model": "tutor", "prompt": "x", "max_tokens": 10000, "stream": True})
        link.sendall((f"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n" + body).encode())
        link.recv(100)
        link.close()
        wait_for("cancelled", lambda: self.lab.record("side-1")["cancelled"] == 1)

    def test_overload_is_refused_at_once_with_a_time_to_come_back(self):
        self.serving_model(["side-1"], ("--slots", 2, "--token-us", 20000))
        entry = self.lab.entries["entry-1"]
        for _ in range(4):
            Caller(entry, tokens=10, stream=False).end()
        callers = [Caller(entry, tokens=10, stream=False, headers={"Deadline-Ms": "1500"}) for _ in range(60)]
        for caller in callers:
            caller.end()
        refused = [one for one in callers if one.status == 429]
        answered = [one for one in callers if one.status == 200]
        self.assertTrue(answered)
        self.assertTrue(refused)
        self.assertEqual(len(refused) + len(answered), 60, [one.status for one in callers])
        for one in refused:
            self.assertEqual(one.answer_headers["outcome"], "not_run")
            self.assertGreater(int(one.answer_headers["retry-after-ms"]), 0)

    def test_entries_replaced_one_after_another_lose_nothing(self):
        self.serving_model(["side-1", "side-2"], entries=("entry-1", "entry-2"))
        lab = self.lab
        callers = []
        for at, name in enumerate(("entry-1", "entry-2")):
            other = "entry-2" if at == 0 else "entry-3"
            callers += [Caller(lab.entries[name], tokens=60).begun() for _ in range(5)]
            lab.entries[name].signal(signal.SIGTERM)
            callers += [Caller(lab.entries[other], tokens=5) for _ in range(5)]
            lab.start_entry(f"entry-{at + 3}", "north")
            self.heard(f"entry-{at + 3}", 2)
            self.assertEqual(lab.entries[name].child.wait(), 0)
            lab.unregister(name)
        for at, caller in enumerate(callers):
            caller.end()
            self.assertTrue(caller.whole(60 if at % 10 < 5 else 5), caller.text[-200:])

    def test_a_planned_stop_of_a_side_cuts_nothing_and_takes_no_new_work(self):
        self.serving_model(["side-1", "side-2"])
        lab = self.lab
        entry = lab.entries["entry-1"]
        callers = [Caller(entry, tokens=100).begun() for _ in range(8)]
        lab.sides["side-1"].terminate()
        wait_for("leaving seen", lambda: any(
            one["instance"] == "side-1" and one["leaving"]
            for one in lab.dump(entry)["state"]["requests"]["upstreams"]))
        before = lab.record("side-1")["answers"]
        later = [Caller(entry, tokens=5).end() for _ in range(10)]
        for caller in callers + later:
            caller.end()
            self.assertTrue(caller.whole(100 if caller in callers else 5), caller.text[-200:])
        self.assertEqual(lab.sides["side-1"].child.wait(), 0)
        self.assertLessEqual(sum(lab.record("side-1")["answers"].values()), sum(before.values()) + 8)

    def test_a_leaving_mark_in_a_lagging_list_ends_new_work(self):
        self.serving_model(["side-1", "side-2"])
        lab = self.lab
        lab.mark_leaving("side-1")
        # The side reads its own mark and says so itself.
        self.assertEqual(lab.sides["side-1"].child.wait(timeout=60), 0)
        self.assertTrue(Caller(lab.entries["entry-1"], tokens=3).end().whole(3))

    def test_a_frozen_side_that_wakes_does_no_harm(self):
        self.serving_model(["side-1", "side-2"])
        lab = self.lab
        entry = lab.entries["entry-1"]
        lab.sides["side-1"].freeze()
        callers = [Caller(entry, tokens=5, stream=False, headers={"Deadline-Ms": "4000"}) for _ in range(10)]
        for caller in callers:
            caller.end()
            self.assertIn(caller.status, (200, 504))
        lab.sides["side-1"].wake()
        for at in range(10):
            caller = Caller(entry, tokens=5, headers={"Request-Id": f"after-{at}"}).end()
            self.assertTrue(caller.whole(5))
            self.assertEqual({one["id"] for one in caller.events}, {f"after-{at}"})


class AnswersWithoutALength(LabCase):
    def ask_service(self, service):
        self.addCleanup(service.close)
        self.lab.start_entry("entry-1", "north")
        self.lab.start_side("side-1", "north", engine=service, kind="plain",
                            labels=("service=ledger",), upstream={"slots": 64})
        self.heard("entry-1", 1, "ledger")
        return Caller(self.lab.entries["entry-1"], path="/services/ledger/charge", body="{}",
                      headers={"Request-Id": "u1", "Not-Repeatable": "true"}).end()

    def test_an_answer_that_a_crash_broke_off_is_not_passed_on_as_whole(self):
        service = UnframedService(b"par", crashes=True)
        caller = self.ask_service(service)
        self.assertEqual((caller.status, caller.answer_headers["outcome"]), (502, "unknown"))
        self.assertEqual(service.runs, 1)

    def test_an_answer_of_a_service_that_lives_on_is_passed_on(self):
        caller = self.ask_service(UnframedService(b"all of it"))
        self.assertEqual((caller.status, caller.text), (200, b"all of it"))
        self.assertEqual(caller.answer_headers["outcome"], "answered")


class NotRepeatable(LabCase):
    """The ledger's record is the judge."""

    def setUp(self):
        super().setUp()
        lab = self.lab
        self.ledger = lab.run("standin_plain_service")
        for name in ("entry-1", "entry-2"):
            lab.start_entry(name, "north")
        for name in ("side-1", "side-2"):
            lab.start_side(name, "north", engine=self.ledger, kind="plain",
                           labels=("service=ledger",), upstream={"slots": 64})
        for name in ("entry-1", "entry-2"):
            self.heard(name, 2, "ledger")

    def charge(self, entry, name):
        return Caller(self.lab.entries[entry], path="/services/ledger/charge", body="{}",
                      headers={"Request-Id": name, "Not-Repeatable": "true"})

    def runs(self, name):
        return ask(self.ledger.url + "/record")["runs"].get(name, 0)

    def test_asking_again_gives_the_same_answer_and_no_second_run(self):
        first = self.charge("entry-1", "c1").end()
        again = self.charge("entry-2", "c1").end()
        self.assertEqual(first.status, 200)
        self.assertEqual(again.json, first.json)
        self.assertEqual(self.runs("c1"), 1)

    def test_a_needed_id_is_asked_for(self):
        status, headers, _ = call("POST", self.lab.entries["entry-1"].url + "/services/ledger/charge", "{}",
                                  {"Not-Repeatable": "true"})
        self.assertEqual((status, headers["outcome"]), (400, "not_run"))

    def test_an_entry_that_stops_sends_the_refusals_that_it_looks_up(self):
        # Whether a refused request may have run is read from the key-value service.
        entry = self.lab.start_entry("entry-3", "north", platform={"key_value_timeout": "5s"})
        self.lab.kv.freeze()
        caller = Caller(entry, path="/services/unknown/charge", body="{}",
                        headers={"Request-Id": "c9", "Not-Repeatable": "true"})
        wait_for("arrived", lambda: b"requests_total 1" in call("GET", entry.url + "/metrics")[2])
        entry.terminate()
        caller.end()
        self.assertEqual((caller.status, caller.fault), (404, None))
        self.assertEqual(caller.answer_headers["outcome"], "unknown")
        self.assertEqual(entry.child.wait(), 0)

    def test_an_answer_lost_by_the_upstream_is_unknown_and_never_run_again(self):
        ask(self.ledger.url + "/faults", {"lose_answers": 1})
        caller = self.charge("entry-1", "c2").end()
        self.assertEqual(caller.answer_headers["outcome"], "unknown")
        for entry in ("entry-1", "entry-2"):
            self.assertEqual(self.charge(entry, "c2").end().answer_headers["outcome"], "unknown")
        self.assertEqual(self.runs("c2"), 1)

    def test_a_service_that_lost_the_sessions_of_sides_takes_new_claims(self):
        self.key_value_copy()
        self.assertEqual(self.charge("entry-1", "s1").end().status, 200)
        self.key_value_restored()
        for at in range(4):
            caller = self.charge("entry-1", f"s2-{at}").end()
            self.assertEqual(caller.status, 200, caller.text)
            self.assertEqual(self.runs(f"s2-{at}"), 1)

    def test_an_entry_killed_after_dispatch(self):
        ask(self.ledger.url + "/faults", {"delay_ms": 1000})
        self.charge("entry-1", "c3")
        wait_for("started", lambda: self.runs("c3") == 1)
        self.lab.entries["entry-1"].kill()
        wait_for("ended", lambda: not self.upstream_of("entry-1"))
        again = self.charge("entry-2", "c3").end()
        self.assertIn(again.answer_headers["outcome"], ("answered", "unknown"))
        self.assertEqual(self.runs("c3"), 1)

    def test_a_side_killed_while_the_upstream_runs_and_restarted_with_nothing(self):
        ask(self.ledger.url + "/faults", {"delay_ms": 1500})
        caller = self.charge("entry-1", "c4")
        wait_for("started", lambda: self.runs("c4") == 1)
        for name in self.upstream_of("entry-1"):
            self.lab.sides[name].kill()
            self.lab.restart_side(name)
        caller.end()
        self.assertEqual(caller.answer_headers["outcome"], "unknown")
        self.heard("entry-2", 2, "ledger")
        for entry in ("entry-1", "entry-2"):
            self.assertEqual(self.charge(entry, "c4").end().answer_headers["outcome"], "unknown")
        self.assertEqual(self.runs("c4"), 1)

    def test_two_sides_alive_for_one_upstream(self):
        # The platform started a second process while the first still runs.
        first = self.lab.sides["side-1"]
        self.lab.restart_side("side-1")
        callers = [self.charge(entry, f"d{at}") for at in range(20) for entry in ("entry-1", "entry-2")]
        for caller in callers:
            caller.end()
        self.assertTrue(first.running())
        for at in range(20):
            self.assertLessEqual(self.runs(f"d{at}"), 1)

    def test_a_key_value_outage_runs_nothing_and_later_the_same_id_runs(self):
        ask(self.lab.kv.url + "/faults", {"down": True})
        caller = self.charge("entry-1", "c5").end()
        # Whether the id ran before cannot be known now: not "not run".
        self.assertEqual(caller.answer_headers["outcome"], "unknown")
        self.assertGreater(int(caller.answer_headers["retry-after-ms"]), 0)
        self.assertEqual(self.runs("c5"), 0)
        ask(self.lab.kv.url + "/faults", {"down": False})
        self.assertEqual(self.charge("entry-1", "c5").end().status, 200)
        self.assertEqual(self.runs("c5"), 1)

    def test_a_claim_whose_answer_was_lost_runs_once(self):
        self.charge("entry-1", "warm").end()
        ask(self.lab.kv.url + "/faults", {"lose_answers": 1})
        caller = self.charge("entry-1", "c6").end()
        self.assertEqual(caller.answer_headers["outcome"], "answered")
        self.assertEqual(self.charge("entry-2", "c6").end().answer_headers["outcome"], "answered")
        self.assertEqual(self.runs("c6"), 1)

    def test_not_run_is_never_said_of_an_id_that_ran(self):
        ask(self.ledger.url + "/faults", {"lose_answers": 1})
        self.assertEqual(self.charge("entry-1", "c7").end().answer_headers["outcome"], "unknown")
        for name in ("side-1", "side-2"):
            self.lab.sides[name].kill()
        caller = self.charge("entry-2", "c7").end()
        self.assertEqual(caller.answer_headers["outcome"], "unknown")
        fresh = self.charge("entry-2", "c8").end()
        self.assertEqual(fresh.answer_headers["outcome"], "not_run")
        self.assertEqual((self.runs("c7"), self.runs("c8")), (1, 0))

    def charged_with_lost_claims(self, names):
        """Runs requests whose claims the key-value service then lacks; the sides end."""
        self.key_value_copy()
        for name in names:
            self.assertEqual(self.charge("entry-1", name).end().status, 200)
        self.key_value_restored()
        for name in ("side-1", "side-2"):
            self.lab.sides[name].kill()
        for entry in ("entry-1", "entry-2"):
            wait_for("sides lost", lambda: not any(
                one["open"] for one in self.lab.dump(self.lab.entries[entry])["state"]["requests"]["upstreams"]))

    def test_a_lost_claim_whose_side_is_gone_lets_nothing_run_again(self):
        names = [f"l{at}" for at in range(4)]
        self.charged_with_lost_claims(names)
        for name in ("side-1", "side-2"):
            self.lab.restart_side(name)
        for entry in ("entry-1", "entry-2"):
            self.heard(entry, 2, "ledger")
        told = {name: self.charge("entry-2", name).end().answer_headers["outcome"] for name in names}
        self.assertEqual({name: self.runs(name) for name in names}, dict.fromkeys(names, 1), told)
        self.assertEqual(told, dict.fromkeys(names, "unknown"))
        self.assertEqual(self.charge("entry-2", "l-new").end().status, 200)
        self.assertEqual(self.runs("l-new"), 1)

    def test_a_lost_claim_whose_side_and_entry_are_gone_lets_nothing_run_again(self):
        self.charged_with_lost_claims(["l0"])
        self.lab.entries["entry-1"].kill()
        for name in ("side-1", "side-2"):
            self.lab.restart_side(name)
        self.heard("entry-2", 2, "ledger")
        self.assertEqual(self.charge("entry-2", "l0").end().answer_headers["outcome"], "unknown")
        self.assertEqual(self.charge("entry-2", "l-new").end().status, 200)
        self.assertEqual((self.runs("l0"), self.runs("l-new")), (1, 1))

    def test_a_claim_that_no_entry_keeps_starts_nothing(self):
        for name in ("entry-1", "entry-2"):
            self.lab.unregister(name)
        for name in ("side-1", "side-2"):
            wait_for("no entry is listed", lambda name=name: not any(
                one["role"] == "entry" for one in self.lab.dump(self.lab.sides[name])["members"]))
        caller = self.charge("entry-1", "k0").end()
        self.assertEqual(caller.answer_headers["outcome"], "unknown")
        self.assertGreater(int(caller.answer_headers["retry-after-ms"]), 0)
        self.assertEqual(self.runs("k0"), 0)

    def test_not_run_is_never_said_of_an_id_whose_claim_was_lost(self):
        self.charged_with_lost_claims(["l0"])
        for entry in ("entry-1", "entry-2"):
            self.assertEqual(self.charge(entry, "l0").end().answer_headers["outcome"], "unknown")
            fresh = self.charge(entry, "l-new").end()
            self.assertEqual(fresh.answer_headers["outcome"], "not_run")

    def test_many_at_once_through_both_entries(self):
        callers = [self.charge(entry, f"m{at}") for at in range(30) for entry in ("entry-1", "entry-2")]
        for caller in callers:
            caller.end()
        for at in range(30):
            pair = callers[2 * at:2 * at + 2]
            told = [(one.answer_headers["outcome"], one.text) for one in pair]
            self.assertEqual(self.runs(f"m{at}"), 1, told)
            self.assertNotIn("not_run", [outcome for outcome, _ in told], told)


if __name__ == "__main__":
    unittest.main()
