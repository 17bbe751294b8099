"""What tells where an answer ends."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from trestledock.relay import (
    AnswerEnd,
    EventSplitter,
    Framing,
    Tail,
    get_framing,
    judge_end,
)

FRAMED = (Framing.length, Framing.chunks, Framing.empty)
#: Bytes of a stream, and what it ends with after them.
TAILS = (
    (b'', Tail.none),
    (b'id: 1\ndata: a\n\n', Tail.none),
    (b'id: 1\r\ndata: a\r\n\r\n', Tail.none),
    (b'id: 1\ndata: a\n\n\n', Tail.none),
    (b'id: 1\ndata: a\n\n: idle\n', Tail.none),
    (b'id: 1\ndata: a\n\n: idle\r\n', Tail.none),
    (b'id: 1\rdata: a\r\r', Tail.none),
    (b'id: 1\r\ndata: a\r\n\r', Tail.none),
    (b'id: 1\rdata: a\r', Tail.event),
    (b'id: 1\ndata: a\n\n: id', Tail.comment),
    (b'id: 1\ndata: a\n\n: idle\ni', Tail.event),
    (b'id: 1\ndata: a\n\n: idle\ndata: b\n: i', Tail.event),
    (b'id: 1\ndata: a\n\ni', Tail.event),
    (b'id: 1\ndata: a\n', Tail.event),
    (b'id: 1\ndata: a\r\n', Tail.event),
    (b'id: 1\ndata: a', Tail.event),
    (b'id: 1\ndata: a\n\nid: 2\ndata: b\n', Tail.event),
)


class FramingTest(unittest.TestCase):
    """What the request and the head of its answer say of the body's end."""

    #: Method, status, whether there is a length, chunks; the framing.
    cases = (
        ('POST', 200, True, False, Framing.length),
        ('POST', 200, False, True, Framing.chunks),
        ('POST', 200, True, True, Framing.chunks),
        ('GET', 200, False, False, Framing.close),
        ('GET', 502, False, False, Framing.close),
        ('HEAD', 200, False, False, Framing.empty),
        ('HEAD', 200, True, False, Framing.empty),
        ('HEAD', 200, False, True, Framing.empty),
        ('GET', 204, False, False, Framing.empty),
        ('GET', 304, True, False, Framing.empty),
    )

    def test_framings(self):
        """Chunks precede a length; some answers never have a body."""
        for method, status, has_length, is_chunked, expected in self.cases:
            with self.subTest(method=method, status=status):
                framing = get_framing(
                    method,
                    status,
                    has_length=has_length,
                    is_chunked=is_chunked,
                )
                self.assertIs(framing, expected)


class EndTest(unittest.TestCase):
    """Whether an answer whose bytes have ended is whole."""

    # Guards against a stream that ends inside an event and counts as whole,
    # and a close that counts as the end of an answer.
    def test_ends(self):
        for framing in FRAMED:
            for tail in Tail:
                is_broken = tail is Tail.event
                expected = AnswerEnd.broken if is_broken else AnswerEnd.whole
                with self.subTest(framing=framing, tail=tail):
                    self.assertIs(judge_end(framing, tail), expected)
        for tail in Tail:
            is_open = tail is Tail.none
            expected = AnswerEnd.unproven if is_open else AnswerEnd.broken
            with self.subTest(tail=tail):
                self.assertIs(judge_end(Framing.close, tail), expected)

    def test_tails(self):
        """Comments and blank lines are no event; all other lines are."""
        for raw, expected in TAILS:
            with self.subTest(raw=raw):
                splitter = EventSplitter()
                splitter.push(raw)
                self.assertIs(splitter.get_tail(), expected)

    @given(st.sampled_from(TAILS), st.lists(st.integers(0, 40), max_size=6))
    def test_tail_after_any_reads(self, case, cuts):
        """A tail does not depend on where reads end."""
        raw, expected = case
        ends = [0, *sorted(cuts), len(raw)]
        splitter = EventSplitter()
        for start, end in zip(ends, ends[1:]):
            splitter.push(raw[start:end])
        self.assertIs(splitter.get_tail(), expected)
