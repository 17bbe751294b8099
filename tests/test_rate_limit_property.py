"""
Property test: a target gets no more requests than its rate limit allows.

Entries are cut off, killed, restarted and suspended for a while; targets set
rate limits, change and withdraw them, and send invalid ones.  All requests at a
target are counted, in periods with an unchanged limit.
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
#: The shortest time for which a limit stays unchanged, in seconds.
SLOT_S = 8
NAMES = st.sampled_from([0, 0.2, 1, 3, 10, None, 'x', 0.2, 1])
SLOTS = st.lists(st.integers(0, 8), max_size=3)


@dataclass(frozen=True)
class Slot:
    """The events of one period: a limit, then faults of entries."""

    name: object
    cut: tuple
    killed: int | None
    deaf: int | None


def draw_slots():
    entry = st.none() | st.integers(0, 8)
    slot = st.builds(Slot, NAMES, SLOTS.map(tuple), entry, entry)
    return st.lists(slot, min_size=2, max_size=3)


async def play(fleet, slots):
    """Run through some slots; return the excess over each limit."""
    over = []
    target = fleet.targets[0]
    count = len(fleet.entries)
    for slot in slots:
        target.set_rate_limit(slot.name)
        started_at = anyio.current_time()
        async with anyio.create_task_group() as group:
            group.start_soon(fleet.ask_for, SLOT_S, RATE / count)
            await anyio.sleep(1)
            fleet.cut = {number % count for number in slot.cut}
            if slot.deaf is not None:
                deaf = fleet.entries[slot.deaf % count]
                group.start_soon(deaf.stand_still_for, 2.5)
            if slot.killed is not None:
                await fleet.restart(slot.killed % count, 2)
        fleet.cut = set()
        if isinstance(slot.name, int | float):
            since = started_at + LIMIT_EFFECT_S
            most = target.get_max(target.count, since, started_at + SLOT_S)
            over.append(most - get_allowed(slot.name))
    return over


class RateLimitPropertyTest(unittest.TestCase):
    """Small fleets with faults."""

    @given(st.integers(2, 9), st.integers(1, 3), draw_slots(), st.integers(0))
    @settings(max_examples=25)
    def test_no_more_than_asked_for(self, entries, targets, slots, seed):
        async def scenario(fleet):
            return await play(fleet, slots)

        over = run_fleet(
            scenario, [ROUTE], entries=entries, targets=targets, seed=seed
        )
        self.assertLessEqual(max(over, default=-inf), 0)
