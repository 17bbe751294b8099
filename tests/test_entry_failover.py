"""
Failover from a silent target while its caller could still be served.

Guards against an entry that fails over from a working target although no other
target can continue the request, or that ends the request itself.
"""

import unittest
from dataclasses import replace
from unittest.mock import patch

import anyio

from tests.relaying import (
    RESUMABLE,
    SCENARIO_TIMEOUT_S,
    WHOLE,
    AbortedAnswer,
    DelayedAnswer,
    StubTarget,
    get_event_ids,
    make_answer,
    make_listed,
    make_route,
    make_stream,
    read_request,
    run_world,
)
from trestledock.demo import get_free_port
from trestledock.entry._timeouts import RECHECK_INTERVAL_S, ResponseTimeouts
from trestledock.relay import (
    BEAT_INTERVAL_S,
    Drain,
    EngineModel,
    Flight,
    Phase,
    RetryBudget,
    RetryLimits,
    RouteKind,
)

ENGINE = EngineModel(8, 232_000, 0.001, 100_000, stride=40)
ALL = [1, 2, 3, 4]
#: More than twice the longest silence here, in milliseconds.
LONG = {'trestledock-request-deadline': '8000'}
SIZES = {'trestledock-token-counts': '1000,400'}
NO_BUDGET = RetryLimits(ratio=0, slack=0)
#: One retry: a share of 0.7 of the slack is used.
ONE_RETRY = RetryLimits(ratio=0, slack=1.5)


class StreamTarget(StubTarget):
    """Streams four events; a new stream falls silent after two."""

    def __init__(self, silence_s=1.5):
        super().__init__()
        self.silence_s = silence_s

    async def _talk(self, stream):
        while True:
            head = await read_request(stream)
            self.requests.append(head)
            headers = dict(
                line.lower().split(': ', 1)
                for line in head.splitlines()[1:]
                if ': ' in line
            )
            req_id = headers['trestledock-request-id']
            if 'last-event-id' in headers:
                first = int(headers['last-event-id']) + 1
                await stream.send(make_stream(first, 4, req_id=req_id))
                continue
            raw = make_stream(1, 4, req_id=req_id)
            half = raw.index(b'id: 3') - 4
            await stream.send(raw[:half])
            await anyio.sleep(self.silence_s)
            await stream.send(raw[half:])


class FlowingTarget(StubTarget):
    """Streams four events with short pauses."""

    async def _talk(self, stream):
        self.requests.append(await read_request(stream))
        starts = [WHOLE.index(b'id: %d' % number) - 4 for number in (2, 3, 4)]
        for start, end in zip([0, *starts], [*starts, None], strict=True):
            await stream.send(WHOLE[start:end])
            await anyio.sleep(0.25)


async def ask_all(world, names):
    """Send some requests at once; return their outcomes by request id."""
    outcomes = {}

    async def ask(name):
        outcomes[name] = await world.ask(name)

    async with anyio.create_task_group() as group:
        for name in names:
            group.start_soon(ask, name)
    return outcomes


async def check_each_beat(state):
    """Check for silent data centres at the interval of the product."""
    while True:
        state.check_reachability(anyio.current_time())
        await anyio.sleep(BEAT_INTERVAL_S)


def put_elsewhere(state):
    """Move the targets to a data centre whose only entry falls silent."""
    for number in range(2):
        listed = state.fleet.targets[f't{number}']
        there = replace(listed, data_centre='dc-2', sequence=1)
        state.fleet.put(there)
    state.record_remote_entry('dc-2', 'entry-2', anyio.current_time())
    state.spawn(check_each_beat, state)


async def wait_for_request(targets):
    """Wait until a target has received a request."""
    while not any(target.requests for target in targets):
        await anyio.sleep(0.01)


def play(route, targets, scenario, engine=None):
    """Run a scenario with a timeout; return its result."""
    results = []

    async def run(world):
        with anyio.fail_after(SCENARIO_TIMEOUT_S):
            results.append(await scenario(world))

    run_world(route, targets, run, engine=engine)
    return results[0]


class BegunTest(unittest.TestCase):
    """Begun streams of a target that is silent for 1.5 s."""

    def check(self, outcome):
        """Assert that the caller received all events."""
        self.assertFalse(outcome.cut)
        self.assertEqual(get_event_ids(outcome), ALL)
        self.assertTrue(outcome.whole)

    def test_two_streams_and_one_retry(self):
        """Two streams that fall silent at once don't both use the one retry."""

        async def scenario(world):
            world.state.budgets.by_service['svc'] = RetryBudget(ONE_RETRY)
            return await ask_all(world, ('r1', 'r2'))

        outcomes = play(RESUMABLE, [StreamTarget(), StreamTarget()], scenario)
        for req_id in ('r1', 'r2'):
            with self.subTest(req_id=req_id):
                self.check(outcomes[req_id])

    def test_many_streams_and_few_retries(self):
        """Ten streams all complete with one sixth of the budget."""
        names = [f'r{number}' for number in range(10)]

        async def scenario(world):
            terms = RetryLimits(slack=RetryLimits().slack / 6)
            world.state.budgets.by_service['svc'] = RetryBudget(terms)
            return await ask_all(world, names)

        outcomes = play(RESUMABLE, [StreamTarget(), StreamTarget()], scenario)
        self.assertEqual([name for name in names if outcomes[name].cut], [])

    def test_peer_shuts_down(self):
        """The shutdown of a data centre's only entry cuts no stream.

        Its targets go on working; none is silent long enough for a failover.
        """
        names = [f'r{number}' for number in range(10)]

        async def scenario(world):
            state = world.state
            terms = RetryLimits(slack=RetryLimits().slack / 6)
            state.budgets.by_service['svc'] = RetryBudget(terms)
            put_elsewhere(state)
            return await ask_all(world, names)

        targets = [StreamTarget(0.7), StreamTarget(0.7)]
        outcomes = play(RESUMABLE, targets, scenario)
        self.assertEqual([name for name in names if outcomes[name].cut], [])

    def test_peer_shuts_down_beside_a_flowing_stream(self):
        """A flowing stream does not fail over because an entry is silent."""
        targets = [FlowingTarget(), FlowingTarget()]

        async def scenario(world):
            state = world.state
            put_elsewhere(state)
            return await world.ask()

        self.check(play(RESUMABLE, targets, scenario))
        requests = [head for target in targets for head in target.requests]
        self.assertEqual(len(requests), 1)

    def test_no_capacity_elsewhere(self):
        """No failover while the other targets are busy beyond the deadline."""
        targets = [StreamTarget(), StreamTarget()]

        async def scenario(world):
            now = anyio.current_time()
            for name in 'xyz':
                world.state.load_table.put(
                    Flight(name, 't1', 230_000, 900, Phase.prefill, since=now)
                )
            return await world.ask(headers=SIZES)

        self.check(play(RESUMABLE, targets, scenario, engine=ENGINE))

    def test_other_target_is_unreachable(self):
        """No failover to a target that can't be reached."""
        port = get_free_port()

        async def scenario(world):
            outcomes = []

            async def ask():
                outcomes.append(await world.ask())

            async with anyio.create_task_group() as group:
                group.start_soon(ask)
                await anyio.sleep(0.1)
                world.state.fleet.put(make_listed(1, port))
                world.state.record_silence('t1', anyio.current_time())
            return outcomes[0]

        target = StreamTarget()
        self.check(play(RESUMABLE, [target], scenario))
        self.assertEqual(len(target.requests), 1)

    def test_only_usable_target(self):
        """No failover from the only usable target to itself."""
        target = StreamTarget()
        outcome = play(RESUMABLE, [target], lambda world: world.ask())
        self.check(outcome)
        self.assertEqual(len(target.requests), 1)

    def test_other_refuses_connections(self):
        """A broken stream waits for a target that is still starting."""
        first = StubTarget(AbortedAnswer(make_stream(1, 2, end=b'')))
        second = StreamTarget()
        port = get_free_port()

        async def scenario(world):
            state = world.state
            state.fleet.put(make_listed(1, port))
            state.fleet.record_draining('t1', 0)
            outcomes = []

            async def ask():
                outcomes.append(await world.ask())

            async with anyio.create_task_group() as group:
                group.start_soon(ask)
                await wait_for_request([first])
                state.notices.discard(Drain, 't1')
                state.fleet.record_draining('t0', 0)
                await anyio.sleep(1)
                listener = await anyio.create_tcp_listener(
                    local_host='127.0.0.1', local_port=port
                )
                state.group.start_soon(second.serve, listener)
            return outcomes[0]

        self.check(play(RESUMABLE, [first], scenario))

    def test_failover_once_a_retry_is_available(self):
        """A stream fails over as soon as another target may resume it."""
        route = make_route(
            RouteKind.streaming, resumable=True, timeout_s=9, pause_s=0.5
        )
        targets = [
            StreamTarget(SCENARIO_TIMEOUT_S),
            StreamTarget(SCENARIO_TIMEOUT_S),
        ]

        waits = []
        get_recheck_timeout = ResponseTimeouts.get_recheck_timeout

        async def scenario(world):
            state = world.state
            state.budgets.by_service['svc'] = RetryBudget(NO_BUDGET)

            def recheck(timeouts, job):
                """Make retries available from the first recheck on."""
                waits.append(get_recheck_timeout(timeouts, job).wait_s)
                state.budgets.by_service['svc'] = RetryBudget(RetryLimits())
                return get_recheck_timeout(timeouts, job)

            with patch.object(ResponseTimeouts, 'get_recheck_timeout', recheck):
                return await world.ask(headers=LONG)

        self.check(play(route, targets, scenario))
        self.assertEqual(waits, [RECHECK_INTERVAL_S])


class NotBegunTest(unittest.TestCase):
    """Requests without any answer, and no other target that may run them.

    Their callers have received nothing and may retry at another entry, so an
    early error is worth more to them than waiting for a target that may have
    crashed: a timeout of 0.8 s instead of a longer one gained 0.013 and 0.006
    of worth on two deployments.
    """

    def ask(self, route, answers, prepare=None, during=None):
        """Send one request; return its outcome."""
        targets = [StubTarget(), StubTarget()]
        for target in targets:
            target.answers = answers

        async def scenario(world):
            if prepare:
                prepare(world.state)
            outcomes = []

            async def run():
                outcomes.append(await world.ask())

            async with anyio.create_task_group() as group:
                group.start_soon(run)
                if during:
                    await wait_for_request(targets)
                    during(world.state)
            return outcomes[0]

        return play(route, targets, scenario)

    def spend(self, state):
        """Leave no retry in the budget."""
        state.budgets.by_service['svc'] = RetryBudget(NO_BUDGET)

    def check_failed_early(self, route, answers, **fields):
        """Assert a 502, which promises nothing, before the deadline."""
        outcome = self.ask(route, answers, **fields)
        # At the deadline the status would be 504.
        self.assertEqual(outcome.status, 502)
        self.assertTrue(outcome.whole)

    def test_stream_without_budget(self):
        """A stream without an event fails after the first-event timeout."""
        late = DelayedAnswer(b'', make_stream(1, 4), pause_s=SCENARIO_TIMEOUT_S)
        self.check_failed_early(RESUMABLE, [late], prepare=self.spend)

    def test_plain_without_budget(self):
        """A plain request fails too."""
        route = make_route(objective_s=0.3)
        late = DelayedAnswer(b'', make_answer(), pause_s=SCENARIO_TIMEOUT_S)
        self.check_failed_early(route, [late], prepare=self.spend)

    def test_last_run(self):
        """A request whose last target may have crashed fails too."""
        route = make_route(objective_s=0.3, max_attempts=1)
        late = DelayedAnswer(b'', make_answer(), pause_s=SCENARIO_TIMEOUT_S)
        self.check_failed_early(route, [late])

    def test_failure_is_forwarded_without_another_target(self):
        """The target's own error is forwarded if no other target is left."""
        route = make_route()

        def drain(state):
            for name in ('t0', 't1'):
                state.fleet.record_draining(name, 0)

        answers = [DelayedAnswer(b'', make_answer(b'bad', 500), pause_s=0.3)]
        outcome = self.ask(route, answers, during=drain)
        self.assertEqual(outcome.status, 500)
