"""
Chunked prefill plans
=====================

A primary engine with helpers that prefill chunks of a prompt.  The first token
follows the last chunk, so the slowest engine decides.
"""

from dataclasses import replace

from trestledock.relay._problem import (
    QUEUED_COST,
    SECOND_COST,
    Placement,
    Problem,
)
from trestledock.relay._view import View

#: The numbers of helpers that are compared; an engine takes at most 16.
HELPER_COUNTS = (0, 1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 16)
#: The cost of each additional helper, which is one more that may fail, in units
#: of worth.
HELPER_COST = 0.05


def plan_parts(problem: Problem, helper_count: int) -> Placement:
    """Return the best plan with a given number of helpers."""
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
    """Return the plan of a primary engine with helpers."""
    first_s = first.predict_first_s(part_s)
    helper_ends = [
        view.predict_part_s(part_s) + first.base_s for view in helpers
    ]
    last_s = max([first_s, *helper_ends])
    lateness = problem.get_lateness(last_s) - problem.get_lateness(first_s)
    helpers_harm = sum(problem.get_harm(view, part_s) for view in helpers)
    cost = problem.get_cost(first, part_s) + helpers_harm
    cost += lateness + (last_s - first_s) * SECOND_COST
    cost += problem.get_scarcity([first, *helpers], part_s, last_s)
    return Placement(
        first.listed,
        tuple(view.listed for view in helpers),
        first_s=last_s,
        cost=cost + HELPER_COST * len(helpers),
        harm=problem.get_harm(first, part_s) + helpers_harm,
        gain=problem.get_gain(last_s),
    )


def pick_helpers(
    problem: Problem,
    excluded: tuple[View, ...],
    part_s: float,
) -> list[View]:
    """Return the other engines, the cheapest helpers first."""
    excluded_ids = {view.listed.incarnation for view in excluded}

    def cost_of(view: View) -> float:  # noqa: WPS430 - a sort key
        return (
            problem.get_harm(view, part_s)
            + view.helper_wait_s * SECOND_COST
            + view.failure_share * QUEUED_COST
            + problem.get_remoteness(view)
        )

    candidates = [
        view
        for view in problem.views
        if view.listed.incarnation not in excluded_ids
    ]
    return sorted(candidates, key=cost_of)
