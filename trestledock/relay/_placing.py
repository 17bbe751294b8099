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

from trestledock.relay._arithmetic import (
    PassLoad,
    get_prefill_s,
    get_decode_pass_s,
)
from trestledock.relay._board import LoadTable
from trestledock.relay._catalog import EngineModel
from trestledock.relay._listed import ListedTarget
from trestledock.relay._giants import place_giant
from trestledock.relay._health import Health
from trestledock.relay._parts import HELPER_COUNTS, plan_parts
from trestledock.relay._problem import (
    SECOND_COST,
    Placement,
    Problem,
    Work,
)
from trestledock.relay._terms import DEFAULT_POLICY, PlacementPolicy
from trestledock.relay._view import MEMORY_SHARE, View, Viewer

#: A prompt with a shorter prefill, in seconds, is short: it may be prefilled in
#: passes that decode other requests (pauses of short answers are 0.25 s).
SHORT_READ_S = 0.17
#: The cost below which no request loses anything.
EASY_COST = 0.1

Planner = Callable[[Problem], Placement | None]


class Placer:
    """Chooses among the engines of a service.

    Equal engines are ordered differently by each instance, so that instances
    that choose at the same moment choose different engines.
    """

    def __init__(
        self,
        board: LoadTable,
        health: Health,
        member: str = '',
        data_centre: str = '',
        policy: PlacementPolicy = DEFAULT_POLICY,
    ) -> None:
        """Store the inputs of the choice."""
        self.policy = policy
        self.viewer = Viewer(board, health, data_centre)
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
            views=tuple(
                self.viewer.view(engine, target, now) for target in ordered
            ),
            read_s=get_prefill_s(engine, work.size.prompt_tokens),
            terms=self.policy,
        )
        placement = _get_planner(problem)(problem)
        if placement is None:
            return None
        return replace(
            placement,
            ideal_s=_get_ideal_s(problem),
            clear_s=max(load.pending_s for load in problem.views),
            candidates=len(ordered),
        )

    def _get_order(self, listed: ListedTarget) -> int:
        return crc32(f'{self.member}{listed.incarnation}'.encode())


def _get_planner(problem: Problem) -> Planner:
    total = problem.work.size.total_tokens
    if total > problem.engine.capacity_tokens * MEMORY_SHARE:
        return place_giant
    return _place_short if problem.read_s <= SHORT_READ_S else _place_long


def _get_ideal_s(problem: Problem) -> float:
    """Return the time to the first token on an idle fleet."""
    chunk_count = min(len(problem.views), HELPER_COUNTS[-1] + 1)
    return problem.read_s / chunk_count + get_decode_pass_s(
        problem.engine, PassLoad(1)
    )


def _place_short(problem: Problem) -> Placement:
    """Choose the fullest engine on which no request loses anything."""
    read_s = problem.read_s
    costs = {
        load.listed.incarnation: problem.get_whole_cost(load, read_s)
        for load in problem.views
    }

    def cost_of(load: View) -> float:  # noqa: WPS430 - a sort key
        return costs[load.listed.incarnation]

    uncrowded = [
        load
        for load in problem.views
        if cost_of(load) - load.predict_first_s(read_s) * SECOND_COST
        < EASY_COST
    ]
    local = [load for load in uncrowded if not load.remote]
    if uncrowded and problem.terms.packing:
        best = max(local or uncrowded, key=lambda load: load.count)
    else:
        best = min(problem.views, key=cost_of)
    first_s = best.predict_first_s(read_s)
    return Placement(
        best.listed,
        first_token_s=first_s,
        cost=cost_of(best),
        cost_to_others=problem.get_harm(best, read_s),
        gain=problem.get_gain(first_s),
    )


def _place_long(problem: Problem) -> Placement:
    """Choose the cheapest plan among different numbers of chunks.

    Each number takes the engines at which the prefill costs others least.
    """
    counts = HELPER_COUNTS if problem.terms.helpers else (0,)
    options = [
        plan_parts(problem, count)
        for count in counts
        if count < len(problem.views)
    ]
    return min(options, key=lambda option: option.cost)
