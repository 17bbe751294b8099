"""
A target that asks for fewer requests gets no more than it asked for.

Seen: an engine that said in its answers that it takes one request a second from
all entries together got 14 in 4 s, another one 19.  How: each entry of its data
centre went on sending as before, and no line told that the target had asked.
Cause: what a target asks of all entries together was no entry's to decide; its
answer was passed on, and nothing that was believed of the target changed.
Proof: six entries before five targets, none disturbed, bring it about in any
stretch of 4 s once one of the targets names its limit.
"""

import unittest

import anyio

from tests.engines import SMALL_ENGINE
from tests.limiting import LIMIT_EFFECT_S, get_allowed, run_fleet
from tests.relaying import make_route

ROUTE = make_route()
#: Prompt and answer of a request to an engine, in tokens.
SIZES = (('trestledock-token-counts', '1500,20'),)
#: Requests a second at each entry, and for how long they come, in seconds.
RATE = 8
ASK_S = 20


def get_most_told(per_s, limited, headers=(), **fields):
    """Return the most that a limited target got, and what callers got."""

    async def scenario(fleet):
        named = [fleet.targets[number] for number in limited]
        async with anyio.create_task_group() as group:
            for target in named:
                target.name(per_s)
            demands = []

            async def ask():
                demands.append(await fleet.ask_for(ASK_S, RATE, headers))

            group.start_soon(ask)
        most = [
            target.get_most(
                target.count_told,
                target.named_at + LIMIT_EFFECT_S,
                float('inf'),
            )
            for target in named
        ]
        return max(most), demands[0]

    return run_fleet(scenario, [ROUTE], **fields)


class AskedForFewerTest(unittest.TestCase):
    """What a target gets that takes one request a second."""

    def test_plain_target(self):
        """Callers lose nothing by it: the others have room."""
        most, demand = get_most_told(1, limited=[0])
        self.assertLessEqual(most, get_allowed(1))
        self.assertEqual(demand.count(200), len(demand.statuses))

    def test_engines(self):
        """Both of a data centre; it is there that short prompts are packed."""
        most, demand = get_most_told(
            1, limited=[0, 3], headers=SIZES, engine=SMALL_ENGINE
        )
        self.assertLessEqual(most, get_allowed(1))
        self.assertEqual(demand.count(200), len(demand.statuses))

    def test_all_targets(self):
        """What they take together is the service; the rest is refused."""
        most, demand = get_most_told(1, limited=range(5))
        self.assertLessEqual(most, get_allowed(1))
        self.assertEqual(
            demand.count(503) + demand.count(200), len(demand.statuses)
        )
