"""Entries of two data centres, many of them, and a prompt without a place."""

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
    """One entry of a data centre with many beside it, all on two targets."""

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

    def _send(self, word, where):
        self.sent.append((word, list(where)))


class LoadTest(unittest.TestCase):
    """What is asked, and what is answered."""

    def run_pair(self, scenario):
        """Run `scenario(own, other)`, whose calls reach one another."""

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

    def test_flights_there_are_known(self):
        async def scenario(own, other, calls):
            other.state.board.put(make_flight('a', 't1'))
            await own.state.refresh_loads()
            now = anyio.current_time()
            found = own.state.board.get_flights('t1')
            return [
                one.target for one in found
            ], own.state.get_known_remote_loads(now)

        self.assertEqual(self.run_pair(scenario), (['t1'], {OTHER}))

    def test_they_are_forgotten_after_a_moment(self):
        async def scenario(own, other, calls):
            other.state.board.put(make_flight('a', 't1'))
            await own.state.refresh_loads()
            await anyio.sleep(1)
            known = own.state.get_known_remote_loads(anyio.current_time())
            return known, tuple(own.state.board.get_flights('t1'))

        self.assertEqual(self.run_pair(scenario), (set(), ()))

    def test_own_flights_there_count_once(self):
        """The other side has heard of them, and leaves them out."""

        async def scenario(own, other, calls):
            flight = make_flight('a', 't1')
            other.state.board.apply_update('p0', 9, [('a', flight)], whole=True)
            await own.state.refresh_loads()
            return tuple(own.state.board.get_flights('t1'))

        self.assertEqual(self.run_pair(scenario), ())

    def test_prompts_of_one_moment_share_an_answer(self):
        async def scenario(own, other, calls):
            async with anyio.create_task_group() as group:
                for _ in range(3):
                    group.start_soon(own.state.refresh_loads)
            return len(calls)

        self.assertEqual(self.run_pair(scenario), 1)

    def test_nobody_answers(self):
        """A cut data centre costs a prompt a moment, and nothing else."""

        async def scenario(own, other, calls):
            async def call(address, path):
                raise WireError('connect', 'timed out')

            with patch.object(_loads, 'call_peer', call):
                await own.state.refresh_loads()
            return own.state.get_known_remote_loads(anyio.current_time())

        self.assertEqual(self.run_pair(scenario), set())

    def test_answer_without_sense(self):
        async def scenario(own, other, calls):
            for plain in ({}, {'flights': 5}, {'flights': [['a', 'b']]}):

                async def call(address, path, plain=plain):
                    return plain

                with patch.object(_loads, 'call_peer', call):
                    await own.state.refresh_loads()
            return own.state.get_known_remote_loads(anyio.current_time())

        self.assertEqual(self.run_pair(scenario), set())


class ToldTest(unittest.TestCase):
    """The other data centre hears at once of what goes to its targets."""

    def play(self, target):
        """Return what is told there of a flight that begins and ends."""

        async def main():
            entry = Entry(OWN)
            board = entry.state.board
            entry.sent.clear()
            board.put(make_flight('a', target))
            changes = list(board.pop_changes().items())
            entry.gossip._send_remote_changes(changes)
            board.remove('a')
            changes = list(board.pop_changes().items())
            entry.gossip._send_remote_changes(changes)
            places = entry.gossip.addresses.data_centres
            return [
                (word.changes[0][1] is None, {places[one] for one in where})
                for word, where in entry.sent
            ]

        return run_virtually(main)

    def test_flight_there(self):
        """Its begin and its end are told to that data centre alone."""
        told = self.play('t1')
        self.assertEqual(told, [(False, {OTHER}), (True, {OTHER})])

    def test_flight_here(self):
        self.assertEqual(self.play('t0'), [])


class AskedTest(unittest.TestCase):
    """Whom a prompt asks."""

    def play(self, places, fails=()):
        """Return how many calls three questions in a row took."""

        async def main():
            entry = Entry(OWN)
            for number, place in enumerate(places):
                raw = make_message(f'f{number}', place, again_ms=3000)
                entry.gossip.handle_datagram(raw, ('10.0.1.1', number))
            asked = []

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

    def test_one_that_does_not_answer_is_left_alone(self):
        """While it is cut off, what waits does not ask it again and again."""
        asked = self.play([], fails=(OTHER,))
        self.assertEqual(asked, [OTHER])
