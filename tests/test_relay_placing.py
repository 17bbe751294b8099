"""Placement of unlike lengths, on engines like those of the platform."""

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
    choose_least_busy,
    get_prefill_s,
)

SHORT = Work(PromptSize(5_000, 1_400), 0.3, 0.25, 1.3)
LONG = Work(PromptSize(133_000, 700), 2.5, 1.0, 10)
GIANT = Work(PromptSize(400_000, 700), 2.5, 1.0, 29)


class Fixture(unittest.TestCase):
    """An empty fleet of 18 engines."""

    def setUp(self):
        self.board = LoadTable()
        self.health = Health()
        self.placer = Placer(self.board, self.health)
        self.count = 0

    def place(self, work, now=0.0):
        return self.placer.place(work, ENGINE, TARGETS, now)

    def put(self, work, placement, phase=Phase.decode, now=0.0):
        self.count += 1
        self.board.put(
            Flight(
                f'f{self.count}',
                placement.target.target_id,
                work.size.prompt_tokens,
                work.size.output_tokens,
                phase,
                now,
                work.pause_s,
                work.worth,
                now + work.objective_s,
                tuple(one.target_id for one in placement.helpers),
                placement.reservations,
            )
        )


class ShortTest(Fixture):
    """Short requests share engines and leave others free."""

    def test_packed(self):
        """Thirty short requests take no more engines than they need."""
        for _ in range(30):
            self.put(SHORT, self.place(SHORT))
        used = {
            one.target_id
            for one in TARGETS
            if tuple(self.board.get_flights(one.target_id))
        }
        self.assertLessEqual(len(used), 6)

    def test_own_data_centre_first(self):
        """Short requests stay in their data centre while it has room."""
        near = replace(TARGETS[3], data_centre='near')
        targets = [*TARGETS[:3], near, *TARGETS[4:]]
        self.put(SHORT, self.place(SHORT))
        placer = Placer(self.board, self.health, 'e', 'near')
        found = placer.place(SHORT, ENGINE, targets, 0)
        self.assertEqual(found.target, near)

    def test_not_behind_a_long_read(self):
        """A short request keeps away from engines that read a long prompt."""
        placement = self.place(LONG)
        self.put(LONG, placement, Phase.prefill)
        busy = {placement.target, *placement.helpers}
        if len(busy) < len(TARGETS):
            self.assertNotIn(self.place(SHORT).target, busy)

    def test_failing_engine_is_avoided(self):
        """An engine that fails is left to others."""
        self.put(SHORT, self.place(SHORT))
        for _ in range(4):
            self.health.record_failure(self.place(SHORT).target.target_id, 0)
        self.assertLess(
            self.health.get(self.place(SHORT).target.target_id).failures, 0.3
        )


class LongTest(Fixture):
    """Long prompts are cut into parts where that helps."""

    def test_read_in_parts(self):
        """A long prompt on an idle fleet comes well within its objective."""
        placement = self.place(LONG)
        self.assertGreater(len(placement.helpers), 1)
        self.assertLess(placement.first_token_s, 1.2)

    def test_short_pauses_are_kept(self):
        """Parts on engines with short answers stay within their pauses."""
        for _ in range(40):
            self.put(SHORT, self.place(SHORT))
        placement = self.place(LONG)
        part_s = get_prefill_s(ENGINE, LONG.size.prompt_tokens) / (
            len(placement.helpers) + 1
        )
        for target in (placement.target, *placement.helpers):
            if tuple(self.board.get_flights(target.target_id)):
                self.assertLess(part_s, SHORT.pause_s)

    def test_memory_is_kept(self):
        """Two long prompts that don't fit together take two engines."""
        first = self.place(LONG)
        self.put(LONG, first)
        second = self.place(LONG)
        self.assertNotEqual(first.target, second.target)


class OverlapTest(Fixture):
    """Newer parts go before older ones at an engine (seen in reports)."""

    def test_long_prompts_keep_apart(self):
        """A second long prompt leaves the engines of the first alone."""
        first = self.place(LONG)
        self.put(LONG, first, Phase.prefill)
        second = self.place(LONG, now=0.1)
        taken = {first.target, *first.helpers}
        self.assertFalse(taken & {second.target, *second.helpers})

    def test_giant_shares_with_one_that_has_time(self):
        """A second giant takes engines of the first rather than be late."""
        self.put(GIANT, self.place(GIANT), Phase.prefill)
        second = self.place(GIANT, now=0.2)
        self.assertLess(second.first_token_s, GIANT.objective_s)

    def test_instances_choose_differently(self):
        """Two instances that choose at once rarely take the same engine."""
        firsts = {
            Placer(self.board, self.health, f'entry-{one}')
            .place(LONG, ENGINE, TARGETS, 0)
            .target
            for one in range(8)
        }
        self.assertGreater(len(firsts), 3)


class GiantTest(Fixture):
    """Prompts beyond one engine's memory."""

    def test_tickets_hold_the_rest(self):
        """The tickets and the first engine hold the whole prompt."""
        placement = self.place(GIANT)
        held = sum(tokens for _, tokens in placement.reservations)
        first = GIANT.size.total_tokens - held
        self.assertLessEqual(first, ENGINE.capacity_tokens)
        for _, tokens in placement.reservations:
            self.assertLessEqual(tokens, ENGINE.capacity_tokens)

    def test_none_without_memory(self):
        """While the memory is taken a giant is not placed at all."""
        for target in TARGETS:
            self.board.put(
                Flight(
                    target.target_id,
                    target.target_id,
                    220_000,
                    100,
                    Phase.decode,
                    0,
                )
            )
        self.assertIsNone(self.place(GIANT))


class PlainTest(Fixture):
    """Plain services."""

    def test_least_busy(self):
        """The target with the fewest requests is chosen."""
        for one in TARGETS[1:]:
            self.board.put(
                Flight(one.target_id, one.target_id, 0, 0, Phase.prefill, 0)
            )
        chosen = choose_least_busy(
            self.board, self.health, TARGETS, 0, lambda: 0.5
        )
        self.assertEqual(chosen, TARGETS[0])
