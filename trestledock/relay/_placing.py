"""
Placing requests of unlike lengths
==================================

Chooses the target of a request, and for a long prompt the helpers that read
parts of it.  Short requests are packed on few engines, so that others stay
free for long prompts; a long prompt is cut into as many parts as make it
early without making the pauses of others too long.  Everything is compared in
worth: what this request would lose by being late, and what others would.
"""

from dataclasses import dataclass, replace
from typing import Callable, Sequence
from zlib import crc32

from trestledock.relay._arithmetic import (
    PassLoad,
    get_read_s,
    get_write_pass_s,
)
from trestledock.relay._board import Board
from trestledock.relay._call import PromptSize
from trestledock.relay._catalog import EngineModel
from trestledock.relay._fleet import Listed
from trestledock.relay._health import Health
from trestledock.relay._view import (
    LATE_LOSS,
    MEMORY_SHARE,
    PAUSE_SHARE,
    View,
    Viewer,
)

#: A prompt that an engine reads in less is short: it may be read in the
#: passes of others, in seconds (pauses of short answers are 0.25 s).
SHORT_READ_S = 0.17
#: Places of an engine that are left free where others have room.
SPARE_PLACES = 1
#: Numbers of helpers that are weighed; an engine takes 16 at most.
HELPER_COUNTS = (0, 1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 16)
#: The cost of each further helper, in units of worth: one more that may fail.
HELPER_COST = 0.05
#: The cost of a second of the last idle engine for a request that is late
#: anyway, in units of worth: an engine that is packed with short requests
#: answers 3.5 of them a second, which lose 1 each by lateness.  Without it, a
#: giant that takes all idle engines meets the next burst: the worst of 24
#: simulated days earns 0.81 instead of 0.87.
ENGINE_COST = 3.0
#: The cost of a second before the first token, in units of worth.
SECOND_COST = 0.3
#: Part of the objective that a prediction should stay within.
OBJECTIVE_SHARE = 0.75
#: What a prediction beyond that loses at least, as a part of `LATE_LOSS`.
LATE_AT_LEAST = 0.5
#: Part of the time until a caller leaves that a prediction must stay within.
GONE_SHARE = 0.8
#: What a request costs that is read though its caller will have left, as a part
#: of its worth: more than one that is refused, which may come back.
LOST_SHARE = 2.0
#: The least objective that lateness is measured against, in seconds.
LEAST_OBJECTIVE_S = 0.05
#: The cost of a place beyond those that an engine works on at once.
QUEUED_COST = 3.0
#: The cost of a target in another data centre, in units of worth: the way
#: there may be cut while the request is on it.
REMOTE_COST = 0.05
#: A cost below this is nobody's loss.
EASY_COST = 0.1


@dataclass(frozen=True)
class Work:
    """What is to be placed: sizes, times left, and what it is worth.

    Its first token is late after `objective_s`, and nobody waits for it any
    more after `gone_s`.
    """

    size: PromptSize
    objective_s: float
    pause_s: float
    worth: float
    gone_s: float = float('inf')


@dataclass(frozen=True)
class Placement:
    """Where a request goes; `cost` is what all are expected to lose.

    `harm` is the part of it that others lose who are at the engines already,
    and `gain` what the request itself is expected to earn.

    `first_s` predicts the first token, `ideal_s` what an idle fleet would do;
    after `clear_s` everything that is being read now will have been.
    `tickets` are the tokens to be reserved at helpers, by their ids.
    """

    target: Listed
    helpers: tuple[Listed, ...] = ()
    tickets: tuple[tuple[str, int], ...] = ()
    first_s: float = 0
    cost: float = 0
    harm: float = 0
    gain: float = 0
    ideal_s: float = 0
    clear_s: float = 0
    candidates: int = 1


@dataclass(frozen=True)
class Problem:
    """One request with all engines that may take it, and its reading time."""

    work: Work
    engine: EngineModel
    views: tuple[View, ...]
    read_s: float

    def get_lateness(self, first_s: float) -> float:
        """Return what the work loses by a first token after `first_s`.

        Beyond the objective the rest of its worth is lost bit by bit until
        its caller leaves, since predictions of long reads are too short where
        newer prompts go before them.
        """
        limit_s = self.work.objective_s * OBJECTIVE_SHARE
        if first_s <= limit_s:
            return 0
        over = (first_s - limit_s) / max(limit_s, LEAST_OBJECTIVE_S)
        share = LATE_LOSS * min(1, LATE_AT_LEAST + over)
        left_s = max(self.work.gone_s * GONE_SHARE, LEAST_OBJECTIVE_S)
        if first_s > left_s:
            return self.work.worth * LOST_SHARE
        return self.work.worth * (share + (1 - LATE_LOSS) * first_s / left_s)

    def get_gain(self, first_s: float) -> float:
        """Return what the work earns by a first token after `first_s`."""
        return max(0, self.work.worth - self.get_lateness(first_s))

    def get_cost(self, view: View, part_s: float) -> float:
        """Return what all lose when an engine reads `part_s` and writes."""
        first_s = view.predict_first_s(part_s)
        own_pause = view.base_s > self.work.pause_s * PAUSE_SHARE
        risk = view.failure_share + own_pause * LATE_LOSS
        return (
            view.get_harm(part_s)
            + self.get_lateness(first_s)
            + first_s * SECOND_COST
            + risk * self.work.worth
            + REMOTE_COST * view.remote
        )

    def get_crowding(self, view: View) -> float:
        """Return the cost of places and memory that are not there yet."""
        over = view.count - self.engine.batch + SPARE_PLACES + 1
        cost = QUEUED_COST * max(0, over)
        if self.work.size.total_tokens > view.free_tokens:
            cost += QUEUED_COST * 2
        return cost

    def get_scarcity(
        self,
        engines: Sequence[View],
        part_s: float,
        first_s: float,
    ) -> float:
        """Return what a late plan costs by the idle engines that it takes.

        The last idle ones count most: whatever comes next needs them.
        """
        if first_s <= self.work.objective_s:
            return 0
        total = len(self.views)
        busy = sum(bool(view.flights) for view in self.views)
        taken = sum(not view.flights for view in engines)
        shares = [(busy + 1 + place) / total for place in range(taken)]
        return ENGINE_COST * part_s * sum(share**2 for share in shares)

    def get_whole_cost(self, view: View, part_s: float) -> float:
        """Return the cost of an engine as the first target."""
        return self.get_cost(view, part_s) + self.get_crowding(view)


Planner = Callable[[Problem], Placement | None]


class Placer:
    """Chooses among the engines of a service.

    Equal engines are taken in an order of this instance's own, so that
    instances that choose at the same moment choose differently.
    """

    def __init__(
        self,
        board: Board,
        health: Health,
        member: str = '',
        data_centre: str = '',
    ) -> None:
        """Keep what the choice is made from."""
        self.viewer = Viewer(board, health, data_centre)
        self.member = member

    def place(
        self,
        work: Work,
        engine: EngineModel,
        targets: Sequence[Listed],
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
            read_s=get_read_s(engine, work.size.prompt_tokens),
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

    def _get_order(self, listed: Listed) -> int:
        return crc32(f'{self.member}{listed.target_id}'.encode())


def _get_planner(problem: Problem) -> Planner:
    total = problem.work.size.total_tokens
    if total > problem.engine.capacity_tokens * MEMORY_SHARE:
        return _place_giant
    return _place_short if problem.read_s <= SHORT_READ_S else _place_long


def _get_ideal_s(problem: Problem) -> float:
    """Return when the first token would come on an idle fleet."""
    parts = min(len(problem.views), HELPER_COUNTS[-1] + 1)
    return problem.read_s / parts + get_write_pass_s(
        problem.engine, PassLoad(1)
    )


def _place_short(problem: Problem) -> Placement:
    """Pack: the fullest engine on which nobody loses anything."""
    read_s = problem.read_s
    costs = {
        view.listed.target_id: problem.get_whole_cost(view, read_s)
        for view in problem.views
    }

    def cost_of(view: View) -> float:  # noqa: WPS430 - a sort key
        return costs[view.listed.target_id]

    easy = [
        view
        for view in problem.views
        if cost_of(view) - view.predict_first_s(read_s) * SECOND_COST
        < EASY_COST
    ]
    near = [view for view in easy if not view.remote]
    if easy:
        best = max(near or easy, key=lambda view: view.count)
    else:
        best = min(problem.views, key=cost_of)
    first_s = best.predict_first_s(read_s)
    return Placement(
        best.listed,
        first_s=first_s,
        cost=cost_of(best),
        harm=best.get_harm(read_s),
        gain=problem.get_gain(first_s),
    )


def _place_long(problem: Problem) -> Placement:
    """Weigh numbers of parts; each number takes the engines it harms least."""
    options = [
        _plan_parts(problem, count)
        for count in HELPER_COUNTS
        if count < len(problem.views)
    ]
    return min(options, key=lambda option: option.cost)


def _plan_parts(problem: Problem, helper_count: int) -> Placement:
    part_s = problem.read_s / (helper_count + 1)
    first = min(
        problem.views,
        key=lambda view: problem.get_whole_cost(view, part_s),
    )
    helpers = _pick_helpers(problem, (first,), part_s)[:helper_count]
    plan = _finish_plan(problem, first, helpers, part_s)
    return replace(plan, cost=plan.cost + problem.get_crowding(first))


def _finish_plan(
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
    helpers_harm = sum(view.get_harm(part_s) for view in helpers)
    cost = problem.get_cost(first, part_s) + helpers_harm
    cost += late + (last_s - first_s) * SECOND_COST
    cost += problem.get_scarcity([first, *helpers], part_s, last_s)
    return Placement(
        first.listed,
        tuple(view.listed for view in helpers),
        first_s=last_s,
        cost=cost + HELPER_COST * len(helpers),
        harm=first.get_harm(part_s) + helpers_harm,
        gain=problem.get_gain(last_s),
    )


def _pick_helpers(
    problem: Problem,
    taken: tuple[View, ...],
    part_s: float,
) -> list[View]:
    """Return the other engines, those that lose least first."""
    taken_ids = {view.listed.target_id for view in taken}

    def cost_of(view: View) -> float:  # noqa: WPS430 - a sort key
        return (
            view.get_harm(part_s)
            + view.helper_wait_s * SECOND_COST
            + view.failure_share * QUEUED_COST
            + REMOTE_COST * view.remote
        )

    others = [
        view for view in problem.views if view.listed.target_id not in taken_ids
    ]
    return sorted(others, key=cost_of)


def _place_giant(problem: Problem) -> Placement | None:
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
    tickets = tuple((view.listed.target_id, share) for view in holders[1:])
    return replace(best, tickets=tickets)


def _plan_giant(
    problem: Problem,
    holders: tuple[View, ...],
    helper_count: int,
) -> Placement:
    part_s = problem.read_s / (helper_count + 1)
    extra = helper_count + 1 - len(holders)
    readers = _pick_helpers(problem, holders, part_s)[:extra]
    return _finish_plan(problem, holders[0], [*holders[1:], *readers], part_s)


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
