"""One attempt: the checks right before the request is written."""

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


class LastCheckTest(unittest.TestCase):
    """A target becomes unusable between its selection and the write."""

    def play(self, change):
        """Send one request; call `change` during the first connect."""
        targets = [StubTarget(make_answer()), StubTarget(make_answer())]
        results = []

        async def scenario(world):
            pool = world.relayer.sender.pool
            acquire = pool.acquire
            connected = []

            async def acquire_late(target, name):
                wire = await acquire(target, name)
                connected.append(target.target_id)
                if len(connected) == 1:
                    change(world.state.fleet, target)
                return wire

            pool.acquire = acquire_late
            results.append((await world.ask(), connected))

        run_world(make_route(), targets, scenario)
        return (*results[0], targets)

    def check(self, change):
        """Assert that only the second target receives the request."""
        outcome, connected, targets = self.play(change)
        self.assertEqual(outcome.status, 200)
        self.assertEqual(len(set(connected)), 2)
        first = targets[int(connected[0].removeprefix('t'))]
        self.assertEqual(first.requests, [])

    def test_target_drains_while_connecting(self):
        """A target listed as draining gets no request."""

        def drain(fleet, target):
            fleet.put(replace(target, standing=Standing.draining, sequence=1))

        self.check(drain)

    def test_target_is_removed_while_connecting(self):
        """A target missing from the list gets no request."""

        def remove(fleet, target):
            fleet.record_removal(target.target_id, 0, 0)

        self.check(remove)


def move(state, route):
    """Apply a version that moves the route to another service."""
    moved = replace(route, shares=(Share('new'),))
    state.catalog = Catalog(
        2,
        {HOST: (moved,)},
        {'new': Service('new', engine=None)},
        {KEY: TeamKey('kiosks')},
    )


class MovedRouteTest(unittest.TestCase):
    """A new version is applied between target selection and the write."""

    def test_old_service_gets_nothing(self):
        """The entry follows the newest version that it knows."""
        route = make_route()
        targets = [StubTarget(make_answer()), StubTarget(make_answer())]

        async def scenario(world):
            state = world.state
            pool = world.relayer.sender.pool
            acquire = pool.acquire
            moved = replace(state.fleet.targets['t1'], service='new')
            state.fleet.put(replace(moved, sequence=1))

            async def acquire_late(target, name):
                wire = await acquire(target, name)
                if state.catalog.version == 1:
                    move(state, route)
                return wire

            pool.acquire = acquire_late
            await world.ask()

        run_world(route, targets, scenario)
        counts = [len(target.requests) for target in targets]
        self.assertEqual(counts, [0, 1])


ENGINE = EngineModel(8, 382_500, 0.001, 50_000)
#: A prompt that an engine prefills in 1.2 s.
LONG = {'trestledock-token-counts': '60000,400'}


class ClaimTest(unittest.TestCase):
    """Another entry places a long prompt at the same engine meanwhile."""

    def play(self, make_other):
        """Send one request; another claim arrives while it is claimed."""
        targets = [StubTarget(make_answer()) for _ in range(2)]
        results = []

        async def scenario(world):
            load_table = world.state.load_table
            send_own = world.state.send_own_changes

            def send_and_receive():
                send_own()
                if not results:
                    flight = next(iter(load_table.own.values()))
                    results.append(flight)
                    other = make_other(flight)
                    load_table.apply_update(
                        'p', 1, [(other.flight_id, other)], whole=True
                    )

            world.state.send_own_changes = send_and_receive
            results.append(await world.ask(headers=LONG))

        route = make_route(objective_s=4, timeout_s=15)
        run_world(route, targets, scenario, engine=ENGINE)
        flight, outcome = results
        self.assertEqual(outcome.status, 200)
        first = targets[int(flight.target.removeprefix('t'))]
        return len(first.requests)

    def test_other_takes_precedence(self):
        """The engine gets the other prompt; this one goes elsewhere."""
        count = self.play(lambda own: replace(own, flight_id='0', helpers=()))
        self.assertEqual(count, 0)

    def test_own_takes_precedence(self):
        count = self.play(lambda own: replace(own, flight_id='z'))
        self.assertEqual(count, 1)

    def test_other_is_at_another_engine(self):
        count = self.play(
            lambda own: replace(own, flight_id='0', target='t9', helpers=())
        )
        self.assertEqual(count, 1)
