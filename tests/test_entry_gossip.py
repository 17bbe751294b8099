"""Who is told what, with few entries and with many."""

import unittest
from dataclasses import replace
from itertools import repeat
from random import Random

import anyio

from tests.relaying import SETTINGS, make_listed
from trestledock.entry._gossip import (
    FAR_PATIENCE_S,
    FAR_TURNS,
    MOST_TOLD_ALL,
    PATIENCE_S,
    WHOLE_S,
    Gossip,
)
from trestledock.entry._state import EntryState
from trestledock.relay import Flight, Phase


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


class FarTest(unittest.TestCase):
    """What entries of other data centres hear of this one."""

    def test_only_flights_at_their_targets(self):
        """A flight is told where its target or a helper of it is."""

        async def main():
            gossip = make_gossip(near=2, far=MOST_TOLD_ALL)
            fleet = gossip.state.fleet
            fleet.put(make_listed(0, 1))
            fleet.put(replace(make_listed(1, 2), data_centre='other'))
            own = [
                (name, Flight(name, target, 9, 9, Phase.reading, 0))
                for name, target in (('a', 't0'), ('b', 't1'))
            ]
            sent = []

            async def tell(flights, where, *, whole):
                sent.append(([name for name, _ in flights], len(where), whole))

            gossip._tell = tell
            await gossip._tell_far(own)
            self.assertEqual(sent, [(['b'], MOST_TOLD_ALL, True)])

        anyio.run(main)

    def test_nobody_is_far_among_few(self):
        """Few entries are all told everything."""

        async def main():
            gossip = make_gossip(near=3, far=3)
            self.assertEqual(gossip._get_far(), {})

        anyio.run(main)

    def test_patience_covers_two_messages(self):
        """One lost datagram, or one that is late, loses no peer."""
        self.assertGreater(PATIENCE_S, 3 * WHOLE_S)
        self.assertGreater(FAR_PATIENCE_S, 2 * FAR_TURNS * WHOLE_S)

    def test_silent_peers(self):
        """Near ones are forgotten sooner than far ones."""

        async def main():
            gossip = make_gossip(near=1, far=MOST_TOLD_ALL)
            now = anyio.current_time()
            gossip._drop_silent(now + PATIENCE_S + 0.5)
            self.assertEqual(len(gossip.peers), MOST_TOLD_ALL)
            self.assertEqual(gossip.state.board.count_peers(), MOST_TOLD_ALL)
            gossip._drop_silent(now + FAR_PATIENCE_S + 0.5)
            self.assertEqual(gossip.peers, {})

        anyio.run(main)


class BeatTest(unittest.TestCase):
    """How entries of other data centres hear this one, and are heard."""

    def test_told_elsewhere_only(self):
        """Few entries let other data centres hear them."""
        told = []

        async def send(message, *where):
            told.append((message['kind'], where))

        async def main():
            gossip = make_gossip(near=2, far=2)
            gossip.send = send
            with anyio.move_on_after(0.5):
                await gossip._beat()
            far = [
                address
                for address, place in gossip.addresses.items()
                if place == 'other'
            ]
            self.assertEqual(set(told), {('beat', tuple(far))})

        anyio.run(main)

    def test_silence_is_noted(self):
        """A data centre that was heard and falls silent is left alone."""

        async def main():
            gossip = make_gossip(near=1, far=2)
            state = gossip.state
            now = anyio.current_time()
            for passed_s in (0.2, 0.4, 0.6):
                state.check_reach(now + passed_s)
            self.assertTrue(state.health.is_suspect('t', now + 0.7, 'other'))
            beat = {'from': 'p001', 'data_centre': 'other'}
            gossip._take_beat(beat, ('10.0.0.1', 1))
            self.assertFalse(state.health.is_suspect('t', now + 0.8, 'other'))

        anyio.run(main)
