"""Targets' notices are respected whatever happens to entries.

Entries are cut off, killed, restarted and paused; targets drain, restart under
their ids, refuse all requests and ask for back-off, or report rate limits,
while the list always shows them as ready. Checked is what a target receives
from each entry that it has told.
"""

import unittest
from dataclasses import dataclass

import anyio
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.limiting import DRAIN_S, MAX_REQUESTS_IN_BACKOFF, run_fleet
from tests.relaying import make_route

ROUTE = make_route()
#: Requests a second at all entries together, and the duration of a notice, in
#: seconds.
RATE = 24
SLOT_S = 5
ENTRY = st.none() | st.integers(0, 8)
RESTS = st.sampled_from(['0', '0.3', '1', '2.5', '4', '30'])


@dataclass(frozen=True)
class Slot:
    """Events within some seconds: those of targets, then those of entries."""

    leaving: tuple
    resting: tuple
    rest: str
    limited: int | None
    cut: tuple
    killed: int | None
    deaf: int | None
    started: int | None


def draw_slots():
    numbers = st.lists(st.integers(0, 3), max_size=2).map(tuple)
    cuts = st.lists(st.integers(0, 8), max_size=3).map(tuple)
    slot = st.builds(
        Slot, numbers, numbers, RESTS, ENTRY, cuts, ENTRY, ENTRY, ENTRY
    )
    return st.lists(slot, min_size=2, max_size=3)


def restart_target(fleet, number):
    """Restart a target under its id, as the list shows at once."""
    target = fleet.targets[number]
    target.born += 1
    target.leaves = ''
    target.drain_told_at.clear()
    for entry in fleet.entries:
        entry.state.fleet.put(target.get_listed())


async def play(fleet, slots):
    """Run some slots; return the maximum lateness and requests in back-off."""
    latest = [0]
    count = len(fleet.entries)
    for slot in slots:
        for number in slot.leaving:
            fleet.targets[number % len(fleet.targets)].drain()
        for number in slot.resting:
            fleet.targets[number % len(fleet.targets)].reject_all(slot.rest)
        if slot.limited is not None:
            fleet.targets[slot.limited % len(fleet.targets)].set_rate_limit(1)
        async with anyio.create_task_group() as group:
            group.start_soon(fleet.ask_for, SLOT_S, RATE / count)
            await anyio.sleep(1)
            fleet.cut = {number % count for number in slot.cut}
            if slot.deaf is not None:
                deaf = fleet.entries[slot.deaf % count]
                group.start_soon(deaf.stand_still_for, 2.5)
            if slot.killed is not None:
                await fleet.restart(slot.killed % count, 1)
        fleet.cut = set()
        for target in fleet.targets:
            target.reject_all('')
            target.set_rate_limit(None)
            latest.append(target.get_late_s())
        if slot.started is not None:
            restart_target(fleet, slot.started % len(fleet.targets))
    return max(latest), max(
        target.get_max_in_backoff() for target in fleet.targets
    )


class NoticePropertyTest(unittest.TestCase):
    """Small fleets with disturbances."""

    # Guards against any sequence of events after which a notice is forgotten.
    @given(st.integers(2, 9), st.integers(1, 4), draw_slots(), st.integers(0))
    @settings(max_examples=25)
    def test_notices_are_respected(self, entries, targets, slots, seed):
        async def scenario(fleet):
            return await play(fleet, slots)

        late_s, most = run_fleet(
            scenario, [ROUTE], entries=entries, targets=targets, seed=seed
        )
        self.assertLessEqual(late_s, DRAIN_S)
        self.assertLessEqual(most, MAX_REQUESTS_IN_BACKOFF)


class BackoffBeforeRestartTest(unittest.TestCase):
    """One target, which asks for back-off and then restarts under its id."""

    # Guards against 7 requests in a back-off, where at most 2 are right.
    def test_backoff_before_restart(self):
        slots = [
            Slot((), (0,), '1', None, (), None, None, 0),
            Slot((), (), '0', None, (), None, None, None),
        ]

        async def scenario(fleet):
            return await play(fleet, slots)

        late_s, most = run_fleet(
            scenario, [ROUTE], entries=2, targets=1, seed=0
        )
        self.assertLessEqual(late_s, DRAIN_S)
        self.assertLessEqual(most, MAX_REQUESTS_IN_BACKOFF)
