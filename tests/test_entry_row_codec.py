"""Rows of waiting requests, usage and ranks in messages between entries."""

import json
import unittest
from dataclasses import replace
from itertools import product

from hypothesis import given

from tests.test_entry_messages import ANY_JSON, FLIGHT, MESSAGES, replace_field
from trestledock.entry._message_codec import decode_message, encode_message
from trestledock.relay import Usage, UsageKey, UsageRow, WaitingRow

KEY = UsageKey('svc', 1, 'a')
RANKED = replace(
    MESSAGES[0],
    changes=(('r1', replace(FLIGHT, rank=0)), ('r2', None)),
    waiting=(WaitingRow('svc', 2, 'a', 3, 1.5, 2.25, 'dc'),),
    served=(UsageRow(KEY, Usage(9_000, 300)),),
)
NEW_FIELDS = ('waiting', 'served', 'ranks')


class RowCodecTest(unittest.TestCase):
    """Optional fields of the message about requests in flight."""

    def decode_with(self, name, rows):
        return decode_message(replace_field(RANKED, name, rows), now=2)

    def test_round_trip(self):
        raw = encode_message(RANKED, now=2)
        self.assertEqual(decode_message(raw, now=2), RANKED)

    def test_unranked_message_is_as_before(self):
        """Guards against new fields where no configuration has ranks."""
        fields = json.loads(encode_message(MESSAGES[0], now=2))
        self.assertFalse(set(fields) & set(NEW_FIELDS))

    def test_flights_of_old_builds_have_no_rank(self):
        """Each row of a request is as old builds send and read it.

        They reject a message with a longer row as a whole.
        """
        fields = json.loads(encode_message(RANKED, now=2))
        old = json.loads(encode_message(MESSAGES[0], now=2))
        self.assertEqual(fields['flights'], old['flights'])

    def test_rows_of_newer_builds_are_skipped(self):
        """Guards against losing the flights for a row in another form."""
        row = ['svc', 2, 'a', 3, 1500, 250]
        for other in ([*row, 'new'], ['svc'], 7, ['svc', 'x', 'a', 1, 1, 1]):
            found = self.decode_with('waiting', [other, row])
            self.assertEqual(found.waiting, RANKED.waiting)
            self.assertEqual(found.changes, RANKED.changes)

    @given(ANY_JSON)
    def test_arbitrary_rows(self, rows):
        """Guards against rows that make a message, or arithmetic, fail."""
        for name in NEW_FIELDS:
            found = self.decode_with(name, rows)
            self.assertEqual(
                [flight_id for flight_id, _ in found.changes], ['r1', 'r2']
            )

    def test_invalid_ranks(self):
        """Guards against a truth value, or a huge number, as a rank."""
        for rank in (True, 10**30, 1.5, 'x', None):
            (_, flight), _ = self.decode_with('ranks', {'r1': rank}).changes
            self.assertIsNone(flight.rank)

    def test_all_rows_of_the_teams_fit(self):
        """Guards against rows of 24 teams and 3 ranks that are left out."""
        rows = tuple(
            WaitingRow('svc', rank, f'team-{team}', 1, work_s, 2.25, 'dc')
            for rank, team, work_s in product(range(3), range(24), (0.1, 1.5))
        )
        raw = encode_message(replace(RANKED, waiting=rows), now=2)
        self.assertEqual(decode_message(raw, now=2).waiting, rows)

    def test_time_left_is_bounded(self):
        """Guards against a row that blocks others for good."""
        found = self.decode_with('waiting', [['svc', 2, 'a', 3, 1e18, -1e18]])
        self.assertEqual(found.waiting[0].until, 2)
