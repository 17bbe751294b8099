"""How an entry reads the store, and how rarely while that is away."""

import unittest
from random import Random

import anyio

from tests.relaying import SETTINGS, make_listed
from trestledock.entry import DirectoryError, News, TargetNews
from trestledock.entry._following import Follower
from trestledock.entry._gossip import Gossip
from trestledock.entry._news import NewsExchange
from trestledock.entry._pool import Pool
from trestledock.entry._state import EntryState
from trestledock.platform._settings import decode_settings
from trestledock.relay import Catalog


class StubDirectory:
    """A store whose parts answer or fail, and that counts its calls."""

    def __init__(self):
        self.down = {'catalog': False, 'targets': False}
        self.calls = []

    async def read_catalog(self):
        self._count('catalog')
        return News(Catalog(1, {}, {}, None), '{}')

    async def read_targets(self):
        self._count('targets')
        return News(targets=(TargetNews('t0', make_listed(0, 1)),))

    def _count(self, name):
        self.calls.append(name)
        if self.down[name]:
            raise DirectoryError(name)


class ReadingTest(unittest.TestCase):
    """The calls of one entry."""

    def run_follower(self, scenario):
        async def main():
            state = EntryState(SETTINGS, 'entry-1#a', Random(1), None)
            directory = StubDirectory()
            exchange = NewsExchange(state, Gossip(state))
            pool = Pool(state.spawn)
            follower = Follower(state, directory, pool, exchange)
            await scenario(follower, directory)

        anyio.run(main)

    def test_one_call_while_the_store_is_away(self):
        """Calls are priced, refused ones too."""

        async def scenario(follower, directory):
            directory.down = {'catalog': True, 'targets': True}
            await follower._read_store()
            directory.calls.clear()
            for _ in range(4):
                await follower._read_store()
            self.assertEqual(len(directory.calls), 4)

        self.run_follower(scenario)

    def test_part_of_the_store_is_back(self):
        """What can be read is read, whichever part it is."""
        for part in ('catalog', 'targets'):

            async def scenario(follower, directory, part=part):
                directory.down = {'catalog': True, 'targets': True}
                await follower._read_store()
                directory.down[part] = False
                directory.calls.clear()
                for _ in range(2):
                    await follower._read_store()
                self.assertIn(part, directory.calls)

            self.run_follower(scenario)

    def test_all_back(self):
        """The first call that is answered is followed by the other."""

        async def scenario(follower, directory):
            directory.down = {'catalog': True, 'targets': True}
            await follower._read_store()
            directory.down = {'catalog': False, 'targets': False}
            await follower._read_store()
            self.assertEqual(follower.state.version, 1)
            self.assertIn('t0', follower.state.fleet.targets)

        self.run_follower(scenario)


class PaceTest(unittest.TestCase):
    """How often the store is read follows from the settings."""

    def test_bound_by_the_stricter_of_both(self):
        """The least of the bounds on versions and on drains counts."""
        plain = {
            'nodeName': 'a',
            'zone': 'dc',
            'ipAddr': '127.0.0.1',
            'portRange': [1, 2],
            'listen': {'front': '127.0.0.1:3', 'ready': '127.0.0.1:4'},
            'platform': {'address': '127.0.0.1:5'},
            'bounds': {'configMs': 3000, 'drainMs': 2500},
        }
        self.assertEqual(decode_settings(plain).settle_s, 2.5)
