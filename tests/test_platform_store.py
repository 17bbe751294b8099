"""What stands in the platform's store: targets and the configuration."""

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
    """Return a target's record as it stands in the log."""
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
    """What is read of targets."""

    def read(self, *records):
        """Return the targets that may get new work after one read."""
        directory = StoreDirectory('127.0.0.1:1')

        async def read():
            return Batch(records, len(records))

        directory._targets.read = read
        fleet = Fleet()
        for one in anyio.run(directory.read_targets).targets:
            if one.listed:
                fleet.put(one.listed)
        return [one.target_id for one in fleet.get_usable('s')]

    def test_late_heartbeat_hides_nothing(self):
        """A target leaves, though an older heartbeat is written after that.

        A heartbeat whose answer was lost may be carried out seconds later.
        Where it came into the same read as the word that the target leaves,
        only the last of both was kept, and the target got work for as long as
        its next heartbeat took: 1.2 s and more.
        """
        found = self.read(
            make_heartbeat('ready', 4),
            make_heartbeat('draining', 6),
            make_heartbeat('ready', 5),
        )
        self.assertEqual(found, [])

    def test_record_that_makes_no_sense_hides_no_other(self):
        """What can't be read is left out, and all others count.

        The position in the log had moved on by then: a target that left in the
        same read got work until it ended.
        """
        found = self.read(
            make_heartbeat('ready', 1),
            Record('t2', b'{"service"'),
            Record('t3', b'{}'),
            make_heartbeat('draining', 2),
        )
        self.assertEqual(found, [])


class ConfigurationTest(unittest.TestCase):
    """What is read of the configuration."""

    def test_version_that_makes_no_sense_is_not_passed_over(self):
        """Nobody vouches for a version that could not be read.

        The next read found nothing new and proved that the old version was
        the newest one.
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
