"""
Jobs
====

A relayed request between admission and its final answer, and the refusals.
"""

from dataclasses import dataclass, field
from enum import Enum
from types import MappingProxyType
from typing import Mapping

from trestledock.entry._byte_budget import HeldBytes
from trestledock.entry._runs import Run
from trestledock.entry._wire import Head
from trestledock.relay import (
    PlacementRequest,
    Call,
    AttemptHistory,
    PromptSize,
    Route,
    TeamKey,
    Timing,
    UsageKey,
    WaitingRequest,
    get_rank,
)


class Refusal(str, Enum):
    """The reason why no target answers a request, as it is logged.

    `no_link` means that no target can be reached from here, directly or through
    another entry, `no_buffer` that this entry has no memory left for the body,
    `no_turn` that the turn of a request behind others would come too late,
    `limited` that the wait for a rate limit would be too long, `backing_off`
    that all targets of the service back off, `cold` that they are cold, and
    `evacuated` that they are in evacuated data centres.
    """

    no_configuration = 'no_configuration'
    unknown_key = 'unknown_key'
    no_route = 'no_route'
    stale_proof = 'stale_proof'
    no_target = 'no_target'
    no_link = 'no_link'
    no_memory = 'no_memory'
    no_time = 'no_time'
    no_room = 'no_room'
    no_buffer = 'no_buffer'
    no_turn = 'no_turn'
    limited = 'limited'
    backing_off = 'resting'
    evacuated = 'evacuated'
    cold = 'cold'
    quarantined = 'quarantined'
    not_run = 'not_run'
    failed = 'failed'
    timeout = 'timeout'
    not_run_in_time = 'not_run_in_time'


#: The status of each refusal; 503 promises that the request has not run.
STATUSES: Mapping[Refusal, int] = MappingProxyType(
    {
        Refusal.no_configuration: 503,
        Refusal.unknown_key: 401,
        Refusal.no_route: 404,
        Refusal.stale_proof: 503,
        Refusal.no_target: 503,
        Refusal.no_link: 503,
        Refusal.no_memory: 503,
        Refusal.no_time: 503,
        Refusal.no_room: 503,
        Refusal.no_buffer: 503,
        Refusal.no_turn: 503,
        Refusal.limited: 503,
        Refusal.backing_off: 503,
        Refusal.evacuated: 503,
        Refusal.cold: 503,
        Refusal.quarantined: 503,
        Refusal.not_run: 503,
        Refusal.failed: 502,
        Refusal.timeout: 504,
        Refusal.not_run_in_time: 503,
    }
)


@dataclass(frozen=True)
class StoredAnswer:
    """A target's complete answer, stored to be forwarded later."""

    head: Head
    body: bytes


@dataclass
class Job:
    """One request in progress.

    `last_event_id` is the id of the last event sent to the caller, at the time
    `last_event_at`; the first event was sent at `first_event_at`, and
    `longest_pause_s` is the longest pause between events so far.  `fallback` is
    a target's error response, or an answer whose target may have ended, which
    is forwarded if no attempt succeeds.
    `is_writing` is true from before the first byte of an attempt is written
    until its outcome is in the history.  `has_reserved_retry` is true if a
    retry was taken from the budget before the target was given up.  `is_trial`
    is true if one target may run the request as a probe although it is
    quarantined.  `retry_after_s` is the Retry-After of a refusal, without
    jitter.  `placed_at` is when a target was first chosen, and `refusal` what
    the caller was finally told in place of an answer.  `answer_held` counts the
    bytes of plain answers.  `is_ranked` is true if the requests of the service
    have different ranks, and `has_yielded` once it left engines to the requests
    ahead of it.  `run` is the last attempt at a target.  `rejected_at` has when
    targets rejected the request last.
    """

    call: Call
    route: Route
    service: str
    team: TeamKey
    deadline: float
    fingerprint: str = ''
    history: AttemptHistory = field(default_factory=AttemptHistory)
    tried: set[str] = field(default_factory=set)
    last_event_id: str = ''
    last_event_at: float | None = None
    first_event_at: float | None = None
    longest_pause_s: float = 0
    fallback: StoredAnswer | None = None
    is_writing: bool = False
    has_reserved_retry: bool = False
    is_trial: bool = False
    retry_after_s: float = 0
    placed_at: float | None = None
    answer_held: HeldBytes | None = None
    refusal: Refusal | None = None
    is_ranked: bool = False
    has_yielded: bool = False
    is_usage_recorded: bool = False
    run: Run | None = None
    rejected_at: dict[str, float] = field(default_factory=dict)

    @property
    def names(self) -> tuple[str, ...]:
        """What the request is known by if it crashes targets."""
        return self.fingerprint, *self.call.parts

    @property
    def may_have_run(self) -> bool:
        """Return whether any target may have started to run the request."""
        return self.is_writing or self.history.may_have_run

    @property
    def response_begun(self) -> bool:
        """Return whether the caller has a part of the answer.

        The request can't be refused any more.
        """
        return self.last_event_at is not None

    @property
    def resume_after(self) -> str:
        """The id of the event after which the stream resumes."""
        return self.last_event_id or self.call.resume_after

    @property
    def priority(self) -> int | None:
        """The priority of the request: its team's, or else its route's."""
        if self.team.priority is None:
            return self.route.priority
        return self.team.priority

    @property
    def usage_key(self) -> UsageKey:
        """What the tokens of the request count for."""
        return UsageKey(self.service, get_rank(self.priority), self.team.team)

    @property
    def waiting_request(self) -> WaitingRequest:
        """The request's place in the queue for rate-limited targets."""
        return WaitingRequest(
            req_id=self.call.req_id,
            service=self.service,
            team=self.team.team,
            arrived_at=self.call.arrived_at,
            priority=self.priority,
        )

    def record_event(self, now: float) -> None:
        """Record that a part of the answer is sent to the caller."""
        if self.last_event_at is None:
            self.first_event_at = now
        else:
            self.longest_pause_s = max(
                self.longest_pause_s, now - self.last_event_at
            )
        self.last_event_at = now

    @property
    def timing(self) -> Timing:
        """The due time and deadlines of the request.

        Its caller disconnects after a silence, before the first event as well
        as between two events.
        """
        arrived_at = self.call.arrived_at
        last_sent_at = self.last_event_at or arrived_at
        return Timing(
            arrived_at=arrived_at,
            due_at=arrived_at + self.route.objective_s,
            abandoned_at=min(
                self.deadline, last_sent_at + self.route.event_timeout_s
            ),
            deadline=self.deadline,
            started=self.may_have_run,
        )

    @property
    def placement_request(self) -> PlacementRequest:
        """The request as the input of placement; a plain call has size zero."""
        return PlacementRequest(
            req_id=self.call.req_id,
            size=self.call.size or PromptSize(0, 0),
            timing=self.timing,
            pause_s=self.route.pause_s,
            event_timeout_s=self.route.event_timeout_s,
            rank=get_rank(self.priority) if self.is_ranked else None,
        )
