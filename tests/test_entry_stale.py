"""Outdated state with a recent time, or targets retained without evidence.

Both faults were found by reading the code, and then reproduced by these orders
of events.
"""

import unittest

import anyio

from tests.following import Store, run_entries
from trestledock.entry._peers import Peer

#: Length of the reader's pause, in seconds.
PAUSE_S = 3.3
#: Delay of a fetch from a busy reader, in seconds.
BUSY_S = 0.2
#: Time between two reads, in seconds.
STEP_S = 0.05


def meet(other, entry):
    """Make the address of an entry known to another one."""
    other.gossip.peers.known[entry.name] = Peer(
        entry.address, anyio.current_time(), 0
    )


class SequenceTest(unittest.TestCase):
    """Heartbeats aren't passed on, so other entries know older sequences."""

    def test_own_read_does_not_restore_target(self):
        """A removed target is not retained after a disturbance.

        The own read begins where the last one ended, long before, so that it
        returns the target's heartbeats again, and then its removal.
        """
        store = Store(1, 2)

        async def scenario(reader, other):
            store.put(1, 5)
            store.remove(1)
            await reader.read()
            await other.ask(reader)
            before = other.get_usable()
            other.stand_still(PAUSE_S)
            await other.read()
            return before, other.get_usable()

        self.assertEqual(run_entries(2, store, scenario), ({'t2'}, {'t2'}))


class CrossingTest(unittest.TestCase):
    """Lists of two readers that cross, the first one fetched slowly.

    A fetched list counts as of the time of the question minus its age, so it is
    newer than its time by the duration of the fetch. The second reader has read
    before the change, but after that time.
    """

    def play(self, change):
        """Return what an entry uses once the first reader is asked again."""
        store = Store(1, 2)

        async def scenario(first, second, other):
            meet(other, first)
            meet(other, second)
            await anyio.sleep(BUSY_S * 2)
            store.put(1, 5)
            update = other.exchange.fetch(first.name, 1)
            get = other.exchange._get

            async def get_slowly(address, asked):
                await anyio.sleep(STEP_S)
                await second.read()
                await anyio.sleep(STEP_S)
                change(store)
                await first.read()
                await anyio.sleep(BUSY_S)
                return await get(address, asked)

            other.exchange._get = get_slowly
            other.follower._apply_list(await update)
            other.exchange._get = get
            before = other.get_usable()
            await other.ask(second)
            await first.read()
            await other.ask(first)
            return before, other.get_usable()

        before, after = run_entries(3, store, scenario)
        self.assertEqual(before, after)

    def test_removed_target_stays_removed(self):
        """It returned for good, as the first reader's revision was known."""
        self.play(lambda store: store.remove(1))

    def test_new_target_is_not_lost(self):
        """It was dropped for good, as the first reader's revision was known."""
        self.play(lambda store: store.put(3, 1))
