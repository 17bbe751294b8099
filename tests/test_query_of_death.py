"""A request that ends whatever runs it reaches few targets, and then none.

What was seen: a request under which three targets had ended was sent to targets
ten times more, and 32 of 36 targets ended under it within nine seconds; other
requests, which were beside it, were cut or refused.

How it came about: each attempt of a caller goes to one target, and to a second
one as the first has ended; both end.  The caller, or another one with the same
request, comes again at another entry.

The cause: what an entry knew of a request lived as long as one attempt, and an
end was put down to the target alone.  Nobody knew how many targets had ended
under the same request.

What proved it: the log of each target that ended shows one request in common,
by its fingerprint; and with as few as three entries, ten attempts of one
request end twenty targets here.
"""

import unittest
from itertools import product

import anyio

from tests.crashing import CRASHES, DEADLY, SOUND, run_fleet
from tests.relaying import KEY, make_route
from trestledock.relay import RouteKind

PLAIN = make_route()
ONCE = make_route(RouteKind.non_idempotent, max_attempts=1)
STREAM = make_route(
    RouteKind.streaming, resumable=True, objective_s=0.3, pause_s=0.2
)
#: So many targets may end under a request before it is known for that.
MOST_ENDS = 3
TRIES = 10
OK = 200
NOT_RUN = 503
#: Requests beside the deadly one in each turn.
BESIDE = 6


#: Routes, with the ways in which a crash of their targets is seen.
CASES = [
    *(
        (PLAIN, name)
        for name in ('reset before the head', 'closed before the head')
    ),
    *(
        (ONCE, name)
        for name in ('reset before the head', 'closed before the head')
    ),
    *((STREAM, name) for name in CRASHES),
]


class QueryOfDeathTest(unittest.TestCase):
    """However a crash is seen, and wherever the request comes again."""

    def check(self, route, crash, **how):
        """Ask for it again and again, at one entry after the other."""

        async def scenario(fleet):
            fleet.found = await fleet.ask_in_turn(TRIES)

        fleet = run_fleet(scenario, route, crash, **how)
        # Fewer would refuse whoever was beside it.
        self.assertEqual(len(fleet.ended), MOST_ENDS)
        return fleet

    def test_few_targets_end(self):
        """Whether they come back under their ids or under new ones."""
        for (route, name), new_ids in product(CASES, (False, True)):
            with self.subTest(kind=route.kind, crash=name, new_ids=new_ids):
                self.check(route, CRASHES[name], new_ids=new_ids)

    def test_last_word_is_true_and_invites_nobody(self):
        """Refused as not run, at once, and with a long time to come back."""
        fleet = self.check(STREAM, CRASHES['reset before the head'])
        last = fleet.found[-1]
        self.assertEqual(last.status, NOT_RUN)
        self.assertGreater(float(last.headers['retry-after']), 10)

    def test_caller_leaves_as_the_target_ends(self):
        """The end counts all the same."""

        async def scenario(fleet):
            entry = fleet.entries[0]
            look = entry.state.isolation.hooks.reconnect

            async def look_late(target):
                group.cancel_scope.cancel()
                return await look(target)

            entry.state.isolation.hooks.reconnect = look_late
            async with anyio.create_task_group() as group:
                group.start_soon(entry.ask, 'r1', 'POST', KEY, (), DEADLY)
            fleet.found = entry.state.isolation.quarantine.suspects

        fleet = run_fleet(scenario, STREAM, CRASHES['reset before the head'])
        self.assertEqual(len(fleet.found), 1)

    def test_entry_that_starts_later(self):
        """It is told by the first that hears it."""

        async def scenario(fleet):
            await fleet.ask_in_turn(TRIES)
            later = fleet.add_entry()
            for number in range(TRIES):
                found = await later.ask(f'later{number}', body=DEADLY)
                self.assertEqual(found.status, NOT_RUN)

        fleet = run_fleet(scenario, STREAM, CRASHES['reset before the head'])
        self.assertEqual(len(fleet.ended), MOST_ENDS)

    def test_others_are_served_meanwhile(self):
        """Whoever runs beside it may lose a target, and is not refused."""
        found = []

        async def scenario(fleet):
            for turn in range(TRIES):
                found.extend(await _ask_beside(fleet, turn))

        fleet = run_fleet(
            scenario, STREAM, CRASHES['closed in the middle of a stream']
        )
        self.assertEqual(len(fleet.ended), MOST_ENDS)
        self.assertNotIn(NOT_RUN, {one.status for one in found})
        # Each end may cost those beside it, as any end does.
        served = sum(one.status == OK and one.whole for one in found)
        self.assertGreaterEqual(served, len(found) - MOST_ENDS * BESIDE)


async def _ask_beside(fleet, turn):
    """Ask for the deadly request once, beside others; return their outcomes."""
    found = []

    async def ask(number):
        entry = fleet.entries[number % len(fleet.entries)]
        body = SOUND + b'%d-%d' % (turn, number)
        found.append(await entry.ask(f's{turn}-{number}', body=body))

    async with anyio.create_task_group() as group:
        for number in range(BESIDE):
            group.start_soon(ask, number)
        await fleet.entries[turn % len(fleet.entries)].ask(
            f'r{turn}', body=DEADLY
        )
    return found
