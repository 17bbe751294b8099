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
    Board,
    Flight,
    Health,
    Phase,
    Placer,
    PromptSize,
    Work,
    is_worth_asking,
    summarize,
)

NEAR, FAR = 'near', 'far'
LONG = Work(PromptSize(200_000, 700), 4.0, 0.8, 15)
SHORT = Work(PromptSize(5_000, 700), 0.3, 0.2, 0.9)
#: Each data centre has half of the engines.
HALF = len(TARGETS) // 2
PLACED = tuple(
    replace(one, data_centre=NEAR if number < HALF else FAR)
    for number, one in enumerate(TARGETS)
)
NEAR_TARGETS, FAR_TARGETS = PLACED[:HALF], PLACED[HALF:]


def make_reading(number, target, *helpers, tickets=()):
    """Return a prompt whose prefill has just begun."""
    return Flight(
        f'f{number}',
        target.incarnation,
        180_000,
        1_000,
        Phase.reading,
        since=0.0,
        pause_s=0.8,
        worth=20,
        due=4.0,
        helpers=tuple([one.incarnation for one in helpers]),
        tickets=tickets,
    )


def make_writing(number, target, pause_s=0.2):
    """Return a short answer that is being decoded."""
    return Flight(
        f'w{number}',
        target.incarnation,
        5_000,
        700,
        Phase.writing,
        since=0.0,
        pause_s=pause_s,
        worth=0.9,
    )


class WaveTest(unittest.TestCase):
    """All nearby engines prefill long prompts, all others are idle."""

    def setUp(self):
        self.board = Board()
        self.placer = Placer(self.board, Health(), data_centre=NEAR)
        for number, one in enumerate(NEAR_TARGETS):
            self.board.put(make_reading(number, one))

    def place(self, work, targets):
        return self.placer.place(work, ENGINE, targets, now=0.0)

    def test_long_prompt_is_worth_a_question(self):
        near = self.place(LONG, NEAR_TARGETS)
        cost = near.cost if near else None
        self.assertTrue(is_worth_asking(LONG.worth, cost))

    def test_it_is_early_elsewhere(self):
        """With all engines to choose from, it takes idle ones in time."""
        chosen = self.place(LONG, PLACED)
        self.assertLess(chosen.first_s, LONG.objective_s)
        places = {one.data_centre for one in (chosen.target, *chosen.helpers)}
        self.assertEqual(places, {FAR})
        self.assertFalse(is_worth_asking(LONG.worth, chosen.cost))

    def test_short_one_is_not(self):
        """A query costs a short prompt more than it gains."""
        self.assertFalse(is_worth_asking(SHORT.worth, None))

    def test_idle_engines_nearby_suffice(self):
        board = Board()
        placer = Placer(board, Health(), data_centre=NEAR)
        near = placer.place(LONG, ENGINE, NEAR_TARGETS, now=0.0)
        self.assertFalse(is_worth_asking(LONG.worth, near.cost))


class SummaryTest(unittest.TestCase):
    """Summarized load yields the same placements as all requests."""

    def compare(self, *flights):
        """Return the load of all remote targets, in full and summarized."""
        told = Board()
        names = {one.incarnation for one in FAR_TARGETS}
        told.set_elsewhere(FAR, summarize(flights, names, now=0.5))
        known = Board()
        for flight in flights:
            known.put(flight)
        return [
            [
                Placer(board, Health()).viewer.view(ENGINE, one, 0.5)
                for one in FAR_TARGETS
            ]
            for board in (known, told)
        ]

    def test_reading_and_memory(self):
        """Chunks, what is left of them, and reservations are the same."""
        one, two, three, *_ = FAR_TARGETS
        ticket = ((two.incarnation, 90_500),)
        for known, told in zip(
            *self.compare(
                make_reading(1, one, two, tickets=ticket),
                make_reading(2, three),
                make_reading(3, NEAR_TARGETS[0], one),
            ),
            strict=True,
        ):
            self.assertEqual(told.pending_s, known.pending_s)
            self.assertEqual(told.free_tokens, known.free_tokens)

    def test_answers_that_are_written(self):
        """They are merged with the shortest allowed pause among them."""
        one, two, *_ = FAR_TARGETS
        flights = [make_writing(number, one) for number in range(4)]
        flights.append(make_writing(4, two, pause_s=0.8))
        for known, told in zip(*self.compare(*flights), strict=True):
            self.assertEqual(told.free_tokens, known.free_tokens)
            self.assertEqual(told.writers > 0, known.writers > 0)
            harms = (told.get_harm(1.0), known.get_harm(1.0))
            self.assertAlmostEqual(*harms)

    def test_targets_elsewhere_are_left_out(self):
        found = summarize(
            [make_reading(1, NEAR_TARGETS[0])],
            {one.incarnation for one in FAR_TARGETS},
            now=0.0,
        )
        self.assertEqual(tuple(found), ())

    def test_what_is_told_replaces_what_was(self):
        board = Board()
        name = FAR_TARGETS[0].incarnation
        board.set_elsewhere(FAR, [make_reading(1, FAR_TARGETS[0])])
        self.assertEqual(len(tuple(board.get_flights(name))), 1)
        board.set_elsewhere(FAR, ())
        self.assertEqual(tuple(board.get_flights(name)), ())
