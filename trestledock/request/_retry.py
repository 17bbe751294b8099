"""
Retries
=======

Two bounds on retries: a backoff with full jitter inside the deadline, and a
breaker per target.  The budget that ties them to first attempts is that of
`trestledock.relay`.  A counter per reason is kept by the node.
"""

from dataclasses import dataclass
from enum import Enum
from random import Random

#: First and largest backoff, in seconds.
BACKOFF_BASE_S = 0.02
BACKOFF_CAP_S = 1.0
#: Failures in a row that open a breaker, how long it stays open, and how often
#: that doubles with failed probes.
BREAKER_FAILURES = 3
BREAKER_OPEN_S = 2.0
MAX_DOUBLINGS = 4


def draw_backoff(number: int, rng: Random) -> float:
    """Return a full-jitter backoff in seconds before attempt `number`."""
    ceiling = min(BACKOFF_CAP_S, BACKOFF_BASE_S * 2**number)
    return rng.uniform(0, ceiling)


class CircuitState(str, Enum):
    """Whether a target gets traffic."""

    closed = 'closed'
    half_open = 'half_open'
    opened = 'opened'


@dataclass
class CircuitBreaker:
    """A breaker of one target, with one probe while half open.

    >>> breaker = CircuitBreaker()
    >>> for _ in range(BREAKER_FAILURES):
    ...     breaker.fail(now=0)
    >>> breaker.get_state(now=1).value
    'opened'
    """

    failures: int = 0
    opened_at: float = 0
    probing: bool = False

    def get_state(self, now: float) -> CircuitState:
        """Return the state at `now`."""
        if self.failures < BREAKER_FAILURES:
            return CircuitState.closed
        probes = min(self.failures - BREAKER_FAILURES, MAX_DOUBLINGS)
        if now - self.opened_at >= BREAKER_OPEN_S * 2**probes:
            return CircuitState.half_open
        return CircuitState.opened

    def allows(self, now: float) -> bool:
        """Whether an attempt may be sent at `now`."""
        state = self.get_state(now)
        if state is CircuitState.half_open:
            return not self.probing
        return state is CircuitState.closed

    def start(self, now: float) -> None:
        """Note that an attempt was sent."""
        self.probing = self.get_state(now) is CircuitState.half_open

    def succeed(self) -> None:
        """Note an answer: the target is well."""
        self.failures = 0
        self.probing = False

    def fail(self, now: float) -> None:
        """Note a failure."""
        self.failures += 1
        self.opened_at = now
        self.probing = False
