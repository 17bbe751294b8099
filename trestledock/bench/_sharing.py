"""
Fleets that are shared by unlike prompts
========================================

Plays arrivals through the decisions of several entries and through engines that
work in passes, on a virtual clock.  Entries know one another's flights after a
delay, as by their datagrams.  A caller leaves after a silence, and comes back
once where it is refused; what it got counts: in time, late, or nothing.

A day of it takes a second or two, so that decisions on load can be compared and
tested as patterns: which prompts come, what each of them is worth, and what
share of that worth is earned.
"""

import heapq
from collections import defaultdict
from dataclasses import dataclass, field, replace
from functools import partial
from itertools import count
from typing import Callable

from trestledock.bench._passes import Part, PassEnd, PassEngine, Writer
from trestledock.relay import (
    CLAIM_DELAY_S,
    PLACEMENT_RETRY_S,
    DEFAULT_POLICY,
    PlacementRequest,
    LoadTable,
    Decision,
    EngineModel,
    Flight,
    Health,
    ListedTarget,
    Unplaced,
    Phase,
    Placement,
    Placer,
    PromptSize,
    PlacementPolicy,
    Timing,
    find_prior_claim,
    get_prefill_s,
    get_worth,
    should_query_remote,
    needs_claim,
    pick_cheapest,
)

#: How long until other entries know of a flight, in seconds: what is gathered,
#: and the way.
NEWS_S = 0.006
#: When a refused caller comes back at the least, in seconds, and what part of
#: the time that it has left it waits for that.
COME_BACK_S = 0.25
RETRY_PARTS = 3
#: What a late answer keeps of its worth.
LATE_KEEPS = 0.25


@dataclass(frozen=True)
class Kind:
    """A kind of request: its objective, pauses and deadline in seconds."""

    name: str
    objective_s: float
    pause_s: float
    patience_s: float
    deadline_s: float


@dataclass(frozen=True)
class Prompt:
    """One arrival."""

    at: float
    kind: Kind
    size: PromptSize
    entry: int = 0


@dataclass
class Asked:
    """A request under way, and what came of it."""

    ask: PlacementRequest
    prompt: Prompt
    placement: Placement | None = None
    unread: int = 0
    first_at: float | None = None
    heard_at: float = 0
    longest_pause_s: float = 0
    done_at: float | None = None
    refused: Decision | None = None
    left: bool = False

    @property
    def earned(self) -> float:
        """The share of its worth that was earned."""
        if self.done_at is None or self.first_at is None:
            return 0
        kind = self.prompt.kind
        late = self.first_at > self.ask.timing.due_at
        paused = self.longest_pause_s > kind.pause_s
        return LATE_KEEPS if late or paused else 1


@dataclass
class Entry:
    """One entry: its board, and the sequence of its messages.

    Of many entries each sees only the targets of its own data centre, `near`,
    and asks for the others; of few all see all.
    """

    board: LoadTable
    placer: Placer
    near: tuple[ListedTarget, ...]
    sequence: int = 0


@dataclass
class SharedFleet:
    """Engines and entries of one service; `play` runs arrivals to their end."""

    model: EngineModel
    listed: tuple[ListedTarget, ...]
    entries: tuple[Entry, ...]
    now: float = 0
    asked: dict[str, Asked] = field(default_factory=dict)
    engines: dict[str, PassEngine] = field(default_factory=dict)
    _events: list[tuple[float, int, Callable[[], None]]] = field(
        default_factory=list
    )
    _order: 'count[int]' = field(default_factory=count)

    def play(self, prompts: list[Prompt]) -> list[Asked]:
        """Return what came of every arrival."""
        for number, prompt in enumerate(prompts):
            ask = _make_ask(f'r{number}', prompt)
            one = Asked(ask, prompt, heard_at=prompt.at)
            self.asked[one.ask.req_id] = one
            self._at(prompt.at, partial(self._try, one))
        while self._events:
            self.now, _, step = heapq.heappop(self._events)
            step()
        return list(self.asked.values())

    def _at(self, instant: float, step: Callable[[], None]) -> None:
        heapq.heappush(self._events, (instant, next(self._order), step))

    def _try(self, one: Asked) -> None:
        """Place a request, or have it wait or refused."""
        chosen = self._choose(one, self.entries[one.prompt.entry])
        if isinstance(chosen, Placement):
            self._claim(one, chosen)
        elif chosen.decision is Decision.wait:
            self._at(self.now + PLACEMENT_RETRY_S, partial(self._try, one))
        elif one.refused is None:
            self._come_back(one, chosen)

    def _choose(self, one: Asked, entry: Entry) -> Placement | Unplaced:
        """Return the best place nearby, or a better one elsewhere."""
        chosen = self._choose_among(one, entry, entry.near)
        cost = chosen.cost if isinstance(chosen, Placement) else None
        may_ask = entry.placer.policy.remote_targets
        if not may_ask or not should_query_remote(one.ask.worth, cost):
            return chosen
        groups: dict[str, list[ListedTarget]] = defaultdict(list)
        for listed in self.listed:
            if listed not in entry.near:
                groups[listed.data_centre].append(listed)
        found = [chosen]
        for group in groups.values():
            found.append(self._choose_among(one, entry, tuple(group)))
        return pick_cheapest(found)

    def _choose_among(
        self, one: Asked, entry: Entry, targets: tuple[ListedTarget, ...]
    ) -> Placement | Unplaced:
        return one.ask.choose(entry.placer, self.model, targets, self.now)

    def _claim(self, one: Asked, placement: Placement) -> None:
        """Tell of a long prompt, and send it a moment later."""
        entry = self.entries[one.prompt.entry]
        claims = entry.placer.policy.claims
        if not claims or not needs_claim(placement, one.ask.worth):
            self._send(one, placement)
            return
        flight = one.ask.make_flight(placement, Phase.prefill, self.now)
        known = {
            beside.flight_id for beside in entry.board.get_colocated(flight)
        }
        self._put(one, flight)
        self._at(
            self.now + CLAIM_DELAY_S,
            partial(self._end_claim, one, placement, flight, known),
        )

    def _end_claim(
        self,
        one: Asked,
        placement: Placement,
        flight: Flight,
        known: set[str],
    ) -> None:
        """Send what was told of, unless another prompt goes before it."""
        entry = self.entries[one.prompt.entry]
        if find_prior_claim(flight, entry.board.get_colocated(flight), known):
            self._put(one, None)
            self._try(one)
        else:
            self._send(one, placement)

    def _come_back(self, one: Asked, refusal: Unplaced) -> None:
        """Have a refused caller try once more, if it has the time."""
        one.refused = refusal.decision
        timing = one.ask.timing
        after_s = max(COME_BACK_S, refusal.retry_after_s)
        if after_s > (timing.deadline - self.now) / RETRY_PARTS:
            return
        patience_s = one.prompt.kind.patience_s
        gone = min(timing.deadline, self.now + after_s + patience_s)
        one.ask = replace(one.ask, timing=replace(timing, abandoned_at=gone))
        one.heard_at = self.now + after_s
        self._at(self.now + after_s, partial(self._try, one))

    def _send(self, one: Asked, placement: Placement) -> None:
        one.placement = placement
        one.unread = len(placement.helpers) + 1
        self._put(one, one.ask.make_flight(placement, Phase.prefill, self.now))
        self._part(one, placement.target, helping=False)
        for helper in placement.helpers:
            self._part(one, helper, helping=True)
        self._watch(one)

    def _part(self, one: Asked, listed: ListedTarget, *, helping: bool) -> None:
        size = one.prompt.size
        read_s = get_prefill_s(self.model, size.prompt_tokens) / one.unread
        part = Part(
            one.ask.req_id, size.prompt_tokens / one.unread, read_s, helping
        )
        self.engines[listed.incarnation].add_part(part)
        self._wake(listed.incarnation)

    def _wake(self, target_id: str) -> None:
        engine = self.engines[target_id]
        if engine.busy or not engine.has_work():
            return
        end_at = self.now + engine.begin()
        self._at(end_at, partial(self._end_pass, target_id))

    def _end_pass(self, target_id: str) -> None:
        found: PassEnd = self.engines[target_id].end()
        for req_id in found.read:
            self._note_read(self.asked[req_id])
        for req_id in found.events:
            self._note_event(self.asked[req_id])
        self._wake(target_id)

    def _note_read(self, one: Asked) -> None:
        one.unread -= 1
        if one.unread or one.left or one.placement is None:
            return
        size = one.prompt.size
        target_id = one.placement.target.incarnation
        events = -(-size.output_tokens // self.model.stride)
        self.engines[target_id].writers[one.ask.req_id] = Writer(
            one.ask.req_id, size.total_tokens // 2, max(1, events)
        )
        self._wake(target_id)

    def _note_event(self, one: Asked) -> None:
        if one.left or one.placement is None:
            return
        if one.first_at is None:
            one.first_at = self.now
            flight = one.ask.make_flight(one.placement, Phase.decode, self.now)
            self._put(one, flight)
        else:
            pause_s = self.now - one.heard_at
            one.longest_pause_s = max(one.longest_pause_s, pause_s)
        one.heard_at = self.now
        target_id = one.placement.target.incarnation
        if one.ask.req_id not in self.engines[target_id].writers:
            one.done_at = self.now
            self._put(one, None)

    def _watch(self, one: Asked) -> None:
        """Have the caller leave after a silence or at its deadline."""
        if one.done_at is not None or one.left:
            return
        gone = one.heard_at + one.prompt.kind.patience_s
        gone = min(gone, one.ask.timing.deadline)
        if self.now >= gone:
            self._leave(one)
        else:
            self._at(gone, partial(self._watch, one))

    def _leave(self, one: Asked) -> None:
        one.left = True
        for engine in self.engines.values():
            engine.drop(one.ask.req_id)
        self._put(one, None)

    def _put(self, one: Asked, flight: Flight | None) -> None:
        """Put a flight on its entry's board, and tell the others later."""
        entry = self.entries[one.prompt.entry]
        if flight:
            entry.board.put(flight)
        else:
            entry.board.remove(one.ask.req_id)
        entry.sequence += 1
        sequence = entry.sequence
        self._at(
            self.now + NEWS_S,
            partial(self._tell, entry, sequence, one.ask.req_id, flight),
        )

    def _tell(
        self,
        entry: Entry,
        sequence: int,
        req_id: str,
        flight: Flight | None,
    ) -> None:
        for other in self.entries:
            if other is not entry:
                other.board.apply_update(
                    entry.placer.member,
                    sequence,
                    [(req_id, flight)],
                    whole=False,
                )


def make_fleet(
    model: EngineModel,
    engines: int,
    entries: int,
    places: int = 1,
    terms: PlacementPolicy = DEFAULT_POLICY,
    *,
    many: bool = False,
) -> SharedFleet:
    """Return an idle fleet, spread evenly over some data centres.

    With `many` entries each sees only the engines of its own data centre.
    """
    listed = tuple(
        ListedTarget(
            f't{one:02}',
            's',
            f'10.0.0.{one}:80',
            f'dc-{one % places}',
            slots=model.batch,
        )
        for one in range(engines)
    )
    return SharedFleet(
        model,
        listed,
        tuple(
            _make_entry(
                number,
                f'dc-{number % places}',
                terms,
                _get_near(listed, f'dc-{number % places}') if many else listed,
            )
            for number in range(entries)
        ),
        engines={one.incarnation: PassEngine(model) for one in listed},
    )


def get_share(asked: list[Asked], kind: str = '') -> float:
    """Return the share of the worth of all, or of one kind, that is earned."""
    worths: dict[bool, float] = defaultdict(float)
    for one in asked:
        if not kind or one.prompt.kind.name == kind:
            worth = get_worth(one.prompt.size)
            worths[False] += worth
            worths[True] += worth * one.earned
    return worths[True] / worths[False]


def _get_near(
    listed: tuple[ListedTarget, ...], place: str
) -> tuple[ListedTarget, ...]:
    return tuple([one for one in listed if one.data_centre == place])


def _make_entry(
    number: int,
    place: str,
    terms: PlacementPolicy,
    near: tuple[ListedTarget, ...],
) -> Entry:
    board = LoadTable()
    name = f'entry-{number}'
    return Entry(board, Placer(board, Health(), name, place, terms), near)


def _make_ask(req_id: str, prompt: Prompt) -> PlacementRequest:
    kind = prompt.kind
    timing = Timing(
        arrived_at=prompt.at,
        due_at=prompt.at + kind.objective_s,
        abandoned_at=prompt.at + min(kind.patience_s, kind.deadline_s),
        deadline=prompt.at + kind.deadline_s,
    )
    return PlacementRequest(
        req_id, prompt.size, timing, kind.pause_s, kind.patience_s
    )
