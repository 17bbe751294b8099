"""What a target says of itself, in whatever form it comes."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from trestledock.entry import Head
from trestledock.platform._headers import PlatformDialect
from trestledock.platform._notices import (
    MOST_PER_S,
    MOST_REST_S,
    read_leaving,
    read_limit,
    read_rest,
)


def read(*texts):
    """Return what is read of an answer with these headers."""
    headers = [(b'Server-Limit', one.encode('latin-1')) for one in texts]
    return read_limit(Head(200, tuple(headers)))


class NamedLimitTest(unittest.TestCase):
    """Numbers, and what is none."""

    def test_numbers(self):
        known = {
            '1': 1,
            ' 1.5 ': 1.5,
            '0': 0,
            '0.05': 0.05,
            '.5': 0.5,
            '2.': 2,
            '007': 7,
            '9' * 400: MOST_PER_S,
        }
        for text, per_s in known.items():
            found = read(text)
            self.assertEqual(found.per_s, per_s, text)
            self.assertFalse(found.invalid_text)

    def test_nonsense_is_no_number_and_no_silence(self):
        for text in (
            '',
            '-1',
            '+1',
            'NaN',
            'inf',
            '1,5',
            '1e3',
            '1 2',
            '٣',
            '.',
        ):
            found = read(text.encode('utf-8').decode('latin-1'))
            self.assertIsNone(found.per_s, text)
            self.assertTrue(found.is_present, text)
            self.assertTrue(found.invalid_text, text)

    def test_named_twice(self):
        """The lowest number counts, whatever stands beside it."""
        self.assertEqual(read('3', '2', '5').per_s, 2)
        self.assertEqual(read('x', '4').per_s, 4)
        self.assertEqual(read('x', '4').invalid_text, "'x'")

    def test_not_named(self):
        self.assertFalse(read().is_present)
        self.assertIsNone(read().per_s)

    def test_stands_in_any_answer(self):
        for status in (200, 421, 500, 503):
            head = Head(status, ((b'server-LIMIT', b'2'),))
            self.assertEqual(PlatformDialect().read_head(head).limit.per_s, 2)

    @given(st.lists(st.text(st.characters(max_codepoint=255)), max_size=3))
    def test_anything(self, texts):
        found = read(*texts)
        self.assertEqual(found.is_present, bool(texts))
        if found.per_s is not None:
            self.assertGreaterEqual(found.per_s, 0)


def read_after(*texts, status=503):
    """Return the rest that a refusal with these headers asks for."""
    headers = [(b'Retry-After', one.encode('latin-1')) for one in texts]
    return read_rest(Head(status, tuple(headers)))


class NamedRestTest(unittest.TestCase):
    """Seconds of rest, and what is none."""

    def test_numbers(self):
        known = {
            '3': 3,
            ' 0.25 ': 0.25,
            '0': 0,
            '86400': 86_400,
            '9' * 400: MOST_REST_S,
        }
        for text, rest_s in known.items():
            found = read_after(text)
            self.assertEqual(found.backoff_s, rest_s, text)
            self.assertFalse(found.invalid_text, text)

    def test_nonsense_asks_for_nothing(self):
        """A date would be read by another machine's clock."""
        date = 'Thu, 03 Dec 2026 09:36:11 GMT'
        for text in ('', '-3', '+3', 'NaN', 'inf', '1e3', '1,5', 'soon', date):
            found = read_after(text)
            self.assertEqual(found.backoff_s, 0, text)
            self.assertTrue(found.invalid_text, text)

    def test_named_twice(self):
        """The longest counts, whatever stands beside it."""
        self.assertEqual(read_after('1', '3', 'x').backoff_s, 3)
        self.assertEqual(read_after('1', '3', 'x').invalid_text, "'x'")

    def test_only_where_a_request_is_turned_away(self):
        for status in (429, 503):
            self.assertEqual(read_after('3', status=status).backoff_s, 3)
        for status in (200, 301, 421, 500):
            self.assertEqual(read_after('3', status=status).backoff_s, 0)

    @given(st.lists(st.text(st.characters(max_codepoint=255)), max_size=3))
    def test_anything(self, texts):
        found = read_after(*texts)
        self.assertGreaterEqual(found.backoff_s, 0)
        self.assertLessEqual(found.backoff_s, MOST_REST_S)


class LeavingTest(unittest.TestCase):
    """The one text that says that a target leaves."""

    def test_texts(self):
        known = {'1': True, ' 1 ': True, '0': False, '': False, 'true': False}
        for text, leaves in known.items():
            head = Head(200, ((b'SERVER-leaving', text.encode()),))
            self.assertIs(read_leaving(head), leaves, text)
        self.assertFalse(read_leaving(Head(200, ())))

    def test_said_twice(self):
        headers = ((b'server-leaving', b'0'), (b'server-leaving', b'1'))
        self.assertTrue(read_leaving(Head(500, headers)))
