"""What targets, and others, write under the targets' names.

A target may start again under the id that it had.  Seen in a probe: one that
had been at `sequence` 90 and was dropped wrote 1 again and was never used, and
one that had said that it leaves stayed out for good, since nothing told its
incarnations apart.  One entry with `"sequence": "8"` made the read fail for all
targets, and entries without a state, or with any address, got requests.
"""

import json
import unittest
from random import Random

import anyio
from hypothesis import given
from hypothesis import strategies as st

from tests.test_platform_store import make_heartbeat
from trestledock.entry._isolation import Isolation
from trestledock.entry._target_list import TargetListUpdater
from trestledock.entry._pool import Pool
from trestledock.platform._log import Batch, Record, split_records
from trestledock.platform._store import PEER_PREFIX, StoreDirectory
from trestledock.relay import Fleet, Health, Member, Notices, Throttle

#: When the incarnations of these tests were born, Unix time in milliseconds.
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
#: Any JSON value, with the kinds of field that an entry has among its names.
ANY_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(tuple(GOOD)) | st.text(), inner)
    ),
    max_leaves=12,
)


def make_entry(name='t1', without='', **fields):
    """Return the record of a target with some fields as told."""
    plain = {**GOOD, **fields}
    plain.pop(without, None)
    return Record(name, json.dumps(plain).encode())


def remove(name='t1'):
    """Return the record that removes an entry."""
    return Record(name, b'')


class StubState:
    """What a listing needs of an entry's state."""

    def __init__(self):
        self.fleet = Fleet()
        self.health = Health()
        self.isolation = Isolation(self.health, self.fleet)
        self.throttle = Throttle(Member('e', 'dc'), Notices(), Random().random)
        self.ignored_notices = {}

    def record_list(self, as_of, now, source, latest_at):
        """Note the age of a list that nobody asks for here."""

    def notify(self):
        """Wake nobody."""


def read_all(*reads):
    """Return the fleet after some reads of records."""

    async def main():
        state = StubState()
        listing = TargetListUpdater(state, Pool(None))
        for records in reads:
            listing.apply(await make_directory(records).read_targets())
        return state.fleet

    return anyio.run(main)


def make_directory(records):
    """Return a directory whose next read of targets brings these."""
    directory = StoreDirectory('127.0.0.1:1')

    async def read():
        return Batch(tuple(records), len(records))

    directory._targets.read = read
    directory._peers.read = read
    return directory


def get_usable(*reads):
    """Return the ids of the targets that get new work after some reads."""
    fleet = read_all(*reads)
    return [one.target_id for one in fleet.get_usable('s')]


class AgainTest(unittest.TestCase):
    """A target that starts again under its id."""

    def test_usable_after_it_was_dropped(self):
        """Its words count from the start, and bring it back."""
        first = [make_entry(sequence=90), remove()]
        again = [make_entry(sequence=1, born=NEW)]
        self.assertEqual(get_usable(first, again), ['t1'])
        self.assertEqual(get_usable([*first, *again]), ['t1'])

    def test_usable_after_it_was_leaving(self):
        """That the one before it left says nothing of it."""
        first = [make_entry(state='draining', sequence=90)]
        again = [make_entry(sequence=1, born=NEW)]
        self.assertEqual(get_usable(first, again), ['t1'])
        self.assertEqual(get_usable(first, [remove()], again), ['t1'])

    def test_usable_without_a_removal(self):
        """It was away for less than its lease."""
        again = [make_entry(sequence=1, born=NEW, address='10.0.0.2:80')]
        fleet = read_all([make_entry(sequence=90)], again)
        found = next(fleet.get_usable('s'))
        self.assertEqual(found.address, '10.0.0.2:80')
        self.assertEqual(len(fleet.targets), 1)

    def test_late_word_of_the_one_before(self):
        """It changes nothing, whatever it says and however late."""
        again = make_entry(sequence=1, born=NEW)
        for state in ('ready', 'draining'):
            late = make_entry(sequence=91, state=state, address='10.0.0.9:80')
            for reads in ([[again], [late]], [[again, late]]):
                fleet = read_all(*reads)
                found = next(fleet.get_usable('s'))
                self.assertEqual(found.born, NEW)
                self.assertEqual(found.address, '10.0.0.1:80')

    def test_late_word_after_the_removal_of_the_newer_one(self):
        """It brings nothing back."""
        reads = [make_entry(born=NEW), remove(), make_entry(sequence=95)]
        self.assertEqual(get_usable(reads), [])
        self.assertEqual(get_usable(reads[:2], reads[2:]), [])

    def test_sequence_orders_within_one_incarnation(self):
        """An older heartbeat of the same one is old."""
        reads = [
            make_entry(sequence=6, state='draining', born=NEW),
            make_entry(sequence=5, born=NEW),
        ]
        self.assertEqual(get_usable(reads), [])

    def test_draining_again(self):
        """The next one leaves by its own word."""
        reads = [
            make_entry(sequence=90),
            make_entry(sequence=1, born=NEW),
            make_entry(sequence=2, born=NEW, state='draining'),
        ]
        self.assertEqual(get_usable(reads), [])


class StrangeTest(unittest.TestCase):
    """Entries that name no target to use."""

    def check(self, strange):
        """The target beside it is used, and nothing of the strange one."""
        other = make_entry('t2')
        self.assertEqual(get_usable([other, strange]), ['t2'], strange)
        self.assertEqual(get_usable([strange, other]), ['t2'], strange)

    def test_missing_fields(self):
        for name in GOOD:
            self.check(make_entry(without=name))

    def test_other_types(self):
        wrong = {
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
        for name, values in wrong.items():
            for plain in values:
                self.check(make_entry(**{name: plain}))

    def test_unreadable_bytes(self):
        for raw in (b'\xff\xfe', b'{', b'[]', b'7', b'null', b'[' * 100_000):
            self.check(Record('t1', raw))

    def test_ids_that_fit_in_no_header(self):
        for name in ('t\n1', 'té', 't 1', 't@5', ''):
            self.check(make_entry(name))

    def test_unknown_state_says_nothing_of_an_incarnation(self):
        """The target that writes its entry again is used again."""
        reads = [
            make_entry(sequence=3),
            make_entry(sequence=4, state='odd'),
        ]
        self.assertEqual(get_usable(reads), [])
        self.assertEqual(get_usable([*reads, make_entry(sequence=5)]), ['t1'])

    def test_birth_where_nobody_tells_it(self):
        """A platform with a new id for each start need not tell births."""
        plain = [make_heartbeat('ready', 1, name) for name in ('t1', 't2')]
        self.assertEqual(get_usable(plain), ['t1', 't2'])

    @given(st.binary(max_size=200) | ANY_JSON.map(json.dumps))
    def test_anything(self, text):
        """Whatever is written, the good entry beside it counts."""
        raw = text if isinstance(text, bytes) else text.encode()
        found = get_usable([Record('t1', raw), make_entry('t2')])
        self.assertIn('t2', found)

    @given(st.dictionaries(st.sampled_from(tuple(GOOD)), ANY_JSON, min_size=1))
    def test_any_fields(self, fields):
        """A field of any kind, or more than one, ends no read."""
        self.assertIn(
            't2', get_usable([make_entry(**fields), make_entry('t2')])
        )


class PeersTest(unittest.TestCase):
    """Records of entries."""

    def test_strange_records(self):
        """One that makes no sense hides no other."""
        records = [
            Record(f'{PEER_PREFIX}e1', b'10.0.0.1:7000'),
            Record(f'{PEER_PREFIX}e2', b'\xff'),
            Record(f'{PEER_PREFIX}e3', b'nowhere'),
            Record(f'{PEER_PREFIX}e4', b''),
            Record('other', b'{}'),
        ]
        found = anyio.run(make_directory(records).read_peers)
        self.assertEqual(found.addresses, {'e1': '10.0.0.1:7000'})


class SplitTest(unittest.TestCase):
    """Records as they are framed."""

    @given(st.lists(st.binary(max_size=20)))
    def test_each_record_counts(self, framed):
        """A record whose key can't be read takes its place in the log."""
        raw = b''.join(len(one).to_bytes(4, 'big') + one for one in framed)
        self.assertEqual(len(tuple(split_records(raw))), len(framed))
