"""Fleets shared by unlike prompts: patterns of load, and what they earn."""

import unittest
from dataclasses import replace
from statistics import mean

from tests.engines import LARGE_ENGINE as ENGINE
from trestledock.bench._bursts import LONG, SHORT, make_bursts
from trestledock.bench._sharing import (
    LATE_KEEPS,
    Prompt,
    get_share,
    make_fleet,
)
from trestledock.relay import DEFAULT_POLICY, Decision, PromptSize

GIANT = PromptSize(790_000, 600)
LARGE = PromptSize(300_000, 600)
SMALL = PromptSize(5_000, 1_300)


def play(prompts):
    """Return what came of the prompts on 18 engines behind 9 entries."""
    return make_fleet(ENGINE, engines=18, entries=9).play(list(prompts))


def make_long(at, size, entry=0):
    """Return the arrival of a long prompt."""
    return Prompt(at, LONG, size, entry)


class GiantsTest(unittest.TestCase):
    """Prompts that need most of the fleet, a few seconds apart."""

    def test_giant_among_long_prompts(self):
        """Two giants between long prompts are answered, and nobody is lost.

        Side by side over few engines each, they are read for longer than
        their callers wait.
        """
        prompts = [
            make_long(0.0, LARGE),
            make_long(0.4, LARGE, 1),
            make_long(1.1, GIANT, 2),
            make_long(1.2, PromptSize(180_000, 600), 3),
            make_long(6.0, PromptSize(570_000, 600), 4),
            make_long(7.0, PromptSize(160_000, 600), 5),
        ]
        asked = play(prompts)
        self.assertEqual([one for one in asked if not one.earned], [])
        self.assertGreater(get_share(asked), 0.5)

    def test_returning_caller(self):
        """A giant that comes back with 2.9 s left takes no engine."""
        asked = self.ask_alone(make_long(0, GIANT))
        self.assertGreater(asked.earned, 0)
        hurried = replace(LONG, deadline_s=2.9)
        asked = self.ask_alone(Prompt(0, hurried, GIANT))
        self.assertIs(asked.refused, Decision.no_time)

    def ask_alone(self, prompt):
        """Return what came of one prompt on nine idle engines."""
        return make_fleet(ENGINE, engines=9, entries=1).play([prompt])[0]

    def test_short_ones_beside_a_giant(self):
        """A giant on a quiet fleet makes few short prompts late."""
        shorts = [
            Prompt(number * 0.15, SHORT, SMALL, number % 9)
            for number in range(60)
        ]
        asked = play([*shorts, make_long(3.0, GIANT)])
        self.assertGreater(get_share(asked, 'short'), 0.9)
        self.assertGreater(get_share(asked, 'long'), 0)


class BurstsTest(unittest.TestCase):
    """Bursts of long and of short prompts that take turns."""

    def test_most_is_earned(self):
        """Most of the worth is earned, of each kind, over several seeds."""
        days = [play(make_bursts(seed)) for seed in range(6)]
        for kind in ('short', 'longer', 'long'):
            shares = [get_share(asked, kind) for asked in days]
            self.assertGreater(mean(shares), 0.83, kind)

    def test_all_are_accounted_for(self):
        """Every request is answered, refused or left by its caller."""
        for one in play(make_bursts(1, seconds=9)):
            refused = one.refused is not None and one.placement is None
            ended = (one.done_at is not None, refused, one.left)
            self.assertEqual(sum(ended), 1)

    def test_same_again(self):
        """A seed gives the same figures each time."""
        first, second = (
            [one.first_at for one in play(make_bursts(4, seconds=6))]
            for _ in range(2)
        )
        self.assertEqual(first, second)


class ManyEntriesTest(unittest.TestCase):
    """A wave of long prompts reaches one data centre, where entries are many.

    Its engines are taken; those of the two others are idle.
    """

    def play(self, **terms):
        """Return what came of eight long prompts at one of three places."""
        fleet = make_fleet(
            ENGINE,
            engines=18,
            entries=9,
            places=3,
            terms=replace(DEFAULT_POLICY, **terms),
            many=True,
        )
        prompts = [
            make_long(0.1 * number, LARGE, entry=number % 3 * 3)
            for number in range(8)
        ]
        return fleet.play(prompts)

    def test_engines_elsewhere(self):
        """All are in time with them, and hardly any without."""
        found = get_share(self.play())
        without = get_share(self.play(remote_targets=False))
        self.assertGreater(found, without + 0.2)

    def test_two_at_the_same_moment(self):
        """Two entries choose within the way of a word: one is in time.

        Each takes all four engines, and both are late where neither gives way.
        """
        size = PromptSize(250_000, 600)
        earned = []
        for claims in (True, False):
            terms = replace(DEFAULT_POLICY, claims=claims)
            fleet = make_fleet(ENGINE, engines=4, entries=2, terms=terms)
            asked = fleet.play(
                [make_long(0.0, size), make_long(0.002, size, 1)]
            )
            earned.append(max(one.earned for one in asked))
        self.assertEqual(earned, [1, LATE_KEEPS])
