"""
Live requests
=============

A request that is in progress at an instance: its phase, its attempts, and the
assembly of its response.

::

    queued -> running -> done
       ^         |
       +- backoff+      claiming -> running (calls under a claim)
"""

from dataclasses import dataclass, field
from enum import Enum
from types import MappingProxyType
from typing import Mapping

from trestledock.request import (
    Assembler,
    Attempt,
    AttemptEvent,
    Outcome,
    Request,
    derive_outcome,
)


class Phase(str, Enum):
    """The phase of a live request."""

    queued = 'queued'
    claiming = 'claiming'
    running = 'running'
    backoff = 'backoff'
    done = 'done'


#: The permitted transitions between phases.
NEXT_PHASES: Mapping[Phase, frozenset[Phase]] = MappingProxyType(
    {
        Phase.queued: frozenset((Phase.running, Phase.done)),
        Phase.claiming: frozenset((Phase.running, Phase.queued, Phase.done)),
        Phase.running: frozenset((Phase.backoff, Phase.queued, Phase.done)),
        Phase.backoff: frozenset((Phase.queued, Phase.running, Phase.done)),
        Phase.done: frozenset(),
    }
)


@dataclass(frozen=True)
class Share:
    """The part of a prompt that one engine of a group prefills."""

    target: str
    start: int
    stop: int
    hold: str


@dataclass
class PendingClaim:
    """The claim that a request needs for its key."""

    claim_id: str
    key: str
    not_after: float
    heard_at: float
    granted: bool = False
    refused: str = ''


@dataclass
class LiveRequest:
    """A request in progress.

    `least_s` is the minimum time that it takes once it is sent.
    `reserved_engines` counts the engines of the group that have confirmed their
    reservation.  `awaited_job` is the reservation and the last token of the job
    whose result is awaited.  The last attempt began at `attempt_at`, and
    `heard_at` is the arrival of its last chunk.  With `is_trial`, the request
    probes whether it still crashes targets.
    """

    req: Request
    arrived_at: float
    pool: str
    cost: float = 0
    least_s: float = 0
    phase: Phase = Phase.queued
    attempts: list[Attempt] = field(default_factory=list)
    assembler: Assembler = field(default_factory=lambda: Assembler(0))
    shares: tuple[Share, ...] = ()
    prefilled_tokens: int = 0
    reserved_engines: int = 0
    resumed: bool = False
    awaited_job: tuple[str, int] = ('', 0)
    claim: PendingClaim | None = None
    first_token_at: float | None = None
    heard_at: float = 0
    attempt_at: float = 0
    is_trial: bool = False

    @property
    def attempt(self) -> Attempt:
        """The newest attempt."""
        return self.attempts[-1]

    @property
    def emitted(self) -> int:
        """The number of tokens that the caller has received."""
        return self.assembler.next_index

    @property
    def prefill_stop(self) -> int:
        """The number of tokens to prefill before the next one is decoded."""
        return self.req.prompt_tokens + self.emitted

    def enter_phase(self, phase: Phase) -> bool:
        """Enter `phase` if the transition is permitted; return whether so."""
        is_allowed = phase in NEXT_PHASES[self.phase]
        if is_allowed:
            self.phase = phase
        return is_allowed

    def begin_attempt(self, target: str, now: float) -> Attempt:
        """Begin a new attempt, which continues after the emitted tokens."""
        attempt = Attempt(len(self.attempts) + 1, target)
        self.attempts.append(attempt)
        self.assembler.switch(attempt.number)
        self.prefilled_tokens = 0
        self.reserved_engines = 0
        self.resumed = False
        self.heard_at = 0
        self.attempt_at = now
        return attempt

    def advance_attempt(self, number: int, event: AttemptEvent) -> bool:
        """Advance an attempt; return whether it is the current one."""
        if not 0 < number <= len(self.attempts):
            return False
        attempt = self.attempts[number - 1]
        is_current = number == len(self.attempts) and attempt.is_live
        self.attempts[number - 1] = attempt.advance(event)
        return is_current

    def derive_outcome(self) -> Outcome:
        """Derive the outcome if the request ended now.

        Another instance may have run the key before: without a claim, a call is
        `not_run` only if the caller says that this is the first attempt.
        """
        req = self.req
        has_key = not req.idempotent and req.idempotency_key
        is_granted = self.claim is not None and self.claim.granted
        if has_key and not is_granted and not req.first_attempt:
            return Outcome.unknown
        return derive_outcome(self.attempts, idempotent=req.idempotent)

    def get_current_share(self) -> Share:
        """Return the share of the group that is prefilled next."""
        for share in self.shares:
            if self.prefilled_tokens < share.stop:
                return share
        return self.shares[-1]
