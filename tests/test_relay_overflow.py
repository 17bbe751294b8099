"""Short prompts of a data centre that is full, beside one with idle engines.

Guards against short prompts that are late although others have room, and
against a data centre that gets all waiting prompts of another one at once.
"""

import unittest
from dataclasses import replace

from tests.engines import SMALL_ENGINE as ENGINE
from tests.test_relay_remote_load import FAR, FAR_TARGETS, NEAR, make_prefill
from trestledock.relay import (
    Flight,
    Health,
    LoadTable,
    OverflowRule,
    Phase,
    Placement,
    PlacementRequest,
    Placer,
    PromptSize,
    RemoteEngine,
    Timing,
    Unplaced,
    choose_overflow,
    may_gain_by_overflow,
)

#: Entries of a data centre, and slots of the other one that prompts may use.
ENTRIES = 9
SLOTS = len(FAR_TARGETS) * (ENGINE.batch - 1)
ALLOWED = SLOTS // 4


def make_request(objective_s=0.3, tokens=5_000):
    timing = Timing(0.0, objective_s, 2.0, 10.0)
    return PlacementRequest('r', PromptSize(tokens, 700), timing, 0.2)


class EntryView:
    """What an entry knows of the other data centre."""

    def __init__(self, others=0):
        self.others = others
        self.load_table = LoadTable()
        self.placer = Placer(self.load_table, Health(), 'e', NEAR)
        self.sent = []

    def get_engine(self, target):
        name = target.incarnation
        return RemoteEngine(
            target,
            others=self.others,
            near=self.load_table.count_direct(name),
            own=self.sent.count(name),
        )

    def choose(self, request=None, targets=FAR_TARGETS):
        engines = [self.get_engine(target) for target in targets]
        rule = OverflowRule(ENGINE, ENTRIES)
        request = request or make_request()
        return choose_overflow(request, self.placer, rule, [engines], 0.0)

    def send(self, name, target, phase=Phase.decode):
        self.sent.append(target)
        self.hear(name, target, phase)

    def hear(self, name, target, phase=Phase.decode):
        self.load_table.put(Flight(name, target, 5_000, 700, phase, 0.0, 0.2))


def flood(entries, *, heard):
    """Send prompts from all entries until none may; return their number."""
    sent = 0
    is_sending = True
    while is_sending:
        is_sending = False
        for entry in entries:
            chosen = entry.choose()
            if chosen is None:
                continue
            is_sending = True
            sent += 1
            name = chosen.target.incarnation
            entry.send(f'r{sent}', name)
            for other in entries if heard else ():
                other.hear(f'r{sent}', name)
    return sent


class BoundTest(unittest.TestCase):
    """A whole data centre of waiting prompts, with an answer each."""

    def test_idle_data_centre(self):
        """Each has an equal part, also while none hears of the others."""
        for heard in (False, True):
            entries = [EntryView() for _ in range(ENTRIES)]
            sent = flood(entries, heard=heard)
            self.assertEqual(sent, ALLOWED // ENTRIES * ENTRIES)

    def test_busy_data_centre(self):
        """A quarter of the free slots, or one each while none hears."""
        entries = [EntryView(others=ENGINE.batch - 2) for _ in range(ENTRIES)]
        free = len(FAR_TARGETS)
        self.assertEqual(flood(entries, heard=False), ENTRIES)
        again = [EntryView(others=ENGINE.batch - 2) for _ in range(ENTRIES)]
        self.assertEqual(flood(again, heard=True), free // 4)

    def test_full_data_centre(self):
        """The last slot of each engine stays free."""
        self.assertIsNone(EntryView(others=ENGINE.batch - 1).choose())

    def test_full_engine(self):
        """One that has the data centre's own share takes no more."""
        entry = EntryView(others=ENGINE.batch - 2)
        first, *others = FAR_TARGETS
        entry.hear('x', first.incarnation)
        engines = [entry.get_engine(target) for target in FAR_TARGETS]
        rule = OverflowRule(ENGINE, ENTRIES)
        self.assertEqual(
            rule.pick_targets([*engines, *engines]), (*others, *others)
        )


class ChoiceTest(unittest.TestCase):
    """Which prompts go, and where."""

    def test_idle_engine(self):
        chosen = EntryView().choose()
        self.assertEqual(chosen.target.data_centre, FAR)

    def test_engines_where_it_would_lose(self):
        """It stays where the other data centre is busy with prefill, too."""
        entry = EntryView()
        for number, target in enumerate(FAR_TARGETS):
            entry.load_table.put(make_prefill(number, target))
        self.assertIsNone(entry.choose())

    def test_time_on_the_way(self):
        """An objective that only a local engine meets."""
        entry = EntryView()
        near = [replace(target, data_centre=NEAR) for target in FAR_TARGETS]
        only_near = []
        for left_ms in range(50, 300, 2):
            request = make_request(left_ms / 1000)
            local = request.choose(entry.placer, ENGINE, near, 0.0)
            is_good = not may_gain_by_overflow(request, local, 0.0)
            if is_good and entry.choose(request) is None:
                only_near.append(left_ms)
        self.assertAlmostEqual(len(only_near) * 2, 20, delta=2)

    def test_prompts_that_look(self):
        """Small ones that would lose something and still have time."""
        free = Placement(FAR_TARGETS[0], first_token_s=0.1, cost=0.05)
        late = replace(free, cost=0.5)
        short = make_request()
        for request, chosen, expected in (
            (short, free, False),
            (short, late, True),
            (short, replace(free, first_token_s=0.2, cost=0.15), False),
            (short, None, True),
            (short, Unplaced('wait'), True),
            (make_request(objective_s=0.01), late, False),
            (make_request(tokens=100_000), late, False),
        ):
            with self.subTest(request=request, chosen=chosen):
                self.assertIs(
                    may_gain_by_overflow(request, chosen, 0.0), expected
                )
