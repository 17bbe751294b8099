"""One sending: what is looked at again right before the write."""

import unittest
from dataclasses import replace

from tests.relaying import (
    HOST,
    KEY,
    StubTarget,
    make_answer,
    make_route,
    run_world,
)
from trestledock.relay import (
    Catalog,
    EngineModel,
    Service,
    Share,
    Standing,
    TeamKey,
)


class LastLookTest(unittest.TestCase):
    """A target leaves between its choice and the write."""

    def play(self, change):
        """Ask once; `change(fleet, target)` comes while the first connects."""
        targets = [StubTarget(make_answer()), StubTarget(make_answer())]
        found = []

        async def scenario(world):
            pool = world.relayer.sender.pool
            take = pool.acquire
            taken = []

            async def take_late(target):
                wire = await take(target)
                taken.append(target.target_id)
                if len(taken) == 1:
                    change(world.state.fleet, target)
                return wire

            pool.acquire = take_late
            found.append((await world.ask(), taken))

        run_world(make_route(), targets, scenario)
        return (*found[0], targets)

    def check(self, change):
        """Expect that only the second choice gets the request."""
        outcome, taken, targets = self.play(change)
        self.assertEqual(outcome.status, 200)
        self.assertEqual(len(set(taken)), 2)
        first = targets[int(taken[0].removeprefix('t'))]
        self.assertEqual(first.requests, [])

    def test_target_leaves_while_connecting(self):
        """It said that it leaves, so it gets nothing more."""

        def leave(fleet, target):
            fleet.put(replace(target, standing=Standing.leaving, sequence=1))

        self.check(leave)

    def test_target_goes_while_connecting(self):
        """Its entry vanished, so it gets nothing more."""

        def drop(fleet, target):
            fleet.record_removal(target.target_id, 0, 0)

        self.check(drop)


def move(state, route):
    """Put a version in force that sends the route to another service."""
    moved = replace(route, shares=(Share('new'),))
    state.catalog = Catalog(
        2,
        {HOST: (moved,)},
        {'new': Service('new', engine=None)},
        {KEY: TeamKey('kiosks')},
    )


class MovedRouteTest(unittest.TestCase):
    """A version comes between the choice of a target and the write."""

    def test_old_service_gets_nothing(self):
        """The entry knows the newer version, so it follows it."""
        route = make_route()
        targets = [StubTarget(make_answer()), StubTarget(make_answer())]

        async def scenario(world):
            state = world.state
            pool = world.relayer.sender.pool
            take = pool.acquire
            moved = replace(state.fleet.targets['t1'], service='new')
            state.fleet.put(replace(moved, sequence=1))

            async def take_late(target):
                wire = await take(target)
                if state.catalog.version == 1:
                    move(state, route)
                return wire

            pool.acquire = take_late
            await world.ask()

        run_world(route, targets, scenario)
        counts = [len(one.requests) for one in targets]
        self.assertEqual(counts, [0, 1])


ENGINE = EngineModel(8, 382_500, 0.001, 50_000)
#: A prompt that an engine reads for 1.2 s.
LONG = {'trestledock-token-counts': '60000,400'}


class ClaimTest(unittest.TestCase):
    """Another entry gives a long prompt to the same engine meanwhile."""

    def play(self, make_other):
        """Ask once; another's word comes while this one is claimed."""
        answers = [StubTarget(make_answer()) for _ in range(2)]
        found = []

        async def scenario(world):
            board = world.state.board
            tell = world.state.send_own_changes

            def tell_and_hear():
                tell()
                if not found:
                    flight = next(iter(board.own.values()))
                    found.append(flight)
                    other = make_other(flight)
                    board.apply_update(
                        'p', 1, [(other.flight_id, other)], whole=True
                    )

            world.state.send_own_changes = tell_and_hear
            found.append(await world.ask(headers=LONG))

        route = make_route(objective_s=4, timeout_s=15)
        run_world(route, answers, scenario, engine=ENGINE)
        flight, outcome = found
        self.assertEqual(outcome.status, 200)
        first = answers[int(flight.target.removeprefix('t'))]
        return len(first.requests)

    def test_other_goes_first(self):
        """The engine gets one of them; this one goes elsewhere."""
        count = self.play(lambda own: replace(own, flight_id='0', helpers=()))
        self.assertEqual(count, 0)

    def test_own_goes_first(self):
        count = self.play(lambda own: replace(own, flight_id='z'))
        self.assertEqual(count, 1)

    def test_other_is_at_another_engine(self):
        count = self.play(
            lambda own: replace(own, flight_id='0', target='t9', helpers=())
        )
        self.assertEqual(count, 1)
