"""A request that crashes its targets reaches few of them, then none.

Guards against unlimited retries of a query of death.  A request under which
three targets had crashed was sent to targets ten more times, and 32 of 36
targets crashed under it within nine seconds; other requests at these targets
were cut or refused.

Each attempt of a caller goes to one target, and to a second one when the first
has crashed; both crash.  Then the same or another caller sends the request
again, to another entry.

Entries kept what they knew of a request only for one attempt, and attributed
each crash to the target alone, so no entry counted the targets that had crashed
under the same request.

The logs of the crashed targets had one request in common, by its fingerprint;
and with as few as three entries, ten attempts of one request crash twenty
targets here.
"""

import unittest
from itertools import product

import anyio

from tests.crashing import CRASHES, DEADLY, HARMLESS, run_fleet
from tests.relaying import KEY, make_route
from trestledock.relay import RouteKind

PLAIN = make_route()
NON_IDEMPOTENT = make_route(RouteKind.non_idempotent, max_attempts=1)
STREAM = make_route(
    RouteKind.streaming, resumable=True, objective_s=0.3, pause_s=0.2
)
#: The number of targets that may crash under a request before it is
#: quarantined.
MIN_CRASHES = 3
ATTEMPTS = 10
OK = 200
NOT_RUN = 503
#: Harmless requests beside the deadly one in each round.
HARMLESS_COUNT = 6


#: Routes, with the ways in which a crash of their targets is observed.
CASES = [
    *(
        (PLAIN, name)
        for name in ('reset before the head', 'closed before the head')
    ),
    *(
        (NON_IDEMPOTENT, name)
        for name in ('reset before the head', 'closed before the head')
    ),
    *((STREAM, name) for name in CRASHES),
]


class QueryOfDeathTest(unittest.TestCase):
    """All kinds of crashes, with retries at any entry."""

    def check(self, route, crash, **options):
        """Send the request repeatedly, at one entry after the other."""

        async def scenario(fleet):
            fleet.result = await fleet.ask_in_turn(ATTEMPTS)

        fleet = run_fleet(scenario, route, crash, **options)
        # A lower threshold would refuse harmless requests beside it.
        self.assertEqual(len(fleet.crashed), MIN_CRASHES)
        return fleet

    def test_few_targets_crash(self):
        """Targets restart under their ids or under new ones."""
        for (route, name), new_ids in product(CASES, (False, True)):
            with self.subTest(kind=route.kind, crash=name, new_ids=new_ids):
                self.check(route, CRASHES[name], new_ids=new_ids)

    def test_refusal(self):
        """Refused as not run, with a long time until a retry."""
        fleet = self.check(STREAM, CRASHES['reset before the head'])
        last = fleet.result[-1]
        self.assertEqual(last.status, NOT_RUN)
        self.assertGreater(float(last.headers['retry-after']), 10)

    def test_caller_leaves_during_crash(self):
        """The crash counts even if the caller leaves at that moment."""

        async def scenario(fleet):
            entry = fleet.entries[0]
            reconnect = entry.state.isolation.hooks.reconnect

            async def reconnect_late(target):
                group.cancel_scope.cancel()
                return await reconnect(target)

            entry.state.isolation.hooks.reconnect = reconnect_late
            async with anyio.create_task_group() as group:
                group.start_soon(entry.ask, 'r1', 'POST', KEY, (), DEADLY)
            fleet.result = entry.state.isolation.quarantine.suspects

        fleet = run_fleet(scenario, STREAM, CRASHES['reset before the head'])
        self.assertEqual(len(fleet.result), 1)

    def test_entry_started_later(self):
        """Its first peer sends it the quarantine."""

        async def scenario(fleet):
            await fleet.ask_in_turn(ATTEMPTS)
            late_entry = fleet.add_entry()
            for number in range(ATTEMPTS):
                outcome = await late_entry.ask(f'later{number}', body=DEADLY)
                self.assertEqual(outcome.status, NOT_RUN)

        fleet = run_fleet(scenario, STREAM, CRASHES['reset before the head'])
        self.assertEqual(len(fleet.crashed), MIN_CRASHES)

    def test_other_requests_are_served(self):
        """A harmless request may lose a target, but is not refused."""
        outcomes = []

        async def scenario(fleet):
            for round_number in range(ATTEMPTS):
                outcomes.extend(await _ask_beside(fleet, round_number))

        fleet = run_fleet(
            scenario, STREAM, CRASHES['closed in the middle of a stream']
        )
        self.assertEqual(len(fleet.crashed), MIN_CRASHES)
        self.assertNotIn(NOT_RUN, {outcome.status for outcome in outcomes})
        # Each crash may fail the requests beside it, as any crash does.
        served = sum(
            outcome.status == OK and outcome.whole for outcome in outcomes
        )
        self.assertGreaterEqual(
            served, len(outcomes) - MIN_CRASHES * HARMLESS_COUNT
        )


async def _ask_beside(fleet, round_number):
    """Send the deadly request beside others; return their outcomes."""
    outcomes = []

    async def ask(number):
        entry = fleet.entries[number % len(fleet.entries)]
        body = HARMLESS + b'%d-%d' % (round_number, number)
        outcomes.append(await entry.ask(f's{round_number}-{number}', body=body))

    async with anyio.create_task_group() as group:
        for number in range(HARMLESS_COUNT):
            group.start_soon(ask, number)
        await fleet.entries[round_number % len(fleet.entries)].ask(
            f'r{round_number}', body=DEADLY
        )
    return outcomes
