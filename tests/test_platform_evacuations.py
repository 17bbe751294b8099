"""Records of evacuations in the platform's store."""

import json
import unittest
from unittest.mock import patch

import anyio

from trestledock.entry import DocumentError, EvacuationUnreadable
from trestledock.platform import _evacuations
from trestledock.platform._evacuations import EvacuationRecords
from trestledock.platform._log import Batch, Record
from trestledock.platform._settings import decode_settings
from trestledock.platform._store import StoreDirectory


def make_record(name, value=b'{}'):
    return Record(f'evacuate/{name}', value)


def end(name):
    return make_record(name, b'')


class RecordsTest(unittest.TestCase):
    """Reads of the records, in the order of the log."""

    def read(self, *reads, whole=False):
        """Return who is evacuated after each read, and what was logged."""
        records = EvacuationRecords()
        logged = []
        with patch.object(_evacuations, 'emit', logged.append):
            found = [
                sorted(records.apply(Batch(read, 0, whole=whole)))
                for read in reads
            ]
        return found, logged

    def test_order_of_the_log_decides(self):
        """Guards against an evacuation that its own end precedes, or twice."""
        found, _ = self.read(
            (make_record('a'), make_record('b'), end('a')),
            (make_record('b'), Record('config', b'{}')),
            (end('b'), make_record('a'), make_record('a')),
        )
        self.assertEqual(found, [['b'], ['b'], ['a']])

    def test_whole_read_replaces(self):
        """Guards against an end that is lost with the history of the log."""
        found, _ = self.read((make_record('a'),), (), whole=True)
        self.assertEqual(found, [['a'], []])

    def test_unreadable_value(self):
        """Guards against requests there, and against a line for each read."""
        for raw in (b'x', b'[1]', b'null', b'\xff', b'[' * 100_000):
            read = (make_record('a', raw),)
            found, logged = self.read(read, read, whole=True)
            self.assertEqual(found, [['a'], ['a']])
            kinds = [type(event) for event in logged]
            self.assertEqual(kinds, [EvacuationUnreadable], raw[:9])

    def test_key_without_a_name(self):
        found, logged = self.read((make_record(''),))
        self.assertEqual((found, len(logged)), ([[]], 1))

    def test_invalid_configuration(self):
        """Guards against an evacuation behind a version that is invalid."""
        directory = StoreDirectory('store')
        invalid = json.dumps({'version': 2, 'routes': [{}]}).encode()

        async def read():
            records = (make_record('a'), Record('config', invalid))
            return Batch(records, 2, whole=True)

        directory._config.read = read
        with self.assertRaises(DocumentError) as caught:
            anyio.run(directory.read_catalog)
        self.assertEqual(caught.exception.rest.evacuated, {'a'})


class BoundTest(unittest.TestCase):
    """The reading interval follows from the shortest bound."""

    def test_short_bound_of_evacuations(self):
        """Guards against reads that are too rare for the bound."""
        settings = {
            'nodeName': 'a',
            'zone': 'dc',
            'ipAddr': '127.0.0.1',
            'portRange': [1, 2],
            'listen': {'front': '127.0.0.1:3', 'ready': '127.0.0.1:4'},
            'platform': {'address': '127.0.0.1:5'},
            'bounds': {'configMs': 3000, 'evacMs': 1500},
        }
        self.assertEqual(decode_settings(settings).settle_s, 1.5)
