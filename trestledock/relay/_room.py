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

from trestledock.relay._admission import WAIT_COST_SHARE
from trestledock.relay._call import PromptSize
from trestledock.relay._catalog import EngineModel
from trestledock.relay._engine_load import MEMORY_SHARE, EngineLoad, Newcomer
from trestledock.relay._waiting_rows import SMALL_WORK_S, WaitingRow
from trestledock.relay._worth import get_worth

#: The most seconds of a long prompt's prefill that one engine counts for: a
#: prompt of 45,000 tokens that comes meanwhile must still be in time (1.5 s).
MAX_CHUNK_S = 1.0
#: The least prefill that a small request counts for, in seconds.
MIN_WORK_S = 0.01
#: The slots of a full engine that are left to waiting requests: whoever is sent
#: there takes the next slot that an answer leaves.
NEXT_SLOTS = 1


@dataclass(frozen=True)
class _Claim:
    """What a typical request ahead needs of one engine.

    It has the means of some rows, their most urgent rank, and the instant
    `until` from which on none of them can be in time.
    """

    work_s: float
    tokens: float
    until: float
    newcomer: Newcomer

    def can_use(self, load: EngineLoad) -> bool:
        """Return whether the request would be in time and cost others little.

        A cost that it would not wait to avoid is little.
        """
        is_late = load.now + load.pending_prefill_s > self.until
        if is_late or load.free_tokens < self.tokens:
            return False
        cost = load.get_cost_to_others(self.work_s, self.newcomer)
        cost += load.get_cost_to_urgent(self.work_s, self.newcomer)
        return cost <= self.newcomer.worth * WAIT_COST_SHARE


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
    small = _make_claim(engine, [row for row in ahead if row.is_small])
    long = _make_claim(engine, [row for row in ahead if not row.is_small])
    return [
        EngineRoom(
            load.target.incarnation,
            0
            if local_only and load.is_remote
            else _count_slots(engine, load, small),
            _is_free(engine, load, long),
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
    placement does.  An engine of which they need only some slots counts as
    needed unless the request behind them may share it.
    """
    small_count = sum(row.count for row in ahead if row.is_small)
    ordered = sorted(room, key=lambda each: each.order)
    needed = set(_pick_slots(ordered, small_count, may_share=may_share))
    free = [
        each.name
        for each in ordered
        if each.is_free and each.name not in needed
    ]
    count = _count_needed(engine, ahead, len(free))
    return frozenset(needed.union(free[:count]))


def _pick_slots(
    room: Iterable[EngineRoom], count: int, *, may_share: bool
) -> Iterator[str]:
    """Yield the engines whose slots some small requests need."""
    left = count
    for each in room:
        if left <= 0:
            return
        if each.slots and (left >= each.slots or not may_share):
            yield each.name
        left -= each.slots


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


def _make_claim(
    engine: EngineModel, rows: Sequence[WaitingRow]
) -> _Claim | None:
    count = sum(row.count for row in rows)
    if not count:
        return None
    work_s = sum(row.work_s for row in rows) / count
    each_s = work_s / _count_engines_each(engine, work_s)
    tokens = _get_tokens(engine, each_s)
    return _Claim(
        each_s,
        tokens,
        max(row.until for row in rows),
        Newcomer(
            min(row.rank for row in rows),
            get_worth(PromptSize(round(tokens), 0)),
        ),
    )


def _count_slots(
    engine: EngineModel, load: EngineLoad, claim: _Claim | None
) -> int:
    """Return how many small requests an engine can take at once.

    They are no more than can be prefilled one after another before a long
    prompt would be, so that the last of them is in time.
    """
    if claim is None or not claim.can_use(load):
        return 0
    slots = max(engine.batch - load.count, NEXT_SLOTS)
    return max(1, min(slots, int(SMALL_WORK_S / max(claim.work_s, MIN_WORK_S))))


def _is_free(
    engine: EngineModel, load: EngineLoad, claim: _Claim | None
) -> bool:
    """Return whether a long prompt can use an engine, alone or with others."""
    if claim is None or load.count >= engine.batch:
        return False
    return claim.can_use(load)
