"""Relayed requests from end to end, with targets that misbehave."""

import unittest
from dataclasses import replace
from itertools import repeat

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
from trestledock.relay import EngineModel, Flight, Phase, RouteKind, TeamKey

NOT_RUN = ('Trestledock-Not-Executed: 1',)
IDEMPOTENT = make_route()
#: An engine that reads 100,000 tokens in a second.
ENGINE = EngineModel(8, 232_000, 0.001, 100_000, stride=40)
ONCE = make_route(RouteKind.non_idempotent, max_attempts=1)
STREAM = make_route(
    RouteKind.streaming, resumable=True, objective_s=0.3, pause_s=0.2
)


class OutcomeTest(unittest.TestCase):
    """What a caller gets by what its targets do."""

    def check(self, route, answers, status, arrivals, body=None):
        """Ask once; every target gives the same list of answers in turn."""
        shared = list(answers)
        targets = [StubTarget(), StubTarget()]
        for target in targets:
            target.answers = shared
        found = []

        async def scenario(world):
            found.append(await world.ask())

        run_world(route, targets, scenario)
        self.assertEqual(found[0].status, status)
        count = sum(len(target.requests) for target in targets)
        self.assertEqual(count, arrivals)
        if body is not None:
            self.assertEqual(found[0].body, body)
        return found[0]

    def test_answer_passes_unchanged(self):
        """Status, body and seal are the target's."""
        found = self.check(ONCE, [make_answer()], 200, 1, b'ok')
        self.assertEqual(found.headers['trestledock-response-seal'], 's')

    def test_rejected_goes_elsewhere(self):
        """A target's word that it did not run allows another one."""
        full = make_answer(b'', 503, seal=False, more=NOT_RUN)
        self.check(ONCE, [full, make_answer()], 200, 2)

    def test_rejected_by_all_is_not_run(self):
        """A refusal after rejections alone promises that nothing ran."""
        full = make_answer(b'', 503, seal=False, more=NOT_RUN)
        found = self.check(ONCE, repeat(full, 9), 503, 6)
        self.assertIn('retry-after', found.headers)

    def test_misdirected_goes_elsewhere(self):
        """421 proves that the request has not run."""
        other = make_answer(b'', 421, seal=False)
        self.check(ONCE, [other, make_answer()], 200, 2)

    def test_gone_incarnation_is_left_for_good(self):
        """A target that answers 421 gets nothing more under that id."""
        other = make_answer(b'', 421, seal=False)
        targets = [StubTarget(*repeat(other, 9)), StubTarget(make_answer())]

        async def scenario(world):
            world.state.board.put(
                Flight('x', 't1', 9, 9, Phase.prefill, since=0)
            )
            found = await world.ask()
            self.assertEqual(found.status, 200)
            self.assertEqual(set(world.state.fleet.draining), {'t0'})

        run_world(ONCE, targets, scenario)
        self.assertEqual(len(targets[0].requests), 1)

    def test_rejecting_target_with_helpers(self):
        """A first target that rejects a helped prompt is not asked again."""
        other = make_answer(b'', 421, seal=False)
        targets = [StubTarget() for _ in range(4)]
        shared = [other, make_stream(1, 2)]
        for target in targets:
            target.answers = shared
        sizes = {'trestledock-token-counts': '100000,400'}

        async def scenario(world):
            found = await world.ask(headers=sizes)
            self.assertEqual(found.status, 200)

        run_world(STREAM, targets, scenario, engine=ENGINE)
        asked = [one for target in targets for one in target.requests]
        self.assertEqual(len(asked), 2)
        self.assertIn('trestledock-helpers', asked[0].lower())
        self.assertEqual(max(len(one.requests) for one in targets), 1)

    def test_reset_may_have_run(self):
        """A request that was sent and got a reset is not sent again."""
        self.check(ONCE, [Reset, make_answer()], 502, 1)

    def test_reset_is_repeated(self):
        """An idempotent one is."""
        self.check(IDEMPOTENT, [Reset, make_answer()], 200, 2)

    def test_failure_is_repeated(self):
        """An idempotent request gets a second chance after a failure."""
        failed = make_answer(b'bad', 500)
        self.check(IDEMPOTENT, [failed, make_answer()], 200, 2, b'ok')

    def test_last_failure_is_passed_on(self):
        """The target's own failure is better than one of ours."""
        failed = make_answer(b'bad', 500)
        found = self.check(IDEMPOTENT, repeat(failed, 5), 500, 2, b'bad')
        self.assertIn('trestledock-response-seal', found.headers)

    def test_false_promise(self):
        """A 503 without the word that nothing ran is no promise."""
        self.check(ONCE, [make_answer(b'', 503)], 502, 1)

    def test_other_id(self):
        """An answer to another request goes to nobody."""
        late = make_answer(b'other', req_id='r0')
        self.check(ONCE, [late], 502, 1, b'')

    def test_without_seal(self):
        """A success without the target's seal is no success."""
        self.check(ONCE, [make_answer(seal=False)], 502, 1, b'')

    def test_cut_body(self):
        """An answer that is cut short is no answer."""
        whole = make_answer(b'ten bytes.')
        self.check(ONCE, [whole[:-3], Reset], 504, 1, b'')

    def test_garbage(self):
        """Bytes that are no answer are none."""
        self.check(IDEMPOTENT, [b'\x00\x01\r\n\r\n', make_answer()], 200, 2)

    def test_hanging_target_at_the_deadline(self):
        """A request that may be running is not called refused (REFUSED)."""
        route = make_route(
            RouteKind.non_idempotent, max_attempts=1, timeout_s=0.3
        )
        self.check(route, [Hang], 504, 1)

    def test_surplus_answer(self):
        """A second answer on a kept connection goes to nobody."""
        targets = [StubTarget(make_answer() * 2, make_answer(req_id='r2'))]

        async def scenario(world):
            first = await world.ask()
            await anyio.sleep(0.05)
            second = await world.ask('r2')
            self.assertEqual((first.body, second.body), (b'ok', b'ok'))
            self.assertEqual(second.status, 200)

        run_world(ONCE, targets, scenario)


class SilentConnectionTest(unittest.TestCase):
    """Kept connections that have gone silent, while new ones work."""

    def test_others_are_not_tried(self):
        """After one was silent, the next sending has a new connection."""
        answers = [make_answer(req_id=one) for one in ('r1', 'r2', 'r3')]
        target = StubTarget(*answers[:2], Hang, answers[2])

        async def scenario(world):
            async with anyio.create_task_group() as group:
                group.start_soon(world.ask, 'r1')
                await anyio.sleep(0)
                group.start_soon(world.ask, 'r2')
            self.assertEqual(target.connections, 2)
            found = await world.ask('r3')
            self.assertEqual(found.status, 200)
            self.assertEqual(target.connections, 3)

        run_world(IDEMPOTENT, [target], scenario)


class StreamTest(unittest.TestCase):
    """Streams are whole, resumed or cut."""

    def ask(self, route, answers, headers=()):
        targets = [StubTarget(), StubTarget()]
        shared = list(answers)
        for target in targets:
            target.answers = shared
        found = []

        async def scenario(world):
            began_at = anyio.current_time()
            found.append(await world.ask(headers=headers))
            self.took_s = anyio.current_time() - began_at

        run_world(route, targets, scenario)
        requests = [one for target in targets for one in target.requests]
        return found[0], requests

    def get_ids(self, outcome):
        lines = outcome.body.decode().split('\n')
        return [int(one[4:]) for one in lines if one.startswith('id: ')]

    def test_whole(self):
        """All events pass, and the end is told."""
        found, _ = self.ask(STREAM, [make_stream(1, 5)])
        self.assertEqual(self.get_ids(found), [1, 2, 3, 4, 5])
        self.assertTrue(found.whole)

    def test_resumed_elsewhere(self):
        """A stream that breaks goes on after the last whole event."""
        broken = make_stream(1, 3, end=BROKEN)
        found, requests = self.ask(STREAM, [broken, make_stream(4, 6)])
        self.assertEqual(self.get_ids(found), [1, 2, 3, 4, 5, 6])
        self.assertTrue(found.whole)
        resumed = [one for one in requests if 'last-event-id: 3' in one.lower()]
        self.assertEqual(len(resumed), 1)

    def test_silent_stream_is_resumed(self):
        """A target that falls silent is left for another one."""
        answers = [make_stream(1, 2, end=b''), make_stream(3, 4)]
        found, _ = self.ask(STREAM, answers)
        self.assertEqual(self.get_ids(found), [1, 2, 3, 4])

    def test_last_target_is_waited_for(self):
        """A silent stream is not cut where nobody else may go on with it."""
        route = make_route(
            RouteKind.streaming,
            resumable=True,
            pause_s=0.2,
            max_attempts=1,
            timeout_s=1.5,
        )
        found, requests = self.ask(route, [make_stream(1, 2, end=b'')])
        self.assertEqual(len(requests), 1)
        self.assertGreater(self.took_s, 1.4)
        self.assertTrue(found.cut)

    def test_stream_across_a_cut_goes_on_elsewhere(self):
        """What waits for a data centre that falls silent is not kept there."""
        targets = [StubTarget(make_stream(1, 2, end=b'')), StubTarget()]
        targets[1].answers = [make_stream(3, 4)]
        found = []

        async def scenario(world):
            state = world.state
            far = replace(state.fleet.targets['t0'], data_centre='far')
            state.fleet.put(far)
            state.health.record_failure('t1', anyio.current_time())
            state.record_remote_entry('far', 'e', anyio.current_time())
            async with anyio.create_task_group() as group:
                group.start_soon(cut)
                found.append(await world.ask())

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
        self.assertEqual(self.get_ids(found[0]), [1, 2, 3, 4])
        self.assertEqual(len(targets[1].requests), 1)

    def test_repeated_events_are_dropped(self):
        """Events that the caller has are not sent twice."""
        broken = make_stream(1, 3, end=BROKEN)
        found, _ = self.ask(STREAM, [broken, make_stream(2, 5)])
        self.assertEqual(self.get_ids(found), [1, 2, 3, 4, 5])

    def test_not_resumable_is_cut(self):
        """A stream that may not be resumed never looks complete."""
        route = make_route(RouteKind.streaming, pause_s=0.2)
        broken = make_stream(1, 3, end=BROKEN)
        found, requests = self.ask(route, [broken, make_stream(4, 6)])
        self.assertTrue(found.cut)
        self.assertFalse(found.whole)
        self.assertEqual(len(requests), 1)

    def test_callers_own_resumption(self):
        """The caller's last event goes on to the target."""
        _, requests = self.ask(
            STREAM, [make_stream(8, 9)], {'last-event-id': '7'}
        )
        self.assertIn('last-event-id: 7', requests[0].lower())


class KeyTest(unittest.TestCase):
    """Keys, and how old their proof may be."""

    def ask(self, key, age_s=0, route=IDEMPOTENT):
        target = StubTarget(make_answer())
        found = []

        async def scenario(world):
            world.state.proof.proven_at = anyio.current_time() - age_s
            found.append(await world.ask(key=key))

        run_world(route, [target], scenario)
        return found[0], target.requests

    def test_unknown_key(self):
        """A key that nobody holds is refused."""
        found, requests = self.ask('other')
        self.assertEqual((found.status, requests), (401, []))

    def test_team_replaces_the_key(self):
        """The target learns the team and never the key."""
        _, requests = self.ask('key-1')
        self.assertIn('trestledock-tenant: kiosks', requests[0].lower())
        self.assertNotIn('key-1', requests[0])

    def test_rank_of_the_team_goes_before_the_routes(self):
        """The caller's own word on its rank counts for nothing."""
        name = 'trestledock-request-priority'
        for team_rank, route_rank, expected in (
            (None, None, None),
            (None, 1, '1'),
            (0, 1, '0'),
            (12, 1, '9'),
        ):
            target = StubTarget(make_answer())
            key = TeamKey('kiosks', team_rank)

            async def scenario(world, key=key):
                world.state.catalog.keys[KEY] = key
                await world.ask(headers={name: '3'})

            run_world(make_route(priority=route_rank), [target], scenario)
            lines = target.requests[0].lower().split('\r\n')
            found = [one for one in lines if one.startswith(name)]
            wanted = [f'{name}: {expected}'] if expected else []
            self.assertEqual(found, wanted)

    def test_old_proof(self):
        """Without a recent proof a key is not served."""
        found, requests = self.ask('key-1', age_s=4)
        self.assertEqual((found.status, requests), (503, []))

    def test_public_route_with_an_old_proof(self):
        """A route without keys is served on."""
        found, _ = self.ask('key-1', age_s=99, route=make_route(public=True))
        self.assertEqual(found.status, 200)


class CallerLeftTest(unittest.TestCase):
    """A caller that leaves takes its work with it."""

    def test_cancel_closes_the_connection(self):
        """The target sees the connection close."""
        target = StubTarget(Hang)

        async def scenario(world):
            async with anyio.create_task_group() as group:
                group.start_soon(world.ask)
                while not target.requests:
                    await anyio.sleep(0.01)
                group.cancel_scope.cancel()
            with anyio.fail_after(5):
                await target.closed.wait()
            self.assertEqual(world.state.board.own, {})

        run_world(ONCE, [target], scenario)
