"""
Whatever happens to entries and limits, a target gets no more than it asked for.

Entries are cut off, killed, started again and made deaf for a while; targets
name numbers, change them, take them back and say what makes no sense.  Counted
is all that a target gets, in stretches in which it named one number throughout.
"""

import unittest
from dataclasses import dataclass
from math import inf

import anyio
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.limiting import LIMIT_EFFECT_S, get_allowed, run_fleet
from tests.relaying import make_route

ROUTE = make_route()
#: Requests a second at all entries together.
RATE = 24
#: For how long what was named holds at least, in seconds.
HOLDS_S = 8
NAMES = st.sampled_from([0, 0.2, 1, 3, 10, None, 'x', 0.2, 1])
SLOTS = st.lists(st.integers(0, 8), max_size=3)


@dataclass(frozen=True)
class Slot:
    """What happens within some seconds: to limits, then to entries."""

    name: object
    cut: tuple
    killed: int | None
    deaf: int | None


def draw_slots():
    entry = st.none() | st.integers(0, 8)
    slot = st.builds(Slot, NAMES, SLOTS.map(tuple), entry, entry)
    return st.lists(slot, min_size=2, max_size=3)


async def play(fleet, slots):
    """Live through some slots; return how far each limit was passed."""
    over = []
    target = fleet.targets[0]
    count = len(fleet.entries)
    for slot in slots:
        target.name(slot.name)
        began_at = anyio.current_time()
        async with anyio.create_task_group() as group:
            group.start_soon(fleet.ask_for, HOLDS_S, RATE / count)
            await anyio.sleep(1)
            fleet.cut = {one % count for one in slot.cut}
            if slot.deaf is not None:
                deaf = fleet.entries[slot.deaf % count]
                group.start_soon(deaf.stand_still_for, 2.5)
            if slot.killed is not None:
                await fleet.restart(slot.killed % count, 2)
        fleet.cut = set()
        if isinstance(slot.name, int | float):
            since = began_at + LIMIT_EFFECT_S
            most = target.get_most(target.count, since, began_at + HOLDS_S)
            over.append(most - get_allowed(slot.name))
    return over


class RateLimitPropertyTest(unittest.TestCase):
    """Small fleets, disturbed."""

    @given(st.integers(2, 9), st.integers(1, 3), draw_slots(), st.integers(0))
    @settings(max_examples=25)
    def test_no_more_than_asked_for(self, entries, targets, slots, seed):
        async def scenario(fleet):
            return await play(fleet, slots)

        over = run_fleet(
            scenario, [ROUTE], entries=entries, targets=targets, seed=seed
        )
        self.assertLessEqual(max(over, default=-inf), 0)
