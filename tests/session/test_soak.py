"""A short seeded soak of the platform's daemons, and seeds that once failed."""

import json
import os
import pathlib
import subprocess
import sys
import unittest

SOAK = pathlib.Path(__file__).resolve().parent.parent / "soak" / "soak.py"


class Soak(unittest.TestCase):
    def play(self, seed, seconds, *more):
        try:
            done = subprocess.run([sys.executable, str(SOAK), "--seed", str(seed),
                                   "--seconds", str(seconds), *more],
                                  capture_output=True, text=True, check=False, timeout=300,
                                  env={**os.environ, "PYTHONDONTWRITEBYTECODE": "1"})
        except subprocess.TimeoutExpired as late:
            self.fail(f"{late}: {(late.stderr or b'').decode(errors='replace')}")
        self.assertTrue(done.stdout, done.stderr)
        made = json.loads(done.stdout)
        self.assertEqual(made["broken"], [], done.stderr)
        self.assertGreater(made["counts"].get("chat 200", 0), 0)
        self.assertGreater(made["counts"].get("note 200", 0), 0)

    def test_promises_hold_under_faults(self):
        self.play(seed=20261202, seconds=6)

    def test_a_process_that_is_stopped_twice_starts_once(self):
        # Seeds 8, 101, 110 and 125 failed: two overlapping faults of the soak
        # started one process twice, and the second found its address in use.
        self.play(seed=8, seconds=6)

    def test_listings_end_though_every_entry_is_behind_a_link(self):
        # Seed 9 failed: no process is in the store's hall, a configuration of 2 MB
        # takes the link 0.9 s, and each listing gave up after 0.7 s and began again.
        self.play(9, 6, "--link", "24")

    def test_a_link_rests_after_a_large_configuration(self):
        # Seed 1 failed: two entries behind a link lost the store while 2.5 MB came,
        # and listed it without an end, although their peers told them everything.
        self.play(1, 6, "--link", "24")

    def test_entries_that_start_beside_a_large_configuration_list_once(self):
        # Seed 22 failed: the two entries behind a link started again; both listings
        # at once take the link 1.5 s for 1.6 MB of configuration, and neither ever ended.
        self.play(22, 6, "--link", "24")

    def test_a_watch_that_brings_every_old_value_is_given_up_for_a_listing(self):
        # Seed 1003 failed: entries behind a link went on from revision 10 and were
        # sent some twenty configurations of 2 MB, each written over by the next one.
        self.play(1003, 6, "--link", "24")

    def test_upstreams_that_start_again_under_their_id_are_used_anew(self):
        self.play(20261203, 6, "--reborn")

    def test_a_request_that_ends_its_engines_is_stopped_at_all_entries(self):
        self.play(29, 8, "--crashing", "--sides", "8")

    def test_an_entry_tells_its_state_beside_a_crashing_request(self):
        # Seed 41 failed once, beside two hunts: an entry told no state 10 s after the
        # last fault. No process of that run, nor the soak, had written a line for up
        # to 4.5 s at a time: the machine stood still, for 41 of 57 s.
        self.play(41, 5, "--crashing", "--sides", "8")

    def test_a_machine_that_stands_still_is_not_held_against_its_processes(self):
        # Without the measured standstills: "tells no state 10.0 s after the last fault".
        self.play(43, 1, "--standstill", "1")

    def test_a_crashing_request_ends_three_engines_more_at_most(self):
        # Seed 42 failed once, beside two hunts: four ended later than 3 s after the
        # third. Not traced; entries that had just started are suspected.
        self.play(42, 5, "--crashing", "--sides", "8")

    def test_a_part_of_a_prompt_ends_one_engine_after_the_other(self):
        # No two of the requests are alike, so that none is known by its content.
        self.play(1, 6, "--crashing-part", "--sides", "8")

    def test_a_quarantine_outlasts_the_loss_of_all_entries(self):
        # All that was known of the request went with the processes: 4, 5 and 4 engines
        # ended anew in three runs. One trial is wanted.
        self.play(64, 3, "--crashing", "--blackout", "--sides", "8")

    def test_an_entry_that_has_just_started_knows_the_quarantine(self):
        # Seed 45 failed: a copy came to an entry 47 ms after its start, which heard of
        # the quarantine 123 ms later; three engines ended there.
        self.play(45, 5, "--crashing", "--sides", "8")

    def test_entries_together_keep_to_what_upstreams_say_of_themselves(self):
        self.play(35, 12, "--notices")

    def test_an_upstream_that_takes_the_place_of_one_that_left_says_nothing_yet(self):
        # Seed 6018 failed: an engine that had said that it leaves crashed, and the next one
        # in its place, under another id, went on saying so; the soak took both for one.
        self.play(6018, 12, "--notices")

    def test_a_staged_chunk_that_cannot_be_read_is_fetched_again(self):
        # Seed 801 with 100 sides failed once: reads of staged chunks timed out beside
        # load, and the new plan for them was never told who takes part.
        self.play(4, 1, "--misreads", "1")

    def test_a_configuration_written_after_the_store_came_back_older_is_taken(self):
        # Seed 5 failed: a configuration acknowledged at a revision below those of before
        # was not taken for more than 3 s.
        self.play(5, 4, "--rewinds", "1")

    def test_the_late_write_of_an_older_version_does_not_bring_it_back(self):
        # Seed 7 failed: all processes ended after the late write, the engines lost what
        # they had loaded, and the older version was loaded and served for good.
        self.play(7, 0, "--late-writes", "1")

    def test_a_version_overwritten_before_anybody_read_it_is_served(self):
        # Seed 3 failed: version 3 was named and written over by the name of version 2
        # while watches heard nothing; then all processes ended. Version 2 was served for
        # good.
        self.play(3, 0, "--unheard", "1")

    def test_silence_of_sound_upstreams_ends_no_answer(self):
        # Seeds 1, 3, 6 and 10 failed: attempts were cancelled for silence though no
        # other upstream could take them; streams were cut and callers got 502.
        self.play(1, 6, "--silences", "--sides", "2")

    def test_no_work_goes_on_for_callers_that_have_left(self):
        # Guards against streams that are held at suspended upstreams until their callers leave.
        self.play(1, 8, "--leaving")

    def test_no_request_is_sent_on_after_its_caller_gave_up(self):
        # Guards against busy entries that read requests and the closes of their callers at once,
        # and send the requests on.
        self.play(1, 8, "--busy")

    def test_nothing_is_done_after_a_pause_on_a_check_from_before_it(self):
        # Seeds 1, 2, 7, 8 and 9 failed: sidecars that stood still after reading the staged chunks back ordered chunks
        # that had turned bad meanwhile, and an entry that stood still while a record was removed took
        # the mirror of one that had just started, and went on sending to the upstream.
        self.play(9, 0, "--pauses", "1", "--entries", "5")

    def test_an_order_that_is_taken_late_makes_no_events_of_two_versions(self):
        # Seeds 5 and 6 failed: an engine stood still as its order arrived and took it after some
        # chunks of the next version had been put.
        self.play(5, 0, "--pauses", "3", "--entries", "5")

    def test_weights_that_no_process_has_checked_make_no_events(self):
        # Seeds 2, 3, 5 and 6 failed: sidecars trusted what their killed predecessor had loaded. Guards
        # as well against entries that start meanwhile and go by the record of the upstream.
        self.play(3, 0, "--pauses", "2", "--ends", "--entries", "5")

    def test_retries_of_lost_responses_keep_to_the_budget(self):
        # Guards against repeats that no entry counts: upstreams read requests and lose
        # their responses by a reset.
        self.play(1, 6, "--lost-responses", "--sides", "6")

    def test_streams_that_broke_off_are_not_framed_as_complete(self):
        # Seeds 1 and 2 failed: the end of a connection was taken for the end of a stream.
        self.play(1, 6, "--unframed")

    def test_hard_load_keeps_its_bounds(self):
        # Guards against requests at evacuated halls, outside their regions or beyond the rate of
        # cold engines, and against work for callers that closed. Without the code for each part,
        # seeds 4, 11, 13, 18, 19 and 20 fail.
        self.play(20261204, 3, "--hard-load", "evacuation,cold,regions,pace,readers", "--sides", "6")


if __name__ == "__main__":
    unittest.main()
