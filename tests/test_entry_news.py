"""News between entries: what a peer's answer proves, and what it does not."""

import json
import unittest
from random import Random

import anyio

from tests.relaying import SETTINGS, make_listed
from trestledock.entry._gossip import Gossip
from trestledock.entry._peers import Peer
from trestledock.entry._news import NewsExchange
from trestledock.entry._state import EntryState
from trestledock.entry._words import Reply
from trestledock.relay import Catalog

READER = 'entry-2#b'


def make_exchange():
    """Return an exchange without sockets, with one peer that is heard."""
    state = EntryState(SETTINGS, 'entry-1#a', Random(1), None)
    gossip = Gossip(state)
    gossip.peers.known[READER] = Peer(('127.0.0.1', 9), 0, 0)
    return NewsExchange(state, gossip)


def make_reply(asked_at, age_s=0.1, version=1, revision=7):
    return Reply(READER, asked_at, age_s, age_s, age_s, version, revision)


class AgeTest(unittest.TestCase):
    """What counts as the age of an entry's news."""

    def test_older_of_both_counts(self):
        """A fresh configuration does not hide an old list of targets."""

        async def main():
            state = make_exchange().state
            state.proof.renew(10)
            state.fleet.watch.note_read(7, 7)
            self.assertEqual(state.get_news_age_s(11), 4)

        anyio.run(main)


class ProofTest(unittest.TestCase):
    """Answers of a reader, fresh and stale."""

    def run_async(self, scenario):
        async def main():
            exchange = make_exchange()
            exchange.state.catalog = Catalog(1, {}, {}, None)
            await scenario(exchange)

        anyio.run(main)

    def test_late_answer_proves_its_question(self):
        """An answer that waited counts from when it was asked for."""

        async def scenario(exchange):
            now = anyio.current_time()
            exchange._handle_reply(make_reply(now - 9, age_s=0.5), None)
            exchange.take_proof(READER)
            age_s = exchange.state.proof.get_age_s(now)
            self.assertAlmostEqual(age_s, 9.5)

        self.run_async(scenario)

    def test_newer_version_is_fetched_before_it_counts(self):
        """A reader with a newer version proves nothing of the older one."""

        async def scenario(exchange):
            now = anyio.current_time()
            exchange._handle_reply(make_reply(now, version=2), None)
            self.assertTrue(exchange.take_proof(READER))
            self.assertFalse(exchange.state.proof.is_fresh(now))

        self.run_async(scenario)

    def test_stale_list_brings_nothing_back(self):
        """A reader cut off from the store does not undo what is known."""

        async def scenario(exchange):
            state = exchange.state
            now = anyio.current_time()
            state.fleet.put(make_listed(1, 80))
            state.fleet.watch.note_read(now - 0.2, now)
            exchange._handle_reply(make_reply(now, age_s=3), None)
            self.assertFalse(exchange.take_proof(READER))

            async def get(address, asked):
                plain = json.loads(exchange.make_news())
                return {**plain, 'list_age_s': 3, 'targets': []}

            exchange._get = get
            news = await exchange.fetch(READER, 1)
            self.assertLess(news.as_of, state.fleet.watch.read_at)

        self.run_async(scenario)

    def test_newer_list_is_taken(self):
        """A reader that has read since then is believed."""

        async def scenario(exchange):
            state = exchange.state
            now = anyio.current_time()
            state.fleet.watch.note_read(now - 2, now - 2)
            exchange._handle_reply(make_reply(now), None)
            self.assertTrue(exchange.take_proof(READER))

            async def get(address, asked):
                plain = json.loads(exchange.make_news())
                return {**plain, 'list_age_s': 0.1}

            exchange._get = get
            news = await exchange.fetch(READER, 1)
            self.assertTrue(news.whole)

        self.run_async(scenario)

    def test_document_that_is_known_is_left_out(self):
        """Who has the version is spared its text."""

        async def scenario(exchange):
            exchange.state.document = 'text'
            for version, document in ((1, ''), (0, 'text'), (-1, 'text')):
                plain = json.loads(exchange.make_news(version))
                self.assertEqual(plain['document'], document)

        self.run_async(scenario)

    def test_news_of_an_older_version(self):
        """It says nothing of held targets, so it vouches for nothing."""
        news = self.fetch(held=None, settled=None)
        self.assertTrue(news.whole)
        self.assertFalse(news.settled)
        self.assertEqual(news.held, ())

    def test_news_that_makes_no_sense(self):
        """It is as if nothing had come."""
        self.assertIsNone(self.fetch(targets=[{'service': 1}]))
        self.assertIsNone(self.fetch(revision=None))

    def fetch(self, **changes):
        """Fetch news with some fields changed, or left out where None."""
        found = []

        async def scenario(exchange):
            async def get(address, asked):
                plain = json.loads(exchange.make_news())
                plain.update(changes)
                return {
                    name: what
                    for name, what in plain.items()
                    if what is not None
                }

            exchange._get = get
            found.append(await exchange.fetch(READER, 1))

        self.run_async(scenario)
        return found[0]
