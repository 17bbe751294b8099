"""Engines that the requests ahead need, and those that they can't use."""

import unittest
from dataclasses import replace

from tests.contending import ENGINE, GIANT
from tests.engines import TARGETS
from tests.test_relay_waiting_rows import make_row
from trestledock.relay import (
    Flight,
    Health,
    LoadTable,
    Phase,
    Placer,
    get_prefill_s,
    get_room,
    pick_needed,
)

GIANT_S = get_prefill_s(ENGINE, GIANT.tokens)
FLEET = TARGETS[:4]


def decode_at(number, name='f', pause_s=0.25):
    """Return a short answer of rank 0 that an engine decodes."""
    target = FLEET[number].incarnation
    return Flight(
        name, target, 5_000, 400, Phase.decode, 0, pause_s, 0.6, rank=0
    )


def prefill_at(number, tokens):
    target = FLEET[number].incarnation
    return Flight(f'p{number}', target, tokens, 9, Phase.prefill, 0, 1, 1)


class RoomTest(unittest.TestCase):
    """Four engines of six slots."""

    def setUp(self):
        self.load_table = LoadTable()

    def pick(self, *ahead, may_share=False, engines=4):
        """Return the numbers of the engines that requests ahead need."""
        estimator = Placer(self.load_table, Health(), '', 'dc').estimator
        loads = [
            estimator.estimate(ENGINE, target, 0) for target in FLEET[:engines]
        ]
        room = get_room(ENGINE, loads, ahead, local_only=False)
        needed = pick_needed(ENGINE, room, ahead, may_share=may_share)
        return [
            number
            for number, target in enumerate(FLEET)
            if target.incarnation in needed
        ]

    def test_small_requests_share_an_engine(self):
        """Guards against one idle engine kept for each waiting request."""
        row = make_row(count=6, work_s=6 * 0.028)
        self.assertEqual(len(self.pick(row)), 1)
        self.assertEqual(len(self.pick(row.take(2))), 1)
        self.assertEqual(self.pick(row.take(2), may_share=True), [])

    def test_small_requests_take_busy_engines_first(self):
        """Guards against idle engines that long prompts can't have."""
        self.load_table.put(decode_at(2))
        self.assertEqual(self.pick(make_row()), [2])

    def test_giant_needs_several_engines(self):
        """Its memory exceeds one engine."""
        row = make_row(work_s=GIANT_S)
        self.assertEqual(len(self.pick(row)), 2)

    def test_giant_that_cannot_start_keeps_no_engine(self):
        """Guards against idle engines kept until a giant has enough."""
        row = make_row(work_s=GIANT_S)
        self.assertEqual(self.pick(row, engines=1), [])

    def test_giant_keeps_no_engine_that_it_cannot_use(self):
        """Guards against short prompts that wait for a giant in vain.

        The giant would stop the answers there for longer than their callers
        accept.
        """
        for number in range(3):
            self.load_table.put(decode_at(number, f'f{number}'))
        self.assertEqual(self.pick(make_row(work_s=GIANT_S, rank=2)), [])

    def test_prefill_that_ends_in_time(self):
        """An engine is left to a short prompt that can wait for it.

        Guards against a prompt of 45,000 tokens that takes it just before.
        """
        for number in range(4):
            self.load_table.put(prefill_at(number, 90_000))
        row = make_row(until=0.2)
        self.assertEqual(self.pick(row), [])
        self.load_table.put(prefill_at(1, 30_000))
        self.assertEqual(self.pick(row), [1])

    def test_next_slot_of_full_engines(self):
        """Guards against less urgent requests that queue for the next slot."""
        for number in range(24):
            flight = decode_at(number % 4, f'f{number}', pause_s=1)
            self.load_table.put(flight)
        self.assertEqual(len(self.pick(make_row(count=2))), 2)

    def test_small_requests_stay_in_their_data_centre(self):
        loads = [
            replace(
                Placer(self.load_table, Health()).estimator.estimate(
                    ENGINE, FLEET[0], 0
                ),
                is_remote=True,
            )
        ]
        room = get_room(ENGINE, loads, [make_row()], local_only=True)
        self.assertEqual(room[0].slots, 0)
