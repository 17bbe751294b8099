"""How an entry reads the store, and how rarely while it is unavailable."""

import unittest
from random import Random

import anyio

from tests.relaying import SETTINGS, make_listed
from tests.test_platform_cold import PLAIN
from trestledock.entry import DirectoryError, StoreUpdate, TargetUpdate
from trestledock.entry._follower import (
    FETCH_TIMEOUT_S,
    MIN_FETCH_TIMEOUT_S,
    Follower,
)
from trestledock.entry._gossip import Gossip
from trestledock.entry._peers import Peer
from trestledock.entry._pool import Pool
from trestledock.entry._state import EntryState
from trestledock.entry._update_exchange import UpdateExchange
from trestledock.platform._settings import decode_settings
from trestledock.relay import Catalog


class StubDirectory:
    """Store whose parts answer or fail, with a record of the calls."""

    epoch = None

    def __init__(self):
        self.down = {'catalog': False, 'targets': False}
        self.calls = []

    async def read_catalog(self):
        self._count('catalog')
        return StoreUpdate(Catalog(1, {}, {}, None), '{}')

    async def read_targets(self):
        self._count('targets')
        return StoreUpdate(targets=(TargetUpdate('t0', make_listed(0, 1)),))

    def _count(self, name):
        self.calls.append(name)
        if self.down[name]:
            raise DirectoryError(name)


class ReadingTest(unittest.TestCase):
    """Calls of one entry."""

    def run_follower(self, scenario):
        async def main():
            state = EntryState(SETTINGS, 'entry-1#a', Random(1), None)
            directory = StubDirectory()
            exchange = UpdateExchange(state, Gossip(state))
            pool = Pool(state.spawn)
            follower = Follower(state, directory, pool, exchange)
            await scenario(follower, directory)

        anyio.run(main)

    def test_single_call_while_store_is_unavailable(self):
        """Calls are charged, including refused ones."""

        async def scenario(follower, directory):
            directory.down = {'catalog': True, 'targets': True}
            await follower.store_reader.read()
            directory.calls.clear()
            for _ in range(4):
                await follower.store_reader.read()
            self.assertEqual(len(directory.calls), 4)

        self.run_follower(scenario)

    def test_part_of_the_store_recovers(self):
        """Each part is read as soon as it is back."""
        for part in ('catalog', 'targets'):

            async def scenario(follower, directory, part=part):
                directory.down = {'catalog': True, 'targets': True}
                await follower.store_reader.read()
                directory.down[part] = False
                directory.calls.clear()
                for _ in range(2):
                    await follower.store_reader.read()
                self.assertIn(part, directory.calls)

            self.run_follower(scenario)

    def test_whole_store_recovers(self):
        """After the first successful call the other one follows."""

        async def scenario(follower, directory):
            directory.down = {'catalog': True, 'targets': True}
            await follower.store_reader.read()
            directory.down = {'catalog': False, 'targets': False}
            await follower.store_reader.read()
            self.assertEqual(follower.state.version, 1)
            self.assertIn('t0', follower.state.fleet.targets)

        self.run_follower(scenario)


class DueTest(unittest.TestCase):
    """When an entry reads for itself, and what must not delay that."""

    def run_stale(self, scenario, age_s):
        """Run `scenario` with an entry whose state has reached an age.

        Many entries come before it in the order of names.
        """

        async def main():
            state = EntryState(SETTINGS, 'entry-9#z', Random(1), None)
            gossip = Gossip(state)
            now = anyio.current_time()
            for number in range(8):
                gossip.peers.known[f'entry-{number}'] = Peer(
                    ('127.0.0.1', 1), now, 0
                )
            exchange = UpdateExchange(state, gossip)
            follower = Follower(
                state, StubDirectory(), Pool(state.spawn), exchange
            )
            await follower.store_reader.read()
            state.fleet.watch.read_at -= age_s
            await scenario(follower)

        anyio.run(main)

    def test_successful_read_does_not_delay_the_next(self):
        """An entry that has just read reads again if its state is outdated.

        After two readers had been paused one after the other, entries waited
        for a retry delay that is meant for an unavailable store: seconds, for
        the last in order.
        """

        async def scenario(follower):
            now = anyio.current_time()
            self.assertTrue(follower._is_own_read_due(now))

        self.run_stale(scenario, age_s=1.5)

    def test_failed_read_delays_the_next(self):
        """While the store is unavailable, later entries wait longer."""

        async def scenario(follower):
            follower.store_reader.directory.down = {
                'catalog': True,
                'targets': True,
            }
            await follower.store_reader.read()
            now = anyio.current_time()
            self.assertFalse(follower._is_own_read_due(now))

        self.run_stale(scenario, age_s=1.5)

    def test_fetch_times_out_when_own_read_is_due(self):
        """A reader that accepts a connection but never answers costs little."""

        async def scenario(follower):
            found_s = follower._get_fetch_timeout_s(anyio.current_time())
            self.assertEqual(found_s, MIN_FETCH_TIMEOUT_S)

        self.run_stale(scenario, age_s=1.0)

    def test_long_fetch_while_store_is_unavailable(self):
        async def scenario(follower):
            follower.store_reader.directory.down = {
                'catalog': True,
                'targets': True,
            }
            await follower.store_reader.read()
            found_s = follower._get_fetch_timeout_s(anyio.current_time())
            self.assertEqual(found_s, FETCH_TIMEOUT_S)

        self.run_stale(scenario, age_s=1.5)

    def test_next_question_is_not_after_own_read(self):
        """The pause between two questions ends when an own read is due."""

        async def scenario(follower):
            pause_s = follower._get_ask_pause_s(anyio.current_time())
            self.assertLess(pause_s, follower._schedule.ask_interval_s)

        self.run_stale(scenario, age_s=1.0)


class PaceTest(unittest.TestCase):
    """The reading interval follows from the settings."""

    def test_smaller_bound_applies(self):
        """The smaller of the bounds on versions and on draining applies."""
        plain = {**PLAIN, 'bounds': {'configMs': 3000, 'drainMs': 2500}}
        self.assertEqual(decode_settings(plain).settle_s, 2.5)
