"""Parsing of notices in the headers of responses."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from trestledock.entry import Head
from trestledock.platform._headers import PlatformDialect
from trestledock.platform._notices import (
    MAX_RATE_PER_S,
    MAX_BACKOFF_S,
    read_draining,
    read_rate_limit,
    read_backoff,
)


def read(*texts):
    """Return the rate limit of a response with these headers."""
    headers = [(b'Server-Limit', text.encode('latin-1')) for text in texts]
    return read_rate_limit(Head(200, tuple(headers)))


class RateLimitTest(unittest.TestCase):
    """Valid and invalid rate limits."""

    def test_numbers(self):
        known = {
            '1': 1,
            ' 1.5 ': 1.5,
            '0': 0,
            '0.05': 0.05,
            '.5': 0.5,
            '2.': 2,
            '007': 7,
            '9' * 400: MAX_RATE_PER_S,
        }
        for text, per_s in known.items():
            found = read(text)
            self.assertEqual(found.per_s, per_s, text)
            self.assertFalse(found.invalid_text)

    def test_invalid_numbers_are_reported(self):
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
        """The lowest number applies, even beside invalid ones."""
        self.assertEqual(read('3', '2', '5').per_s, 2)
        self.assertEqual(read('x', '4').per_s, 4)
        self.assertEqual(read('x', '4').invalid_text, "'x'")

    def test_not_named(self):
        self.assertFalse(read().is_present)
        self.assertIsNone(read().per_s)

    def test_read_from_any_response(self):
        for status in (200, 421, 500, 503):
            head = Head(status, ((b'server-LIMIT', b'2'),))
            self.assertEqual(
                PlatformDialect().read_head(head).rate_limit.per_s, 2
            )

    @given(st.lists(st.text(st.characters(max_codepoint=255)), max_size=3))
    def test_anything(self, texts):
        found = read(*texts)
        self.assertEqual(found.is_present, bool(texts))
        if found.per_s is not None:
            self.assertGreaterEqual(found.per_s, 0)


def read_after(*texts, status=503):
    """Return the back-off that a response with these headers requests."""
    headers = [(b'Retry-After', text.encode('latin-1')) for text in texts]
    return read_backoff(Head(status, tuple(headers)))


class BackoffTest(unittest.TestCase):
    """Valid and invalid back-off times."""

    def test_numbers(self):
        known = {
            '3': 3,
            ' 0.25 ': 0.25,
            '0': 0,
            '86400': 86_400,
            '9' * 400: MAX_BACKOFF_S,
        }
        for text, backoff_s in known.items():
            found = read_after(text)
            self.assertEqual(found.backoff_s, backoff_s, text)
            self.assertFalse(found.invalid_text, text)

    def test_invalid_values_have_no_effect(self):
        """Dates are invalid, because the clocks of two machines may differ."""
        date = 'Thu, 03 Dec 2026 09:36:11 GMT'
        for text in ('', '-3', '+3', 'NaN', 'inf', '1e3', '1,5', 'soon', date):
            found = read_after(text)
            self.assertEqual(found.backoff_s, 0, text)
            self.assertTrue(found.invalid_text, text)

    def test_named_twice(self):
        """The longest time applies, even beside invalid ones."""
        self.assertEqual(read_after('1', '3', 'x').backoff_s, 3)
        self.assertEqual(read_after('1', '3', 'x').invalid_text, "'x'")

    def test_only_for_rejection_statuses(self):
        for status in (429, 503):
            self.assertEqual(read_after('3', status=status).backoff_s, 3)
        for status in (200, 301, 421, 500):
            self.assertEqual(read_after('3', status=status).backoff_s, 0)

    @given(st.lists(st.text(st.characters(max_codepoint=255)), max_size=3))
    def test_anything(self, texts):
        found = read_after(*texts)
        self.assertGreaterEqual(found.backoff_s, 0)
        self.assertLessEqual(found.backoff_s, MAX_BACKOFF_S)


class DrainingTest(unittest.TestCase):
    """The header value that announces that a target is draining."""

    def test_texts(self):
        known = {'1': True, ' 1 ': True, '0': False, '': False, 'true': False}
        for text, is_draining in known.items():
            head = Head(200, ((b'SERVER-leaving', text.encode()),))
            self.assertIs(read_draining(head), is_draining, text)
        self.assertFalse(read_draining(Head(200, ())))

    def test_named_twice(self):
        headers = ((b'server-leaving', b'0'), (b'server-leaving', b'1'))
        self.assertTrue(read_draining(Head(500, headers)))
