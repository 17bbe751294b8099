"""
Placing giants
==============

Prompts beyond one engine's memory: their memory is held in tickets of equal
size at several engines, all or nothing.
"""

from dataclasses import replace

from trestledock.relay._parts import (
    HELPER_COUNTS,
    finish_plan,
    pick_helpers,
)
from trestledock.relay._problem import Placement, Problem
from trestledock.relay._view import View


def place_giant(problem: Problem) -> Placement | None:
    """Spread the memory of a prompt over tickets at several engines.

    The engines with the most free memory hold it in equal shares; others
    only read.  None while the free memory does not suffice.
    """
    holders = _pick_holders(problem)
    if not holders:
        return None
    options = [
        _plan_giant(problem, holders, count)
        for count in HELPER_COUNTS
        if len(holders) <= count + 1 <= len(problem.views)
    ]
    best = min(options, key=lambda option: option.cost, default=None)
    if best is None:
        best = _plan_giant(problem, holders, len(holders) - 1)
    share = _get_share(problem, len(holders))
    tickets = tuple((view.listed.incarnation, share) for view in holders[1:])
    return replace(best, reservations=tickets)


def _plan_giant(
    problem: Problem,
    holders: tuple[View, ...],
    helper_count: int,
) -> Placement:
    part_s = problem.read_s / (helper_count + 1)
    extra = helper_count + 1 - len(holders)
    readers = pick_helpers(problem, holders, part_s)[:extra]
    return finish_plan(problem, holders[0], [*holders[1:], *readers], part_s)


def _pick_holders(problem: Problem) -> tuple[View, ...]:
    """Return the fewest engines that hold a prompt in equal shares."""

    def order_of(view: View) -> tuple[float, float]:  # noqa: WPS430
        return view.pending_s, -view.free_tokens

    room = sorted(problem.views, key=order_of)
    for count in range(2, len(room) + 1):
        share = _get_share(problem, count)
        fitting = [view for view in room if view.free_tokens >= share]
        if len(fitting) >= count:
            return tuple(fitting[:count])
    return ()


def _get_share(problem: Problem, count: int) -> int:
    """Return the tokens that each of `count` engines holds."""
    return -(-problem.work.size.total_tokens // count)
