"""All readers of the log reach the same verdicts, whatever they missed."""

import json
import unittest
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st
from nose2.tools import params

from trestledock.version import (
    CONFIGURATION,
    NO_BASE,
    Batch,
    Entry,
    Fold,
    Reader,
    Record,
    check_configuration,
    make_snapshot_record,
    read_batch,
)

EXAMPLES = Path(__file__).parent.parent / 'examples'
BODY = '{"holder": "a", "ttl_s": 1}'
SCOPES = ('lease/a', 'lease/b')


def make_log(draws):
    """Build a log in which some records have a stale base."""
    fold = Fold()
    entries = []
    for number, (scope, age, is_snapshot) in enumerate(draws):
        accepted = fold.get_base_by_scope(scope)
        base = accepted if age == 0 else accepted - age
        record = Record(f'r{number}', scope, base, BODY)
        if is_snapshot:
            record = make_snapshot_record(f's{number}', fold)
        else:
            fold.apply(number, record)
        fold.next_offset = number + 1
        entries.append(Entry(number, record))
    return fold, entries


DRAWS = st.lists(
    st.tuples(
        st.sampled_from(SCOPES),
        st.integers(0, 2),
        st.booleans(),
    ),
    max_size=30,
)


class FoldTest(unittest.TestCase):
    @given(DRAWS, st.integers(0, 30))
    def test_reader_of_trimmed_log_agrees_or_has_a_gap(self, draws, first):
        full, entries = make_log(draws)
        first = min(first, len(entries))
        reader = Reader()
        reader.feed(Batch(first, len(entries), tuple(entries[first:])))
        if not reader.has_gap:
            self.assertEqual(reader.fold.scopes, full.scopes)
        else:
            self.assertFalse(reader.at_tail)

    @given(DRAWS, st.lists(st.integers(0, 29), max_size=6))
    def test_repeated_and_partial_batches(self, draws, cuts):
        full, entries = make_log(draws)
        reader = Reader()
        for cut in (*sorted(cuts), len(entries)):
            batch = Batch(0, len(entries), tuple(entries[:cut]))
            reader.feed(batch)
            reader.feed(batch)
        self.assertEqual(reader.fold.scopes, full.scopes)

    def test_stale_snapshot_does_not_restore_old_state(self):
        fold = Fold()
        stale = make_snapshot_record('stale', fold)
        fold.apply(0, Record('a', 'lease/a', NO_BASE, BODY))
        reader = Reader()
        reader.feed(Batch(1, 2, (Entry(1, stale),)))
        self.assertTrue(reader.has_gap)
        self.assertEqual(reader.fold.scopes, {})

    def test_one_id_appended_twice_is_accepted_once(self):
        fold = Fold()
        record = Record('a', 'lease/a', NO_BASE, BODY)
        self.assertTrue(fold.apply(0, record))
        self.assertFalse(fold.apply(1, record))
        self.assertTrue(fold.verdicts['a'])

    def test_invalid_configuration_is_not_accepted(self):
        fold = Fold()
        record = Record('a', CONFIGURATION, NO_BASE, '{"teams": 3}')
        self.assertFalse(fold.apply(0, record))

    def test_invalid_and_foreign_records_are_ignored(self):
        plain = {
            'first': 0,
            'tail': 3,
            'entries': [
                {'offset': 0, 'record': 'not ours'},
                {
                    'offset': 1,
                    'record': {
                        'record_id': 'x',
                        'scope': 'epoch/a',
                        'base': NO_BASE,
                        'body': '{"members": 7}',
                    },
                },
                {
                    'offset': 2,
                    'record': {
                        'record_id': 'y',
                        'scope': 'snapshot',
                        'base': 0,
                        'body': 'junk',
                    },
                },
            ],
        }
        reader = Reader()
        self.assertEqual(reader.feed(read_batch(plain)), [])
        self.assertTrue(reader.at_tail)
        self.assertEqual(reader.fold.scopes, {})

    def test_older_snapshot_of_peer_is_not_installed(self):
        ahead = Reader()
        record = Record('a', 'lease/a', NO_BASE, BODY)
        ahead.feed(Batch(0, 1, (Entry(0, record),)))
        ahead.install_snapshot(Fold().get_snapshot())
        self.assertIn('lease/a', ahead.fold.scopes)


class CheckConfigurationTest(unittest.TestCase):
    @params('huber', 'gulf-piedmont')
    def test_examples(self, name):
        text = (EXAMPLES / f'{name}.yaml').read_text()
        self.assertGreater(len(check_configuration(text).unwrap().teams), 3)

    @params(
        ({'wieght': 2}, 'unknown key wieght, nearest known: weight'),
        ({'weight': 0}, '$.teams[0].weight'),
        ({'weight': 'heavy'}, '$.teams[0].weight'),
        ({'home': 'moon'}, '$.teams[0].home'),
        ({'name': True}, '$.teams[0].name'),
    )
    def test_errors_name_the_path(self, change, expected):
        team = {'name': 'desk', **change}
        plain = {'data_centres': ['a'], 'teams': [team], 'pools': []}
        errors = check_configuration(json.dumps(plain)).failure().errors
        self.assertIn(expected, ' '.join(errors))

    @params('[]', 'a: [', '', 'x: 1')
    def test_not_a_configuration(self, text):
        self.assertTrue(check_configuration(text).failure().errors)
