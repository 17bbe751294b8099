"""Placement of prompts of different lengths on engines like the platform's."""

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
    choose_least_busy,
    get_prefill_s,
)

SHORT = Work(PromptSize(5_000, 1_400), 0.3, 0.25, 1.3)
LONG = Work(PromptSize(133_000, 700), 2.5, 1.0, 10)
GIANT = Work(PromptSize(400_000, 700), 2.5, 1.0, 29)


class Fixture(unittest.TestCase):
    """An idle fleet of 18 engines."""

    def setUp(self):
        self.load_table = LoadTable()
        self.health = Health()
        self.placer = Placer(self.load_table, self.health)
        self.count = 0

    def place(self, work, now=0.0):
        return self.placer.place(work, ENGINE, TARGETS, now)

    def put(self, work, placement, phase=Phase.decode, now=0.0):
        self.count += 1
        self.load_table.put(
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
                tuple(helper.target_id for helper in placement.helpers),
                placement.reservations,
            )
        )


class ShortTest(Fixture):
    """Short requests share engines and leave others free."""

    def test_packed(self):
        """Thirty short requests use no more engines than necessary."""
        for _ in range(30):
            self.put(SHORT, self.place(SHORT))
        used = {
            target.target_id
            for target in TARGETS
            if tuple(self.load_table.get_flights(target.target_id))
        }
        self.assertLessEqual(len(used), 6)

    def test_own_data_centre_first(self):
        """Short requests stay in their data centre while it has room."""
        local = replace(TARGETS[3], data_centre='near')
        targets = [*TARGETS[:3], local, *TARGETS[4:]]
        self.put(SHORT, self.place(SHORT))
        placer = Placer(self.load_table, self.health, 'e', 'near')
        placement = placer.place(SHORT, ENGINE, targets, 0)
        self.assertEqual(placement.target, local)

    def test_not_beside_long_prefill(self):
        """A short request avoids engines that prefill a long prompt."""
        placement = self.place(LONG)
        self.put(LONG, placement, Phase.prefill)
        busy = {placement.target, *placement.helpers}
        if len(busy) < len(TARGETS):
            self.assertNotIn(self.place(SHORT).target, busy)

    def test_failing_engine_is_avoided(self):
        """A failing engine is avoided."""
        self.put(SHORT, self.place(SHORT))
        for _ in range(4):
            self.health.record_failure(self.place(SHORT).target.target_id, 0)
        self.assertLess(
            self.health.get(self.place(SHORT).target.target_id).failures, 0.3
        )


class LongTest(Fixture):
    """Long prompts are split into chunks if that helps."""

    def test_split_into_chunks(self):
        """On an idle fleet a long prompt is well within its objective."""
        placement = self.place(LONG)
        self.assertGreater(len(placement.helpers), 1)
        self.assertLess(placement.first_token_s, 1.2)

    def test_short_pauses_are_kept(self):
        """Chunks beside short answers stay within their allowed pauses."""
        for _ in range(40):
            self.put(SHORT, self.place(SHORT))
        placement = self.place(LONG)
        chunk_s = get_prefill_s(ENGINE, LONG.size.prompt_tokens) / (
            len(placement.helpers) + 1
        )
        for target in (placement.target, *placement.helpers):
            if tuple(self.load_table.get_flights(target.target_id)):
                self.assertLess(chunk_s, SHORT.pause_s)

    def test_memory_suffices(self):
        """Two long prompts that don't fit together take two engines."""
        first = self.place(LONG)
        self.put(LONG, first)
        second = self.place(LONG)
        self.assertNotEqual(first.target, second.target)


class OverlapTest(Fixture):
    """Newer chunks go before older ones at an engine (seen in reports)."""

    def test_long_prompts_keep_apart(self):
        """A second long prompt avoids the engines of the first."""
        first = self.place(LONG)
        self.put(LONG, first, Phase.prefill)
        second = self.place(LONG, now=0.1)
        engaged = {first.target, *first.helpers}
        self.assertFalse(engaged & {second.target, *second.helpers})

    def test_giant_prompts_share_engines(self):
        """A second giant prompt shares engines with the first to be in time."""
        self.put(GIANT, self.place(GIANT), Phase.prefill)
        second = self.place(GIANT, now=0.2)
        self.assertLess(second.first_token_s, GIANT.objective_s)

    def test_instances_choose_differently(self):
        """Instances that choose at once rarely take the same engine."""
        primaries = {
            Placer(self.load_table, self.health, f'entry-{number}')
            .place(LONG, ENGINE, TARGETS, 0)
            .target
            for number in range(8)
        }
        self.assertGreater(len(primaries), 3)


class GiantTest(Fixture):
    """Prompts that exceed the memory of one engine."""

    def test_reservations(self):
        """The reservations and the primary engine hold the whole prompt."""
        placement = self.place(GIANT)
        reserved = sum(tokens for _, tokens in placement.reservations)
        first = GIANT.size.total_tokens - reserved
        self.assertLessEqual(first, ENGINE.capacity_tokens)
        for _, tokens in placement.reservations:
            self.assertLessEqual(tokens, ENGINE.capacity_tokens)

    def test_none_without_memory(self):
        """While the memory is occupied a giant prompt is not placed."""
        for target in TARGETS:
            self.load_table.put(
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
        for target in TARGETS[1:]:
            self.load_table.put(
                Flight(
                    target.target_id, target.target_id, 0, 0, Phase.prefill, 0
                )
            )
        chosen = choose_least_busy(
            self.load_table, self.health, TARGETS, 0, lambda: 0.5
        )
        self.assertEqual(chosen, TARGETS[0])
