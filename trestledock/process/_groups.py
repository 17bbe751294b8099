"""
Engine groups
=============

Divides giant prompts, which exceed one engine's memory, among several engines:
those with the most free memory, up to the pool's limit for giants.  A group is
reserved all or nothing, in the order of the engines' names, so that two giants
can't deadlock with half of the engines each.
"""

from dataclasses import dataclass

from trestledock.process._fleet import Target
from trestledock.process._live_request import LiveRequest, Share
from trestledock.process._reservation_watch import allocate_reservation
from trestledock.process._selection import Candidate, CandidateSet
from trestledock.process._state import State
from trestledock.version import Pool

#: The fraction of an engine's free memory that a group may use.
MAX_GROUP_FILL = 0.9
#: The minimum of a pool's limit on engines for giants.
MIN_GROUP_LIMIT = 2


@dataclass(frozen=True)
class GroupPart:
    """The part of a giant prompt that one engine of a group prefills."""

    target: Target
    tokens: int


def plan_group(
    state: State,
    live: LiveRequest,
    candidate_set: CandidateSet,
    now: float,
) -> tuple[Share, ...]:
    """Return the shares of a group, or nothing without enough capacity."""
    if candidate_set.pool is None:
        return ()
    limit = get_group_limit(
        state, len(candidate_set.candidates), candidate_set.pool
    )
    parts = _split_prompt(live, candidate_set.candidates, limit)
    holds = [allocate_reservation(state, part.target, now) for part in parts]
    if not all(holds):
        for hold in holds:
            state.reservation_ids.release(hold)
        return ()
    shares = []
    start = 0
    for part, hold in zip(parts, holds):
        stop = min(live.prefill_stop, start + part.tokens)
        shares.append(Share(part.target.info.name, start, stop, hold))
        start = stop
    return tuple(shares)


def get_giant_engine_limit(engines: int, pool: Pool) -> int:
    """Return how many engines of a pool all giants together may use."""
    return max(MIN_GROUP_LIMIT, int(engines * pool.giant_share))


def get_group_limit(state: State, engines: int, pool: Pool) -> int:
    """Return how many engines this instance may use for another giant.

    The instances of the data centre divide the pool's limit equally, but an
    instance without a giant may use the whole limit for one.
    """
    limit = get_giant_engine_limit(engines, pool)
    used = count_giant_engines(state)
    if not used:
        return limit
    peers = state.fleet.get_live_peers(state.identity.data_centre)
    return limit // (len(peers) + 1) - used


def count_giant_engines(state: State) -> int:
    """Return how many engines this instance uses for giants."""
    return sum(
        len(live.shares)
        for live in state.requests.values()
        if len(live.shares) > 1
    )


def _split_prompt(
    live: LiveRequest,
    candidates: tuple[Candidate, ...],
    limit: int,
) -> tuple[GroupPart, ...]:
    """Split a giant among the engines with the most free memory.

    Returns nothing if `limit` engines don't suffice.  Each part leaves room for
    the response, because any part may turn out to be the last.
    """
    ordered = sorted(
        candidates,
        key=lambda candidate: (
            -candidate.free_tokens,
            candidate.target.info.name,
        ),
    )
    remaining_tokens = live.prefill_stop
    parts = []
    for candidate in ordered[: max(0, limit)]:
        usable_tokens = (
            int(candidate.free_tokens * MAX_GROUP_FILL) - live.req.max_tokens
        )
        if usable_tokens <= 0:
            break
        parts.append(
            GroupPart(candidate.target, min(remaining_tokens, usable_tokens))
        )
        remaining_tokens -= usable_tokens
        if remaining_tokens <= 0:
            return tuple(parts)
    return ()
