"""One sending: its route leads to another service right before the write."""

import unittest
from dataclasses import replace

from tests.relaying import (
    KEY,
    HOST,
    StubTarget,
    make_answer,
    make_route,
    run_world,
)
from trestledock.relay import Catalog, Service, Share, TeamKey


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
            take = pool.take
            moved = replace(state.fleet.targets['t1'], service='new')
            state.fleet.put(replace(moved, sequence=1))

            async def take_late(target):
                wire = await take(target)
                if state.catalog.version == 1:
                    move(state, route)
                return wire

            pool.take = take_late
            await world.ask()

        run_world(route, targets, scenario)
        counts = [len(one.requests) for one in targets]
        self.assertEqual(counts, [0, 1])
