"""Answers that may have been broken off never reach their callers as whole."""

import unittest

from tests.answering import run_server
from tests.relaying import AbortedAnswer, StubTarget, make_route
from trestledock.relay import RouteKind

ONCE = make_route(RouteKind.non_idempotent, max_attempts=1)
STREAM = make_route(RouteKind.streaming, max_attempts=1, objective_s=2)
HEAD = (
    b'HTTP/1.1 200 X\r\n'
    b'Trestledock-Request-Id: r1\r\nTrestledock-Response-Seal: s\r\n\r\n'
)
EVENTS = b'id: 1\ndata: x\n\nid: 2\ndata: y\n\n'
#: Where the first of the two events ends.
BETWEEN = len(EVENTS) // 2


def make_closed(body):
    """Return an answer that only the close of its connection ends."""
    return AbortedAnswer(HEAD + body, 0)


class ClosedAnswerTest(unittest.TestCase):
    """Answers with neither a length nor chunks, closed after each byte."""

    def ask_each(self, route, bodies):
        """Return what the callers of the closed answers got."""
        target = StubTarget(*map(make_closed, bodies))
        answers = []

        async def scenario(caller, _):
            for _body in bodies:
                answers.append(await caller.ask())

        run_server(route, [target], scenario)
        return answers

    # Guards against a stream that its target closes inside an event and that
    # reaches its caller as complete.
    def test_stream_closed_inside_an_event(self):
        ends = [end for end in range(1, len(EVENTS)) if end != BETWEEN]
        answers = self.ask_each(STREAM, [EVENTS[:end] for end in ends])
        for end, answer in zip(ends, answers, strict=True):
            with self.subTest(end=end):
                self.assertTrue(answer.raw or answer.was_reset)
                head, _, looks_complete = answer.parse()
                is_refused = head is not None and head.status_code == 502
                self.assertTrue(is_refused or not looks_complete)

    # Guards against a stream closed between two events that is framed as
    # complete, though nothing tells whether it was.
    def test_stream_closed_between_events(self):
        for answer in self.ask_each(STREAM, [EVENTS[:BETWEEN], EVENTS]):
            self.assertFalse(answer.is_framed)

    # Guards against a plain answer that is framed as complete, though only the
    # close of the target's connection has ended it.
    def test_plain_answer_closed(self):
        for answer in self.ask_each(ONCE, [b'', b'o', b'ok']):
            self.assertFalse(answer.is_framed)
