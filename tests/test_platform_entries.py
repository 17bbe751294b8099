"""Target records: restarts under the same id, and invalid records.

A target may restart with the same id.  When incarnations were not
distinguished, a target that was removed at `sequence` 90 and restarted at 1 was
never used again, and one that had announced that it was draining was never used
again either.  One record with `"sequence": "8"` made the read of all targets
fail, and records without a state or with an invalid address received requests.
"""

import json
import unittest
from random import Random

import anyio
from hypothesis import given
from hypothesis import strategies as st

from tests.relaying import SETTINGS
from tests.test_platform_store import make_heartbeat
from trestledock.entry._isolation import Isolation
from trestledock.entry._pool import Pool
from trestledock.entry._target_list import TargetListUpdater
from trestledock.platform._log import Batch, Record, split_records
from trestledock.platform._store import PEER_PREFIX, StoreDirectory
from trestledock.relay import Fleet, Health, Member, Notices, Throttle

#: Birth times of two incarnations, as Unix time in milliseconds.
OLD = 1_775_000_000_000
NEW = OLD + 5_000
GOOD = {
    'service': 's',
    'address': '10.0.0.1:80',
    'zone': 'dc',
    'state': 'ready',
    'slots': 8,
    'sequence': 1,
    'born': OLD,
}
#: Any JSON value; names of objects include the fields of a target record.
ANY_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(tuple(GOOD)) | st.text(), inner)
    ),
    max_leaves=12,
)


def make_target_record(name='t1', without='', **fields):
    """Return the record of a target with some fields replaced."""
    data = {**GOOD, **fields}
    data.pop(without, None)
    return Record(name, json.dumps(data).encode())


def make_removal(name='t1'):
    """Return the record that removes a target."""
    return Record(name, b'')


class StubState:
    """The part of an entry's state that a `TargetListUpdater` needs."""

    def __init__(self):
        self.fleet = Fleet()
        self.health = Health()
        self.isolation = Isolation(self.health, self.fleet)
        self.throttle = Throttle(Member('e', 'dc'), Notices(), Random().random)
        self.ignored_notices = {}
        self.settings = SETTINGS

    def record_list(self, as_of, now, source, latest_at):
        """Ignore the age of the list."""

    def notify(self):
        """Do nothing."""


def read_all(*reads):
    """Return the fleet after reading these batches of records."""

    async def main():
        state = StubState()
        updater = TargetListUpdater(state, Pool(None))
        for records in reads:
            updater.apply(await make_directory(records).read_targets())
        return state.fleet

    return anyio.run(main)


def make_directory(records):
    """Return a directory whose reads return `records`."""
    directory = StoreDirectory('127.0.0.1:1')

    async def read():
        return Batch(tuple(records), len(records))

    directory._targets.read = read
    directory._peers.read = read
    return directory


def get_usable(*reads):
    """Return the ids of the usable targets after reading these batches."""
    fleet = read_all(*reads)
    return [target.target_id for target in fleet.get_usable('s')]


class RestartTest(unittest.TestCase):
    """A target restarts with the same id."""

    def test_usable_after_removal(self):
        """Its first record makes it usable again."""
        first = [make_target_record(sequence=90), make_removal()]
        again = [make_target_record(sequence=1, born=NEW)]
        self.assertEqual(get_usable(first, again), ['t1'])
        self.assertEqual(get_usable([*first, *again]), ['t1'])

    def test_usable_after_draining(self):
        """It does not inherit the draining state of the old incarnation."""
        first = [make_target_record(state='draining', sequence=90)]
        again = [make_target_record(sequence=1, born=NEW)]
        self.assertEqual(get_usable(first, again), ['t1'])
        self.assertEqual(get_usable(first, [make_removal()], again), ['t1'])

    def test_usable_without_a_removal(self):
        """It restarts within its lease."""
        again = [
            make_target_record(sequence=1, born=NEW, address='10.0.0.2:80')
        ]
        fleet = read_all([make_target_record(sequence=90)], again)
        target = next(fleet.get_usable('s'))
        self.assertEqual(target.address, '10.0.0.2:80')
        self.assertEqual(len(fleet.targets), 1)

    def test_late_record_of_old_incarnation(self):
        """It is ignored, whatever its state and delay."""
        again = make_target_record(sequence=1, born=NEW)
        for state in ('ready', 'draining'):
            late = make_target_record(
                sequence=91, state=state, address='10.0.0.9:80'
            )
            for reads in ([[again], [late]], [[again, late]]):
                fleet = read_all(*reads)
                target = next(fleet.get_usable('s'))
                self.assertEqual(target.born, NEW)
                self.assertEqual(target.address, '10.0.0.1:80')

    def test_late_record_after_removal_of_new_incarnation(self):
        """It does not make the target usable again."""
        reads = [
            make_target_record(born=NEW),
            make_removal(),
            make_target_record(sequence=95),
        ]
        self.assertEqual(get_usable(reads), [])
        self.assertEqual(get_usable(reads[:2], reads[2:]), [])

    def test_sequence_orders_within_one_incarnation(self):
        """A lower sequence of the same incarnation is stale."""
        reads = [
            make_target_record(sequence=6, state='draining', born=NEW),
            make_target_record(sequence=5, born=NEW),
        ]
        self.assertEqual(get_usable(reads), [])

    def test_draining_again(self):
        """The new incarnation drains when it announces it itself."""
        reads = [
            make_target_record(sequence=90),
            make_target_record(sequence=1, born=NEW),
            make_target_record(sequence=2, born=NEW, state='draining'),
        ]
        self.assertEqual(get_usable(reads), [])


class InvalidRecordTest(unittest.TestCase):
    """Invalid records describe no usable target."""

    def check(self, invalid):
        """Check that `invalid` is ignored and another target is used."""
        other = make_target_record('t2')
        self.assertEqual(get_usable([other, invalid]), ['t2'], invalid)
        self.assertEqual(get_usable([invalid, other]), ['t2'], invalid)

    def test_missing_fields(self):
        for name in GOOD:
            self.check(make_target_record(without=name))

    def test_invalid_values(self):
        invalid = {
            'service': (['s'], 5, None, ''),
            'address': ('10.0.0.1', 5, 'x:80', '10.0.0.1:0', ':80', '1.2:3'),
            'zone': ({'name': 'dc'}, 1, None),
            'state': ('gone', 1, True, None, ['ready']),
            'slots': (None, 'x', 0, -1, 1.5, True),
            'sequence': ('8', None, -1, 1.0, False),
            'born': (None, '5', 5.5, True, -5, 0, [OLD]),
            'version': (None, 1, ['v1']),
            'coldLeftMs': (None, '0', True),
        }
        for name, values in invalid.items():
            for field in values:
                self.check(make_target_record(**{name: field}))

    def test_unreadable_bytes(self):
        for raw in (b'\xff\xfe', b'{', b'[]', b'7', b'null', b'[' * 100_000):
            self.check(Record('t1', raw))

    def test_ids_invalid_in_headers(self):
        for name in ('t\n1', 'té', 't 1', 't@5', ''):
            self.check(make_target_record(name))

    def test_unknown_state_does_not_end_an_incarnation(self):
        """The target is used again after its next valid record."""
        reads = [
            make_target_record(sequence=3),
            make_target_record(sequence=4, state='odd'),
        ]
        self.assertEqual(get_usable(reads), [])
        self.assertEqual(
            get_usable([*reads, make_target_record(sequence=5)]), ['t1']
        )

    def test_missing_birth_time(self):
        """Platforms that assign a new id at each start may omit it."""
        records = [make_heartbeat('ready', 1, name) for name in ('t1', 't2')]
        self.assertEqual(get_usable(records), ['t1', 't2'])

    @given(st.binary(max_size=200) | ANY_JSON.map(json.dumps))
    def test_anything(self, text):
        """Arbitrary records do not affect a valid record."""
        raw = text if isinstance(text, bytes) else text.encode()
        usable = get_usable([Record('t1', raw), make_target_record('t2')])
        self.assertIn('t2', usable)

    @given(st.dictionaries(st.sampled_from(tuple(GOOD)), ANY_JSON, min_size=1))
    def test_any_fields(self, fields):
        """Arbitrary values of fields do not make a read fail."""
        self.assertIn(
            't2',
            get_usable(
                [make_target_record(**fields), make_target_record('t2')]
            ),
        )


class PeersTest(unittest.TestCase):
    """Records of entry processes."""

    def test_invalid_records(self):
        """Invalid records do not affect the others."""
        records = [
            Record(f'{PEER_PREFIX}e1', b'10.0.0.1:7000'),
            Record(f'{PEER_PREFIX}e2', b'\xff'),
            Record(f'{PEER_PREFIX}e3', b'nowhere'),
            Record(f'{PEER_PREFIX}e4', b''),
            Record('other', b'{}'),
        ]
        peers = anyio.run(make_directory(records).read_peers)
        self.assertEqual(peers.addresses, {'e1': '10.0.0.1:7000'})


class SplitTest(unittest.TestCase):
    """Splitting of framed records."""

    @given(st.lists(st.binary(max_size=20)))
    def test_each_record_has_an_offset(self, framed):
        """A record whose key can't be decoded still takes up an offset."""
        raw = b''.join(
            len(record).to_bytes(4, 'big') + record for record in framed
        )
        self.assertEqual(len(tuple(split_records(raw))), len(framed))
