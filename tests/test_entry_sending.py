"""One sending: what is looked at again right before the write."""

import unittest
from dataclasses import replace

from tests.relaying import StubTarget, make_answer, make_route, run_world
from trestledock.relay import Standing


class LastLookTest(unittest.TestCase):
    """A target leaves between its choice and the write."""

    def play(self, change):
        """Ask once; `change(fleet, target)` comes while the first connects."""
        targets = [StubTarget(make_answer()), StubTarget(make_answer())]
        found = []

        async def scenario(world):
            pool = world.relayer.sender.pool
            take = pool.take
            taken = []

            async def take_late(target):
                wire = await take(target)
                taken.append(target.target_id)
                if len(taken) == 1:
                    change(world.state.fleet, target)
                return wire

            pool.take = take_late
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
            fleet.drop(target.target_id, 0, settled=True)

        self.check(drop)
