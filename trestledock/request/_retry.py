"""
Retries
=======

Two limits on retries: a backoff with full jitter within the deadline, and a
circuit breaker for each target.  The retry budget, which limits retries to a
share of first attempts, is in `trestledock.relay`.  The node counts retries by
reason.
"""

from dataclasses import dataclass
from enum import Enum
from random import Random

#: The base and the maximum of the backoff, in seconds.
BACKOFF_BASE_S = 0.02
BACKOFF_CAP_S = 1.0
#: Consecutive failures that open a circuit breaker, the seconds that it then
#: stays open, and how often that time doubles with failed probes.
BREAKER_FAILURES = 3
BREAKER_OPEN_S = 2.0
MAX_DOUBLINGS = 4


def draw_backoff(number: int, rng: Random) -> float:
    """Return the jittered backoff in seconds before attempt `number`."""
    ceiling = min(BACKOFF_CAP_S, BACKOFF_BASE_S * 2**number)
    return rng.uniform(0, ceiling)


class CircuitState(str, Enum):
    """The state of a circuit breaker."""

    closed = 'closed'
    half_open = 'half_open'
    opened = 'opened'


@dataclass
class CircuitBreaker:
    """The circuit breaker of a target; allows one probe while half open.

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
        """Return whether an attempt may be sent at `now`."""
        state = self.get_state(now)
        if state is CircuitState.half_open:
            return not self.probing
        return state is CircuitState.closed

    def start(self, now: float) -> None:
        """Record that an attempt was sent."""
        self.probing = self.get_state(now) is CircuitState.half_open

    def succeed(self) -> None:
        """Record a success, which closes the circuit."""
        self.failures = 0
        self.probing = False

    def fail(self, now: float) -> None:
        """Record a failure."""
        self.failures += 1
        self.opened_at = now
        self.probing = False
