"""End-to-end tests of relayed requests, with misbehaving targets."""

import unittest
from dataclasses import replace
from itertools import repeat
from unittest import mock

import anyio

from tests.relaying import (
    BROKEN,
    KEY,
    Hang,
    Reset,
    StubTarget,
    make_answer,
    make_route,
    make_stream,
    run_world,
)
from trestledock.entry import _sending
from trestledock.relay import EngineModel, Flight, Phase, RouteKind, TeamKey

NOT_RUN = ('Trestledock-Not-Executed: 1',)
IDEMPOTENT = make_route()
#: An engine with a prefill rate of 100,000 tokens a second.
ENGINE = EngineModel(8, 232_000, 0.001, 100_000, stride=40)
ONCE = make_route(RouteKind.non_idempotent, max_attempts=1)
STREAM = make_route(
    RouteKind.streaming, resumable=True, objective_s=0.3, pause_s=0.2
)


class OutcomeTest(unittest.TestCase):
    """The answer to a caller for each behaviour of the targets."""

    def check(self, route, answers, status, arrivals, body=None):
        """Send one request; the targets answer from one shared list."""
        shared = list(answers)
        targets = [StubTarget(), StubTarget()]
        for target in targets:
            target.answers = shared
        outcomes = []

        async def scenario(world):
            outcomes.append(await world.ask())

        run_world(route, targets, scenario)
        self.assertEqual(outcomes[0].status, status)
        count = sum(len(target.requests) for target in targets)
        self.assertEqual(count, arrivals)
        if body is not None:
            self.assertEqual(outcomes[0].body, body)
        return outcomes[0]

    def test_answer_passes_unchanged(self):
        """The caller gets the status, body and seal of the target."""
        outcome = self.check(ONCE, [make_answer()], 200, 1, b'ok')
        self.assertEqual(outcome.headers['trestledock-response-seal'], 's')

    def test_rejected_request_is_retried(self):
        """A request that a target did not run goes to another target."""
        full = make_answer(b'', 503, seal=False, more=NOT_RUN)
        self.check(ONCE, [full, make_answer()], 200, 2)

    def test_rejected_by_all_is_refused(self):
        """After rejections only, the refusal promises that nothing ran."""
        full = make_answer(b'', 503, seal=False, more=NOT_RUN)
        outcome = self.check(ONCE, repeat(full, 9), 503, 2)
        self.assertIn('retry-after', outcome.headers)

    def test_rejected_again_later(self):
        """Targets that rejected a while ago are tried again, some times."""
        full = make_answer(b'', 503, seal=False, more=NOT_RUN)
        with mock.patch.object(_sending, 'RETURN_PAUSE_S', 0):
            outcome = self.check(ONCE, repeat(full, 9), 503, 6)
        self.assertIn('retry-after', outcome.headers)

    def test_misdirected_request_is_retried(self):
        """421 proves that the request has not run."""
        other = make_answer(b'', 421, seal=False)
        self.check(ONCE, [other, make_answer()], 200, 2)

    def test_replaced_incarnation_gets_no_more_requests(self):
        """A target that answers 421 gets no more requests under its id."""
        other = make_answer(b'', 421, seal=False)
        targets = [StubTarget(*repeat(other, 9)), StubTarget(make_answer())]

        async def scenario(world):
            world.state.load_table.put(
                Flight('x', 't1', 9, 9, Phase.prefill, since=0)
            )
            outcome = await world.ask()
            self.assertEqual(outcome.status, 200)
            self.assertEqual(set(world.state.fleet.draining), {'t0'})

        run_world(ONCE, targets, scenario)
        self.assertEqual(len(targets[0].requests), 1)

    def test_rejecting_target_with_helpers(self):
        """A primary engine that rejects a helped prompt is not retried."""
        other = make_answer(b'', 421, seal=False)
        targets = [StubTarget() for _ in range(4)]
        shared = [other, make_stream(1, 2)]
        for target in targets:
            target.answers = shared
        sizes = {'trestledock-token-counts': '100000,400'}

        async def scenario(world):
            outcome = await world.ask(headers=sizes)
            self.assertEqual(outcome.status, 200)

        run_world(STREAM, targets, scenario, engine=ENGINE)
        requests = [head for target in targets for head in target.requests]
        self.assertEqual(len(requests), 2)
        self.assertIn('trestledock-helpers', requests[0].lower())
        self.assertEqual(max(len(target.requests) for target in targets), 1)

    def test_reset_may_have_run(self):
        """A non-idempotent request is not retried after a reset."""
        self.check(ONCE, [Reset, make_answer()], 502, 1)

    def test_reset_is_retried(self):
        """An idempotent request is retried after a reset."""
        self.check(IDEMPOTENT, [Reset, make_answer()], 200, 2)

    def test_failure_is_retried(self):
        """An idempotent request is retried after a 500."""
        failed = make_answer(b'bad', 500)
        self.check(IDEMPOTENT, [failed, make_answer()], 200, 2, b'ok')

    def test_last_failure_is_forwarded(self):
        """The target's own error response is preferred to the entry's."""
        failed = make_answer(b'bad', 500)
        outcome = self.check(IDEMPOTENT, repeat(failed, 5), 500, 2, b'bad')
        self.assertIn('trestledock-response-seal', outcome.headers)

    def test_false_promise(self):
        """A 503 without the not-executed header may have run."""
        self.check(ONCE, [make_answer(b'', 503)], 502, 1)

    def test_other_id(self):
        """An answer with another request's id is discarded."""
        late = make_answer(b'other', req_id='r0')
        self.check(ONCE, [late], 502, 1, b'')

    def test_without_seal(self):
        """A 200 without the target's seal is a failure."""
        self.check(ONCE, [make_answer(seal=False)], 502, 1, b'')

    def test_cut_body(self):
        """A truncated answer is not forwarded."""
        whole = make_answer(b'ten bytes.')
        self.check(ONCE, [whole[:-3], Reset], 504, 1, b'')

    def test_garbage(self):
        """Bytes that are not HTTP are a failure."""
        self.check(IDEMPOTENT, [b'\x00\x01\r\n\r\n', make_answer()], 200, 2)

    def test_hanging_target_at_the_deadline(self):
        """A request that may be running is not reported as refused."""
        route = make_route(
            RouteKind.non_idempotent, max_attempts=1, timeout_s=0.3
        )
        self.check(route, [Hang], 504, 1)

    def test_surplus_answer(self):
        """A second answer on an idle connection is discarded."""
        targets = [StubTarget(make_answer() * 2, make_answer(req_id='r2'))]

        async def scenario(world):
            first = await world.ask()
            await anyio.sleep(0.05)
            second = await world.ask('r2')
            self.assertEqual((first.body, second.body), (b'ok', b'ok'))
            self.assertEqual(second.status, 200)

        run_world(ONCE, targets, scenario)


class SilentConnectionTest(unittest.TestCase):
    """Idle connections that have fallen silent, while new ones work."""

    def test_others_are_not_tried(self):
        """After a silence the next attempt uses a new connection."""
        answers = [make_answer(req_id=req_id) for req_id in ('r1', 'r2', 'r3')]
        target = StubTarget(*answers[:2], Hang, answers[2])

        async def scenario(world):
            async with anyio.create_task_group() as group:
                group.start_soon(world.ask, 'r1')
                await anyio.sleep(0)
                group.start_soon(world.ask, 'r2')
            self.assertEqual(target.connections, 2)
            outcome = await world.ask('r3')
            self.assertEqual(outcome.status, 200)
            self.assertEqual(target.connections, 3)

        run_world(IDEMPOTENT, [target], scenario)


class StreamTest(unittest.TestCase):
    """Streams are complete, resumed or cut."""

    def ask(self, route, answers, headers=()):
        targets = [StubTarget(), StubTarget()]
        shared = list(answers)
        for target in targets:
            target.answers = shared
        outcomes = []

        async def scenario(world):
            started_at = anyio.current_time()
            outcomes.append(await world.ask(headers=headers))
            self.took_s = anyio.current_time() - started_at

        run_world(route, targets, scenario)
        requests = [head for target in targets for head in target.requests]
        return outcomes[0], requests

    def get_ids(self, outcome):
        lines = outcome.body.decode().split('\n')
        return [int(line[4:]) for line in lines if line.startswith('id: ')]

    def test_whole(self):
        """All events and the end of the stream are forwarded."""
        outcome, _ = self.ask(STREAM, [make_stream(1, 5)])
        self.assertEqual(self.get_ids(outcome), [1, 2, 3, 4, 5])
        self.assertTrue(outcome.whole)

    def test_resumed_elsewhere(self):
        """A broken stream is resumed after the last complete event."""
        broken = make_stream(1, 3, end=BROKEN)
        outcome, requests = self.ask(STREAM, [broken, make_stream(4, 6)])
        self.assertEqual(self.get_ids(outcome), [1, 2, 3, 4, 5, 6])
        self.assertTrue(outcome.whole)
        resumed = [
            head for head in requests if 'last-event-id: 3' in head.lower()
        ]
        self.assertEqual(len(resumed), 1)

    def test_silent_stream_is_resumed(self):
        """A stream fails over from a silent target."""
        answers = [make_stream(1, 2, end=b''), make_stream(3, 4)]
        outcome, _ = self.ask(STREAM, answers)
        self.assertEqual(self.get_ids(outcome), [1, 2, 3, 4])

    def test_last_target_is_waited_for(self):
        """A silent stream is not cut if no other target may resume it."""
        route = make_route(
            RouteKind.streaming,
            resumable=True,
            pause_s=0.2,
            max_attempts=1,
            timeout_s=1.5,
        )
        outcome, requests = self.ask(route, [make_stream(1, 2, end=b'')])
        self.assertEqual(len(requests), 1)
        self.assertGreater(self.took_s, 1.4)
        self.assertTrue(outcome.cut)

    def test_stream_across_a_cut_is_resumed_elsewhere(self):
        """A stream from a data centre that falls silent fails over."""
        targets = [StubTarget(make_stream(1, 2, end=b'')), StubTarget()]
        targets[1].answers = [make_stream(3, 4)]
        outcomes = []

        async def scenario(world):
            state = world.state
            far = replace(state.fleet.targets['t0'], data_centre='far')
            state.fleet.put(far)
            state.health.record_failure('t1', anyio.current_time())
            state.record_remote_entry('far', 'e', anyio.current_time())
            async with anyio.create_task_group() as group:
                group.start_soon(cut)
                outcomes.append(await world.ask())

            self.assertEqual(state.waits, set())

        async def cut():
            for pause_s in (0.25, 0.3):
                await anyio.sleep(pause_s)
                states[0].check_reachability(anyio.current_time())

        states = []

        async def with_state(world):
            states.append(world.state)
            await scenario(world)

        route = make_route(
            RouteKind.streaming, resumable=True, pause_s=1.0, timeout_s=5
        )
        run_world(route, targets, with_state)
        self.assertEqual(self.get_ids(outcomes[0]), [1, 2, 3, 4])
        self.assertEqual(len(targets[1].requests), 1)

    def test_duplicate_events_are_dropped(self):
        """Events that the caller already has are not sent again."""
        broken = make_stream(1, 3, end=BROKEN)
        outcome, _ = self.ask(STREAM, [broken, make_stream(2, 5)])
        self.assertEqual(self.get_ids(outcome), [1, 2, 3, 4, 5])

    def test_not_resumable_is_cut(self):
        """A broken stream that may not be resumed is cut, not completed."""
        route = make_route(RouteKind.streaming, pause_s=0.2)
        broken = make_stream(1, 3, end=BROKEN)
        outcome, requests = self.ask(route, [broken, make_stream(4, 6)])
        self.assertTrue(outcome.cut)
        self.assertFalse(outcome.whole)
        self.assertEqual(len(requests), 1)

    def test_callers_own_resumption(self):
        """The caller's own Last-Event-ID is forwarded to the target."""
        _, requests = self.ask(
            STREAM, [make_stream(8, 9)], {'last-event-id': '7'}
        )
        self.assertIn('last-event-id: 7', requests[0].lower())


class KeyTest(unittest.TestCase):
    """Keys, and the age of their proof."""

    def ask(self, key, age_s=0, route=IDEMPOTENT):
        target = StubTarget(make_answer())
        outcomes = []

        async def scenario(world):
            world.state.proof.proven_at = anyio.current_time() - age_s
            outcomes.append(await world.ask(key=key))

        run_world(route, [target], scenario)
        return outcomes[0], target.requests

    def test_unknown_key(self):
        """An unknown key is refused."""
        outcome, requests = self.ask('other')
        self.assertEqual((outcome.status, requests), (401, []))

    def test_team_replaces_the_key(self):
        """The target gets the team and never the key."""
        _, requests = self.ask('key-1')
        self.assertIn('trestledock-tenant: kiosks', requests[0].lower())
        self.assertNotIn('key-1', requests[0])

    def test_priority_of_the_team_precedes_the_routes(self):
        """A priority header sent by the caller is ignored."""
        name = 'trestledock-request-priority'
        for team_priority, route_priority, expected in (
            (None, None, None),
            (None, 1, '1'),
            (0, 1, '0'),
            (12, 1, '9'),
        ):
            target = StubTarget(make_answer())
            key = TeamKey('kiosks', team_priority)

            async def scenario(world, key=key):
                world.state.catalog.keys[KEY] = key
                await world.ask(headers={name: '3'})

            run_world(make_route(priority=route_priority), [target], scenario)
            lines = target.requests[0].lower().split('\r\n')
            sent = [line for line in lines if line.startswith(name)]
            wanted = [f'{name}: {expected}'] if expected else []
            self.assertEqual(sent, wanted)

    def test_old_proof(self):
        """A key without a recent proof is refused."""
        outcome, requests = self.ask('key-1', age_s=4)
        self.assertEqual((outcome.status, requests), (503, []))

    def test_public_route_with_an_old_proof(self):
        """A public route is still served."""
        outcome, _ = self.ask('key-1', age_s=99, route=make_route(public=True))
        self.assertEqual(outcome.status, 200)


class CallerLeftTest(unittest.TestCase):
    """A caller's disconnect ends its request."""

    def test_cancel_closes_the_connection(self):
        """The connection to the target is closed."""
        target = StubTarget(Hang)

        async def scenario(world):
            async with anyio.create_task_group() as group:
                group.start_soon(world.ask)
                while not target.requests:
                    await anyio.sleep(0.01)
                group.cancel_scope.cancel()
            with anyio.fail_after(5):
                await target.closed.wait()
            self.assertEqual(world.state.load_table.own, {})

        run_world(ONCE, [target], scenario)
