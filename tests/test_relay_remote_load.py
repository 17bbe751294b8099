"""Waves of callers that reach one data centre after the other.

For seconds all engines of one data centre are occupied by long prompts, while
half of the next one's are idle: 42 of 110 engine-seconds against 5 were
measured.  A prompt of a million tokens with an objective of 4 s waited for 5.6
s there.
"""

import unittest
from dataclasses import replace

from tests.engines import SMALL_ENGINE as ENGINE
from tests.engines import TARGETS
from trestledock.relay import (
    Flight,
    Health,
    LoadTable,
    Phase,
    Placer,
    PromptSize,
    Work,
    should_query_remote,
    summarize_load,
)

NEAR, FAR = 'near', 'far'
LONG = Work(PromptSize(200_000, 700), 4.0, 0.8, 15)
SHORT = Work(PromptSize(5_000, 700), 0.3, 0.2, 0.9)
#: Each data centre has half of the engines.
HALF = len(TARGETS) // 2
PLACED = tuple(
    replace(target, data_centre=NEAR if number < HALF else FAR)
    for number, target in enumerate(TARGETS)
)
NEAR_TARGETS, FAR_TARGETS = PLACED[:HALF], PLACED[HALF:]


def make_prefill(number, target, *helpers, reservations=()):
    """Return a prompt whose prefill has just begun."""
    return Flight(
        f'f{number}',
        target.incarnation,
        180_000,
        1_000,
        Phase.prefill,
        since=0.0,
        pause_s=0.8,
        worth=20,
        due_at=4.0,
        helpers=tuple([helper.incarnation for helper in helpers]),
        reservations=reservations,
    )


def make_decode(number, target, pause_s=0.2):
    """Return a short answer that is being decoded."""
    return Flight(
        f'w{number}',
        target.incarnation,
        5_000,
        700,
        Phase.decode,
        since=0.0,
        pause_s=pause_s,
        worth=0.9,
    )


class WaveTest(unittest.TestCase):
    """All nearby engines prefill long prompts, all others are idle."""

    def setUp(self):
        self.load_table = LoadTable()
        self.placer = Placer(self.load_table, Health(), data_centre=NEAR)
        for number, target in enumerate(NEAR_TARGETS):
            self.load_table.put(make_prefill(number, target))

    def place(self, work, targets):
        return self.placer.place(work, ENGINE, targets, now=0.0)

    def test_long_prompt_queries_remote(self):
        near = self.place(LONG, NEAR_TARGETS)
        cost = near.cost if near else None
        self.assertTrue(should_query_remote(LONG.worth, cost))

    def test_remote_engines_are_chosen(self):
        """With all engines to choose from, it takes idle ones in time."""
        chosen = self.place(LONG, PLACED)
        self.assertLess(chosen.first_token_s, LONG.objective_s)
        data_centres = {
            target.data_centre for target in (chosen.target, *chosen.helpers)
        }
        self.assertEqual(data_centres, {FAR})
        self.assertFalse(should_query_remote(LONG.worth, chosen.cost))

    def test_short_prompt_does_not_query(self):
        """A query costs a short prompt more than it gains."""
        self.assertFalse(should_query_remote(SHORT.worth, None))

    def test_idle_local_engines_suffice(self):
        load_table = LoadTable()
        placer = Placer(load_table, Health(), data_centre=NEAR)
        near = placer.place(LONG, ENGINE, NEAR_TARGETS, now=0.0)
        self.assertFalse(should_query_remote(LONG.worth, near.cost))


class SummaryTest(unittest.TestCase):
    """Summarized load yields the same placements as all requests."""

    def compare(self, *flights):
        """Return the load of all remote targets, in full and summarized."""
        summarized = LoadTable()
        names = {target.incarnation for target in FAR_TARGETS}
        summarized.set_remote_load(FAR, summarize_load(flights, names, now=0.5))
        full = LoadTable()
        for flight in flights:
            full.put(flight)
        return [
            [
                Placer(load_table, Health()).estimator.estimate(
                    ENGINE, target, 0.5
                )
                for target in FAR_TARGETS
            ]
            for load_table in (full, summarized)
        ]

    def test_prefill_and_memory(self):
        """Chunks, what is left of them, and reservations are the same."""
        first, second, third, *_ = FAR_TARGETS
        reservations = ((second.incarnation, 90_500),)
        for full, summarized in zip(
            *self.compare(
                make_prefill(1, first, second, reservations=reservations),
                make_prefill(2, third),
                make_prefill(3, NEAR_TARGETS[0], first),
            ),
            strict=True,
        ):
            self.assertEqual(
                summarized.pending_prefill_s, full.pending_prefill_s
            )
            self.assertEqual(summarized.free_tokens, full.free_tokens)

    def test_decoding(self):
        """They are merged with the shortest allowed pause among them."""
        first, second, *_ = FAR_TARGETS
        flights = [make_decode(number, first) for number in range(4)]
        flights.append(make_decode(4, second, pause_s=0.8))
        for full, summarized in zip(*self.compare(*flights), strict=True):
            self.assertEqual(summarized.free_tokens, full.free_tokens)
            self.assertEqual(summarized.decoding > 0, full.decoding > 0)
            costs = (
                summarized.get_cost_to_others(1.0),
                full.get_cost_to_others(1.0),
            )
            self.assertAlmostEqual(*costs)

    def test_other_targets_are_omitted(self):
        flights = summarize_load(
            [make_prefill(1, NEAR_TARGETS[0])],
            {target.incarnation for target in FAR_TARGETS},
            now=0.0,
        )
        self.assertEqual(tuple(flights), ())

    def test_new_load_replaces_old(self):
        load_table = LoadTable()
        name = FAR_TARGETS[0].incarnation
        load_table.set_remote_load(FAR, [make_prefill(1, FAR_TARGETS[0])])
        self.assertEqual(len(tuple(load_table.get_flights(name))), 1)
        load_table.set_remote_load(FAR, ())
        self.assertEqual(tuple(load_table.get_flights(name)), ())
