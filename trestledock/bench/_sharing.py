"""
Simulated fleets with mixed prompts
===================================

Simulates arrivals on a virtual clock, with the placement decisions of several
entries and with simulated engines.  Entries learn of each other's flights after
a delay, as with their datagrams.  A caller abandons its request after a time
without events, and retries once if it is refused.  An answer earns its full
worth in time, a share of it late, and nothing if it is not complete.

A simulated day takes a second or two, so that placement decisions can be
compared and tested on patterns of load: which prompts arrive, the worth of each
of them, and the share of that worth that is earned.
"""

import heapq
from collections import defaultdict
from dataclasses import dataclass, field, replace
from functools import partial
from itertools import count
from typing import Callable

from trestledock.bench._engine_simulation import (
    DecodingRequest,
    PassEngine,
    PassResult,
    PrefillChunk,
)
from trestledock.relay import (
    CLAIM_DELAY_S,
    DEFAULT_POLICY,
    PLACEMENT_RETRY_S,
    Decision,
    EngineModel,
    Flight,
    Health,
    ListedTarget,
    LoadTable,
    Phase,
    Placement,
    PlacementPolicy,
    PlacementRequest,
    Placer,
    PromptSize,
    Timing,
    Unplaced,
    find_prior_claim,
    get_prefill_s,
    get_worth,
    needs_claim,
    pick_cheapest,
    should_query_remote,
)

#: How long until other entries know of a flight, in seconds: the time in which
#: updates are collected for a datagram, and the network delay.
UPDATE_DELAY_S = 0.006
#: The least time before a refused caller retries, in seconds.  A caller retries
#: only if the delay is at most the remaining time divided by the divisor.
MIN_RETRY_AFTER_S = 0.25
RETRY_TIME_DIVISOR = 3
#: The share of its worth that a late answer earns.
LATE_SHARE = 0.25


@dataclass(frozen=True)
class Kind:
    """A kind of request.

    The first event is due after `objective_s`, later ones after pauses of up to
    `pause_s`; the caller leaves after `event_timeout_s` without an event, and
    at `deadline_s`.
    """

    name: str
    objective_s: float
    pause_s: float
    event_timeout_s: float
    deadline_s: float


@dataclass(frozen=True)
class Prompt:
    """The arrival of a prompt at an entry."""

    at: float
    kind: Kind
    size: PromptSize
    entry: int = 0


@dataclass
class RequestState:
    """The state of a request and its result."""

    request: PlacementRequest
    prompt: Prompt
    placement: Placement | None = None
    pending_chunks: int = 0
    first_at: float | None = None
    heard_at: float = 0
    longest_pause_s: float = 0
    done_at: float | None = None
    refused: Decision | None = None
    abandoned: bool = False

    @property
    def earned(self) -> float:
        """The share of its worth that was earned."""
        if self.done_at is None or self.first_at is None:
            return 0
        kind = self.prompt.kind
        late = self.first_at > self.request.timing.due_at
        paused = self.longest_pause_s > kind.pause_s
        return LATE_SHARE if late or paused else 1


@dataclass
class Entry:
    """One entry: its load table, and the sequence number of its messages.

    In a large deployment, each entry sees only the targets of its own data
    centre (`local_targets`) and queries the others; in a small one, these are
    all targets.
    """

    load_table: LoadTable
    placer: Placer
    local_targets: tuple[ListedTarget, ...]
    sequence: int = 0


@dataclass
class SharedFleet:
    """The engines and entries of one service."""

    model: EngineModel
    targets: tuple[ListedTarget, ...]
    entries: tuple[Entry, ...]
    now: float = 0
    states: dict[str, RequestState] = field(default_factory=dict)
    engines: dict[str, PassEngine] = field(default_factory=dict)
    _events: list[tuple[float, int, Callable[[], None]]] = field(
        default_factory=list
    )
    _order: 'count[int]' = field(default_factory=count)

    def simulate(self, prompts: list[Prompt]) -> list[RequestState]:
        """Simulate arrivals to their end; return the state of each request."""
        for number, prompt in enumerate(prompts):
            request = _make_request(f'r{number}', prompt)
            state = RequestState(request, prompt, heard_at=prompt.at)
            self.states[state.request.req_id] = state
            self._schedule(prompt.at, partial(self._place, state))
        while self._events:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        return list(self.states.values())

    def _schedule(self, at: float, callback: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._order), callback))

    def _place(self, state: RequestState) -> None:
        """Place a request; otherwise let it wait or refuse it."""
        chosen = self._choose_target(state, self.entries[state.prompt.entry])
        if isinstance(chosen, Placement):
            self._claim(state, chosen)
        elif chosen.decision is Decision.wait:
            self._schedule(
                self.now + PLACEMENT_RETRY_S, partial(self._place, state)
            )
        elif state.refused is None:
            self._schedule_retry(state, chosen)

    def _choose_target(
        self, state: RequestState, entry: Entry
    ) -> Placement | Unplaced:
        """Return the best local placement, or a better remote one."""
        chosen = self._choose_among(state, entry, entry.local_targets)
        cost = chosen.cost if isinstance(chosen, Placement) else None
        may_query = entry.placer.policy.remote_targets
        if not may_query or not should_query_remote(state.request.worth, cost):
            return chosen
        groups: dict[str, list[ListedTarget]] = defaultdict(list)
        for target in self.targets:
            if target not in entry.local_targets:
                groups[target.data_centre].append(target)
        options = [chosen]
        for group in groups.values():
            options.append(self._choose_among(state, entry, tuple(group)))
        return pick_cheapest(options)

    def _choose_among(
        self,
        state: RequestState,
        entry: Entry,
        targets: tuple[ListedTarget, ...],
    ) -> Placement | Unplaced:
        return state.request.choose(entry.placer, self.model, targets, self.now)

    def _claim(self, state: RequestState, placement: Placement) -> None:
        """Announce a long prompt, and send it after the claim delay."""
        entry = self.entries[state.prompt.entry]
        claims = entry.placer.policy.claims
        if not claims or not needs_claim(placement, state.request.worth):
            self._send(state, placement)
            return
        flight = state.request.make_flight(placement, Phase.prefill, self.now)
        known = {
            other.flight_id for other in entry.load_table.get_colocated(flight)
        }
        self._update_flight(state, flight)
        self._schedule(
            self.now + CLAIM_DELAY_S,
            partial(self._end_claim, state, placement, flight, known),
        )

    def _end_claim(
        self,
        state: RequestState,
        placement: Placement,
        flight: Flight,
        known: set[str],
    ) -> None:
        """Send an announced prompt, unless another claim has priority."""
        entry = self.entries[state.prompt.entry]
        if find_prior_claim(
            flight, entry.load_table.get_colocated(flight), known
        ):
            self._update_flight(state, None)
            self._place(state)
        else:
            self._send(state, placement)

    def _schedule_retry(self, state: RequestState, refusal: Unplaced) -> None:
        """Schedule a retry of a refused request, if enough time remains."""
        state.refused = refusal.decision
        timing = state.request.timing
        retry_after_s = max(MIN_RETRY_AFTER_S, refusal.retry_after_s)
        if retry_after_s > (timing.deadline - self.now) / RETRY_TIME_DIVISOR:
            return
        event_timeout_s = state.prompt.kind.event_timeout_s
        abandoned_at = min(
            timing.deadline, self.now + retry_after_s + event_timeout_s
        )
        state.request = replace(
            state.request, timing=replace(timing, abandoned_at=abandoned_at)
        )
        state.heard_at = self.now + retry_after_s
        self._schedule(self.now + retry_after_s, partial(self._place, state))

    def _send(self, state: RequestState, placement: Placement) -> None:
        state.placement = placement
        state.pending_chunks = len(placement.helpers) + 1
        self._update_flight(
            state, state.request.make_flight(placement, Phase.prefill, self.now)
        )
        self._start_chunk(state, placement.target, is_helper=False)
        for helper in placement.helpers:
            self._start_chunk(state, helper, is_helper=True)
        self._check_abandonment(state)

    def _start_chunk(
        self, state: RequestState, target: ListedTarget, *, is_helper: bool
    ) -> None:
        size = state.prompt.size
        prefill_s = (
            get_prefill_s(self.model, size.prompt_tokens) / state.pending_chunks
        )
        chunk = PrefillChunk(
            state.request.req_id,
            size.prompt_tokens / state.pending_chunks,
            prefill_s,
            is_helper,
        )
        self.engines[target.incarnation].add_chunk(chunk)
        self._start_pass(target.incarnation)

    def _start_pass(self, target_id: str) -> None:
        engine = self.engines[target_id]
        if engine.busy or not engine.has_work():
            return
        end_at = self.now + engine.begin_pass()
        self._schedule(end_at, partial(self._end_pass, target_id))

    def _end_pass(self, target_id: str) -> None:
        result: PassResult = self.engines[target_id].end_pass()
        for req_id in result.prefilled:
            self._record_prefilled(self.states[req_id])
        for req_id in result.events:
            self._record_event(self.states[req_id])
        self._start_pass(target_id)

    def _record_prefilled(self, state: RequestState) -> None:
        state.pending_chunks -= 1
        if state.pending_chunks or state.abandoned or state.placement is None:
            return
        size = state.prompt.size
        target_id = state.placement.target.incarnation
        events = -(-size.output_tokens // self.model.stride)
        self.engines[target_id].decoding[state.request.req_id] = (
            DecodingRequest(
                state.request.req_id, size.total_tokens // 2, max(1, events)
            )
        )
        self._start_pass(target_id)

    def _record_event(self, state: RequestState) -> None:
        if state.abandoned or state.placement is None:
            return
        if state.first_at is None:
            state.first_at = self.now
            flight = state.request.make_flight(
                state.placement, Phase.decode, self.now
            )
            self._update_flight(state, flight)
        else:
            pause_s = self.now - state.heard_at
            state.longest_pause_s = max(state.longest_pause_s, pause_s)
        state.heard_at = self.now
        target_id = state.placement.target.incarnation
        if state.request.req_id not in self.engines[target_id].decoding:
            state.done_at = self.now
            self._update_flight(state, None)

    def _check_abandonment(self, state: RequestState) -> None:
        """Abandon the request on a timeout; otherwise check later."""
        if state.done_at is not None or state.abandoned:
            return
        abandoned_at = state.heard_at + state.prompt.kind.event_timeout_s
        abandoned_at = min(abandoned_at, state.request.timing.deadline)
        if self.now >= abandoned_at:
            self._abandon(state)
        else:
            self._schedule(
                abandoned_at, partial(self._check_abandonment, state)
            )

    def _abandon(self, state: RequestState) -> None:
        state.abandoned = True
        for engine in self.engines.values():
            engine.remove_request(state.request.req_id)
        self._update_flight(state, None)

    def _update_flight(
        self, state: RequestState, flight: Flight | None
    ) -> None:
        """Update the load table of an entry, and the others after a delay."""
        entry = self.entries[state.prompt.entry]
        if flight:
            entry.load_table.put(flight)
        else:
            entry.load_table.remove(state.request.req_id)
        entry.sequence += 1
        sequence = entry.sequence
        self._schedule(
            self.now + UPDATE_DELAY_S,
            partial(
                self._send_update, entry, sequence, state.request.req_id, flight
            ),
        )

    def _send_update(
        self,
        entry: Entry,
        sequence: int,
        req_id: str,
        flight: Flight | None,
    ) -> None:
        for other in self.entries:
            if other is not entry:
                other.load_table.apply_update(
                    entry.placer.member,
                    sequence,
                    [(req_id, flight)],
                    whole=False,
                )


def make_fleet(
    model: EngineModel,
    engines: int,
    entries: int,
    data_centres: int = 1,
    policy: PlacementPolicy = DEFAULT_POLICY,
    *,
    many: bool = False,
) -> SharedFleet:
    """Return an idle fleet, distributed evenly over the data centres.

    With `many`, each entry sees only the engines of its own data centre, as in
    a deployment with many entries.
    """
    targets = tuple(
        ListedTarget(
            f't{number:02}',
            's',
            f'10.0.0.{number}:80',
            f'dc-{number % data_centres}',
            slots=model.batch,
        )
        for number in range(engines)
    )
    return SharedFleet(
        model,
        targets,
        tuple(
            _make_entry(
                number,
                f'dc-{number % data_centres}',
                policy,
                (
                    _get_local(targets, f'dc-{number % data_centres}')
                    if many
                    else targets
                ),
            )
            for number in range(entries)
        ),
        engines={target.incarnation: PassEngine(model) for target in targets},
    )


def get_earned_share(states: list[RequestState], kind: str = '') -> float:
    """Return the earned share of the worth of all requests or of one kind."""
    worths: dict[bool, float] = defaultdict(float)
    for state in states:
        if not kind or state.prompt.kind.name == kind:
            worth = get_worth(state.prompt.size)
            worths[False] += worth
            worths[True] += worth * state.earned
    return worths[True] / worths[False]


def _get_local(
    targets: tuple[ListedTarget, ...], data_centre: str
) -> tuple[ListedTarget, ...]:
    return tuple(
        [target for target in targets if target.data_centre == data_centre]
    )


def _make_entry(
    number: int,
    data_centre: str,
    policy: PlacementPolicy,
    local_targets: tuple[ListedTarget, ...],
) -> Entry:
    load_table = LoadTable()
    name = f'entry-{number}'
    return Entry(
        load_table,
        Placer(load_table, Health(), name, data_centre, policy),
        local_targets,
    )


def _make_request(req_id: str, prompt: Prompt) -> PlacementRequest:
    kind = prompt.kind
    timing = Timing(
        arrived_at=prompt.at,
        due_at=prompt.at + kind.objective_s,
        abandoned_at=prompt.at + min(kind.event_timeout_s, kind.deadline_s),
        deadline=prompt.at + kind.deadline_s,
    )
    return PlacementRequest(
        req_id, prompt.size, timing, kind.pause_s, kind.event_timeout_s
    )
