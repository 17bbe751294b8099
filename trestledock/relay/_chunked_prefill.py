"""
Chunked prefill plans
=====================

A primary engine with helpers that prefill chunks of a prompt.  The first token
follows the last chunk, so the slowest engine decides.
"""

from dataclasses import replace

from trestledock.relay._engine_load import EngineLoad
from trestledock.relay._placement_cost import (
    COST_PER_SECOND,
    QUEUED_COST,
    Placement,
    Problem,
)

#: The numbers of helpers that are compared; an engine takes at most 16.
HELPER_COUNTS = (0, 1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 16)
#: The cost of each additional helper, which is one more that may fail, in units
#: of worth.
HELPER_COST = 0.05


def plan_chunks(problem: Problem, helper_count: int) -> Placement:
    """Return the best plan with a given number of helpers."""
    chunk_s = problem.prefill_s / (helper_count + 1)
    primary = min(
        problem.loads,
        key=lambda load: problem.get_primary_cost(load, chunk_s),
    )
    helpers = pick_helpers(problem, (primary,), chunk_s)[:helper_count]
    plan = finish_plan(problem, primary, helpers, chunk_s)
    return replace(plan, cost=plan.cost + problem.get_queueing_cost(primary))


def finish_plan(
    problem: Problem,
    primary: EngineLoad,
    helpers: list[EngineLoad],
    chunk_s: float,
) -> Placement:
    """Return the plan of a primary engine with helpers."""
    first_s = primary.predict_first_token_s(chunk_s)
    helper_ends = [
        load.predict_chunk_s(chunk_s) + primary.base_s for load in helpers
    ]
    last_s = max([first_s, *helper_ends])
    lateness = problem.get_lateness(last_s) - problem.get_lateness(first_s)
    helpers_cost = sum(
        problem.get_cost_to_others(load, chunk_s) for load in helpers
    )
    urgent_cost = sum(
        problem.get_cost_to_urgent(load, chunk_s) for load in helpers
    )
    cost = problem.get_engine_cost(primary, chunk_s) + helpers_cost
    cost += urgent_cost
    cost += lateness + (last_s - first_s) * COST_PER_SECOND
    cost += problem.get_idle_engine_cost([primary, *helpers], chunk_s, last_s)
    return Placement(
        primary.target,
        tuple(load.target for load in helpers),
        first_token_s=last_s,
        cost=cost + HELPER_COST * len(helpers),
        cost_to_others=problem.get_cost_to_others(primary, chunk_s)
        + helpers_cost,
        cost_to_urgent=problem.get_cost_to_urgent(primary, chunk_s)
        + urgent_cost,
        gain=problem.get_gain(last_s),
    )


def pick_helpers(
    problem: Problem,
    excluded: tuple[EngineLoad, ...],
    chunk_s: float,
) -> list[EngineLoad]:
    """Return the other engines, the cheapest helpers first."""
    excluded_ids = {load.target.incarnation for load in excluded}

    def cost_of(load: EngineLoad) -> float:  # noqa: WPS430 - a sort key
        return (
            problem.get_cost_to_others(load, chunk_s)
            + problem.get_cost_to_urgent(load, chunk_s)
            + load.helper_wait_s * COST_PER_SECOND
            + load.failure_share * QUEUED_COST
            + problem.get_remote_cost(load)
        )

    candidates = [
        load
        for load in problem.loads
        if load.target.incarnation not in excluded_ids
    ]
    return sorted(candidates, key=cost_of)
