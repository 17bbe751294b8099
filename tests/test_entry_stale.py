"""What an entry keeps under a fresh stamp, or holds without own evidence.

Found by reading, cold; each of these orders of events was then played.
"""

import unittest

import anyio

from tests.following import Store, run_entries
from trestledock.entry._peers import Peer

#: How long the reader stands still, in seconds.
PAUSE_S = 3.3
#: How long a fetch waits for a busy reader, in seconds.
BUSY_S = 0.2
#: Between one read and the next, in seconds.
STEP_S = 0.05


def meet(other, entry):
    """Have an entry know where another one is."""
    other.gossip.peers.known[entry.name] = Peer(
        entry.address, anyio.current_time(), 0
    )


class SequenceTest(unittest.TestCase):
    """Heartbeats change nothing for others, so these know old sequences."""

    def test_own_read_brings_nothing_back(self):
        """A target that is known to be gone is not held after a disturbance.

        The own read begins where the last one ended, long before, so that it
        brings the target's heartbeats once more, and then its removal.
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

    A fetched list counts as of the question's instant less its age, so it is
    newer than its stamp by as long as the fetch took.  The second reader has
    read before the change, but after that stamp.
    """

    def play(self, change):
        """Return what an entry uses once the first reader is asked again."""
        store = Store(1, 2)

        async def scenario(first, second, other):
            meet(other, first)
            meet(other, second)
            await anyio.sleep(BUSY_S * 2)
            store.put(1, 5)
            news = other.exchange.fetch(first.name, 1)
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
            other.follower._apply_list(await news)
            other.exchange._get = get
            before = other.get_usable()
            await other.ask(second)
            await first.read()
            await other.ask(first)
            return before, other.get_usable()

        before, after = run_entries(3, store, scenario)
        self.assertEqual(before, after)

    def test_gone_target_stays_gone(self):
        """It came back, and stayed: the first reader's revision is known."""
        self.play(lambda store: store.remove(1))

    def test_new_target_is_not_lost(self):
        """It is dropped for good: the first reader's revision is known."""
        self.play(lambda store: store.put(3, 1))
