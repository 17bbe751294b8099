"""
Plans of prompts that are read in parts
=======================================

A prompt's first engine with the helpers that read parts of it.  The first
token follows the last part, so the slowest engine decides.
"""

from dataclasses import replace

from trestledock.relay._problem import (
    QUEUED_COST,
    SECOND_COST,
    Placement,
    Problem,
)
from trestledock.relay._view import View

#: Numbers of helpers that are weighed; an engine takes 16 at most.
HELPER_COUNTS = (0, 1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 16)
#: The cost of each further helper, in units of worth: one more that may fail.
HELPER_COST = 0.05


def plan_parts(problem: Problem, helper_count: int) -> Placement:
    part_s = problem.read_s / (helper_count + 1)
    first = min(
        problem.views,
        key=lambda view: problem.get_whole_cost(view, part_s),
    )
    helpers = pick_helpers(problem, (first,), part_s)[:helper_count]
    plan = finish_plan(problem, first, helpers, part_s)
    return replace(plan, cost=plan.cost + problem.get_crowding(first))


def finish_plan(
    problem: Problem,
    first: View,
    helpers: list[View],
    part_s: float,
) -> Placement:
    """Return the plan of a first engine with helpers; the slowest decides."""
    first_s = first.predict_first_s(part_s)
    ends = [view.predict_part_s(part_s) + first.base_s for view in helpers]
    last_s = max([first_s, *ends])
    late = problem.get_lateness(last_s) - problem.get_lateness(first_s)
    helpers_harm = sum(problem.get_harm(view, part_s) for view in helpers)
    cost = problem.get_cost(first, part_s) + helpers_harm
    cost += late + (last_s - first_s) * SECOND_COST
    cost += problem.get_scarcity([first, *helpers], part_s, last_s)
    return Placement(
        first.listed,
        tuple(view.listed for view in helpers),
        first_token_s=last_s,
        cost=cost + HELPER_COST * len(helpers),
        cost_to_others=problem.get_harm(first, part_s) + helpers_harm,
        gain=problem.get_gain(last_s),
    )


def pick_helpers(
    problem: Problem,
    taken: tuple[View, ...],
    part_s: float,
) -> list[View]:
    """Return the other engines, those that lose least first."""
    taken_ids = {view.listed.incarnation for view in taken}

    def cost_of(view: View) -> float:  # noqa: WPS430 - a sort key
        return (
            problem.get_harm(view, part_s)
            + view.helper_wait_s * SECOND_COST
            + view.failure_share * QUEUED_COST
            + problem.get_remoteness(view)
        )

    others = [
        view
        for view in problem.views
        if view.listed.incarnation not in taken_ids
    ]
    return sorted(others, key=cost_of)
