"""No partial model, no mix of versions, whoever fails during a rollout."""

import unittest

from support import Caller, LabCase, ask, wait_for


class Rollout(LabCase):
    def totals(self, names, engines=None):
        sums = {"partial": 0, "mixed": 0, "cut_by_load": 0, "refused": 0}
        for name in names:
            record = self.lab.record(name, engines)
            for key in sums:
                sums[key] += record[key]
        return sums

    def test_streams_through_a_rollout_are_whole_and_of_one_version(self):
        names = ["side-1", "side-2", "side-3"]
        one = self.serving_model(names)
        two = self.lab.create_model("two", 1 << 18, chunk=1 << 15, seed=2)
        entry = self.lab.entries["entry-1"]
        callers = [Caller(entry, tokens=60) for _ in range(12)]
        for caller in callers:
            caller.begun()
        self.lab.apply("tutor", two, {"north": 3})
        callers += [Caller(entry, tokens=5) for _ in range(12)]
        self.lab.converged("tutor")
        for at, caller in enumerate(callers):
            caller.end()
            self.assertTrue(caller.whole(60 if at < 12 else 5), caller.text[-200:])
            self.assertIn(caller.events[0]["weights"], (one, two))
        self.assertEqual(self.totals(names), {"partial": 0, "mixed": 0, "cut_by_load": 0, "refused": 0})

    def test_a_version_declared_in_flight_replaces_the_one_before(self):
        lab = self.lab
        names = ["side-1", "side-2", "side-3"]
        lab.start_origin(rate=1 << 20)
        lab.start_engines()
        lab.start_entry("entry-1", "north")
        for name in names:
            lab.start_side(name, "north")
        one = lab.create_model("one", 3 << 20, chunk=1 << 16)
        two = lab.create_model("two", 3 << 20, chunk=1 << 16, seed=2, like="one", shared=0.5)
        lab.apply("tutor", one, {"north": 3})
        wait_for("some bytes", lambda: ask(lab.origin.url + "/counts")["bytes"] > 1 << 20)
        lab.apply("tutor", two, {"north": 3})
        lab.converged("tutor")
        for name in names:
            self.assertEqual(lab.dump(lab.sides[name])["state"]["serving"], two)
            self.assertEqual(lab.record(name)["loads"], 1)
        # What both have in common came once: less than both models together.
        self.assertLess(ask(lab.origin.url + "/counts")["bytes"], 5 << 20)

    def test_pause_resume_and_abort(self):
        names = ["side-1", "side-2"]
        one = self.serving_model(names)
        two = self.lab.create_model("two", 1 << 18, chunk=1 << 15, seed=2)
        lab = self.lab
        lab.apply("tutor", two, {"north": 2}, paused=True)
        wait_for("staged", lambda: all(
            lab.dump(lab.sides[name])["state"]["phase"] == "waiting" for name in names))
        self.assertEqual(lab.status("tutor")["serving"], 0)
        for name in names:
            self.assertEqual(lab.dump(lab.sides[name])["state"]["serving"], one)
        lab.ctl("resume", "tutor")
        lab.converged("tutor")
        lab.ctl("abort", "tutor", "--wait")
        for name in names:
            self.assertEqual(lab.dump(lab.sides[name])["state"]["serving"], one)

    def test_a_replica_that_cannot_load_says_why_and_is_tried_again(self):
        lab = self.lab
        self.serving_model(["side-1", "side-2"])
        ask(lab.engines.url + "/side-1/faults", {"fail_loads": 2})
        two = lab.create_model("two", 1 << 18, chunk=1 << 15, seed=2)
        lab.apply("tutor", two, {"north": 2})

        def reason():
            halls = lab.status("tutor")["halls"]
            return [one for hall in halls for one in hall["troubled"] if "out of memory" in one["reason"]]
        self.assertEqual(wait_for("reason in status", reason)[0]["instance"], "side-1")
        lab.converged("tutor")

    def test_corrupted_chunks_manifest_and_a_peer_that_lies(self):
        lab = self.lab
        lab.start_origin()
        lab.start_engines()
        lab.start_entry("entry-1", "north")
        names = [f"side-{at}" for at in range(5)]
        for name in names:
            liar = name == "side-2"
            lab.start_side(name, "north", program="standin_faulty_side" if liar else "coursejunctiond")
        version = lab.create_model("one", 2 << 20, chunk=1 << 15)
        ask(lab.origin.url + "/faults", {"corrupt_every": 10, "corrupt_manifests": 2})
        lab.apply("tutor", version, {"north": 5})
        lab.converged("tutor")
        refused = sum(lab.dump(one)["state"]["transfer"]["corrupt"] for one in lab.sides.values())
        self.assertGreater(refused, 0)
        for name in names:
            self.assertEqual(lab.dump(lab.sides[name])["state"]["serving"], version)
        self.assertEqual(self.totals(names)["partial"], 0)

    def test_an_origin_outage_and_a_key_value_outage_during_the_transfer(self):
        lab = self.lab
        names = [f"side-{at}" for at in range(4)]
        lab.start_origin(rate=1 << 20)
        lab.start_engines()
        lab.start_entry("entry-1", "north")
        for name in names:
            lab.start_side(name, "north")
        small = lab.create_model("small", 1 << 16, chunk=1 << 15)
        lab.apply("tutor", small, {"north": 4})
        lab.converged("tutor")
        version = lab.create_model("one", 2 << 20, chunk=1 << 15, seed=3)
        lab.apply("tutor", version, {"north": 4})
        ask(lab.kv.url + "/faults", {"down": True})
        wait_for("some bytes", lambda: ask(lab.origin.url + "/counts")["bytes"] > 1 << 19)
        ask(lab.origin.url + "/faults", {"down": True})
        ask(lab.store.url + "/faults", {"down": True})
        wait_for("trouble seen", lambda: any(
            one["reason"] for hall in lab.status("tutor")["halls"] for one in hall["troubled"]))
        ask(lab.origin.url + "/faults", {"down": False})
        lab.converged("tutor")

    def test_killed_and_joining_instances_in_the_middle(self):
        lab = self.lab
        lab.start_origin(rate=1 << 20)
        lab.start_engines()
        lab.start_entry("entry-1", "north")
        for at in range(6):
            lab.start_side(f"side-{at}", "north")
        version = lab.create_model("one", 2 << 20, chunk=1 << 15)
        lab.apply("tutor", version, {"north": 6})
        wait_for("some bytes", lambda: ask(lab.origin.url + "/counts")["bytes"] > 1 << 20)
        for name in ("side-1", "side-4"):
            lab.sides[name].kill()
            lab.unregister(name)
        for name in ("side-6", "side-7"):
            lab.start_side(name, "north")
        lab.converged("tutor")

    def test_a_side_started_after_the_service_lost_the_newest_token(self):
        lab = self.lab
        lab.start_origin()
        lab.start_engines()
        lab.start_entry("entry-1", "north")
        version = lab.create_model("one", 1 << 18, chunk=1 << 15)
        lab.apply("tutor", version, {"north": 1})
        self.key_value_copy()
        upstream = lab.engines.url + "/side-1"

        def load_at_new_side():
            """A new process loads, since the engine has lost what it had."""
            lab.sides["side-1"].kill()
            side = lab.restart_side("side-1")
            ask(upstream + "/faults", {"restart": True})
            wait_for("loaded", lambda: ask(upstream + "/v1/state")["serving"] == version, 30)
            return side
        lab.start_side("side-1", "north")
        lab.converged("tutor")
        load_at_new_side()
        newest = ask(upstream + "/v1/state")["token"]
        self.key_value_restored()
        side = load_at_new_side()
        self.assertGreater(lab.dump(side)["state"]["fencing_token"], newest)
        self.assertEqual(lab.record("side-1")["refused"], 0)

    def test_a_paused_side_that_wakes_gives_no_order_to_an_upstream_that_does_not_check(self):
        lab = self.lab
        lab.start_origin()
        lab.start_engines("--unfenced")
        lab.start_entry("entry-1", "north")
        unchecked = {"checks_orders": "false"}
        old = lab.start_side("side-1", "north", upstream=unchecked)
        one = lab.create_model("one", 1 << 18, chunk=1 << 15)
        two = lab.create_model("two", 1 << 18, chunk=1 << 15, seed=2)
        lab.apply("tutor", one, {"north": 1})
        lab.converged("tutor")
        # The platform believes it dead and starts another for the upstream.
        old.freeze()
        new = lab.restart_side("side-1")
        lab.apply("tutor", two, {"north": 1})
        wait_for("new one in charge", lambda: lab.dump(new)["state"]["serving"] == two)
        before = lab.record("side-1")["orders"]
        old.wake()
        # It hears of nothing new; its own wish is the first version.
        # With an upstream that serves nothing it would load without a permit.
        # The new one sleeps meanwhile, so that the old one surely sees it.
        new.freeze()
        ask(lab.engines.url + "/side-1/faults", {"restart": True})
        wait_for("refrains", lambda: "another side" in lab.dump(old)["state"]["reason"])
        self.assertEqual(lab.record("side-1")["orders"], before)
        new.wake()
        wait_for("new one loads again", lambda: ask(lab.engines.url + "/side-1/v1/state")["serving"] == two)
        wait_for("new one serves again", lambda: lab.dump(new)["state"]["serving"] == two)
        record = lab.record("side-1")
        self.assertEqual(record["orders"], before + 1)
        self.assertEqual(record["partial"], 0)
        self.assertEqual(record["mixed"], 0)


if __name__ == "__main__":
    unittest.main()
