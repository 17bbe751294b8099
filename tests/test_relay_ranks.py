"""Which services have different ranks, and what ranks weigh in placement."""

import unittest
from dataclasses import replace

from tests.contending import ENGINE, GIANT, SHORT
from tests.engines import TARGETS
from tests.relaying import HOST, KEY, make_route
from trestledock.relay import (
    Catalog,
    Flight,
    Health,
    LoadTable,
    Phase,
    Placement,
    PlacementRequest,
    Placer,
    PromptSize,
    Share,
    TeamKey,
    Timing,
    WaitingRequest,
    WaitQueue,
)


def find_ranked(*routes, keys=None):
    return set(Catalog(1, {HOST: routes}, {}, keys).ranked_services)


class RankedServicesTest(unittest.TestCase):
    """Services whose requests have at least two different ranks."""

    def test_routes(self):
        """Guards against an order where all ranks are the same."""
        first, second = make_route(priority=1), make_route(priority=2)
        self.assertEqual(find_ranked(first, second), {'svc'})
        self.assertEqual(find_ranked(second, second), set())
        other = replace(second, shares=(Share('other'),))
        self.assertEqual(find_ranked(first, other), set())
        self.assertEqual(find_ranked(make_route(), first), {'svc'})

    def test_teams(self):
        """A team's rank takes precedence over that of its route.

        Guards against an order that only teams' ranks switch on: deployments
        have these without any ranks of routes.
        """
        routes = make_route(priority=1), make_route(priority=2)
        all_same = {KEY: TeamKey('a', 1), 'key-2': TeamKey('b', 1)}
        self.assertEqual(find_ranked(*routes, keys=all_same), set())
        mixed = {**all_same, 'key-3': TeamKey('c', 0)}
        self.assertEqual(find_ranked(routes[0], keys=mixed), set())
        self.assertEqual(find_ranked(*routes, keys=mixed), {'svc'})
        public = replace(routes[1], public=True)
        self.assertEqual(find_ranked(routes[0], public, keys=all_same), {'svc'})


class ProtectionTest(unittest.TestCase):
    """A giant of rank 2 beside short answers of rank 0 at all engines."""

    def setUp(self):
        self.load_table = LoadTable()
        for number, target in enumerate(TARGETS):
            self.load_table.put(
                Flight(
                    f'f{number}',
                    target.incarnation,
                    SHORT.tokens,
                    SHORT.output,
                    Phase.decode,
                    since=0,
                    pause_s=SHORT.pause_s,
                    worth=0.6,
                    rank=0,
                )
            )

    def place(self, rank, now=0.0):
        timing = Timing(0, GIANT.objective_s, 15, 15)
        size = PromptSize(600_000, GIANT.output)
        request = PlacementRequest('g', size, timing, 1.0, 15, rank)
        placer = Placer(self.load_table, Health(), '', 'dc')
        return request.choose(placer, ENGINE, TARGETS, now)

    def test_giant_waits_as_long_as_it_may(self):
        """Guards against long prompts that make more urgent answers late.

        Without ranks it is placed at once, as the answers are worth little;
        with them it waits, and is placed after a third of its objective.
        """
        self.assertIsInstance(self.place(None), Placement)
        self.assertNotIsInstance(self.place(2), Placement)
        self.assertIsInstance(self.place(2, now=2.5), Placement)

    def test_equally_urgent_answers(self):
        """Only more urgent requests weigh more."""
        self.assertEqual(self.place(0), self.place(None))

    def test_short_prompt_beside_less_urgent_giants(self):
        """Guards against short prompts refused to spare giants (`no_room`)."""
        load_table = LoadTable()
        for target in TARGETS:
            flight = Flight(
                f'g{target.incarnation}',
                target.incarnation,
                20_000,
                500,
                Phase.prefill,
                since=0,
                worth=30,
                due_at=0.17,
                rank=2,
            )
            load_table.put(flight)
        timing = Timing(0, SHORT.objective_s, 10, 10)
        size = PromptSize(SHORT.tokens, SHORT.output)
        request = PlacementRequest('s', size, timing, SHORT.pause_s, 10)
        placer = Placer(load_table, Health(), '', 'dc')
        choices = [
            replace(request, rank=rank).choose(placer, ENGINE, TARGETS, 0.1)
            for rank in (None, 0)
        ]
        self.assertNotIsInstance(choices[0], Placement)
        self.assertIsInstance(choices[1], Placement)


class SharedQueueTest(unittest.TestCase):
    """One queue for rate limits and for room at engines."""

    def test_room_does_not_delay_rate_limited_requests(self):
        """Guards against a giant without room that blocks a rate limit."""
        queue = WaitQueue()
        queue.add(WaitingRequest('g', 'svc', 'a', 0, 0, work_s=2, until=9))
        limited = WaitingRequest('r', 'svc', 'b', 1, 5)
        self.assertEqual(queue.count_ahead(limited), 0)
        queue.add(WaitingRequest('g', 'svc', 'a', 0, 0))
        self.assertEqual(queue.count_ahead(limited), 1)
        self.assertEqual(queue.room.get_rows(0), ())

    def test_earlier_teammates(self):
        """Guards against a late request that delays one still in time."""
        queue = WaitQueue()
        for number, until in enumerate((1, 9, 9)):
            queue.add(
                WaitingRequest(
                    f'r{number}', 'svc', 'a', number, 1, work_s=1, until=until
                )
            )
        last = queue.waiting['r2']
        self.assertEqual(len(queue.get_teammates_ahead(last, 0)), 2)
        self.assertEqual(len(queue.get_teammates_ahead(last, 2)), 1)
