"""
Begun answers are not cut because of a silence.

Guards against a begun stream that is cut after one second of silence, well
before its deadline: the entry failed over although no other target could or was
allowed to resume the stream.  The check considered only the attempts of the
route, and only for the target at which the stream had begun; after the failover
the request could still be refused.
"""

import unittest
from dataclasses import replace
from types import MappingProxyType

import anyio

from tests.relaying import (
    HOST,
    RESUMABLE,
    SCENARIO_TIMEOUT_S,
    SILENT,
    AbortedAnswer,
    DelayedAnswer,
    StubTarget,
    get_event_ids,
    make_answer,
    make_listed,
    make_route,
    make_stream,
    run_world,
)
from trestledock.relay import (
    EngineModel,
    Flight,
    Phase,
    RetryBudget,
    RetryLimits,
    Share,
)

NO_BUDGET = RetryLimits(ratio=0, slack=0)


class BegunTest(unittest.TestCase):
    """Begun streams, by the other targets that might resume them."""

    def check(self, targets, prepare=None, during=None):
        """Send one request; the caller must receive all four events."""
        outcomes = []

        async def scenario(world):
            if prepare:
                prepare(world.state)
            with anyio.fail_after(SCENARIO_TIMEOUT_S):
                await ask(world)

        async def ask(world):
            async with anyio.create_task_group() as group:
                if during:
                    group.start_soon(during, world.state)
                outcomes.append(await world.ask())

        run_world(RESUMABLE, targets, scenario)
        self.assertFalse(outcomes[0].cut)
        self.assertEqual(get_event_ids(outcomes[0]), [1, 2, 3, 4])
        self.assertTrue(outcomes[0].whole)

    def test_resumed_at_the_last_target(self):
        """The last target that may run the request is waited for."""
        shared = [
            AbortedAnswer(make_stream(1, 2, end=b'')),
            DelayedAnswer(b'', make_stream(3, 4)),
        ]
        targets = [StubTarget(), StubTarget()]
        for target in targets:
            target.answers = shared
        self.check(targets)

    def test_without_budget(self):
        """No failover if no retry is left in the budget."""

        def prepare(state):
            state.budgets.by_service['svc'] = RetryBudget(NO_BUDGET)

        self.check([StubTarget(SILENT), StubTarget(SILENT)], prepare)

    def test_no_other_target(self):
        """No failover if the only target is the draining one."""
        target = StubTarget(SILENT)

        async def drain(state):
            while not target.requests:
                await anyio.sleep(0.01)
            state.fleet.record_draining('t0', 0)

        self.check([target], during=drain)

    def test_route_moves(self):
        """No failover if a new version moves the route to another service."""
        targets = [StubTarget(SILENT), StubTarget(SILENT)]

        async def move(state):
            while not any(target.requests for target in targets):
                await anyio.sleep(0.01)
            route = replace(RESUMABLE, shares=(Share('other'),))
            state.catalog = replace(
                state.catalog,
                version=2,
                routes=MappingProxyType({HOST: (route,)}),
            )

        self.check(targets, during=move)

    def test_waits_for_budget(self):
        """A stream that its target broke off waits for a retry."""
        shared = [AbortedAnswer(make_stream(1, 2, end=b'')), make_stream(3, 4)]
        targets = [StubTarget(), StubTarget()]
        for target in targets:
            target.answers = shared

        def prepare(state):
            state.budgets.by_service['svc'] = RetryBudget(NO_BUDGET)

        async def add_budget(state):
            await wait_for_loss(state, targets)
            state.budgets.by_service['svc'] = RetryBudget(RetryLimits())

        self.check(targets, prepare, add_budget)

    def test_waits_for_a_target(self):
        """A stream whose targets all drain waits until there is another."""
        first, second = (
            StubTarget(AbortedAnswer(make_stream(1, 2, end=b''))),
            StubTarget(),
        )
        second.answers = [make_stream(3, 4)]

        def prepare(state):
            state.fleet.record_draining('t1', 0)

        async def add_target(state):
            while not first.requests:
                await anyio.sleep(0.01)
            state.fleet.record_draining('t0', 0)
            await wait_for_loss(state, [first])
            state.fleet.put(make_listed(2, second.port))

        self.check([first, second], prepare, add_target)


async def wait_for_loss(state, targets):
    """Wait until an attempt has ended, and then longer than any timeout."""
    while not any(target.requests for target in targets):
        await anyio.sleep(0.01)
    while state.load_table.own:
        await anyio.sleep(0.01)
    await anyio.sleep(0.4)


#: Longer than the timeout of a prompt that such an engine prefills, in seconds.
SILENCE_S = 2.5
ENGINE = EngineModel(8, 100_000, 0.001, 500_000)


class MemoryTest(unittest.TestCase):
    """A silent engine has no free memory until another prompt ends."""

    def play(self, tokens):
        """Return how many attempts a prompt took beside another one."""
        first = DelayedAnswer(b'', make_answer(), SILENCE_S)
        targets = [StubTarget(first, make_answer())]
        targets.append(StubTarget(make_answer()))
        outcomes = []

        async def scenario(world):
            other = Flight('o', 't0', tokens, 10, Phase.prefill, since=0)
            world.state.load_table.apply_update(
                'p', 1, [('o', other)], whole=True
            )
            world.state.fleet.record_removal('t1', 0, 0)
            with anyio.fail_after(SCENARIO_TIMEOUT_S):
                outcomes.append(await world.ask(headers=SIZES))

        run_world(make_route(timeout_s=8), targets, scenario, engine=ENGINE)
        self.assertEqual(outcomes[0].status, 200)
        return len(targets[0].requests)

    def test_wait_for_memory(self):
        """Guards against a failover after 0.8 s, with a second attempt."""
        self.assertEqual(self.play(tokens=90_000), 1)

    def test_silence_without_a_reason(self):
        """With memory for both prompts, the timeout applies."""
        self.assertEqual(self.play(tokens=1_000), 2)


SIZES = {'trestledock-token-counts': '20000,400'}
