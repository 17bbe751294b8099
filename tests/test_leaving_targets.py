"""A target that says in its answers that it leaves gets nothing new."""

import unittest

import anyio

from tests.engines import SMALL_ENGINE
from tests.limiting import DRAIN_S, run_fleet
from tests.relaying import make_route

ROUTE = make_route()
#: Prompt and answer of a request to an engine, in tokens.
SIZES = (('trestledock-token-counts', '1500,20'),)
#: Requests a second at each entry, and for how long they come, in seconds.
RATE = 8
ASK_S = 12


def ask_while_some_leave(numbers, headers=(), **fields):
    """Return how late the last request reached one, and what callers got."""

    async def scenario(fleet):
        demands = []

        async def ask():
            demands.append(await fleet.ask_for(ASK_S, RATE, headers))

        async with anyio.create_task_group() as group:
            group.start_soon(ask)
            await anyio.sleep(2)
            for number in numbers:
                fleet.targets[number].leave()
        return max(one.get_late_s() for one in fleet.targets), demands[0]

    return run_fleet(scenario, [ROUTE], **fields)


class SaidInAnswersTest(unittest.TestCase):
    """The list says that it is ready, as the store may be away."""

    # Guards against requests to a target that told this entry that it leaves.
    def test_plain_target_that_leaves_gets_nothing_late(self):
        late_s, demand = ask_while_some_leave([0])
        self.assertLessEqual(late_s, DRAIN_S)
        self.assertEqual(demand.count(200), len(demand.statuses))

    # Guards against the same where prompts are packed on the nearest engines.
    def test_engines_that_leave_get_nothing_late(self):
        late_s, demand = ask_while_some_leave(
            [0, 3], SIZES, engine=SMALL_ENGINE
        )
        self.assertLessEqual(late_s, DRAIN_S)
        self.assertEqual(demand.count(200), len(demand.statuses))
