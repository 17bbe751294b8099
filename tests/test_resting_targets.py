"""A target that turns an entry away and wants rest from it gets that rest."""

import unittest

import anyio

from tests.limiting import REST_COUNT, run_fleet
from tests.relaying import make_route

ROUTE = make_route()
#: Requests a second at each entry, and for how long they come, in seconds.
RATE = 8
ASK_S = 14
#: For how long all are turned away, in seconds, and the rest that is asked for.
SHED_S = 9
REST = '3'


def ask_while_some_shed(numbers, headers=(), rest=REST, **fields):
    """Return the most that one got within a rest, and what callers got."""

    async def scenario(fleet):
        demands = []
        shedding = [fleet.targets[number] for number in numbers]

        async def ask():
            demands.append(await fleet.ask_for(ASK_S, RATE, headers))

        async with anyio.create_task_group() as group:
            group.start_soon(ask)
            await anyio.sleep(2)
            for target in shedding:
                target.shed(rest)
            await anyio.sleep(SHED_S)
            for target in shedding:
                target.shed('')
        most = max(target.get_most_in_rest() for target in shedding)
        return most, demands[0]

    return run_fleet(scenario, [ROUTE], **fields)


class AskedForRestTest(unittest.TestCase):
    """What a target gets that turns requests away for a while."""

    # Guards against requests to a plain target within the rest it asked for.
    def test_plain_target_has_its_rest(self):
        most, demand = ask_while_some_shed([0])
        self.assertLessEqual(most, REST_COUNT)
        self.assertEqual(demand.count(200), len(demand.statuses))
