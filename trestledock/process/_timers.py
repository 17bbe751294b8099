"""
Timers
======

Messages that the core schedules for itself.  There is no cancellation: handlers
ignore timers that no longer apply.
"""

import heapq
from dataclasses import dataclass, field
from typing import Any, Iterator


@dataclass(frozen=True)
class DeadlinePassed:
    """The deadline of a request passed."""

    req_id: str


@dataclass(frozen=True)
class RetryDue:
    """The backoff of a request is over."""

    req_id: str


@dataclass(frozen=True)
class ClaimDue:
    """A claim without a usable response is due for another request."""

    req_id: str


@dataclass(frozen=True)
class GapDue:
    """Chunks of a response may still be missing after the end of its stream."""

    req_id: str
    attempt: int


@dataclass(frozen=True)
class SilenceDue:
    """The response of an engine to a job is overdue.

    `attempt`, `hold` and `stop` identify the job; `emitted` is the number of
    tokens that the caller had received when the job was sent.
    """

    req_id: str
    attempt: int
    hold: str
    stop: int
    emitted: int


@dataclass(frozen=True)
class DispatchDue:
    """The queue of a pool may have requests that can be dispatched."""

    pool: str


@dataclass(frozen=True)
class HeartbeatDue:
    """The periodic tasks are due."""


@dataclass
class Timers:
    """Pending timers, as a heap."""

    _heap: list[tuple[float, int, Any]] = field(default_factory=list)
    _count: int = 0

    def push(self, at: float, timer: Any) -> None:
        """Schedule a timer for the instant `at`."""
        self._count += 1
        heapq.heappush(self._heap, (at, self._count, timer))

    def pop_due(self, now: float) -> Iterator[Any]:
        """Yield the due timers, earliest first."""
        while self._heap and self._heap[0][0] <= now:
            yield heapq.heappop(self._heap)[2]

    def get_next(self) -> float:
        """Return the instant of the earliest timer, infinity without any."""
        return self._heap[0][0] if self._heap else float('inf')
