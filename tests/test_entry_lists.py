"""Lists of targets on their way from the store through other entries.

Seen: a request reached a target 3.3 s after its entry had vanished from the
store, sent by an entry that had dropped it long before.

How it came about: the entry that reads the store for the others stood still for
three seconds, while the target left.  When it went on it found that it had not
read for a while, and held the missing target for 2.2 s as one whose entry may
only have lapsed.  Its list was the newest of all and didn't say so: the others
took the target back from it.

Proof: the order of events below, and the log of the day (the reader falls
silent, the target is gone at the others, the reader is chosen again, and 0.8 s
later the request is sent).
"""

import unittest

import anyio

from tests.following import Store, run_entries
from trestledock.entry._peers import Peer

#: How long the reader stands still, in seconds: long enough for a gap between
#: its reads to count.
PAUSE_S = 3.3


class ReaderStoodStillTest(unittest.TestCase):
    """A target leaves while the reader of the list stands still."""

    def test_gone_target_stays_gone(self):
        """Who has dropped the target does not take it back."""
        store = Store(1, 2)

        async def scenario(reader, other):
            reader.stand_still(PAUSE_S)
            store.remove(1)
            await other.read()
            before = other.get_usable()
            await reader.read()
            await other.ask(reader)
            return before, other.get_usable()

        self.assertEqual(run_entries(2, store, scenario), ({'t2'}, {'t2'}))

    def test_others_learn_of_it_at_once(self):
        """Who relies on the reader drops the target with its next answer."""
        store = Store(1, 2)

        async def scenario(reader, other):
            await reader.read()
            await other.ask(reader)
            reader.stand_still(PAUSE_S)
            store.remove(1)
            await reader.read()
            await other.ask(reader)
            return other.get_usable()

        self.assertEqual(run_entries(2, store, scenario), {'t2'})

    def test_new_entry_learns_of_what_is_held(self):
        """Who never knew the target holds it for as long as the reader does."""
        store = Store(1, 2)

        async def scenario(reader, other):
            reader.stand_still(PAUSE_S)
            store.remove(1)
            await reader.read()
            other.state.fleet.targets.clear()
            other.state.fleet.newest.clear()
            other.state.fleet.watch.resumed_at = anyio.current_time()
            await other.ask(reader)
            return other.state.fleet.held

        self.assertEqual(set(run_entries(2, store, scenario)), {'t1'})


class OutageTest(unittest.TestCase):
    """The store is away for all, and a target's entry lapses meanwhile."""

    def play(self, scenario):
        """Return what an entry uses after `scenario(reader, other)`."""
        store = Store(1, 2)

        async def outage(reader, other):
            store.down = True
            for entry in (reader, other):
                entry.stand_still(PAUSE_S)
                await entry.read()
            store.down = False
            store.remove(1)
            await scenario(reader, other)
            return other.get_usable()

        return run_entries(2, store, outage)

    def test_lapsed_target_is_held_by_all(self):
        """Who saw the outage holds what the reader doesn't list."""

        async def scenario(reader, other):
            await reader.read()
            await other.ask(reader)

        self.assertEqual(self.play(scenario), {'t1', 't2'})

    def test_entry_that_has_just_begun_drops_nothing(self):
        """Its list has no lapsed targets, but it can't vouch for that."""

        async def scenario(reader, other):
            reader.state.fleet.targets.clear()
            reader.state.fleet.watch.read_at = float('-inf')
            await reader.read()
            await other.ask(reader)

        self.assertEqual(self.play(scenario), {'t1', 't2'})

    def test_settled_reader_is_believed(self):
        """Who followed the store all the while says that it has gone."""

        async def scenario(reader, other):
            await other.read()
            watch = reader.state.fleet.watch
            watch.read_at += PAUSE_S
            await reader.read()
            await other.ask(reader)

        self.assertEqual(self.play(scenario), {'t2'})


class OlderListTest(unittest.TestCase):
    """Lists that come late."""

    def test_older_list_changes_nothing(self):
        """An entry that has read since then leaves an older list alone."""
        store = Store(1, 2)

        async def scenario(reader, other):
            store.put(3, 1)
            await other.read()
            reader.stand_still(PAUSE_S)
            other.exchange.gossip.peers.known[reader.name] = Peer(
                reader.address, anyio.current_time(), 0
            )
            news = await other.exchange.fetch(reader.name, 1)
            other.follower._apply_list(news)
            return other.get_usable()

        self.assertEqual(run_entries(2, store, scenario), {'t1', 't2', 't3'})
