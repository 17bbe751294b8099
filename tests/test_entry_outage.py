"""A target leaves, and just after that the store is away for everybody.

Its removal was acknowledged by a store that was well, so nobody in touch sends
to it once the store has been well again for long enough.
"""

import unittest
from random import Random

import anyio

from tests.living import CALL_S, Life, SlowStore, run_life
from tests.test_entry_pace import EXCUSED_S, STEP_S

#: How long a call without an answer takes if nobody gives up, in seconds.
SILENCE_S = 9.0
#: For how long is looked, in seconds.
WATCH_S = 5.0
COUNT = 6
SEEDS = range(20)


class SilentStore(SlowStore):
    """A store that says nothing while it is away."""

    async def wait(self):
        """Take the time of a call."""
        await anyio.sleep(SILENCE_S if self.down else CALL_S)


class OutageTest(unittest.TestCase):
    """The outage begins before the removal has been read by all."""

    def test_target_that_left_before(self):
        """It gets nothing once the store has been back for long enough."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(self.play(seed), set())

    def play(self, seed):
        """Return who uses the target, with how long after the outage."""
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
            one.name for one in life.entries if 't1' in one.get_usable()
        )
    return wrong
