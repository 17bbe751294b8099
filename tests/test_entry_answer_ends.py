"""Answers that may have been broken off never reach their callers as whole."""

import unittest

from tests.answering import run_server
from tests.relaying import (
    RESUMABLE,
    WHOLE,
    AbortedAnswer,
    Reset,
    StubTarget,
    get_event_ids,
    make_answer,
    make_route,
    make_stream,
)
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
#: All places inside the second event.
INSIDE_SECOND = tuple(range(BETWEEN + 1, len(EVENTS)))


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


class WayOnTest(unittest.TestCase):
    """What follows from the end of an answer for its caller."""

    def ask(self, route, targets, **fields):
        """Return what the caller got."""
        answers = []

        async def scenario(caller, _):
            answers.append(await caller.ask(**fields))

        run_server(route, targets, scenario)
        return answers[0]

    # Guards against a resumable stream that is cut, though another target could
    # go on with it.
    def test_stream_broken_off_goes_on_elsewhere(self):
        for end in INSIDE_SECOND:
            with self.subTest(end=end):
                first = StubTarget(make_closed(EVENTS[:end]))
                second = StubTarget(make_stream(2, 4))
                answer = self.ask(RESUMABLE, [first, second])
                self.assertEqual(get_event_ids(answer), [1, 2, 3, 4])
                self.assertTrue(answer.looks_complete)
                self.assertIn('last-event-id: 1', second.requests[0])

    # Guards against a resumed run that is closed between two events and ends
    # the framed answer of the first run as complete.
    def test_unproven_end_of_a_framed_reply(self):
        first = StubTarget(AbortedAnswer(make_stream(1, 1, end=b''), 0))
        second = StubTarget(make_closed(EVENTS[BETWEEN:]))
        answer = self.ask(RESUMABLE, [first, second])
        self.assertEqual(get_event_ids(answer), [1, 2])
        self.assertFalse(answer.looks_complete)

    # Guards against a plain answer that is broken off and not repeated, though
    # it may be.
    def test_reset_answer_is_repeated(self):
        answer = self.ask(
            make_route(), [StubTarget(Reset), StubTarget(make_answer())]
        )
        self.assertEqual(answer.body, b'ok')
        self.assertTrue(answer.is_framed)

    # Guards against sound targets that end all answers by closing: they must
    # look healthy, and their callers get all bytes.
    def test_sound_target_looks_healthy(self):
        count = 8
        target = StubTarget(*[make_closed(EVENTS) for _ in range(count)])
        answers = []

        async def scenario(caller, world):
            for _ in range(count):
                answers.append(await caller.ask())
            health = world.state.health
            self.assertEqual(health.get('t0').failures, 0)

        run_server(STREAM, [target], scenario)
        for answer in answers:
            self.assertEqual(answer.parse()[1:], (EVENTS, True))
        self.assertEqual(len(target.requests), count)

    # Guards against a cut reply that looks complete to a caller that speaks
    # HTTP/1.0, which gets no chunks.
    def test_cut_reply_of_an_old_caller(self):
        for raw in (make_stream(1, 1, end=b''), HEAD + EVENTS[: BETWEEN + 3]):
            target = StubTarget(AbortedAnswer(raw, 0.1))
            answer = self.ask(STREAM, [target], version='1.0')
            self.assertTrue(answer.was_reset)

    def test_whole_reply_of_an_old_caller(self):
        """A whole reply ends without a reset."""
        for raw in (WHOLE, HEAD + EVENTS):
            target = StubTarget(AbortedAnswer(raw, 0.1))
            answer = self.ask(STREAM, [target], version='1.0')
            self.assertTrue(answer.looks_complete)
            self.assertFalse(answer.is_framed)


def make_raw(*lines, body=b'', status=200, version='1.1'):
    """Return the bytes of an answer with these header lines."""
    all_lines = (
        f'HTTP/{version} {status} X',
        'Trestledock-Request-Id: r1',
        'Trestledock-Response-Seal: s',
        *lines,
    )
    return '\r\n'.join((*all_lines, '', '')).encode() + body


EARLY_HINT = b'HTTP/1.1 103 Hint\r\n\r\n'
CHUNKED = b'2\r\nok\r\n0\r\n\r\n'


class OddHeadTest(unittest.TestCase):
    """Heads of answers that say several things about the end, or nothing."""

    def ask(self, raw, method='POST', version='1.1'):
        """Return what the caller got of an answer."""
        answers = []

        async def scenario(caller, _):
            answers.append(await caller.ask(method=method, version=version))

        target = StubTarget(AbortedAnswer(raw, 0.1))
        run_server(make_route(max_attempts=1), [target], scenario)
        return answers[0]

    #: The answer's bytes, and the body, whether it is framed for its caller.
    wholes = (
        (make_raw('Content-Length: 2', body=b'ok'), b'ok', True),
        (make_raw('Content-Length: 2', body=b'ok-and-more'), b'ok', True),
        (make_raw('Transfer-Encoding: chunked', body=CHUNKED), b'ok', True),
        (make_raw('Connection: keep-alive', body=b'ok'), b'ok', False),
        (make_raw(body=b'ok', version='1.0'), b'ok', False),
        (make_raw('Content-Length: 2', body=b'ok', version='1.0'), b'ok', True),
        (b'%s%s' % (EARLY_HINT, make_raw(body=b'ok')), b'ok', False),
    )

    def test_whole(self):
        """Each answer arrives with all that its target framed."""
        for raw, body, is_framed in self.wholes:
            with self.subTest(raw=raw):
                answer = self.ask(raw)
                self.assertEqual(answer.parse()[1:], (body, True))
                self.assertIs(answer.is_framed, is_framed)
                answer = self.ask(raw, version='1.0')
                self.assertEqual(answer.parse()[1:], (body, True))

    # Guards against an answer with chunks and another length, which its caller
    # gets cut, or never.
    def test_length_beside_chunks(self):
        for length in (1, 2, 9):
            raw = make_raw(
                'Transfer-Encoding: chunked',
                f'Content-Length: {length}',
                body=CHUNKED,
            )
            with self.subTest(length=length):
                answer = self.ask(raw)
                self.assertEqual(answer.parse()[1:], (b'ok', True))

    # Guards against an answer that ends before its length or its last chunk and
    # is passed on as whole.
    def test_short(self):
        for raw in (
            make_raw('Content-Length: 9', body=b'ok'),
            make_raw('Transfer-Encoding: chunked', body=CHUNKED[:-1]),
            make_raw('Transfer-Encoding: chunked', body=b'9\r\nok\r\n'),
            make_raw('Transfer-Encoding: gzip', body=b'ok'),
        ):
            with self.subTest(raw=raw):
                self.assertEqual(self.ask(raw).parse()[0].status_code, 502)

    # Guards against answers without a body that wait for one, or are taken for
    # broken off.
    def test_empty(self):
        for status, method, lines in (
            (204, 'POST', ()),
            (304, 'GET', ('Content-Length: 9',)),
            (200, 'HEAD', ()),
            (200, 'HEAD', ('Content-Length: 9',)),
            (200, 'HEAD', ('Transfer-Encoding: chunked',)),
        ):
            with self.subTest(status=status, lines=lines):
                answer = self.ask(make_raw(*lines, status=status), method)
                head, body, is_whole = answer.parse(method)
                self.assertEqual((head.status_code, body), (status, b''))
                self.assertTrue(is_whole)
