"""Fleets with mixed prompts: the worth earned under patterns of load."""

import unittest
from dataclasses import replace
from statistics import mean

from tests.engines import LARGE_ENGINE as ENGINE
from trestledock.bench._bursts import LONG, SHORT, make_bursts
from trestledock.bench._sharing import (
    LATE_SHARE,
    Prompt,
    get_earned_share,
    make_fleet,
)
from trestledock.relay import DEFAULT_POLICY, Decision, PromptSize

GIANT = PromptSize(790_000, 600)
LARGE = PromptSize(300_000, 600)
SMALL = PromptSize(5_000, 1_300)


def simulate(prompts):
    """Simulate prompts on 18 engines behind 9 entries."""
    return make_fleet(ENGINE, engines=18, entries=9).simulate(list(prompts))


def make_long(at, size, entry=0):
    """Return the arrival of a long prompt."""
    return Prompt(at, LONG, size, entry)


class GiantsTest(unittest.TestCase):
    """Giant prompts, which need most of the fleet, a few seconds apart."""

    def test_giant_among_long_prompts(self):
        """Two giants between long prompts are answered, as are all others.

        Prefilled concurrently, on few engines each, they would take longer than
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
        states = simulate(prompts)
        self.assertEqual([state for state in states if not state.earned], [])
        self.assertGreater(get_earned_share(states), 0.5)

    def test_retried_giant(self):
        """A giant with 2.9 s left until its deadline takes no engine."""
        state = self.simulate_alone(make_long(0, GIANT))
        self.assertGreater(state.earned, 0)
        hurried = replace(LONG, deadline_s=2.9)
        state = self.simulate_alone(Prompt(0, hurried, GIANT))
        self.assertIs(state.refused, Decision.no_time)

    def simulate_alone(self, prompt):
        """Simulate state prompt on nine idle engines."""
        return make_fleet(ENGINE, engines=9, entries=1).simulate([prompt])[0]

    def test_short_prompts_beside_a_giant(self):
        """A giant on a lightly loaded fleet makes few short prompts late."""
        shorts = [
            Prompt(number * 0.15, SHORT, SMALL, number % 9)
            for number in range(60)
        ]
        states = simulate([*shorts, make_long(3.0, GIANT)])
        self.assertGreater(get_earned_share(states, 'short'), 0.9)
        self.assertGreater(get_earned_share(states, 'long'), 0)


class BurstsTest(unittest.TestCase):
    """Alternating bursts of long and short prompts."""

    def test_most_is_earned(self):
        """Most of the worth of each kind is earned over several seeds."""
        days = [simulate(make_bursts(seed)) for seed in range(6)]
        for kind in ('short', 'longer', 'long'):
            shares = [get_earned_share(states, kind) for states in days]
            self.assertGreater(mean(shares), 0.83, kind)

    def test_all_are_accounted_for(self):
        """Each request is either answered, refused or abandoned."""
        for state in simulate(make_bursts(1, seconds=9)):
            refused = state.refused is not None and state.placement is None
            ended = (state.done_at is not None, refused, state.abandoned)
            self.assertEqual(sum(ended), 1)

    def test_same_again(self):
        """A seed gives the same results each time."""
        first, second = (
            [state.first_at for state in simulate(make_bursts(4, seconds=6))]
            for _ in range(2)
        )
        self.assertEqual(first, second)


class ManyEntriesTest(unittest.TestCase):
    """A wave of long prompts at one data centre of a large deployment.

    Its engines are busy, and those of the two other data centres are idle.
    """

    def simulate(self, **policy):
        """Simulate eight long prompts at one of three data centres."""
        fleet = make_fleet(
            ENGINE,
            engines=18,
            entries=9,
            data_centres=3,
            policy=replace(DEFAULT_POLICY, **policy),
            many=True,
        )
        prompts = [
            make_long(0.1 * number, LARGE, entry=number % 3 * 3)
            for number in range(8)
        ]
        return fleet.simulate(prompts)

    def test_remote_engines(self):
        """Remote engines raise the earned worth by more than 0.2."""
        with_remote = get_earned_share(self.simulate())
        without = get_earned_share(self.simulate(remote_targets=False))
        self.assertGreater(with_remote, without + 0.2)

    def test_two_at_the_same_moment(self):
        """Two entries place prompts before either knows of the other.

        Each prompt takes all four engines.  With claims, the later one yields,
        and the other is in time; without, both are late.
        """
        size = PromptSize(250_000, 600)
        earned = []
        for claims in (True, False):
            policy = replace(DEFAULT_POLICY, claims=claims)
            fleet = make_fleet(ENGINE, engines=4, entries=2, policy=policy)
            states = fleet.simulate(
                [make_long(0.0, size), make_long(0.002, size, 1)]
            )
            earned.append(max(state.earned for state in states))
        self.assertEqual(earned, [1, LATE_SHARE])
