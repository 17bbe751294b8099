"""What the order of the faults of a soak run depends on."""

import unittest
from random import Random
from types import SimpleNamespace
from unittest.mock import patch

import anyio

from tests.soak import faults
from tests.virtual_loop import run_virtually

SEED = 104
FAULTS = 30


class FaultOrderTest(unittest.TestCase):
    """Two runs of a seed draw the same faults."""

    def draw(self, crashes):
        """Return the faults of a run in which targets crash in between."""
        rng = Random(SEED)
        drawn = []
        world = SimpleNamespace(
            size=SimpleNamespace(plan='deadly'),
            finished=False,
            has_targets=lambda: True,
        )

        def make_kind(name):
            async def fault(_, own_rng):
                drawn.append((name, anyio.current_time(), own_rng.random()))
                world.finished = len(drawn) >= FAULTS
                for _ in range(crashes):
                    rng.random()

            return fault

        kinds = {
            make_kind(kind.__name__): weight
            for kind, weight in faults.DEADLY.items()
        }

        async def main():
            began_at = anyio.current_time()
            await faults.inject_faults(world, rng)
            return [
                (name, round(at - began_at, 6), own)
                for name, at, own in drawn[:FAULTS]
            ]

        with patch.object(faults, 'PLANS', {'deadly': kinds}):
            return run_virtually(main)

    def test_crashes_by_requests(self):
        # The number of crashes is the product's, and two versions of it could
        # not be compared: one got more kills of all entries than the other.
        without = self.draw(crashes=0)
        self.assertEqual(len(without), FAULTS)
        self.assertEqual(without, self.draw(crashes=3))
