"""Answers of each framing, cut after each byte by a close or a reset."""

import unittest
from dataclasses import dataclass
from itertools import product

import anyio

from tests.answering import run_server
from tests.relaying import (
    RESUMABLE,
    AbortedAnswer,
    ResetAnswer,
    StubTarget,
    get_event_ids,
    make_answer,
    make_route,
    make_stream,
    read_request,
)
from tests.test_entry_answer_ends import EVENTS, HEAD, ONCE, STREAM
from tests.tunnelling import get_header, run_cut_world
from trestledock.entry._reply import END_BY_CLOSE
from trestledock.relay import Framing

EVENT_COUNT = 2
PLAIN = b'some text'
ENDINGS = (AbortedAnswer, ResetAnswer)
#: Every how many bytes of a head it is cut.
HEAD_STEP = 17


@dataclass(frozen=True)
class Kind:
    """A kind of answer: its framing, and all its bytes."""

    framing: Framing
    raw: bytes
    is_stream: bool

    def get_cuts(self):
        """Yield the numbers of bytes after which it is cut, not all."""
        body_at = self.raw.index(b'\r\n\r\n') + 4
        yield from range(0, body_at, HEAD_STEP)
        yield from range(body_at, len(self.raw))

    def may_look_complete(self, end):
        """Return whether nothing in the first bytes tells that some miss.

        Only a stream without framing between two events, and a plain answer
        without framing after its head, are like whole ones.
        """
        if self.framing is not Framing.close or not self.raw[:end].startswith(
            HEAD
        ):
            return False
        body = self.raw[len(HEAD) : end]
        return not self.is_stream or body.endswith(b'\n\n')


def make_chunked_answer(body):
    """Return a plain answer with one chunk."""
    raw = make_stream(1, 0, end=b'')
    return raw + b'%x\r\n%s\r\n0\r\n\r\n' % (len(body), body)


STREAMS = (
    Kind(Framing.length, make_answer(EVENTS), is_stream=True),
    Kind(Framing.chunks, make_stream(1, EVENT_COUNT), is_stream=True),
    Kind(Framing.close, HEAD + EVENTS, is_stream=True),
)
PLAINS = (
    Kind(Framing.length, make_answer(PLAIN), is_stream=False),
    Kind(Framing.chunks, make_chunked_answer(PLAIN), is_stream=False),
    Kind(Framing.close, HEAD + PLAIN, is_stream=False),
)


def forget_failures(state):
    """Have the next request fare as if it were the first."""
    state.proof.renew(anyio.current_time())
    state.budgets.by_service.clear()
    for name in ('t0', 't1'):
        state.health.forget(name, 'dc')
    state.links.health.scopes.clear()
    state.isolation.quarantine.suspects.clear()


class ResumingTarget(StubTarget):
    """Answers streams whole, or what comes after the last event."""

    async def _talk(self, stream):
        while True:
            head = await read_request(stream)
            self.requests.append(head)
            last = int(get_header(head, 'last-event-id') or 0)
            await stream.send(make_stream(last + 1, EVENT_COUNT))


class AnsweringTarget(StubTarget):
    """Answers each plain request whole."""

    async def _talk(self, stream):
        while True:
            self.requests.append(await read_request(stream))
            await stream.send(make_answer(PLAIN))


class CutTest(unittest.TestCase):
    """What the callers of cut answers get, over the entry's own links."""

    def ask_each(self, route, kind, *others):
        """Yield each cut, its ending, what its caller got, and the runs."""
        cases = list(product(kind.get_cuts(), ENDINGS))
        target = StubTarget(
            *[ending(kind.raw[:end], 0) for end, ending in cases]
        )
        found = []

        async def scenario(caller, world):
            for end, ending in cases:
                count = len(target.requests)
                answer = await caller.ask()
                forget_failures(world.state)
                runs = len(target.requests) - count
                found.append((end, ending, answer, runs))

        run_server(route, [target, *others], scenario)
        return found

    def check(self, kind, end, ending, answer):
        """Assert that a cut answer looks complete only if nothing tells."""
        head, _, looks_complete = answer.parse()
        if head is None or head.status_code == 502:
            return
        if looks_complete:
            self.assertIs(ending, AbortedAnswer)
            self.assertTrue(kind.may_look_complete(end))
            self.assertFalse(answer.is_framed)

    def check_resumed(self, kind, end, answer):
        """Assert that a stream has all its events, unless nothing tells."""
        ids = get_event_ids(answer)
        self.assertEqual(ids, list(range(1, len(ids) + 1)))
        if not kind.may_look_complete(end):
            self.assertEqual(len(ids), EVENT_COUNT)
            self.assertTrue(answer.looks_complete)
        elif len(ids) < EVENT_COUNT:
            self.assertFalse(answer.is_framed)

    def check_repeated(self, kind, end, answer):
        """Assert that a plain answer is whole, unless nothing tells."""
        self.assertTrue(answer.looks_complete)
        if answer.body != PLAIN:
            self.assertTrue(kind.may_look_complete(end))
            self.assertFalse(answer.is_framed)

    # Guards against a cut stream that looks complete to its caller.
    def test_streams_that_may_not_be_resumed(self):
        for kind in STREAMS:
            for end, ending, answer, runs in self.ask_each(STREAM, kind):
                with self.subTest(kind=kind.framing, end=end, ending=ending):
                    self.check(kind, end, ending, answer)
                    self.assertEqual(runs, 1)

    # Guards against a cut plain answer that looks complete to its caller, or is
    # asked for twice.
    def test_plain_answers_that_may_run_once(self):
        for kind in PLAINS:
            for end, ending, answer, runs in self.ask_each(ONCE, kind):
                with self.subTest(kind=kind.framing, end=end, ending=ending):
                    self.check(kind, end, ending, answer)
                    self.assertEqual(runs, 1)

    # Guards against resumed streams with pieces that are lost or repeated.
    def test_streams_that_go_on_elsewhere(self):
        for kind in STREAMS:
            other = ResumingTarget()
            for end, ending, answer, _ in self.ask_each(RESUMABLE, kind, other):
                with self.subTest(kind=kind.framing, end=end, ending=ending):
                    self.check_resumed(kind, end, answer)

    # Guards against plain answers that are cut though they may be repeated.
    def test_plain_answers_that_are_repeated(self):
        for kind in PLAINS:
            other = AnsweringTarget()
            route = make_route()
            for end, ending, answer, _ in self.ask_each(route, kind, other):
                with self.subTest(kind=kind.framing, end=end, ending=ending):
                    self.check_repeated(kind, end, answer)


class TunnelCutTest(unittest.TestCase):
    """The same through another entry, which must not hide how a target ends."""

    def ask_each(self, route, kind):
        """Return each cut, its ending, and what its caller got."""
        cases = list(product(kind.get_cuts(), ENDINGS))
        target = StubTarget(
            *[ending(kind.raw[:end], 0) for end, ending in cases]
        )
        found = []

        async def run(cut_world):
            await cut_world.add_neighbour()
            cut_world.cut()
            for end, ending in cases:
                cut_world.doubt()
                found.append((end, ending, await cut_world.ask()))

        run_cut_world(route, [target], run, timeout_s=60)
        return found

    # Guards against a break behind a tunnel that comes out as a good end.
    def test_cut_behind_a_tunnel(self):
        cases = [
            *[(STREAM, kind) for kind in STREAMS],
            *[(ONCE, kind) for kind in PLAINS],
        ]
        for route, kind in cases:
            for end, ending, outcome in self.ask_each(route, kind):
                with self.subTest(kind=kind.framing, end=end, ending=ending):
                    self.check(kind, end, ending, outcome)

    def check(self, kind, end, ending, outcome):
        """Assert that a cut answer looks complete only if nothing tells."""
        if outcome.whole and outcome.status == 200:
            self.assertIs(ending, AbortedAnswer)
            self.assertTrue(kind.may_look_complete(end))
            self.assertIn(END_BY_CLOSE[0].decode(), outcome.headers)
