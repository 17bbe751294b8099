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
from typing import Callable, Iterable, Sequence
from zlib import crc32

from trestledock.relay._arithmetic import (
    PassLoad,
    get_read_s,
    get_write_pass_s,
)
from trestledock.relay._board import Board, Flight, Phase
from trestledock.relay._call import PromptSize
from trestledock.relay._catalog import EngineModel
from trestledock.relay._fleet import Listed
from trestledock.relay._health import Health

#: A prompt that an engine reads in less is short: it may be read in the
#: passes of others, in seconds (pauses of short answers are 0.25 s).
SHORT_READ_S = 0.17
#: The part of an allowed pause that a pass may fill.
PAUSE_SHARE = 0.8
#: Places of an engine that are left free where others have room.
SPARE_PLACES = 1
#: Numbers of helpers that are weighed; an engine takes 16 at most.
HELPER_COUNTS = (0, 1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 16)
#: What a late answer loses of its worth.
LATE_LOSS = 0.75
#: The cost of each further helper, in units of worth: a runner that may fail.
HELPER_COST = 0.05
#: The cost of a second before the first token, in units of worth.
SECOND_COST = 0.3
#: Part of the objective that a prediction should stay within.
OBJECTIVE_SHARE = 0.75
#: The cost of a place beyond those that an engine works on at once.
QUEUED_COST = 3.0
#: What a prompt that is being read loses by a second's delay, as a part of its
#: worth, though it would still be in time.
READER_LOSS = 0.15
#: The cost of a target in another data centre, in units of worth: the way
#: there may be cut while the request is on it.
REMOTE_COST = 0.05
#: How many slots' share of work a failing and a remote plain target seem to
#: have more than they do.
FAILURE_LOAD = 2.0
REMOTE_LOAD = 0.15
#: A cost below this is nobody's loss.
EASY_COST = 0.1
#: Largest share of an engine's memory that is planned for.
MEMORY_SHARE = 0.97


@dataclass(frozen=True)
class Work:
    """What is to be placed: sizes, times left, and what it is worth."""

    size: PromptSize
    objective_s: float
    pause_s: float
    worth: float


@dataclass(frozen=True)
class Placement:
    """Where a request goes; `cost` is what all are expected to lose.

    `first_s` predicts the first token, `ideal_s` what an idle fleet would do.
    """

    target: Listed
    helpers: tuple[Listed, ...] = ()
    tickets: tuple[tuple[str, int], ...] = ()
    first_s: float = 0
    cost: float = 0
    ideal_s: float = 0


@dataclass(frozen=True)
class View:
    """What one engine has to do now."""

    listed: Listed
    count: int
    writers: int
    base_s: float
    pending_s: float
    held_tokens: int
    flights: tuple[Flight, ...]
    failure_share: float
    pace: float
    remote: bool
    now: float

    @property
    def helper_wait_s(self) -> float:
        """Until a helper's part begins: it goes ahead of all other reading."""
        return self.base_s / 2 if self.writers else 0

    @property
    def wait_s(self) -> float:
        """Until own reading begins: half a pass and what is being read."""
        return self.helper_wait_s + self.pending_s

    def predict_first_s(self, part_s: float) -> float:
        """Return when the first token comes after reading for `part_s`."""
        return self.wait_s + part_s * self.pace + self.base_s

    def get_harm(self, part_s: float) -> float:
        """Return what others lose when `part_s` more is read here."""
        extra_s = part_s * self.pace
        pass_s = self.base_s + self.pending_s + extra_s
        return sum(
            _get_loss(one, pass_s, extra_s, self.now) for one in self.flights
        )


def _get_loss(
    flight: Flight,
    pass_s: float,
    extra_s: float,
    now: float,
) -> float:
    """Return what a flight loses by `extra_s` of reading that goes ahead.

    A writer loses its worth with a pause that is too long.  A reader loses it
    when it comes late, since newer parts go before older ones, and a little
    with any delay: more may come.
    """
    if flight.phase is Phase.writing:
        is_late = pass_s > flight.pause_s * PAUSE_SHARE
        return flight.worth * LATE_LOSS * is_late
    left_s = flight.due - now
    if left_s <= 0:
        return 0
    share = 1 if pass_s > left_s else min(1, extra_s) * READER_LOSS
    return flight.worth * LATE_LOSS * share


def _get_planner(work: Work, engine: EngineModel) -> 'Planner':
    if work.size.total_tokens > engine.capacity_tokens * MEMORY_SHARE:
        return _place_giant
    is_short = get_read_s(engine, work.size.prompt_tokens) <= SHORT_READ_S
    return _place_short if is_short else _place_long


def _get_ideal_s(work: Work, engine: EngineModel, count: int) -> float:
    """Return when the first token would come on an idle fleet."""
    parts = min(count, HELPER_COUNTS[-1] + 1)
    pass_s = get_write_pass_s(engine, PassLoad(1))
    return get_read_s(engine, work.size.prompt_tokens) / parts + pass_s


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
        self.board = board
        self.health = health
        self.member = member
        self.data_centre = data_centre

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
        views = [self._view(engine, one, now) for one in ordered]
        placement = _get_planner(work, engine)(work, engine, views)
        if placement is None:
            return None
        ideal_s = _get_ideal_s(work, engine, len(views))
        return replace(placement, ideal_s=ideal_s)

    def _get_order(self, listed: Listed) -> int:
        return crc32(f'{self.member}{listed.target_id}'.encode())

    def _view(self, engine: EngineModel, listed: Listed, now: float) -> View:
        flights = tuple(self.board.get_flights(listed.target_id))
        own = [one for one in flights if one.target == listed.target_id]
        writing = [one for one in own if one.phase is Phase.writing]
        reading = [one for one in flights if one.phase is Phase.reading]
        held = sum(one.get_held_tokens(listed.target_id) for one in flights)
        health = self.health.get(listed.target_id)
        load = PassLoad(len(own) + 1, held)
        return View(
            listed=listed,
            count=len(own),
            writers=len(writing),
            base_s=get_write_pass_s(engine, load) * health.pace,
            pending_s=_get_pending_s(engine, reading, now) * health.pace,
            held_tokens=held,
            flights=flights,
            failure_share=health.get_failure_share(now),
            pace=health.pace,
            remote=listed.data_centre != self.data_centre,
            now=now,
        )


Planner = Callable[[Work, EngineModel, list[View]], Placement | None]


def _get_pending_s(
    engine: EngineModel,
    reading: Iterable[Flight],
    now: float,
) -> float:
    """Return the reading that is left; work is taken in order of arrival."""
    left_s = 0.0
    for flight in sorted(reading, key=lambda one: one.since):
        part_s = get_read_s(engine, flight.prompt_tokens) / flight.parts
        left_s = max(0, left_s - max(0, now - flight.since)) + part_s
    oldest = max((now - one.since for one in reading), default=0)
    return max(0.0, left_s - oldest)


def _get_lateness(work: Work, first_s: float) -> float:
    """Return what the work loses by a first token after `first_s`."""
    limit_s = work.objective_s * OBJECTIVE_SHARE
    if first_s <= limit_s:
        return 0
    over = (first_s - limit_s) / max(limit_s, 0.05)
    return work.worth * LATE_LOSS * min(1, 0.5 + over)


def _get_cost(view: View, work: Work, part_s: float) -> float:
    first_s = view.predict_first_s(part_s)
    own_pause = view.base_s > work.pause_s * PAUSE_SHARE
    return (
        view.get_harm(part_s)
        + _get_lateness(work, first_s)
        + first_s * SECOND_COST
        + (view.failure_share + own_pause * LATE_LOSS) * work.worth
        + REMOTE_COST * view.remote
    )


def _fits(view: View, engine: EngineModel, tokens: int) -> bool:
    free = engine.capacity_tokens * MEMORY_SHARE - view.held_tokens
    return tokens <= free


def _get_crowding(view: View, engine: EngineModel, tokens: int) -> float:
    """Return the cost of places and memory that are not there yet."""
    cost = 0.0
    if view.count >= engine.batch - SPARE_PLACES:
        cost += QUEUED_COST * (view.count - engine.batch + SPARE_PLACES + 1)
    if not _fits(view, engine, tokens):
        cost += QUEUED_COST * 2
    return cost


def _place_short(
    work: Work,
    engine: EngineModel,
    views: list[View],
) -> Placement:
    """Pack: the fullest engine on which nobody loses anything."""
    read_s = get_read_s(engine, work.size.prompt_tokens)
    tokens = work.size.total_tokens

    def cost_of(view: View) -> float:  # noqa: WPS430 - a sort key
        return _get_cost(view, work, read_s) + _get_crowding(
            view, engine, tokens
        )

    easy = [
        view
        for view in views
        if cost_of(view) < EASY_COST + view.predict_first_s(read_s) * SECOND_COST
    ]
    near = [view for view in easy if not view.remote]
    easy = near or easy
    if easy:
        best = max(easy, key=lambda view: view.count)
    else:
        best = min(views, key=cost_of)
    return Placement(
        best.listed,
        first_s=best.predict_first_s(read_s),
        cost=cost_of(best),
    )


def _place_long(
    work: Work,
    engine: EngineModel,
    views: list[View],
) -> Placement:
    """Weigh numbers of parts; each number takes the engines it harms least."""
    read_s = get_read_s(engine, work.size.prompt_tokens)
    counts = [count for count in HELPER_COUNTS if count < len(views)]
    options = [
        _plan_parts(work, engine, views, read_s / (count + 1), count)
        for count in counts
    ]
    return min(options, key=lambda option: option.cost)


def _plan_parts(
    work: Work,
    engine: EngineModel,
    views: list[View],
    part_s: float,
    helper_count: int,
) -> Placement:
    tokens = work.size.total_tokens
    first = min(
        views,
        key=lambda view: _get_cost(view, work, part_s)
        + _get_crowding(view, engine, tokens),
    )
    helpers = _pick_helpers(views, {first.listed.target_id}, part_s)
    helpers = helpers[:helper_count]
    cost = _get_cost(first, work, part_s)
    cost += _get_crowding(first, engine, tokens)
    return _finish_plan(work, first, helpers, part_s, cost)


def _finish_plan(
    work: Work,
    first: View,
    helpers: list[View],
    part_s: float,
    cost: float,
) -> Placement:
    waits = [view.helper_wait_s + part_s * view.pace for view in helpers]
    first_s = first.predict_first_s(part_s)
    last_s = max([first_s, *(wait_s + first.base_s for wait_s in waits)])
    harm = sum(view.get_harm(part_s) for view in helpers)
    late = _get_lateness(work, last_s) - _get_lateness(work, first_s)
    return Placement(
        first.listed,
        tuple(view.listed for view in helpers),
        first_s=last_s,
        cost=cost
        + harm
        + late
        + (last_s - first_s) * SECOND_COST
        + HELPER_COST * len(helpers),
    )


def _pick_helpers(
    views: list[View],
    taken: set[str],
    part_s: float,
) -> list[View]:
    """Return the other engines, those that lose least first."""
    others = [one for one in views if one.listed.target_id not in taken]

    def cost_of(view: View) -> float:  # noqa: WPS430 - a sort key
        return (
            view.get_harm(part_s)
            + view.helper_wait_s * SECOND_COST
            + REMOTE_COST * view.remote
            + view.failure_share * QUEUED_COST
        )

    return sorted(others, key=cost_of)


def _place_giant(
    work: Work,
    engine: EngineModel,
    views: list[View],
) -> Placement | None:
    """Spread the memory of a prompt over tickets at several engines.

    The engines with the most free memory hold it in equal shares; others
    only read.  None while the free memory does not suffice.
    """
    total = work.size.total_tokens
    room = sorted(views, key=_get_room_order(engine))
    holders = _pick_holders(engine, room, total)
    if holders is None:
        return None
    first = holders[0]
    share = -(-total // len(holders))
    tickets = tuple((view.listed.target_id, share) for view in holders[1:])
    taken = {view.listed.target_id for view in holders}
    read_s = get_read_s(engine, work.size.prompt_tokens)
    options = []
    for count in HELPER_COUNTS:
        extra = max(0, count - len(holders) + 1)
        part_s = read_s / (len(holders) + extra)
        readers = _pick_helpers(views, taken, part_s)[:extra]
        plan = _finish_plan(
            work,
            first,
            [*holders[1:], *readers],
            part_s,
            _get_cost(first, work, part_s),
        )
        options.append(plan)
    best = min(options, key=lambda option: option.cost)
    return Placement(
        best.target, best.helpers, tickets, best.first_s, best.cost
    )


def _get_room_order(engine: EngineModel) -> Callable[[View], float]:
    def order(view: View) -> float:  # noqa: WPS430 - a sort key
        busy = QUEUED_COST * engine.capacity_tokens * (view.pending_s > 0)
        return view.held_tokens + busy * view.pending_s

    return order


def _pick_holders(
    engine: EngineModel,
    room: list[View],
    total: int,
) -> list[View] | None:
    """Return the fewest engines that hold a prompt in equal shares."""
    for count in range(2, len(room) + 1):
        share = -(-total // count)
        holders = room[:count]
        if all(_fits(view, engine, share) for view in holders):
            return holders
    return None


def choose_least_busy(
    board: Board,
    health: Health,
    targets: Sequence[Listed],
    now: float,
    draw: Callable[[], float],
    data_centre: str = '',
) -> Listed | None:
    """Return the plain target with the fewest requests per slot.

    A target that fails or is in another data centre counts as busier; equals
    are drawn among.
    """

    def load_of(listed: Listed) -> tuple[float, float]:  # noqa: WPS430
        count = sum(1 for _ in board.get_flights(listed.target_id))
        known = health.get(listed.target_id)
        busy = (count + 1) / max(1, listed.slots)
        busy += known.get_failure_share(now) * FAILURE_LOAD
        busy += REMOTE_LOAD * (listed.data_centre != data_centre)
        return busy, draw()

    return min(targets, key=load_of, default=None)
