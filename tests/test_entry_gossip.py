"""Which entries receive what, with few entries and with many."""

import json
import unittest
from dataclasses import replace
from itertools import repeat
from random import Random

import anyio

from tests.relaying import SETTINGS, make_listed
from trestledock.entry._gossip import FULL_STATE_INTERVAL_S, Gossip
from trestledock.entry._peer_addresses import MAX_FULL_MESH
from trestledock.entry._peers import MIN_TIMEOUT_S, TIMEOUT_INTERVALS, Peer
from trestledock.entry._state import EntryState
from trestledock.entry._message_codec import encode_message
from trestledock.entry._messages import Beat
from trestledock.relay import Flight, Phase


def make_message(name, data_centre, **fields):
    message = {
        'kind': 'flights',
        'from': name,
        'sequence': 1,
        'whole': True,
        'data_centre': data_centre,
        'news_age_ms': 100,
        'flights': [],
    }
    return json.dumps({**message, **fields}).encode()


def make_gossip(near, far, far_again_ms=500):
    """Return a gossip that has received messages from near and far entries."""
    gossip = Gossip(EntryState(SETTINGS, 'e#a', Random(1), None))
    data_centres = [*repeat('dc', near), *repeat('other', far)]
    for number, data_centre in enumerate(data_centres):
        name = f'p{number:03}'
        again_ms = 500 if data_centre == 'dc' else far_again_ms
        raw = make_message(name, data_centre, again_ms=again_ms)
        gossip.handle_datagram(raw, ('10.0.0.1', number))
    return gossip


class GroupTest(unittest.TestCase):
    """The own data centre gets the full state often, the others rarely."""

    def check(self, near, far, receivers, readers):
        async def main():
            gossip = make_gossip(near, far)
            self.assertEqual(len(gossip._get_full_state_receivers()), receivers)
            found = gossip.get_candidates(anyio.current_time())
            self.assertEqual(len(found), readers)

        anyio.run(main)

    def test_few_entries(self):
        """A few entries all exchange everything, and share one reader."""
        self.check(near=4, far=4, receivers=8, readers=9)

    def test_many_entries(self):
        """With many entries each data centre is separate, with its reader."""
        far = MAX_FULL_MESH
        self.check(near=5, far=far, receivers=5, readers=6)


class RemoteTest(unittest.TestCase):
    """What entries of other data centres receive from this one."""

    def test_remote_entries_get_requests_at_their_targets(self):
        """A request is sent where its target or one of its helpers is."""

        async def main():
            gossip = make_gossip(near=2, far=MAX_FULL_MESH)
            fleet = gossip.state.fleet
            fleet.put(make_listed(0, 1))
            fleet.put(replace(make_listed(1, 2), data_centre='other'))
            own = [
                (name, Flight(name, target, 9, 9, Phase.prefill, 0))
                for name, target in (('a', 't0'), ('b', 't1'))
            ]
            sent = []

            def send_flights(changes, addresses, *, whole, again_s):
                sent.append(
                    ([name for name, _ in changes], len(addresses), whole)
                )

            gossip.state.load_table.own.update(own)
            gossip._send_flights = send_flights
            gossip._send_remote_states()
            self.assertEqual(sent, [(['b'], MAX_FULL_MESH, True)])

        anyio.run(main)

    def test_few_entries_are_all_near(self):
        """A few entries all exchange everything."""

        async def main():
            gossip = make_gossip(near=3, far=3)
            self.assertEqual(
                gossip.addresses.get_remote_by_data_centre(many=False), {}
            )

        anyio.run(main)

    def test_timeout_covers_two_messages(self):
        """A single lost or late datagram does not time out a peer."""
        self.assertGreater(MIN_TIMEOUT_S, 3 * FULL_STATE_INTERVAL_S)
        for again_s in (FULL_STATE_INTERVAL_S, 2, 15):
            peer = Peer(('10.0.0.1', 1), 0, 0, again_s=again_s)
            self.assertFalse(peer.is_silent(2 * again_s + 0.1))

    def test_silent_peers(self):
        """Near peers time out sooner than far ones."""

        async def main():
            gossip = make_gossip(near=1, far=MAX_FULL_MESH, far_again_ms=3000)
            now = anyio.current_time()
            gossip._drop_silent(now + MIN_TIMEOUT_S + 0.5)
            self.assertEqual(len(gossip.peers.known), MAX_FULL_MESH)
            self.assertEqual(
                gossip.state.load_table.count_peers(), MAX_FULL_MESH
            )
            gossip._drop_silent(now + 3 * TIMEOUT_INTERVALS + 0.5)
            self.assertEqual(gossip.peers.known, {})

        anyio.run(main)


class HeartbeatTest(unittest.TestCase):
    """Heartbeats to and from other data centres."""

    def test_heartbeats_go_to_other_data_centres_only(self):
        """With few entries heartbeats go to other data centres only."""
        sent = []

        def send(message, addresses):
            sent.append((type(message), tuple(addresses)))

        async def main():
            gossip = make_gossip(near=2, far=2)
            gossip.send = send
            with anyio.move_on_after(0.5):
                await gossip._exchange_heartbeats()
            far = [
                address
                for address, centre in gossip.addresses.data_centres.items()
                if centre == 'other'
            ]
            self.assertEqual(set(sent), {(Beat, tuple(far))})

        anyio.run(main)

    def test_silent_data_centre_is_suspected(self):
        """A data centre that becomes silent after its messages is suspected."""

        async def main():
            gossip = make_gossip(near=1, far=2)
            state = gossip.state
            now = anyio.current_time()
            for passed_s in (0.2, 0.4, 0.6):
                state.check_reachability(now + passed_s)
            self.assertTrue(state.health.is_suspect('t', now + 0.7, 'other'))
            beat = Beat('p001', 'other', leaving=False)
            gossip.handle_datagram(encode_message(beat, now), ('10.0.0.1', 1))
            self.assertFalse(state.health.is_suspect('t', now + 0.8, 'other'))

        anyio.run(main)
