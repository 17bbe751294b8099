"""What a measured pace of an engine changes, and for how long.

Guards against estimates by the nominal formula on engines that are slower, and
against engines that wrong measurements would shut out.
"""

import unittest
from dataclasses import replace
from random import Random

from tests.engines import SMALL_ENGINE as ENGINE
from tests.engines import TARGETS
from trestledock.relay import (
    MAX_PACE,
    Fleet,
    Flight,
    Health,
    LoadTable,
    NoticeChange,
    Pace,
    Paces,
    Phase,
    Placer,
    PromptSize,
    Work,
    choose_update,
)

SHORT = Work(PromptSize(5_000, 700), 0.3, 0.25, 0.9)
LONG = Work(PromptSize(133_000, 700), 2.5, 1.0, 10)
GIANT = Work(PromptSize(400_000, 700), 4.0, 1.0, 29)
SLOW = 2.0
NAMES = tuple(target.incarnation for target in TARGETS)


def make_pace(factor, at=0.0):
    return Pace(factor, at, at)


class Fixture(unittest.TestCase):
    """A fleet of 18 engines, with requests at random engines."""

    def setUp(self):
        self.fleet = Fleet()
        for target in TARGETS:
            self.fleet.put(target)
        self.paces = Paces(self.fleet)
        self.load_table = LoadTable()

    def record(self, names, factor, at=0.0):
        for name in names:
            self.fleet.notices.record(name, make_pace(factor, at))

    def get_factors(self, now=0.0):
        return [self.paces.get_factor(target, now) for target in TARGETS]

    def make_placer(self):
        return Placer(self.load_table, Health(), get_pace=self.paces.get_factor)

    def place(self, work):
        return self.make_placer().place(work, ENGINE, TARGETS, now=0.0)

    def fill(self, seed):
        """Put requests of random sizes, ages and phases at the engines."""
        rng = Random(seed)
        self.load_table = LoadTable()
        for number in range(rng.randrange(60)):
            names = rng.sample(NAMES, rng.randint(1, 3))
            self.load_table.put(
                Flight(
                    f'f{number}',
                    names[0],
                    rng.randrange(150_000),
                    700,
                    rng.choice(tuple(Phase)),
                    since=-rng.random(),
                    pause_s=0.25,
                    due_at=rng.uniform(0, 2),
                    helpers=tuple(names[1:]),
                )
            )


class NominalTest(Fixture):
    """Engines that are not clearly slow are placed on as before."""

    def test_placements_are_the_same(self):
        self.record(NAMES, 1.2)
        for seed in range(30):
            self.fill(seed)
            for work in (SHORT, LONG, GIANT):
                with self.subTest(seed=seed, work=work):
                    nominal = Placer(self.load_table, Health())
                    self.assertEqual(
                        self.place(work),
                        nominal.place(work, ENGINE, TARGETS, now=0.0),
                    )


class SlowTest(Fixture):
    """A third of the engines take twice as long as their formula says."""

    def setUp(self):
        super().setUp()
        self.slow = NAMES[:6]
        self.record(self.slow, SLOW)

    def get_used(self, work):
        chosen = self.place(work)
        return {target.incarnation for target in chosen.engaged_targets}

    def test_estimates(self):
        """Passes, pending prefill and the chunk itself take twice as long."""
        target = TARGETS[0]
        flight = Flight('f', target.incarnation, 50_000, 9, Phase.prefill, 0)
        self.load_table.put(flight)
        slow, nominal = [
            placer.estimator.estimate(ENGINE, target, 0.0)
            for placer in (
                self.make_placer(),
                Placer(self.load_table, Health()),
            )
        ]
        self.assertAlmostEqual(
            slow.predict_first_token_s(0.1),
            nominal.predict_first_token_s(0.1) * SLOW,
        )
        self.assertGreater(
            slow.get_cost_to_others(0.1), nominal.get_cost_to_others(0.1)
        )
        self.assertAlmostEqual(slow.nominal_base_s, nominal.base_s)

    def test_prompts_avoid_slow_engines(self):
        for work in (SHORT, LONG, GIANT):
            self.assertFalse(self.get_used(work) & set(self.slow))

    def test_short_prompts_avoid_engines_that_make_them_late(self):
        """They are packed on the fullest engine that does not."""
        for number in range(2):
            self.load_table.put(
                Flight(f'f{number}', self.slow[0], 5_000, 700, Phase.decode, 0)
            )
        at_nominal = Placer(self.load_table, Health())
        packed = at_nominal.place(SHORT, ENGINE, TARGETS, now=0.0)
        self.assertEqual(packed.target.incarnation, self.slow[0])
        self.assertEqual(self.get_used(SHORT), {self.slow[0]})
        self.record(self.slow, 2 * SLOW, at=3.0)
        self.assertFalse(self.get_used(SHORT) & set(self.slow))

    def test_slow_engines_are_used_under_load(self):
        """A prompt that would wait elsewhere takes a slow engine."""
        for number, name in enumerate(NAMES[6:]):
            self.load_table.put(
                Flight(f'f{number}', name, 200_000, 9, Phase.prefill, 0)
            )
        self.assertTrue(self.get_used(SHORT) <= set(self.slow))


class BoundTest(Fixture):
    """A wrong measurement does not shut out an engine."""

    def test_highest_factor(self):
        self.record(NAMES[:1], 50.0)
        self.assertEqual(max(self.get_factors()), MAX_PACE)

    def test_expiry(self):
        self.record(NAMES[:1], SLOW)
        self.assertEqual(self.get_factors(now=4.0)[0], SLOW)
        self.assertEqual(self.get_factors(now=6.0)[0], 1)
        self.paces.expire(6.0)
        self.assertFalse(self.fleet.notices.get_all(Pace))

    def test_most_engines_seem_slow(self):
        """Then none is worse than another, but for one that is much slower."""
        self.record(NAMES[:12], SLOW)
        self.assertEqual(set(self.get_factors()), {1})
        self.record(NAMES[:1], 2 * SLOW, at=3.0)
        self.assertEqual(self.get_factors(now=3.0)[:2], [2, 1])

    def test_data_centres_are_compared_with_themselves(self):
        """The engines of another one don't make a slow one nominal."""
        for target in TARGETS[:6]:
            self.fleet.put(replace(target, data_centre='other', sequence=2))
        self.record(NAMES[6:], SLOW)
        self.record(NAMES[:1], SLOW)
        other = self.fleet.targets[NAMES[0]]
        self.assertEqual(self.paces.get_factor(other, 0.0), SLOW)

    def test_restart_is_nominal(self):
        again = replace(TARGETS[0], born=7)
        self.record(NAMES[:1], SLOW)
        self.fleet.put(again)
        self.assertEqual(self.paces.get_factor(again, 0.0), 1)


class NoticeTest(Fixture):
    """Which of two measurements counts, and which are told."""

    def test_lower_pace_counts_for_a_while(self):
        """One instance with a bad network does not overrule the others."""
        for factor, at, expected in (
            (3.0, 0.0, 3.0),
            (1.0, 1.0, None),
            (3.0, 2.0, None),
            (3.0, 3.5, 3.0),
            (1.0, 3.0, 3.0),
        ):
            self.record(NAMES[:1], factor, at)
            pace = self.paces.get_known(NAMES[0], at)
            self.assertEqual(pace and pace.factor, expected)

    def test_end_is_learnt(self):
        notices = self.fleet.notices
        changes = [
            notices.record('t', make_pace(factor, at))
            for at, factor in enumerate((1.0, 2.0, 1.0))
        ]
        self.assertEqual(
            changes,
            [NoticeChange.nothing, NoticeChange.learnt, NoticeChange.lifted],
        )

    def test_only_clear_changes_are_told(self):
        """Measurements vary with each pass: an entry measures 20 a second."""
        known = make_pace(2.0)
        self.assertIsNone(choose_update(None, make_pace(1.0)))
        self.assertIsNone(choose_update(known, make_pace(2.2, at=1.0)))
        renewed = choose_update(known, make_pace(2.2, at=2.5))
        self.assertEqual((renewed.factor, renewed.heard_at), (2.0, 2.5))
        for factor in (1.0, 1.5, 3.0):
            update = choose_update(known, make_pace(factor, at=1.0))
            self.assertEqual(update.factor, factor)
