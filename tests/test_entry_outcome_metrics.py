"""Breakdowns of outcomes: complete, bounded, and without jumps."""

import unittest

from trestledock.entry import _events as events
from trestledock.entry._metric_labels import (
    HALVE_AFTER,
    MAX_COUNTED,
    OTHER,
    LargestNames,
)
from trestledock.entry._metrics import Metrics
from trestledock.entry._outcome_metrics import (
    BREAKDOWNS,
    LARGEST_TEAMS,
    MAX_RANK,
    MAX_SERVICES,
    MAX_TEAMS,
)


def make_ended(**fields):
    """Return the end of a request in time."""
    return events.RequestEnded(
        **{
            'req': 'r',
            'outcome': 'in_time',
            'reason': '',
            'route': 'route',
            'service': 'svc',
            'rank': 0,
            'team': 'team',
            'prompt_tokens': 5,
            'tenth': 1,
            'data_centre': 'dc',
            'waited_ms': 250,
            **fields,
        }
    )


class BreakdownTest(unittest.TestCase):
    """Requests in the exposition."""

    def setUp(self):
        self.metrics = Metrics()

    def render(self):
        return self.metrics.render({}).decode()

    def test_each_breakdown_counts_a_request(self):
        """A late request is found by rank, team, size and data centre."""
        self.metrics.record_event(
            make_ended(outcome='late', rank=2, team='ants', tenth=10)
        )
        text = self.render()
        for line in (
            'requests_by_data_centre_total{data_centre="dc",'
            'outcome="late",reason=""} 1.0',
            'requests_by_rank_total{data_centre="dc",'
            'outcome="late",rank="2",reason=""} 1.0',
            'requests_by_team_total{data_centre="dc",'
            'outcome="late",reason="",team="ants"} 1.0',
            'requests_by_size_total{data_centre="dc",outcome="late",'
            'reason="",service="svc",tenth="10"} 1.0',
            'waited_by_rank_seconds_bucket{data_centre="dc",'
            'le="0.3",rank="2"} 1.0',
            'waited_by_team_seconds_sum{data_centre="dc",team="ants"} 0.25',
            'request_ended_total{outcome="late",reason=""} 1.0',
        ):
            self.assertIn(f'trestledock_{line}', text)

    def test_absent_values(self):
        """A request without rank, team, service or size counts as well."""
        self.metrics.record_event(
            make_ended(rank=None, team='', service='', tenth=0)
        )
        self.assertIn('service="none",tenth="none"} 1.0', self.render())

    def test_sums_are_equal_and_series_bounded(self):
        """Any number of names gives few series, and loses no request."""
        count = 5_000
        for number in range(count):
            self.metrics.record_event(
                make_ended(
                    rank=number % 20 - 5,
                    team=f'team-{number % 499}',
                    service=f'svc-{number % 101}',
                    tenth=number % 11,
                )
            )
        bounds = {
            'data_centre': 1,
            'rank': MAX_RANK + 2,
            'team': MAX_TEAMS + 1,
            'size': (MAX_SERVICES + 1) * 11,
        }
        self.assertEqual(bounds.keys(), BREAKDOWNS.keys())
        for name, bound in bounds.items():
            breakdown = self.metrics.outcomes.breakdowns[name]
            self.assertEqual(sum(breakdown.counts.values()), count)
            self.assertLessEqual(len(breakdown.waits), bound)

    def test_name_that_is_no_text(self):
        """A lone surrogate in a team's name doesn't fail the whole scrape."""
        self.metrics.record_event(make_ended(team='a\ud800'))
        self.assertIn('team="a?"', self.render())


class LargestNamesTest(unittest.TestCase):
    """Which teams have a value of their own."""

    def setUp(self):
        self.names = LargestNames(LARGEST_TEAMS, MAX_TEAMS)

    def record(self, count, *names):
        for _ in range(count):
            labels = [self.names.get_label(name) for name in names]
        return labels

    def test_small_names_share_one(self):
        """Beside ten large teams a small one has no series of its own."""
        large = [f'large-{number}' for number in range(LARGEST_TEAMS)]
        self.assertEqual(self.record(3, *large), large)
        self.assertEqual(self.record(2, 'small'), [OTHER])

    def test_name_that_grows_gets_its_own(self):
        """A team that outgrows the first ten is told, and they stay told."""
        first = [f'first-{number}' for number in range(LARGEST_TEAMS)]
        self.record(10, *first)
        self.assertEqual(self.record(10, 'late'), [OTHER])
        self.assertEqual(self.record(1, 'late'), ['late'])
        self.assertEqual(self.record(1, *first), first)

    def test_past_size_fades(self):
        """Teams that were large long ago don't hide one that is large now."""
        past = [f'past-{number}' for number in range(LARGEST_TEAMS)]
        self.record(HALVE_AFTER // LARGEST_TEAMS, *past)
        self.record(HALVE_AFTER, 'filler')
        self.assertEqual(self.record(30, 'present'), ['present'])

    def test_counted_names_are_bounded(self):
        """Many small teams don't grow the counts, nor displace a large one."""
        for number in range(10 * MAX_COUNTED):
            self.record(1, 'large', f'small-{number}')
        self.assertLessEqual(len(self.names.counts), MAX_COUNTED)
        self.assertGreater(self.names.counts['large'], HALVE_AFTER // 4)
