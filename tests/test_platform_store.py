"""Targets and the configuration in the platform's store."""

import base64
import json
import unittest

import anyio

from tests.stub_store import make_answer, run_with_stub
from trestledock.entry import DirectoryError
from trestledock.platform._log import READ_HEADER, Batch, Record
from trestledock.platform._store import StoreDirectory
from trestledock.relay import Fleet


def make_heartbeat(state, sequence, name='t1'):
    """Return a target's record in the log."""
    fields = {
        'service': 's',
        'address': '10.0.0.1:80',
        'zone': 'dc',
        'state': state,
        'slots': 8,
        'sequence': sequence,
    }
    return Record(name, json.dumps(fields).encode())


class TargetsTest(unittest.TestCase):
    """Reads of targets."""

    def read(self, *records):
        """Return the ids of the usable targets after one read."""
        directory = StoreDirectory('127.0.0.1:1')

        async def read():
            return Batch(records, len(records))

        directory._targets.read = read
        fleet = Fleet()
        for update in anyio.run(directory.read_targets).targets:
            if update.listed:
                fleet.put(update.listed)
        return [target.target_id for target in fleet.get_usable('s')]

    def test_late_heartbeat_does_not_hide_draining(self):
        """A target drains although an older heartbeat is written afterwards.

        A heartbeat whose response was lost may take effect seconds later.  When
        it was in the same read as the draining record, only the last of the two
        was kept, and the target got requests until its next heartbeat, for 1.2
        s and more.
        """
        found = self.read(
            make_heartbeat('ready', 4),
            make_heartbeat('draining', 6),
            make_heartbeat('ready', 5),
        )
        self.assertEqual(found, [])

    def test_invalid_records(self):
        """Invalid records are skipped and do not affect the others.

        Otherwise the read fails after the log offset has advanced, and a target
        that drains in the same read gets requests until it exits.
        """
        found = self.read(
            make_heartbeat('ready', 1),
            Record('t2', b'{"service"'),
            Record('t3', b'{}'),
            make_heartbeat('draining', 2),
        )
        self.assertEqual(found, [])


class ConfigurationTest(unittest.TestCase):
    """Reads of the configuration."""

    # Guards against a version by which each request of a route is cut.
    def test_times_that_are_not_finite(self):
        directory = StoreDirectory('store')
        route = {
            'name': 'r',
            'host': 'a.example',
            'pathPrefix': '/',
            'kind': 'idempotent',
            'service': 's',
        }
        for time_ms in ('1e999', 'Infinity', 'NaN', '9' * 400, '"5"'):
            text = json.dumps({'version': 1, 'routes': [route]})
            document = text.replace('"kind"', f'"timeoutMs": {time_ms}, "kind"')
            with self.assertRaises(DirectoryError):
                directory.decode_document(document)
        self.assertEqual(directory.decode_document(text).version, 1)

    def test_invalid_version_is_read_again(self):
        """Every read fails until the version can be decoded.

        Otherwise the next read finds no new records, which would prove that the
        older version is the newest one.
        """
        body = json.dumps({'version': 2, 'routes': [{}]}).encode()
        item = base64.b64encode(body).decode()
        page = json.dumps(
            {'items': [{'key': 'config', 'value': item}], 'endOffset': 1}
        )
        answer = make_answer(200, page.encode())
        nothing = make_answer(200, READ_HEADER.pack(1, 0))

        async def scenario(client):
            directory = StoreDirectory(client.address)
            for _ in range(2):
                with self.assertRaises(DirectoryError):
                    await directory.read_catalog()

        stub = run_with_stub([answer, answer, nothing], scenario)
        self.assertIn('/log-newest', stub.requests[1])
