"""
Request placement
=================

Chooses the target of a request, and the helpers that prefill chunks of a long
prompt.  Short requests are packed on few engines, so that others stay free for
long prompts.  A long prompt is split into as many chunks as bring its first
token forward without making the pauses of other requests too long.  All options
are compared in worth: the expected loss of this request by being late, and the
loss of others.
"""

from dataclasses import replace
from typing import Callable, Sequence
from zlib import crc32

from trestledock.relay._catalog import EngineModel
from trestledock.relay._chunked_prefill import HELPER_COUNTS, plan_chunks
from trestledock.relay._engine_load import (
    MEMORY_SHARE,
    EngineLoad,
    LoadEstimator,
)
from trestledock.relay._engine_timing import (
    PassLoad,
    get_decode_pass_s,
    get_prefill_s,
)
from trestledock.relay._giants import place_giant
from trestledock.relay._health import Health
from trestledock.relay._load_table import LoadTable
from trestledock.relay._placement_cost import (
    COST_PER_SECOND,
    Placement,
    Problem,
    Work,
)
from trestledock.relay._policy import DEFAULT_POLICY, PlacementPolicy
from trestledock.relay._target_records import ListedTarget

#: A prompt with a shorter prefill, in seconds, is short: it may be prefilled in
#: passes that decode other requests (pauses of short answers are 0.25 s).
SHORT_PREFILL_S = 0.17
#: The cost below which no request loses anything.
NEGLIGIBLE_COST = 0.1

Planner = Callable[[Problem], Placement | None]


class Placer:
    """Chooses among the engines of a service.

    Equal engines are ordered differently by each instance, so that instances
    that choose at the same moment choose different engines.
    """

    def __init__(
        self,
        load_table: LoadTable,
        health: Health,
        member: str = '',
        data_centre: str = '',
        policy: PlacementPolicy = DEFAULT_POLICY,
    ) -> None:
        """Store the inputs of the choice."""
        self.policy = policy
        self.estimator = LoadEstimator(load_table, health, data_centre)
        self.member = member

    def place(
        self,
        work: Work,
        engine: EngineModel,
        targets: Sequence[ListedTarget],
        now: float,
    ) -> Placement | None:
        """Return the best placement, or None if no engine can take the work."""
        if not targets:
            return None
        ordered = sorted(targets, key=self._get_order)
        problem = Problem(
            work=work,
            engine=engine,
            loads=tuple(
                self.estimator.estimate(engine, target, now)
                for target in ordered
            ),
            prefill_s=get_prefill_s(engine, work.size.prompt_tokens),
            policy=self.policy,
        )
        placement = _get_planner(problem)(problem)
        if placement is None:
            return None
        return replace(
            placement,
            idle_fleet_s=get_idle_fleet_s(
                engine, problem.prefill_s, len(ordered)
            ),
            pending_prefill_s=max(
                load.pending_prefill_s for load in problem.loads
            ),
            candidates=len(ordered),
        )

    def _get_order(self, target: ListedTarget) -> int:
        return crc32(f'{self.member}{target.incarnation}'.encode())


def _get_planner(problem: Problem) -> Planner:
    total = problem.work.size.total_tokens
    if total > problem.engine.capacity_tokens * MEMORY_SHARE:
        return place_giant
    return _place_short if problem.prefill_s <= SHORT_PREFILL_S else _place_long


def get_idle_fleet_s(
    engine: EngineModel, prefill_s: float, engine_count: int
) -> float:
    """Return the time to the first token on an idle fleet."""
    chunk_count = min(engine_count, HELPER_COUNTS[-1] + 1)
    return prefill_s / chunk_count + get_decode_pass_s(engine, PassLoad(1))


def _place_short(problem: Problem) -> Placement:
    """Choose the fullest engine on which no request loses anything."""
    prefill_s = problem.prefill_s
    costs = {
        load.target.incarnation: problem.get_primary_cost(load, prefill_s)
        for load in problem.loads
    }

    def cost_of(load: EngineLoad) -> float:  # noqa: WPS430 - a sort key
        return costs[load.target.incarnation]

    uncrowded = [
        load
        for load in problem.loads
        if cost_of(load)
        - load.predict_first_token_s(prefill_s) * COST_PER_SECOND
        < NEGLIGIBLE_COST
    ]
    local = [load for load in uncrowded if not load.is_remote]
    if uncrowded and problem.policy.packing:
        best = max(local or uncrowded, key=lambda load: load.count)
    else:
        best = min(problem.loads, key=cost_of)
    first_s = best.predict_first_token_s(prefill_s)
    return Placement(
        best.target,
        first_token_s=first_s,
        cost=cost_of(best),
        cost_to_others=problem.get_cost_to_others(best, prefill_s),
        cost_to_urgent=problem.get_cost_to_urgent(best, prefill_s),
        gain=problem.get_gain(first_s),
    )


def _place_long(problem: Problem) -> Placement:
    """Choose the cheapest plan among different numbers of chunks.

    Each number takes the engines at which the prefill costs others least.
    """
    counts = HELPER_COUNTS if problem.policy.helpers else (0,)
    options = [
        plan_chunks(problem, count)
        for count in counts
        if count < len(problem.loads)
    ]
    return min(options, key=lambda option: option.cost)
