"""
Answers that have begun are not cut for a silence.

Seen: beside a new version, a stream that its caller had in part was cut after
a second of its target's silence, well before its time was over.  How: it was
left for another target, and then nobody else could or might go on with it.
Cause: whether to leave was asked of the route's attempts alone, and only for
the target that the stream had begun at; and once left, it could be refused.
"""

import unittest
from dataclasses import replace
from types import MappingProxyType

import anyio

from tests.relaying import (
    HOST,
    SCENARIO_TIMEOUT_S,
    RESUMABLE,
    SILENT,
    DelayedAnswer,
    StubTarget,
    AbortedAnswer,
    get_event_ids,
    make_answer,
    make_listed,
    make_route,
    make_stream,
    run_world,
)
from trestledock.relay import (
    RetryLimits,
    EngineModel,
    Flight,
    Phase,
    RetryBudget,
    Share,
)

NO_BUDGET = RetryLimits(ratio=0, slack=0)


class BegunTest(unittest.TestCase):
    """Streams that have begun, by who else might go on with them."""

    def check(self, targets, prepare=None, during=None):
        """Ask once; the caller must get all four events."""
        found = []

        async def scenario(world):
            if prepare:
                prepare(world.state)
            with anyio.fail_after(SCENARIO_TIMEOUT_S):
                await ask(world)

        async def ask(world):
            async with anyio.create_task_group() as group:
                if during:
                    group.start_soon(during, world.state)
                found.append(await world.ask())

        run_world(RESUMABLE, targets, scenario)
        self.assertFalse(found[0].cut)
        self.assertEqual(get_event_ids(found[0]), [1, 2, 3, 4])
        self.assertTrue(found[0].whole)

    def test_resumed_at_the_last_target(self):
        """The last target that may run it is waited for from its start."""
        shared = [
            AbortedAnswer(make_stream(1, 2, end=b'')),
            DelayedAnswer(b'', make_stream(3, 4)),
        ]
        targets = [StubTarget(), StubTarget()]
        for target in targets:
            target.answers = shared
        self.check(targets)

    def test_without_budget(self):
        """It is not left where no repeat is left."""

        def prepare(state):
            state.budgets.windows['svc'] = RetryBudget(NO_BUDGET)

        self.check([StubTarget(SILENT), StubTarget(SILENT)], prepare)

    def test_no_other_target(self):
        """It is not left where its target, a leaving one, is the only one."""
        target = StubTarget(SILENT)

        async def leave(state):
            while not target.requests:
                await anyio.sleep(0.01)
            state.fleet.record_draining('t0', 0)

        self.check([target], during=leave)

    def test_route_moves(self):
        """It is not left where a new version takes the route elsewhere."""
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
        """One that its target has broken off waits for a repeat."""
        shared = [AbortedAnswer(make_stream(1, 2, end=b'')), make_stream(3, 4)]
        targets = [StubTarget(), StubTarget()]
        for target in targets:
            target.answers = shared

        def prepare(state):
            state.budgets.windows['svc'] = RetryBudget(NO_BUDGET)

        async def earn(state):
            await wait_for_loss(state, targets)
            state.budgets.windows['svc'] = RetryBudget(RetryLimits())

        self.check(targets, prepare, earn)

    def test_waits_for_a_target(self):
        """One whose targets are all gone waits until there is another."""
        first, second = (
            StubTarget(AbortedAnswer(make_stream(1, 2, end=b''))),
            StubTarget(),
        )
        second.answers = [make_stream(3, 4)]

        def prepare(state):
            state.fleet.record_draining('t1', 0)

        async def come(state):
            while not first.requests:
                await anyio.sleep(0.01)
            state.fleet.record_draining('t0', 0)
            await wait_for_loss(state, [first])
            state.fleet.put(make_listed(2, second.port))

        self.check([first, second], prepare, come)


async def wait_for_loss(state, targets):
    """Wait until a target was left, and then longer than for any target."""
    while not any(target.requests for target in targets):
        await anyio.sleep(0.01)
    while state.board.own:
        await anyio.sleep(0.01)
    await anyio.sleep(0.4)


#: Longer than a prompt is waited for that an engine of these reads, in seconds.
HELD_S = 2.5
ENGINE = EngineModel(8, 100_000, 0.001, 500_000)


class MemoryTest(unittest.TestCase):
    """An engine says nothing: it has no memory until another prompt ends."""

    def play(self, tokens):
        """Return how many sendings a prompt took beside another one."""
        first = DelayedAnswer(b'', make_answer(), HELD_S)
        targets = [StubTarget(first, make_answer())]
        targets.append(StubTarget(make_answer()))
        found = []

        async def scenario(world):
            other = Flight('o', 't0', tokens, 10, Phase.prefill, since=0)
            world.state.board.apply_update('p', 1, [('o', other)], whole=True)
            world.state.fleet.record_removal('t1', 0, 0)
            with anyio.fail_after(SCENARIO_TIMEOUT_S):
                found.append(await world.ask(headers=SIZES))

        run_world(make_route(timeout_s=8), targets, scenario, engine=ENGINE)
        self.assertEqual(found[0].status, 200)
        return len(targets[0].requests)

    def test_it_is_waited_for(self):
        """It was given up after 0.8 s, and sent once more."""
        self.assertEqual(self.play(tokens=90_000), 1)

    def test_silence_without_a_reason(self):
        """With room for both the engine is left as ever."""
        self.assertEqual(self.play(tokens=1_000), 2)


SIZES = {'trestledock-token-counts': '20000,400'}
