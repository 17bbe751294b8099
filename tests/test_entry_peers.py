"""Who is heard, and what an ending entry does where nobody else goes on.

Seen on a day of planned work: all entries were asked to end within 1.2 s.  Each
took nothing new after three seconds and ended after seven, so callers found
nobody for some four seconds, and spent their repeats on that.
"""

import unittest

import anyio

from tests.virtual_loop import run_virtually
from trestledock.entry._daemon import LOOK_S, stay_while_alone
from trestledock.entry._neighbours import MOST_TOLD_ALL
from trestledock.entry._peers import Peers
from trestledock.entry._words import Flights

LIMIT_S = 2.5


def hear(peers, name, *, leaving=False, place='dc', now=0.0, port=1):
    """Have an entry be heard."""
    word = Flights(name, 1, True, place, leaving, 0.1, 0.5, ())
    return peers.hear(word, ('10.0.0.1', port), now)


class AloneTest(unittest.TestCase):
    """How long an ending entry goes on taking requests."""

    def play(self, peers, change=None):
        """Return for how long it stays, with a change after one second."""

        async def main():
            async with anyio.create_task_group() as group:
                if change:
                    group.start_soon(self.do_later, change)
                began_at = anyio.current_time()
                await stay_while_alone(peers, LIMIT_S)
                return anyio.current_time() - began_at

        return run_virtually(main)

    async def do_later(self, change):
        await anyio.sleep(1)
        change()

    def test_others_go_on(self):
        """It stops at once: callers go elsewhere."""
        peers = Peers('dc')
        hear(peers, 'a', leaving=True)
        hear(peers, 'b')
        self.assertEqual(self.play(peers), 0)

    def test_all_are_leaving(self):
        """It serves on for as long as there is time to finish."""
        peers = Peers('dc')
        hear(peers, 'a', leaving=True)
        self.assertAlmostEqual(self.play(peers), LIMIT_S)
        self.assertAlmostEqual(self.play(Peers('dc')), LIMIT_S)

    def test_one_is_back(self):
        """It stops as soon as somebody else listens."""
        peers = Peers('dc')
        hear(peers, 'a', leaving=True)
        found = self.play(peers, lambda: hear(peers, 'b'))
        self.assertAlmostEqual(found, 1, delta=LOOK_S)


class PeersTest(unittest.TestCase):
    """The entries that are heard."""

    def test_near_among_many(self):
        """Of many only those of the own data centre are near."""
        peers = Peers('dc')
        for number in range(MOST_TOLD_ALL + 1):
            hear(peers, f'p{number}', place='other', port=number)
        hear(peers, 'near', port=99)
        self.assertEqual(peers.get_near(), ['near'])
        self.assertTrue(peers.is_near('near'))
        self.assertFalse(peers.is_near('p0'))

    def test_news_grow_old(self):
        """What was told is as old as it was, and older since."""
        peers = Peers('dc')
        hear(peers, 'a')
        found = next(peers.get_candidates(now=2))
        self.assertAlmostEqual(found.age_s, 2.1)
        peers.note_fresh('a', 0, now=3)
        self.assertEqual(next(peers.get_candidates(now=3)).age_s, 0)

    def test_next_process_at_an_address(self):
        """It takes the place of the one before it."""
        peers = Peers('dc')
        hear(peers, 'a#1')
        hear(peers, 'b#1', port=2)
        self.assertTrue(hear(peers, 'a#2'))
        self.assertEqual(peers.get_others_at('a#2'), ['a#1'])
