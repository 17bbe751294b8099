"""Lists of targets that pass from the store through other entries.

Guards against requests to removed targets: one was sent 3.3 s after the
target's record had been removed, by an entry that had dropped the target long
before. The reader had been paused for three seconds while the target was
removed. It then noticed that it had not read for a while, and retained the
missing target for 2.2 s because its record might only have lapsed. Its list was
the newest and did not mark the target as retained, so that the others added it
again. The log shows the silent reader, the removal at the other entries, the
choice of the reader, and the request 0.8 s later.
"""

import unittest

import anyio

from tests.following import Store, run_entries
from trestledock.entry._peers import Peer

#: Length of the reader's pause, in seconds: enough for its reads to count as
#: interrupted.
PAUSE_S = 3.3


class PausedReaderTest(unittest.TestCase):
    """A target is removed while the reader of the list is paused."""

    def test_removed_target_stays_removed(self):
        """An entry that has dropped the target does not add it again."""
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

    def test_removal_reaches_other_entries_at_once(self):
        """An entry drops the target with the reader's next answer."""
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

    def test_new_entry_retains_target(self):
        """An entry new to the target retains it as long as the reader."""
        store = Store(1, 2)

        async def scenario(reader, other):
            reader.stand_still(PAUSE_S)
            store.remove(1)
            await reader.read()
            other.state.fleet.targets.clear()
            other.state.fleet.newest.clear()
            other.state.fleet.watch.resumed_at = anyio.current_time()
            await other.ask(reader)
            return other.state.fleet.retained

        self.assertEqual(set(run_entries(2, store, scenario)), {'t1'})


class OutageTest(unittest.TestCase):
    """The store is unavailable for all, and a target's record lapses."""

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

    def test_lapsed_target_is_retained_by_all(self):
        """An entry that noticed the outage retains unlisted targets."""

        async def scenario(reader, other):
            await reader.read()
            await other.ask(reader)

        self.assertEqual(self.play(scenario), {'t1', 't2'})

    def test_list_of_new_entry_removes_nothing(self):
        """Its list lacks lapsed targets, which proves no removal."""

        async def scenario(reader, other):
            reader.state.fleet.targets.clear()
            reader.state.fleet.watch.read_at = float('-inf')
            await reader.read()
            await other.ask(reader)

        self.assertEqual(self.play(scenario), {'t1', 't2'})

    def test_settled_reader_removes_target(self):
        """A reader that followed the store throughout reports the removal."""

        async def scenario(reader, other):
            await other.read()
            watch = reader.state.fleet.watch
            watch.read_at += PAUSE_S
            await reader.read()
            await other.ask(reader)

        self.assertEqual(self.play(scenario), {'t2'})


class OlderListTest(unittest.TestCase):
    """Lists that arrive late."""

    def test_older_list_changes_nothing(self):
        """An entry that has read since then ignores an older list."""
        store = Store(1, 2)

        async def scenario(reader, other):
            store.put(3, 1)
            await other.read()
            reader.stand_still(PAUSE_S)
            other.exchange.gossip.peers.known[reader.name] = Peer(
                reader.address, anyio.current_time(), 0
            )
            update = await other.exchange.fetch(reader.name, 1)
            other.follower._apply_list(update)
            return other.get_usable()

        self.assertEqual(run_entries(2, store, scenario), {'t1', 't2', 't3'})
