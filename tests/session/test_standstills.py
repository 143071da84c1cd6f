"""How the soak measures moments at which the machine gave it no time."""

import asyncio
import pathlib
import sys
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "soak"))
from standstills import Standstills  # noqa: E402


class MeasuredStandstills(unittest.TestCase):
    def test_only_what_lies_between_two_moments_counts(self):
        one = Standstills()
        one.spans = [(10.0, 13.0), (20.0, 21.0)]
        self.assertEqual(one.lasted(0, 9), 0)
        self.assertEqual(one.lasted(11, 12), 1)
        self.assertEqual(one.lasted(12, 30), 2)
        self.assertEqual(one.lasted(13, 20), 0)

    def test_a_loop_that_is_held_up_is_measured(self):
        async def held_up():
            one = Standstills()
            watching = asyncio.create_task(one.watch())
            await asyncio.sleep(0.2)
            time.sleep(0.8)
            await asyncio.sleep(0.1)
            watching.cancel()
            return one.spans

        spans = asyncio.run(held_up())
        self.assertEqual(len(spans), 1)
        self.assertAlmostEqual(spans[0][1] - spans[0][0], 0.85, delta=0.2)


if __name__ == "__main__":
    unittest.main()
