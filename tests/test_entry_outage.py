"""The store becomes unavailable to all just after a target is removed.

The store acknowledged the removal while it worked, so that no connected entry
sends to the target once the store has been back for long enough.
"""

import unittest
from random import Random

import anyio

from tests.living import CALL_S, Life, SlowStore, run_life
from tests.test_entry_pace import EXCUSED_S, STEP_S

#: Duration of a call without an answer or a timeout, in seconds.
SILENCE_S = 9.0
#: Time of observation, in seconds.
WATCH_S = 5.0
COUNT = 6
SEEDS = range(20)


class SilentStore(SlowStore):
    """Store that does not answer while it is unavailable."""

    async def wait(self):
        """Wait for the duration of a call."""
        await anyio.sleep(SILENCE_S if self.down else CALL_S)


class OutageTest(unittest.TestCase):
    """The outage begins before all entries have read the removal."""

    def test_target_removed_before_outage(self):
        """The target gets nothing once the store has been back long enough."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(self.play(seed), set())

    def play(self, seed):
        """Return the entries that use the target after the outage."""
        rng = Random(seed)
        store = SilentStore(1, 2)

        async def scenario(life):
            for entry in life.entries:
                entry.reading.store = store
            await anyio.sleep(8 + rng.random())
            store.remove(1)
            await anyio.sleep(rng.uniform(0, 0.4))
            store.down = True
            await anyio.sleep(rng.uniform(0.5, 5))
            store.down = False
            await anyio.sleep(EXCUSED_S)
            return await watch(life)

        return run_life(COUNT, (1, 2), scenario)


async def watch(life: Life):
    """Return the entries that use the target from now on."""
    wrong = set()
    for _ in range(round(WATCH_S / STEP_S)):
        await anyio.sleep(STEP_S)
        wrong.update(
            entry.name for entry in life.entries if 't1' in entry.get_usable()
        )
    return wrong
