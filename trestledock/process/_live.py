"""
Live requests
=============

The life of one admitted request inside an instance, as a small state table,
with its attempts and the assembly of its answer.

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
    """Where a live request stands."""

    queued = 'queued'
    claiming = 'claiming'
    running = 'running'
    backoff = 'backoff'
    done = 'done'


#: Which phase may follow which.
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
    """The part of a prompt that one engine of a group holds."""

    target: str
    start: int
    stop: int
    hold: str


@dataclass
class PendingClaim:
    """A request's wait for the claim on its key."""

    claim_id: str
    key: str
    not_after: float
    heard_at: float
    granted: bool = False
    refused: str = ''


@dataclass
class LiveRequest:
    """A live request."""

    req: Request
    arrived_at: float
    pool: str
    cost: float = 0
    least_s: float = 0
    phase: Phase = Phase.queued
    attempts: list[Attempt] = field(default_factory=list)
    assembler: Assembler = field(default_factory=lambda: Assembler(0))
    shares: tuple[Share, ...] = ()
    position: int = 0
    reserved: int = 0
    resumed: bool = False
    awaited: tuple[str, int] = ('', 0)
    claim: PendingClaim | None = None
    first_token_at: float | None = None
    heard_at: float = 0
    is_trial: bool = False

    @property
    def attempt(self) -> Attempt:
        """The newest attempt."""
        return self.attempts[-1]

    @property
    def emitted(self) -> int:
        """How many tokens have been passed on to the caller."""
        return self.assembler.next_index

    @property
    def prefill_stop(self) -> int:
        """How many tokens must be prefilled before the first new one."""
        return self.req.prompt_tokens + self.emitted

    def enter_phase(self, phase: Phase) -> bool:
        """Go to `phase` where the table allows it; return whether it does."""
        allowed = phase in NEXT_PHASES[self.phase]
        if allowed:
            self.phase = phase
        return allowed

    def begin_attempt(self, target: str) -> Attempt:
        """Begin a new attempt, after the tokens passed on so far."""
        attempt = Attempt(len(self.attempts) + 1, target)
        self.attempts.append(attempt)
        self.assembler.switch(attempt.number)
        self.position = 0
        self.reserved = 0
        self.resumed = False
        self.heard_at = 0
        return attempt

    def advance_attempt(self, number: int, event: AttemptEvent) -> bool:
        """Advance an attempt; return whether it is the newest and live."""
        if not 0 < number <= len(self.attempts):
            return False
        attempt = self.attempts[number - 1]
        current = number == len(self.attempts) and attempt.is_live
        self.attempts[number - 1] = attempt.advance(event)
        return current

    def derive_outcome(self) -> Outcome:
        """Derive how the request would end now.

        A key may have run through another instance before: without its claim
        a call is `not_run` only if the caller says it is the first attempt.
        """
        req = self.req
        keyed = not req.idempotent and req.idempotency_key
        granted = self.claim is not None and self.claim.granted
        if keyed and not granted and not req.first_attempt:
            return Outcome.unknown
        return derive_outcome(self.attempts, idempotent=req.idempotent)

    def get_current_share(self) -> Share:
        """Return the share of the group that is to be prefilled next."""
        for share in self.shares:
            if self.position < share.stop:
                return share
        return self.shares[-1]
