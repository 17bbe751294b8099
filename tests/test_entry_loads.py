"""Load queries between data centres with many entries."""

import json
import unittest
from dataclasses import replace
from random import Random
from unittest.mock import patch

import anyio

from tests.relaying import SETTINGS, make_listed
from tests.test_entry_gossip import make_message
from tests.virtual_loop import run_virtually
from trestledock.entry import WireError, _loads
from trestledock.entry._gossip import Gossip
from trestledock.entry._loads import LoadExchange
from trestledock.entry._peer_addresses import MAX_FULL_MESH
from trestledock.entry._state import EntryState
from trestledock.relay import Flight, Phase

OWN, OTHER = 'dc', 'other'
#: How long a call of another entry takes, in seconds.
CALL_S = 0.005
ADDRESS = ('10.0.0.1', 99)


def make_flight(name, target, **fields):
    return Flight(name, target, 300_000, 1_000, Phase.prefill, 0.0, **fields)


class Entry:
    """One entry of many, in two data centres with one target each."""

    def __init__(self, place):
        settings = replace(SETTINGS, data_centre=place)
        self.state = EntryState(settings, f'{place}#1', Random(1), None)
        self.gossip = Gossip(self.state)
        self.loads = LoadExchange(self.state, self.gossip)
        self.sent = []
        self.gossip.send = self._send
        fleet = self.state.fleet
        fleet.put(replace(make_listed(0, 1), data_centre=OWN))
        fleet.put(replace(make_listed(1, 2), data_centre=OTHER))
        for number in range(MAX_FULL_MESH + 1):
            there = OTHER if number % 2 else OWN
            raw = make_message(f'p{number}', there, again_ms=3000)
            self.gossip.handle_datagram(raw, ('10.0.0.1', number))

    def _send(self, message, addresses):
        self.sent.append((message, list(addresses)))


class LoadTest(unittest.TestCase):
    """Queries and answers."""

    def run_pair(self, scenario):
        """Run `scenario(own, other, calls)`; calls of `own` reach `other`."""

        async def main():
            own, other = Entry(OWN), Entry(OTHER)
            calls = []

            async def call(address, path):
                calls.append(path)
                await anyio.sleep(CALL_S)
                return json.loads(other.loads.make_load(OWN))

            with patch.object(_loads, 'call_peer', call):
                return await scenario(own, other, calls)

        return run_virtually(main)

    def test_remote_flights_are_known(self):
        async def scenario(own, other, calls):
            other.state.load_table.put(make_flight('a', 't1'))
            await own.state.refresh_loads()
            now = anyio.current_time()
            flights = own.state.load_table.get_flights('t1')
            return [
                flight.target for flight in flights
            ], own.state.get_known_remote_loads(now)

        self.assertEqual(self.run_pair(scenario), (['t1'], {OTHER}))

    def test_remote_flights_expire(self):
        async def scenario(own, other, calls):
            other.state.load_table.put(make_flight('a', 't1'))
            await own.state.refresh_loads()
            await anyio.sleep(1)
            known = own.state.get_known_remote_loads(anyio.current_time())
            return known, tuple(own.state.load_table.get_flights('t1'))

        self.assertEqual(self.run_pair(scenario), (set(), ()))

    def test_own_flights_are_counted_once(self):
        """The other entry knows these flights, and leaves them out."""

        async def scenario(own, other, calls):
            flight = make_flight('a', 't1')
            other.state.load_table.apply_update(
                'p0', 9, [('a', flight)], whole=True
            )
            await own.state.refresh_loads()
            return tuple(own.state.load_table.get_flights('t1'))

        self.assertEqual(self.run_pair(scenario), ())

    def test_simultaneous_prompts_share_an_answer(self):
        async def scenario(own, other, calls):
            async with anyio.create_task_group() as group:
                for _ in range(3):
                    group.start_soon(own.state.refresh_loads)
            return len(calls)

        self.assertEqual(self.run_pair(scenario), 1)

    def test_no_answer(self):
        """Without an answer no remote load is known, and the query ends."""

        async def scenario(own, other, calls):
            async def call(address, path):
                raise WireError('connect', 'timed out')

            with patch.object(_loads, 'call_peer', call):
                await own.state.refresh_loads()
            return own.state.get_known_remote_loads(anyio.current_time())

        self.assertEqual(self.run_pair(scenario), set())

    def test_invalid_answer(self):
        """Guards against one that ends the request that needs the loads.

        After each of them the data centre is not asked for a second.
        """

        async def scenario(own, other, calls):
            for plain in ({}, {'flights': 5}, {'flights': [['a', 'b']]}):

                async def call(address, path, plain=plain):
                    return plain

                with patch.object(_loads, 'call_peer', call):
                    await own.state.refresh_loads()
                await anyio.sleep(_loads.RETRY_INTERVAL_S + 0.1)
            return own.state.get_known_remote_loads(anyio.current_time())

        self.assertEqual(self.run_pair(scenario), set())


class RemoteUpdateTest(unittest.TestCase):
    """Flights at remote targets are sent to their data centre at once."""

    def play(self, target):
        """Return the messages about a flight that starts and ends."""

        async def main():
            entry = Entry(OWN)
            load_table = entry.state.load_table
            entry.sent.clear()
            load_table.put(make_flight('a', target))
            changes = list(load_table.pop_changes().items())
            entry.gossip._send_remote_changes(changes)
            load_table.remove('a')
            changes = list(load_table.pop_changes().items())
            entry.gossip._send_remote_changes(changes)
            places = entry.gossip.addresses.data_centres
            return [
                (
                    message.changes[0][1] is None,
                    {places[address] for address in addresses},
                )
                for message, addresses in entry.sent
            ]

        return run_virtually(main)

    def test_flight_at_a_remote_target(self):
        """Its start and end are sent to that data centre only."""
        sent = self.play('t1')
        self.assertEqual(sent, [(False, {OTHER}), (True, {OTHER})])

    def test_flight_at_a_local_target(self):
        self.assertEqual(self.play('t0'), [])


class QueriedTest(unittest.TestCase):
    """The data centres that a prompt queries."""

    def play(self, places, fails=(), evacuated=()):
        """Return the data centres that three queries in a row called."""

        async def main():
            entry = Entry(OWN)
            for number, place in enumerate(places):
                raw = make_message(f'f{number}', place, again_ms=3000)
                entry.gossip.handle_datagram(raw, ('10.0.1.1', number))
            asked = []
            entry.state.fleet.evacuations.names = frozenset(evacuated)

            async def call(address, path):
                place = entry.gossip.addresses.data_centres[address]
                asked.append(place)
                if place in fails:
                    raise WireError('connect', 'timed out')
                return {'flights': []}

            with patch.object(_loads, 'call_peer', call):
                for _ in range(3):
                    await entry.state.refresh_loads()
            return asked

        return run_virtually(main)

    def test_two_of_many_data_centres(self):
        asked = self.play(['a', 'b', 'c', 'd'])
        self.assertEqual(len(asked), 6)
        self.assertNotIn(OWN, asked)

    def test_silent_data_centre_is_skipped(self):
        """Waiting prompts don't query a cut-off data centre repeatedly."""
        asked = self.play([], fails=(OTHER,))
        self.assertEqual(asked, [OTHER])

    def test_evacuated_data_centre_is_skipped(self):
        """Guards against queries for targets that can't be used.

        They would take the place of one of the two that are queried.
        """
        asked = self.play(['a', 'b'], evacuated=(OTHER,))
        self.assertEqual(sorted(asked), ['a', 'a', 'a', 'b', 'b', 'b'])
