"""
Placing requests of unlike lengths
==================================

Chooses the target of a request, and for a long prompt the helpers that read
parts of it.  Short requests are packed on few engines, so that others stay
free for long prompts; a long prompt is cut into as many parts as make it
early without making the pauses of others too long.  Everything is compared in
worth: what this request would lose by being late, and what others would.
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

#: A prompt that an engine reads in less is short: it may be read in the
#: passes of others, in seconds (pauses of short answers are 0.25 s).
SHORT_READ_S = 0.17
#: A cost below this is nobody's loss.
EASY_COST = 0.1

Planner = Callable[[Problem], Placement | None]


class Placer:
    """Chooses among the engines of a service.

    Equal engines are taken in an order of this instance's own, so that
    instances that choose at the same moment choose differently.
    """

    def __init__(
        self,
        board: LoadTable,
        health: Health,
        member: str = '',
        data_centre: str = '',
        policy: PlacementPolicy = DEFAULT_POLICY,
    ) -> None:
        """Keep what the choice is made from."""
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
        """Return the best placement; None where nothing can take the work."""
        if not targets:
            return None
        ordered = sorted(targets, key=self._get_order)
        problem = Problem(
            work=work,
            engine=engine,
            views=tuple(self.viewer.view(engine, one, now) for one in ordered),
            read_s=get_prefill_s(engine, work.size.prompt_tokens),
            terms=self.policy,
        )
        placement = _get_planner(problem)(problem)
        if placement is None:
            return None
        return replace(
            placement,
            ideal_s=_get_ideal_s(problem),
            clear_s=max(view.pending_s for view in problem.views),
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
    """Return when the first token would come on an idle fleet."""
    parts = min(len(problem.views), HELPER_COUNTS[-1] + 1)
    return problem.read_s / parts + get_decode_pass_s(
        problem.engine, PassLoad(1)
    )


def _place_short(problem: Problem) -> Placement:
    """Pack: the fullest engine on which nobody loses anything."""
    read_s = problem.read_s
    costs = {
        view.listed.incarnation: problem.get_whole_cost(view, read_s)
        for view in problem.views
    }

    def cost_of(view: View) -> float:  # noqa: WPS430 - a sort key
        return costs[view.listed.incarnation]

    easy = [
        view
        for view in problem.views
        if cost_of(view) - view.predict_first_s(read_s) * SECOND_COST
        < EASY_COST
    ]
    near = [view for view in easy if not view.remote]
    if easy and problem.terms.packing:
        best = max(near or easy, key=lambda view: view.count)
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
    """Weigh numbers of parts; each number takes the engines it harms least."""
    counts = HELPER_COUNTS if problem.terms.helpers else (0,)
    options = [
        plan_parts(problem, count)
        for count in counts
        if count < len(problem.views)
    ]
    return min(options, key=lambda option: option.cost)
