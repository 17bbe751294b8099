"""Who is told what, with few entries and with many."""

import unittest
from itertools import repeat
from random import Random

import anyio

from tests.relaying import SETTINGS
from trestledock.entry._gossip import MOST_TOLD_ALL, Gossip
from trestledock.entry._state import EntryState


def make_message(name, place):
    return {
        'from': name,
        'sequence': 1,
        'whole': True,
        'data_centre': place,
        'news_age_ms': 100,
        'flights': [],
    }


def make_gossip(near, far):
    """Return a gossip that has heard some entries near and far."""
    gossip = Gossip(EntryState(SETTINGS, 'e#a', Random(1), None))
    places = [*repeat('dc', near), *repeat('other', far)]
    for number, place in enumerate(places):
        name = f'p{number:03}'
        gossip._take_flights(make_message(name, place), ('10.0.0.1', number))
    return gossip


class ReachTest(unittest.TestCase):
    """The own data centre is told at once, the others more rarely."""

    def check(self, near, far, told, readers):
        async def main():
            gossip = make_gossip(near, far)
            self.assertEqual(len(gossip._get_near()), told)
            found = gossip.get_candidates(anyio.current_time())
            self.assertEqual(len(found), readers)

        anyio.run(main)

    def test_few(self):
        """Few entries are all told, and share one reader."""
        self.check(near=4, far=4, told=8, readers=9)

    def test_many(self):
        """Of many only the own data centre is; it has its own reader."""
        far = MOST_TOLD_ALL
        self.check(near=5, far=far, told=5, readers=6)
