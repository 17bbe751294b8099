"""The limit that a target names, in whatever form it comes."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from trestledock.entry import Head
from trestledock.platform._headers import PlatformDialect
from trestledock.platform._notices import MOST_PER_S, read_limit


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
            self.assertFalse(found.unreadable)

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
            self.assertTrue(found.is_named, text)
            self.assertTrue(found.unreadable, text)

    def test_named_twice(self):
        """The lowest number counts, whatever stands beside it."""
        self.assertEqual(read('3', '2', '5').per_s, 2)
        self.assertEqual(read('x', '4').per_s, 4)
        self.assertEqual(read('x', '4').unreadable, "'x'")

    def test_not_named(self):
        self.assertFalse(read().is_named)
        self.assertIsNone(read().per_s)

    def test_stands_in_any_answer(self):
        for status in (200, 421, 500, 503):
            head = Head(status, ((b'server-LIMIT', b'2'),))
            self.assertEqual(PlatformDialect().read_head(head).limit.per_s, 2)

    @given(st.lists(st.text(st.characters(max_codepoint=255)), max_size=3))
    def test_anything(self, texts):
        found = read(*texts)
        self.assertEqual(found.is_named, bool(texts))
        if found.per_s is not None:
            self.assertGreaterEqual(found.per_s, 0)
