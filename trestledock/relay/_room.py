"""
Room at engines
===============

Which engines the waiting requests ahead of another one can use now without a
loss to any request, and which of them they need.  A request ahead that could
not use the free engines needs none of them, so that no engine stays idle for
it.
"""

from dataclasses import dataclass
from math import ceil, sqrt
from typing import Iterable, Iterator, Sequence

from trestledock.relay._catalog import EngineModel
from trestledock.relay._engine_load import MEMORY_SHARE, EngineLoad
from trestledock.relay._waiting_rows import SMALL_WORK_S, WaitingRow

#: The loss of others, in units of worth, below which an engine has room.
#: Placement neglects such a cost too.
MAX_LOSS = 0.1
#: The most seconds of a long prompt's prefill that one engine counts for: a
#: prompt of 45,000 tokens that comes meanwhile must still be in time (1.5 s).
MAX_CHUNK_S = 1.0
#: An engine whose prefill ends within this time, in seconds, has room for
#: small requests that wait: the shortest prompts are due after 0.27 s and wait
#: for up to 0.13 s, while a prompt of 45,000 tokens takes the engine for 0.25 s.
SMALL_WAIT_S = 0.1
#: The slots of a full engine that are left to waiting requests: whoever is sent
#: there takes the next slot that an answer leaves.
NEXT_SLOTS = 1


@dataclass(frozen=True)
class EngineRoom:
    """The room of an engine: `slots` for small requests, or all for a long one.

    `is_free` is true if a long prompt can use the engine.  `order` is that in
    which small requests take engines, as placement packs them.
    """

    name: str
    slots: int
    is_free: bool
    order: tuple[bool, int]


def get_room(
    engine: EngineModel,
    loads: Iterable[EngineLoad],
    ahead: Sequence[WaitingRow],
    *,
    local_only: bool,
) -> list[EngineRoom]:
    """Return the room of engines for the requests ahead.

    With `local_only`, small requests stay in their data centre.
    """
    small_s = _get_mean_s([row for row in ahead if row.is_small])
    long_s = _get_mean_s([row for row in ahead if not row.is_small])
    return [
        EngineRoom(
            load.target.incarnation,
            0
            if local_only and load.is_remote
            else _count_slots(engine, load, small_s),
            _is_free(engine, load, long_s),
            order=(load.count >= engine.batch, -load.count),
        )
        for load in loads
    ]


def pick_needed(
    engine: EngineModel,
    room: Sequence[EngineRoom],
    ahead: Sequence[WaitingRow],
    *,
    may_share: bool,
) -> frozenset[str]:
    """Return the engines that the requests ahead need.

    Small requests take the engines on which other requests decode first, as
    placement does.  One of which they need only some slots counts as needed
    unless the request behind may share it.
    """
    small_count = sum(row.count for row in ahead if row.is_small)
    spots = sorted(room, key=lambda spot: spot.order)
    needed = set(_pick_slots(spots, small_count, may_share=may_share))
    free = [
        spot.name for spot in spots if spot.is_free and spot.name not in needed
    ]
    count = _count_needed(engine, ahead, len(free))
    return frozenset(needed.union(free[:count]))


def _pick_slots(
    spots: Iterable[EngineRoom], count: int, *, may_share: bool
) -> Iterator[str]:
    """Yield the engines whose slots some small requests need."""
    left = count
    for spot in spots:
        if left <= 0:
            return
        if spot.slots and (left >= spot.slots or not may_share):
            yield spot.name
        left -= spot.slots


def _count_needed(
    engine: EngineModel, ahead: Iterable[WaitingRow], free: int
) -> int:
    """Return how many of the free engines the long prompts ahead can use.

    A prompt that needs more engines than are free can use none of them.
    """
    needed = 0
    for row in ahead:
        if not row.is_small:
            each = _count_engines_each(engine, row.mean_work_s)
            needed += min(row.count, (free - needed) // each) * each
    return needed


def _count_engines_each(engine: EngineModel, work_s: float) -> int:
    """Return how many engines a long prompt needs for memory and prefill."""
    capacity = engine.capacity_tokens * MEMORY_SHARE
    holders = ceil(_get_tokens(engine, work_s) / capacity)
    return max(1, holders, ceil(work_s / MAX_CHUNK_S))


def _get_tokens(engine: EngineModel, work_s: float) -> float:
    """Return the length of a prompt by its prefill time.

    This is the inverse of `get_prefill_s`.
    """
    if not engine.pair_s:
        return work_s * engine.read_rate
    linear = 1 / engine.read_rate
    return (sqrt(linear**2 + 2 * engine.pair_s * work_s) - linear) / (
        engine.pair_s
    )


def _get_mean_s(rows: Sequence[WaitingRow]) -> float:
    count = sum(row.count for row in rows)
    return sum(row.work_s for row in rows) / count if count else 0


def _count_slots(engine: EngineModel, load: EngineLoad, work_s: float) -> int:
    """Return how many small requests an engine can take at once.

    They are no more than can be prefilled one after another before a long
    prompt would be, so that the last of them is in time.
    """
    slots = max(engine.batch - load.count, NEXT_SLOTS)
    if work_s <= 0 or not _has_room(engine, load, work_s):
        return 0
    pending_s = max(0, load.pending_prefill_s - SMALL_WAIT_S)
    return max(0, min(slots, int((SMALL_WORK_S - pending_s) / work_s)))


def _is_free(engine: EngineModel, load: EngineLoad, work_s: float) -> bool:
    """Return whether a long prompt can use an engine, alone or with others."""
    if work_s <= 0 or load.pending_prefill_s or load.count >= engine.batch:
        return False
    count = _count_engines_each(engine, work_s)
    return _has_room(engine, load, work_s / count)


def _has_room(engine: EngineModel, load: EngineLoad, work_s: float) -> bool:
    if load.free_tokens < _get_tokens(engine, work_s):
        return False
    return load.get_cost_to_others(work_s) < MAX_LOSS
