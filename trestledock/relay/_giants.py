"""
Placement of giant prompts
==========================

Prompts that exceed the memory of one engine reserve equal shares of it at
several engines, all or nothing.
"""

from dataclasses import replace

from trestledock.relay._chunked_prefill import (
    HELPER_COUNTS,
    finish_plan,
    pick_helpers,
)
from trestledock.relay._engine_load import EngineLoad
from trestledock.relay._placement_cost import Placement, Problem


def place_giant(problem: Problem) -> Placement | None:
    """Spread the memory of a prompt over reservations at several engines.

    The engines with the most free memory hold it in equal shares; other engines
    only prefill.  Return None while the free memory does not suffice.
    """
    holders = _pick_holders(problem)
    if not holders:
        return None
    options = [
        _plan_giant(problem, holders, count)
        for count in HELPER_COUNTS
        if len(holders) <= count + 1 <= len(problem.loads)
    ]
    best = min(options, key=lambda option: option.cost, default=None)
    if best is None:
        best = _plan_giant(problem, holders, len(holders) - 1)
    share = _get_share(problem, len(holders))
    reservations = tuple(
        (load.target.incarnation, share) for load in holders[1:]
    )
    return replace(best, reservations=reservations)


def _plan_giant(
    problem: Problem,
    holders: tuple[EngineLoad, ...],
    helper_count: int,
) -> Placement:
    chunk_s = problem.prefill_s / (helper_count + 1)
    extra = helper_count + 1 - len(holders)
    helpers = pick_helpers(problem, holders, chunk_s)[:extra]
    return finish_plan(problem, holders[0], [*holders[1:], *helpers], chunk_s)


def _pick_holders(problem: Problem) -> tuple[EngineLoad, ...]:
    """Return the fewest engines that can hold a prompt in equal shares."""

    def order_of(load: EngineLoad) -> tuple[float, float]:  # noqa: WPS430
        return load.pending_prefill_s, -load.free_tokens

    engines = sorted(problem.loads, key=order_of)
    for count in range(2, len(engines) + 1):
        share = _get_share(problem, count)
        candidates = [load for load in engines if load.free_tokens >= share]
        if len(candidates) >= count:
            return tuple(candidates[:count])
    return ()


def _get_share(problem: Problem, count: int) -> int:
    """Return the tokens that each of `count` engines holds."""
    return -(-problem.work.size.total_tokens // count)
