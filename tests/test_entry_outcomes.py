"""Each request has one outcome, whatever its attempts came to."""

import unittest
from dataclasses import replace
from itertools import repeat
from unittest import mock

import anyio

from tests.relaying import (
    BROKEN,
    HOST,
    KEY,
    RESUMABLE,
    SILENT,
    AbortedAnswer,
    DelayedAnswer,
    Hang,
    Reset,
    StubTarget,
    make_answer,
    make_route,
    make_stream,
    run_world,
)
from trestledock.entry import _outcomes as outcomes
from trestledock.entry._app import EntryApp
from trestledock.entry._job import STATUSES, Refusal
from trestledock.relay import FreshnessProof, RouteKind

NOT_RUN = ('Trestledock-Not-Executed: 1',)
ONCE = make_route(RouteKind.non_idempotent, max_attempts=1)
#: A request of a caller, as the web server passes it.
SCOPE = {
    'type': 'http',
    'server': ('127.0.0.1', 9),
    'method': 'POST',
    'raw_path': b'/p/x',
    'query_string': b'',
    'headers': [
        (b'host', HOST.encode()),
        (b'trestledock-request-id', b'r1'),
        (b'authorization', f'Bearer {KEY}'.encode()),
    ],
}


def make_slow_stream(pause_s):
    """Return a stream whose third event comes after a pause."""
    whole = make_stream(1, 4)
    half = whole.index(b'id: 3') - 4
    return DelayedAnswer(whole[:half], whole[half:], pause_s)


class OutcomeTest(unittest.TestCase):
    """The `request_ended` event of one request."""

    def setUp(self):
        self.emitted = []
        patch = mock.patch.object(outcomes, 'emit', self.emitted.append)
        patch.start()
        self.addCleanup(patch.stop)

    def relay(self, route, answers, **fields):
        """Relay one request; return its only event."""
        shared = list(answers)
        targets = [StubTarget(), StubTarget()]
        for target in targets:
            target.answers = shared

        async def scenario(world):
            await world.ask(**fields)

        run_world(route, targets, scenario)
        return self.get_event()

    def get_event(self):
        self.assertEqual(len(self.emitted), 1)
        return self.emitted[0]

    def check(self, outcome, route, answers, reason='', **fields):
        event = self.relay(route, answers, **fields)
        self.assertEqual((event.outcome, event.reason), (outcome, reason))
        return event

    def test_plain_answer(self):
        """A plain answer is in time by its objective."""
        event = self.check(
            'in_time', replace(ONCE, priority=3), [make_answer()]
        )
        self.assertEqual(
            (event.service, event.rank, event.team, event.data_centre),
            ('svc', 3, 'kiosks', 'dc'),
        )
        self.assertLess(event.waited_ms, 500)

    def test_late_plain_answer(self):
        """An answer after its objective is late, not in time."""
        route = replace(ONCE, objective_s=0.1)
        raw = make_answer()
        self.check('late', route, [DelayedAnswer(raw[:9], raw[9:], 0.3)])

    def test_stream(self):
        """A stream without a long pause is in time."""
        self.check('in_time', RESUMABLE, [make_stream(1, 4)])

    def test_stream_with_a_pause(self):
        """A long pause makes a stream late although it began in time."""
        self.check('late', RESUMABLE, [make_slow_stream(0.4)])

    def test_pause_below_the_routes(self):
        """A pause that the route allows changes nothing."""
        route = replace(RESUMABLE, pause_s=1)
        self.check('in_time', route, [make_slow_stream(0.3)])

    def test_resumed_stream_counts_once(self):
        """Two attempts at a stream are one request."""
        aborted = AbortedAnswer(make_stream(1, 3, end=b''), pause_s=0)
        route = replace(RESUMABLE, objective_s=2, pause_s=2)
        self.check('in_time', route, [aborted, make_stream(4, 6)])

    def test_resumed_after_a_silence(self):
        """A stream that resumes elsewhere too late is late, and counts once."""
        self.check('late', RESUMABLE, [SILENT, make_stream(3, 4)])

    def test_rejected(self):
        """A request that no target ran is refused, with a class."""
        answers = repeat(make_answer(status=503, more=NOT_RUN), 9)
        self.check('refused', make_route(), answers, 'not_run')

    def test_unknown_key(self):
        """A refusal before admission is the caller's own fault."""
        event = self.check('refused', ONCE, [], 'caller', key='other')
        self.assertEqual((event.route, event.team), ('r', ''))

    def test_team_of_an_unadmitted_request(self):
        """Old proofs are refused, and the team that is hit is told."""

        async def scenario(world):
            world.state.proof = FreshnessProof(world.state.settings.revoke_s)
            await world.ask()

        run_world(ONCE, [], scenario)
        event = self.get_event()
        self.assertEqual(event.reason, 'configuration')
        self.assertEqual(event.team, 'kiosks')

    def test_lost(self):
        """A request that may have run is failed, not refused."""
        self.check('failed', ONCE, [Reset])

    def test_targets_failure(self):
        """A failure that a target answered itself is no answer in time."""
        self.check('failed', ONCE, [make_answer(status=500)])

    def test_cut(self):
        """A stream that can't be completed is failed."""
        route = replace(RESUMABLE, resumable=False)
        self.check('failed', route, [make_stream(1, 3, end=BROKEN)])

    def test_caller_left(self):
        """A caller that closes its connection is not counted as a failure."""
        target = StubTarget(Hang)
        asked = anyio.Event()

        async def receive():
            if not asked.is_set():
                asked.set()
                return {'type': 'http.request', 'more_body': False}
            while not target.requests:
                await anyio.sleep(0.01)
            return {'type': 'http.disconnect'}

        async def scenario(world):
            app = EntryApp(
                world.state, world.relayer, world.dialect, mock.Mock(), None
            )
            await app(SCOPE, receive, mock.AsyncMock())

        run_world(ONCE, [target], scenario)
        self.assertEqual(self.get_event().outcome, 'caller_left')

    def test_aborted_without_its_caller(self):
        """A request that ends with the process is not the caller's doing."""
        target = StubTarget(Hang)

        async def scenario(world):
            async with anyio.create_task_group() as group:
                group.start_soon(world.ask)
                while not target.requests:
                    await anyio.sleep(0.01)
                group.cancel_scope.cancel()

        run_world(ONCE, [target], scenario)
        self.assertEqual(self.get_event().outcome, 'failed')

    def test_each_refusal_has_a_class(self):
        """A new reason can't be counted without a decision on its class."""
        for refusal in Refusal:
            is_failure = STATUSES[refusal] in {502, 504}
            self.assertNotEqual(is_failure, refusal in outcomes.REFUSAL_CLASSES)
