"""Callers come in waves that reach one data centre after the other.

For seconds the engines of one are all taken by long prompts, while half of the
next one's are idle: 42 of 110 engine-seconds against 5 were measured.  A prompt
of a million tokens waited for 5.6 s of its 4 s there.
"""

import unittest
from dataclasses import replace

from tests.engines import SMALL_ENGINE as ENGINE
from tests.engines import TARGETS
from trestledock.relay import (
    LoadTable,
    Flight,
    Health,
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
#: Half of the engines are in each data centre.
HALF = len(TARGETS) // 2
PLACED = tuple(
    replace(one, data_centre=NEAR if number < HALF else FAR)
    for number, one in enumerate(TARGETS)
)
NEAR_TARGETS, FAR_TARGETS = PLACED[:HALF], PLACED[HALF:]


def make_reading(number, target, *helpers, tickets=()):
    """Return a prompt that has just begun to be read."""
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
        helpers=tuple([one.incarnation for one in helpers]),
        reservations=tickets,
    )


def make_writing(number, target, pause_s=0.2):
    """Return a short answer that is being written."""
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
    """All engines nearby read long prompts, all others are idle."""

    def setUp(self):
        self.board = LoadTable()
        self.placer = Placer(self.board, Health(), data_centre=NEAR)
        for number, one in enumerate(NEAR_TARGETS):
            self.board.put(make_reading(number, one))

    def place(self, work, targets):
        return self.placer.place(work, ENGINE, targets, now=0.0)

    def test_long_prompt_is_worth_a_question(self):
        near = self.place(LONG, NEAR_TARGETS)
        cost = near.cost if near else None
        self.assertTrue(should_query_remote(LONG.worth, cost))

    def test_it_is_early_elsewhere(self):
        """With all engines in sight it takes idle ones, and is in time."""
        chosen = self.place(LONG, PLACED)
        self.assertLess(chosen.first_token_s, LONG.objective_s)
        places = {one.data_centre for one in (chosen.target, *chosen.helpers)}
        self.assertEqual(places, {FAR})
        self.assertFalse(should_query_remote(LONG.worth, chosen.cost))

    def test_short_one_is_not(self):
        """A question costs it more than it gains."""
        self.assertFalse(should_query_remote(SHORT.worth, None))

    def test_idle_engines_nearby_suffice(self):
        board = LoadTable()
        placer = Placer(board, Health(), data_centre=NEAR)
        near = placer.place(LONG, ENGINE, NEAR_TARGETS, now=0.0)
        self.assertFalse(should_query_remote(LONG.worth, near.cost))


class SummaryTest(unittest.TestCase):
    """What is told of targets says as much of them as all flights would."""

    def compare(self, *flights):
        """Return views of all far targets, by the flights and by summary."""
        told = LoadTable()
        names = {one.incarnation for one in FAR_TARGETS}
        told.set_remote_load(FAR, summarize_load(flights, names, now=0.5))
        known = LoadTable()
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
        """Parts, what is left of them, and tickets are the same."""
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
        """They stand together for the one that bears the least pause."""
        one, two, *_ = FAR_TARGETS
        flights = [make_writing(number, one) for number in range(4)]
        flights.append(make_writing(4, two, pause_s=0.8))
        for known, told in zip(*self.compare(*flights), strict=True):
            self.assertEqual(told.free_tokens, known.free_tokens)
            self.assertEqual(told.writers > 0, known.writers > 0)
            harms = (told.get_harm(1.0), known.get_harm(1.0))
            self.assertAlmostEqual(*harms)

    def test_targets_elsewhere_are_left_out(self):
        found = summarize_load(
            [make_reading(1, NEAR_TARGETS[0])],
            {one.incarnation for one in FAR_TARGETS},
            now=0.0,
        )
        self.assertEqual(tuple(found), ())

    def test_what_is_told_replaces_what_was(self):
        board = LoadTable()
        name = FAR_TARGETS[0].incarnation
        board.set_remote_load(FAR, [make_reading(1, FAR_TARGETS[0])])
        self.assertEqual(len(tuple(board.get_flights(name))), 1)
        board.set_remote_load(FAR, ())
        self.assertEqual(tuple(board.get_flights(name)), ())
