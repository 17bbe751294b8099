"""Updates between entries: what a reader's answer proves."""

import json
import unittest
from dataclasses import replace
from random import Random
from unittest.mock import patch

import anyio

from tests.relaying import SETTINGS, make_listed
from trestledock.entry import ColdTime, RecordIgnored
from trestledock.entry._gossip import Gossip
from trestledock.entry._messages import Reply
from trestledock.entry._peers import Peer
from trestledock.entry._state import EntryState
from trestledock.entry._update_exchange import UpdateExchange, encode_target
from trestledock.relay import MAX_AGE_S, Catalog, ColdBounds, ColdStart

READER = 'entry-2#b'
#: Row of a request that was cleared of crashes.
CLEARED_ROW = {
    'fingerprint': 'f1',
    'ends': [],
    'age_s': 5.5,
    'trials': 0,
    'cleared': ['t2', 't3', 't4'],
}


def make_exchange():
    """Return an exchange without sockets, with one known peer."""
    state = EntryState(SETTINGS, 'entry-1#a', Random(1), None)
    gossip = Gossip(state)
    gossip.peers.known[READER] = Peer(('127.0.0.1', 9), 0, 0)
    return UpdateExchange(state, gossip)


def make_reply(asked_at, age_s=0.1, version=1, revision=7):
    return Reply(READER, asked_at, age_s, age_s, age_s, version, revision)


async def get_now():
    return anyio.current_time()


class AgeTest(unittest.TestCase):
    """The age of an entry's copy of the store."""

    def test_oldest_part_counts(self):
        """Recent parts hide neither an old list nor old evacuations.

        Other entries would take them from an entry that does not know better.
        """

        async def main():
            state = make_exchange().state
            state.proof.renew(10)
            state.fleet.watch.record_read(7, 7)
            state.fleet.evacuations.renew(8, 8)
            self.assertEqual(state.get_store_age_s(11), 4)
            state.fleet.watch.record_read(9, 9)
            self.assertEqual(state.get_store_age_s(11), 3)

        anyio.run(main)


class ProofTest(unittest.TestCase):
    """Recent and outdated answers of a reader."""

    def run_async(self, scenario):
        async def main():
            exchange = make_exchange()
            exchange.state.catalog = Catalog(1, {}, {}, None)
            await scenario(exchange)

        anyio.run(main)

    def test_late_answer_counts_from_its_question(self):
        """A delayed answer counts as of the time of its question."""

        async def scenario(exchange):
            now = anyio.current_time()
            exchange._handle_reply(make_reply(now - 9, age_s=0.5), None)
            exchange.renew_proof(READER)
            age_s = exchange.state.proof.get_age_s(now)
            self.assertAlmostEqual(age_s, 9.5)

        self.run_async(scenario)

    def test_newer_version_is_fetched_first(self):
        """A reader with a newer version proves nothing about the older one."""

        async def scenario(exchange):
            now = anyio.current_time()
            exchange._handle_reply(make_reply(now, version=2), None)
            self.assertTrue(exchange.renew_proof(READER))
            self.assertFalse(exchange.state.proof.is_fresh(now))

        self.run_async(scenario)

    def test_outdated_list_is_ignored(self):
        """A reader that is cut off from the store does not undo newer state."""

        async def scenario(exchange):
            state = exchange.state
            now = anyio.current_time()
            state.fleet.put(make_listed(1, 80))
            state.fleet.watch.record_read(now - 0.2, now)
            exchange._handle_reply(make_reply(now, age_s=3), None)
            self.assertFalse(exchange.renew_proof(READER))

            async def get(address, asked):
                plain = json.loads(exchange.encode_update())
                return {**plain, 'list_age_s': 3, 'targets': []}

            exchange._get = get
            update = await exchange.fetch(READER, 1)
            self.assertLess(update.as_of, state.fleet.watch.read_at)

        self.run_async(scenario)

    def test_newer_list_is_applied(self):
        """The list of a reader that has read since then is applied."""

        async def scenario(exchange):
            state = exchange.state
            now = anyio.current_time()
            state.fleet.watch.record_read(now - 2, now - 2)
            exchange._handle_reply(make_reply(now), None)
            self.assertTrue(exchange.renew_proof(READER))

            async def get(address, asked):
                plain = json.loads(exchange.encode_update())
                return {**plain, 'list_age_s': 0.1}

            exchange._get = get
            update = await exchange.fetch(READER, 1)
            self.assertTrue(update.is_complete)

        self.run_async(scenario)

    def test_known_document_is_omitted(self):
        """The document is not sent to an entry that has the version."""

        async def scenario(exchange):
            exchange.state.document = 'text'
            for version, document in ((1, ''), (0, 'text'), (-1, 'text')):
                plain = json.loads(exchange.encode_update(version))
                self.assertEqual(plain['document'], document)

        self.run_async(scenario)

    def test_update_of_older_program_version(self):
        """Without retained targets an update is no evidence of removals."""
        update = self.fetch(held=None, settled=None)
        self.assertTrue(update.is_complete)
        self.assertFalse(update.is_synchronized)
        self.assertEqual(update.retained, ())

    def test_cold_times(self):
        """Guards against one invalid time that costs the whole update."""
        encoded = {**encode_target(make_listed(1, 80)), 'cold_ms': 2000}
        known = {2000: ColdTime(2), 0: ColdTime(0)}
        for left_ms, cold in known.items():
            rows = [{**encoded, 'cold_ms': left_ms}]
            self.assertEqual(self.fetch(targets=rows).targets[0].cold, cold)
        for left_ms in (-1, 'x', [2], 0.5, True, None):
            rows = [{**encoded, 'cold_ms': left_ms}]
            found = self.fetch(targets=rows).targets[0]
            self.assertIsNone(found.cold.left_s)
            self.assertEqual(found.listed, make_listed(1, 80))

    def test_cold_times_of_own_targets(self):
        """They are sent only where targets are restrained."""
        for bounds, left_ms in ((None, None), (ColdBounds(1, 1), 2000)):
            exchange = make_exchange()
            state = exchange.state
            state.settings = replace(SETTINGS, cold_bounds=bounds)
            state.fleet.put(make_listed(1, 80))
            now = anyio.run(get_now)
            state.notices.record('t1', ColdStart(now + 2, now, now, now))

            async def encode(exchange=exchange):
                return json.loads(exchange.encode_update())['targets'][0]

            found = anyio.run(encode).get('cold_ms')
            self.assertAlmostEqual(found or 0, left_ms or 0, delta=200)

    def test_invalid_update(self):
        """An invalid update counts as none."""
        self.assertIsNone(self.fetch(targets=[{'service': 1}]))
        self.assertIsNone(self.fetch(revision=None))

    def fetch(self, **changes):
        """Fetch an update with some fields changed, or omitted if None."""
        found = []

        async def scenario(exchange):
            async def get(address, asked):
                plain = json.loads(exchange.encode_update())
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


class QuarantineRowsTest(unittest.TestCase):
    """Rows of the quarantine in the updates of other entries."""

    def fetch(self, *rows):
        """Fetch an update with some rows; return it and the events."""
        found = []

        async def main():
            exchange = make_exchange()
            exchange.state.fleet.put(make_listed(1, 80))

            async def get(address, asked):
                plain = json.loads(exchange.encode_update())
                return json.loads(json.dumps({**plain, 'quarantine': rows}))

            exchange._get = get
            with patch('trestledock.entry._update_exchange.emit') as emit:
                found.append(await exchange.fetch(READER, 1))
            found.extend(call.args[0] for call in emit.call_args_list)

        anyio.run(main)
        return found

    # Guards against the loss of whole updates while old builds are replaced.
    def test_infinite_age_of_older_version(self):
        update, *events = self.fetch({**CLEARED_ROW, 'age_s': float('inf')})
        self.assertEqual(
            [(row.cleared, row.age_s) for row in update.quarantine],
            [(('t2', 't3', 't4'), MAX_AGE_S)],
        )
        self.assertEqual(events, [])

    def test_invalid_rows_are_skipped(self):
        """The other rows and the targets are used; one line says so."""
        invalid = [
            {**CLEARED_ROW, 'age_s': float('nan')},
            {**CLEARED_ROW, 'ends': 'inf'},
            {},
            [],
            None,
        ]
        update, *events = self.fetch(*invalid, CLEARED_ROW)
        self.assertEqual([row.age_s for row in update.quarantine], [5.5])
        self.assertEqual(len(update.targets), 1)
        self.assertEqual([type(event) for event in events], [RecordIgnored])
        self.assertTrue(events[0].detail.startswith('5 rows'))


class ClearedRequestTest(unittest.TestCase):
    """Updates about requests that were cleared of crashes unknown here."""

    # Guards against an infinite quarantine age that spoils the whole update.
    def test_request_cleared_by_another_entry(self):
        """An entry that only heard of the clearing still sends its list."""

        async def main():
            reader, follower = make_exchange(), make_exchange()
            reader.state.fleet.put(make_listed(1, 80))
            reader.state.isolation.merge_cleared(
                'f1', ('t2', 't3', 't4'), 'entry-3#c'
            )

            async def get(address, asked):
                return json.loads(reader.encode_update())

            follower._get = get
            news = await follower.fetch(READER, 1)
            self.assertIsNotNone(news)
            self.assertEqual(
                [target.target_id for target in news.targets], ['t1']
            )

        anyio.run(main)
