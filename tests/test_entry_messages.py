"""Messages between entries: valid ones arrive, and others are rejected.

Anything may arrive at the port. Guards against two faults: a reply without its
fields ended the loop that follows the reader, and a request with a text in
place of a number was added to the load table and made each choice of a target
fail.
"""

import json
import unittest
from random import Random

import anyio
from hypothesis import given
from hypothesis import strategies as st

from tests.relaying import SETTINGS
from trestledock.entry._gossip import Gossip
from trestledock.entry._message_codec import (
    DECODERS,
    InvalidMessage,
    decode_message,
    encode_message,
)
from trestledock.entry._messages import (
    Beat,
    Cleared,
    Ends,
    Flights,
    Fresh,
    Question,
    Reply,
    TargetNotice,
    ToldNotices,
)
from trestledock.entry._notices_exchange import NoticesExchange
from trestledock.entry._state import EntryState
from trestledock.entry._update_exchange import UpdateExchange
from trestledock.relay import (
    Backoff,
    ColdStart,
    Crash,
    Drain,
    Flight,
    PeerBackoff,
    Phase,
    RateLimit,
)

FLIGHT = Flight(
    flight_id='r1',
    target='t1@5',
    prompt_tokens=90,
    output_tokens=9,
    phase=Phase.prefill,
    since=1,
    pause_s=0.25,
    worth=1.5,
    due_at=3,
    helpers=('t2',),
    reservations=(('t2', 40),),
    abandoned_at=9,
    event_timeout_s=2,
)
MESSAGES = (
    Flights('e', 3, True, 'dc', False, 0.5, 2, (('r1', FLIGHT), ('r2', None))),
    Beat('e', 'dc', leaving=True),
    Ends('e', ((Crash('f', 't1@5'), 0.25), (Crash('g', 't2'), 0))),
    Cleared('e', 'f', ('t1@5', 't2')),
    ToldNotices(
        'e',
        (
            TargetNotice('t1', RateLimit(1.5, 0, 1, is_shared=True)),
            TargetNotice('t2', RateLimit(None, 2, 2, is_shared=True)),
            TargetNotice('t2', Drain(0.5, 1, is_shared=True)),
        ),
    ),
    Fresh('e', 0.25),
    Question('e', 17.5),
    Reply('e', 17.5, 0.25, 0.125, 0.5, 7, 40),
    Flights('e', 4, False, 'dc', False, 0.5, 2, (), offers_tunnels=False),
)
ANY_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(), inner, max_size=3)
    ),
    max_leaves=10,
)
SENDER = ('10.0.0.1', 9)


def replace_field(message, name, value):
    """Return an encoded message with another value for a field."""
    fields = json.loads(encode_message(message, now=2))
    return json.dumps({**fields, name: value}).encode()


class EncodingTest(unittest.TestCase):
    """Encoding and decoding."""

    def test_round_trip(self):
        """Instants are relative to the clock of the receiver."""
        for message in MESSAGES:
            self.assertEqual(
                decode_message(encode_message(message, now=2), now=2), message
            )

    def test_backoff_is_decoded_as_elsewhere(self):
        message = ToldNotices('e', (TargetNotice('t', Backoff(9, 0, 1)),))
        found = decode_message(encode_message(message, now=2), now=2)
        self.assertEqual(
            found.notices,
            (TargetNotice('t', PeerBackoff(9, 0, 1, is_shared=True)),),
        )

    def test_cold_start(self):
        """It is restrained here from its arrival on."""
        told = ColdStart(until=5, since=0, asked_at=0, heard_at=1)
        message = ToldNotices('e', (TargetNotice('t', told),))
        found = decode_message(encode_message(message, now=2), now=12)
        expected = ColdStart(15, 12, 10, 11, is_shared=True)
        self.assertEqual(found.notices, (TargetNotice('t', expected),))

    def test_no_cold_starts(self):
        """Older versions send no such list, and skip it."""
        raw = encode_message(MESSAGES[4], now=2)
        self.assertNotIn('colds', json.loads(raw))
        raw = replace_field(MESSAGES[4], 'unknown', [['t', 'x']])
        self.assertEqual(decode_message(raw, now=2), MESSAGES[4])

    def test_invalid_rows_of_cold_starts(self):
        """Guards against a row that costs the other notices."""
        valid = ['t', 500, 0, 0]
        rows = [['t'], 5, None, ['t', 'x', 0, 0], ['t', -1, 0, 0], valid]
        rows += [['t', 10**12, 0, 0], [7, 500, 0, 0], ['t', 500, 0, 0, 0]]
        raw = replace_field(MESSAGES[4], 'colds', rows)
        found = decode_message(raw, now=2).notices
        cold = [one for one in found if isinstance(one.notice, ColdStart)]
        others = [one for one in found if one not in cold]
        self.assertEqual(tuple(others), MESSAGES[4].notices)
        self.assertEqual([one.notice.until for one in cold], [2.5])
        for rows in (7, 'x', {}, None):
            raw = replace_field(MESSAGES[4], 'colds', rows)
            self.assertEqual(decode_message(raw, now=2), MESSAGES[4])

    def test_each_kind_is_encoded(self):
        """Every decodable kind can be encoded."""
        kinds = {
            json.loads(encode_message(message, now=0))['kind']
            for message in MESSAGES
        }
        self.assertEqual(kinds, set(DECODERS))

    def test_older_version(self):
        """Older versions don't send the time until the next full state."""
        fields = json.loads(encode_message(MESSAGES[0], now=2))
        fields.pop('again_ms')
        self.assertEqual(
            decode_message(json.dumps(fields).encode(), 2).again_s, 0.5
        )

    @given(st.binary(max_size=80) | ANY_JSON.map(json.dumps))
    def test_arbitrary_data(self, text):
        """Invalid data raises one type of error."""
        raw = text if isinstance(text, bytes) else text.encode()
        with self.assertRaises(InvalidMessage):
            decode_message(raw, now=0)

    @given(st.sampled_from(MESSAGES), st.data())
    def test_arbitrary_field(self, message, draw):
        """A field of another type makes the message invalid, or is valid."""
        name = draw.draw(
            st.sampled_from(sorted(json.loads(encode_message(message, 2))))
        )
        raw = replace_field(message, name, draw.draw(ANY_JSON))
        try:
            found = decode_message(raw, now=2)
        except InvalidMessage:
            return
        self.assertIsInstance(encode_message(found, now=2), bytes)

    def test_invalid_fields_of_requests(self):
        """Each field of an in-flight request is checked."""
        row = json.loads(encode_message(MESSAGES[0], now=2))['flights'][0]
        for at, _ in enumerate(row):
            for value in ({}, True, [[1]]):
                rows = [[*row[:at], value, *row[at + 1 :]]]
                with self.assertRaises(InvalidMessage):
                    decode_message(
                        replace_field(MESSAGES[0], 'flights', rows), now=2
                    )

    def test_deep_nesting(self):
        """Nesting too deep for the JSON decoder is invalid as well."""
        with self.assertRaises(InvalidMessage):
            decode_message(b'[' * 60_000, now=0)


class ReceiveTest(unittest.TestCase):
    """Effects of invalid messages on an entry."""

    # Guards against one datagram that ends the task that receives them.
    def test_numbers_that_arithmetic_cannot_bear(self):
        rows = {
            'news_age_ms': 10**400,
            'asked_at': 10**400,
            'proof_age_s': 10**400,
            'ends': [['f', 't', 10**400]],
            'rests': [['t', 10**400, 1, 1]],
            'limits': [['t', 1, 10**400, 1]],
        }
        refused = [
            (message, name)
            for message in MESSAGES
            for name in rows.keys() & json.loads(encode_message(message, 2))
        ]
        self.assertEqual({name for _, name in refused}, set(rows))
        for message, name in refused:
            with self.assertRaises(InvalidMessage):
                decode_message(replace_field(message, name, rows[name]), now=2)

    def test_invalid_messages_are_ignored(self):
        """Invalid messages are ignored, and valid ones still count."""

        async def main():
            state = EntryState(SETTINGS, 'entry-1#a', Random(1), None)
            gossip = Gossip(state)
            exchange = UpdateExchange(state, gossip)
            NoticesExchange(gossip)
            for message in MESSAGES:
                for name in json.loads(encode_message(message, now=2)):
                    gossip.handle_datagram(
                        replace_field(message, name, {}), SENDER
                    )
            self.assertEqual(
                (gossip.peers.known, state.load_table.count_peers()), ({}, 0)
            )
            self.assertFalse(exchange.renew_proof('e'))
            gossip.handle_datagram(encode_message(MESSAGES[0], now=2), SENDER)
            self.assertEqual(set(gossip.peers.known), {'e'})
            self.assertEqual(len(list(state.load_table.get_flights('t1@5'))), 1)

        anyio.run(main)
