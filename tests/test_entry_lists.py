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

from tests.following import Store, run_entries

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
