"""
Jobs
====

A relayed request from its admission to its final answer, and the refusals.
"""

from dataclasses import dataclass, field
from enum import Enum
from types import MappingProxyType
from typing import Mapping

from trestledock.entry._wire import Head
from trestledock.relay import (
    PlacementRequest,
    Call,
    AttemptHistory,
    PromptSize,
    Route,
    TeamKey,
    Timing,
    WaitingRequest,
)


class Refusal(str, Enum):
    """Why a request is not answered by a target."""

    no_configuration = 'no_configuration'
    unknown_key = 'unknown_key'
    no_route = 'no_route'
    stale_proof = 'stale_proof'
    no_target = 'no_target'
    no_memory = 'no_memory'
    no_time = 'no_time'
    no_room = 'no_room'
    limited = 'limited'
    resting = 'resting'
    quarantined = 'quarantined'
    not_run = 'not_run'
    failed = 'failed'
    timeout = 'timeout'
    not_run_in_time = 'not_run_in_time'


#: The status of each refusal; 503 is a promise that nothing has run.
STATUSES: Mapping[Refusal, int] = MappingProxyType(
    {
        Refusal.no_configuration: 503,
        Refusal.unknown_key: 401,
        Refusal.no_route: 404,
        Refusal.stale_proof: 503,
        Refusal.no_target: 503,
        Refusal.no_memory: 503,
        Refusal.no_time: 503,
        Refusal.no_room: 503,
        Refusal.limited: 503,
        Refusal.resting: 503,
        Refusal.quarantined: 503,
        Refusal.not_run: 503,
        Refusal.failed: 502,
        Refusal.timeout: 504,
        Refusal.not_run_in_time: 503,
    }
)


@dataclass(frozen=True)
class Answer:
    """A target's whole answer, kept to be passed on."""

    head: Head
    body: bytes


@dataclass
class Job:
    """One request in progress.

    `last_event` is the id of the last event that the caller was sent, at the
    instant `last_event_at`; the first one was sent at `first_event_at`, and the
    longest pause since then took `longest_s`.  `fallback` is a target's
    failure that is passed on if nothing better comes.
    `writing` is true from before the first byte of a sending leaves until its
    ending stands in the history.  `has_repeat` says that a repeat was taken
    from the budget before the target was left.  `is_trial` says that one target
    may get the request though quarantined.  `come_back_s` is when there may
    be room for it, where it is refused.
    """

    call: Call
    route: Route
    service: str
    team: TeamKey
    deadline: float
    fingerprint: str = ''
    history: AttemptHistory = field(default_factory=AttemptHistory)
    tried: set[str] = field(default_factory=set)
    last_event: str = ''
    last_event_at: float | None = None
    first_event_at: float | None = None
    longest_s: float = 0
    fallback: Answer | None = None
    writing: bool = False
    has_repeat: bool = False
    is_trial: bool = False
    come_back_s: float = 0

    @property
    def may_have_run(self) -> bool:
        """Whether any target may have begun to work on the request."""
        return self.writing or self.history.may_have_run

    @property
    def begun(self) -> bool:
        """Whether the caller has a part of its answer: no refusal any more."""
        return self.last_event_at is not None

    @property
    def resume_after(self) -> str:
        """The event after which the stream is to go on."""
        return self.last_event or self.call.resume_after

    @property
    def priority(self) -> int | None:
        """The rank of the request: its team's, or else its route's."""
        if self.team.priority is None:
            return self.route.priority
        return self.team.priority

    @property
    def turn(self) -> WaitingRequest:
        """The request as it waits where targets take only so many."""
        return WaitingRequest(
            req_id=self.call.req_id,
            service=self.service,
            team=self.team.team,
            arrived_at=self.call.arrived_at,
            priority=self.priority,
        )

    def note_event(self, now: float) -> None:
        """Note that the caller is sent a part of its answer."""
        if self.last_event_at is None:
            self.first_event_at = now
        else:
            self.longest_s = max(self.longest_s, now - self.last_event_at)
        self.last_event_at = now

    @property
    def timing(self) -> Timing:
        """The instants that the request is judged by.

        Its caller leaves after a silence, whether before the first event or
        between two of them.
        """
        arrived_at = self.call.arrived_at
        heard_at = self.last_event_at or arrived_at
        return Timing(
            arrived_at=arrived_at,
            due_at=arrived_at + self.route.objective_s,
            abandoned_at=min(self.deadline, heard_at + self.route.patience_s),
            deadline=self.deadline,
            started=self.may_have_run,
        )

    @property
    def ask(self) -> PlacementRequest:
        """The request as the decisions take it; a plain call has no size."""
        return PlacementRequest(
            req_id=self.call.req_id,
            size=self.call.size or PromptSize(0, 0),
            timing=self.timing,
            pause_s=self.route.pause_s,
            patience_s=self.route.patience_s,
        )
