"""
Groups
======

Plans prompts that are larger than one engine's memory over several engines:
the ones with the most free memory, as many as the pool's share for giants
allows.  A group is reserved all or nothing, in the order of the engines' names,
so that two giants can't hold half each and wait.
"""

from dataclasses import dataclass

from trestledock.process._choosing import Candidate, Field
from trestledock.process._fleet import Target
from trestledock.process._guarding import take_hold
from trestledock.process._live import Live, Share
from trestledock.process._state import State
from trestledock.version import Pool

#: The part of an engine's free memory that a group may take.
GROUP_FILL = 0.9
#: Engines that a group may have whatever the pool's share is.
LEAST_GROUP = 2


@dataclass(frozen=True)
class Part:
    """The tokens of a giant prompt that one engine of a group takes."""

    target: Target
    tokens: int


def plan_group(
    state: State,
    live: Live,
    field: Field,
    now: float,
) -> tuple[Share, ...]:
    """Return the shares of a group, nothing where there is no room now."""
    if field.pool is None:
        return ()
    bound = get_group_bound(state, len(field.candidates), field.pool)
    parts = _split(live, field.candidates, bound)
    holds = [take_hold(state, part.target, now) for part in parts]
    if not all(holds):
        for hold in holds:
            state.hold_ids.release(hold)
        return ()
    shares = []
    start = 0
    for part, hold in zip(parts, holds):
        stop = min(live.goal, start + part.tokens)
        shares.append(Share(part.target.info.name, start, stop, hold))
        start = stop
    return tuple(shares)


def get_share(engines: int, pool: Pool) -> int:
    """Return how many of a pool's engines giants may take together."""
    return max(LEAST_GROUP, int(engines * pool.giant_share))


def get_group_bound(state: State, engines: int, pool: Pool) -> int:
    """Return how many engines another giant may take here now.

    Every instance of the data centre has its part of the pool's share; one
    that serves no giant may take the whole share for one.
    """
    share = get_share(engines, pool)
    held = count_giants(state)
    if not held:
        return share
    peers = state.fleet.get_live_peers(state.identity.data_centre)
    return share // (len(peers) + 1) - held


def count_giants(state: State) -> int:
    """Return how many engines are held for giants by this instance."""
    return sum(
        len(live.shares)
        for live in state.requests.values()
        if len(live.shares) > 1
    )


def _split(
    live: Live,
    candidates: tuple[Candidate, ...],
    bound: int,
) -> tuple[Part, ...]:
    """Split a giant over the engines with the most free memory.

    Returns nothing where `bound` engines don't suffice now.  Each part leaves
    room for the answer, because any may turn out to be the last.
    """
    ordered = sorted(
        candidates,
        key=lambda one: (-one.free_tokens, one.target.info.name),
    )
    left = live.goal
    parts = []
    for one in ordered[: max(0, bound)]:
        room = int(one.free_tokens * GROUP_FILL) - live.req.max_tokens
        if room <= 0:
            break
        parts.append(Part(one.target, min(left, room)))
        left -= room
        if left <= 0:
            return tuple(parts)
    return ()
