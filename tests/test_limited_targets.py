"""
A target with a rate limit gets no more requests than the limit allows.

Guards against entries that forward an answer and ignore the rate limit in it:
engines whose answers limited all entries together to one request a second got
14 and 19 requests in 4 s.  Six undisturbed entries with five targets show this
fault in any 4 s window once one of the targets sets its limit.
"""

import unittest

import anyio

from tests.engines import SMALL_ENGINE
from tests.limiting import LIMIT_EFFECT_S, get_allowed, run_fleet
from tests.relaying import make_route

ROUTE = make_route()
#: The prompt and answer of a request to an engine, in tokens.
SIZES = (('trestledock-token-counts', '1500,20'),)
#: Requests a second at each entry, and the duration of the load, in seconds.
RATE = 8
LOAD_S = 20


def get_max_in_window(per_s, limited, headers=(), **fields):
    """Return the most requests at a limited target, and the outcomes."""

    async def scenario(fleet):
        limited_targets = [fleet.targets[number] for number in limited]
        async with anyio.create_task_group() as group:
            for target in limited_targets:
                target.set_rate_limit(per_s)
            demands = []

            async def ask():
                demands.append(await fleet.ask_for(LOAD_S, RATE, headers))

            group.start_soon(ask)
        most = [
            target.get_max(
                target.count_from_bound,
                target.rate_limited_at + LIMIT_EFFECT_S,
                float('inf'),
            )
            for target in limited_targets
        ]
        return max(most), demands[0]

    return run_fleet(scenario, [ROUTE], **fields)


class RateLimitTest(unittest.TestCase):
    """The requests at targets with a limit of one request a second."""

    def test_plain_target(self):
        """All requests are served: the other targets have capacity."""
        most, demand = get_max_in_window(1, limited=[0])
        self.assertLessEqual(most, get_allowed(1))
        self.assertEqual(demand.count(200), len(demand.statuses))

    def test_engines(self):
        """Both engines of the data centre on which short prompts are packed."""
        most, demand = get_max_in_window(
            1, limited=[0, 3], headers=SIZES, engine=SMALL_ENGINE
        )
        self.assertLessEqual(most, get_allowed(1))
        self.assertEqual(demand.count(200), len(demand.statuses))

    def test_all_targets(self):
        """The limits of all targets add up; requests above that are refused."""
        most, demand = get_max_in_window(1, limited=range(5))
        self.assertLessEqual(most, get_allowed(1))
        self.assertEqual(
            demand.count(503) + demand.count(200), len(demand.statuses)
        )
