"""
Timers
======

The messages that the core sends itself for later.  A timer that has become
pointless is simply ignored by its handler.
"""

import heapq
from dataclasses import dataclass, field
from typing import Any, Iterator


@dataclass(frozen=True)
class DeadlinePassed:
    """The deadline of a request has come."""

    req_id: str


@dataclass(frozen=True)
class RetryDue:
    """The backoff of a request is over."""

    req_id: str


@dataclass(frozen=True)
class ClaimDue:
    """A claim has had no usable answer yet."""

    req_id: str


@dataclass(frozen=True)
class GapDue:
    """Chunks of an attempt's answer may still be missing."""

    req_id: str
    attempt: int


@dataclass(frozen=True)
class SilenceDue:
    """An engine should long have answered a job.

    The job is known by its attempt, its hold and where its piece stops;
    `emitted` tokens had been passed on when it was sent.
    """

    req_id: str
    attempt: int
    hold: str
    stop: int
    emitted: int


@dataclass(frozen=True)
class DispatchDue:
    """Something may have made room for what waits for a pool."""

    pool: str


@dataclass(frozen=True)
class HeartbeatDue:
    """Time for a heartbeat and the duties that go with it."""


@dataclass
class Timers:
    """A heap of timers."""

    _heap: list[tuple[float, int, Any]] = field(default_factory=list)
    _count: int = 0

    def push(self, at: float, timer: Any) -> None:
        """Set a timer for the instant `at`."""
        self._count += 1
        heapq.heappush(self._heap, (at, self._count, timer))

    def pop_due(self, now: float) -> Iterator[Any]:
        """Yield the timers whose instant has come, earliest first."""
        while self._heap and self._heap[0][0] <= now:
            yield heapq.heappop(self._heap)[2]

    def get_next(self) -> float:
        """Return the instant of the earliest timer."""
        return self._heap[0][0] if self._heap else float('inf')
