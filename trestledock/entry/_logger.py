"""
Structured log
==============

Writes events as JSON lines to standard output. The volume is limited for each
kind of event, with a higher limit for failures than for successes. Writing
never blocks: lines that standard output does not accept wait in a bounded
queue, and a line reports how many were dropped.
"""

import logging
import os
import sys
from collections import deque
from dataclasses import dataclass, field
from typing import Callable

from pythonjsonlogger.json import JsonFormatter

from trestledock.clock import read_clock
from trestledock.entry import _events as events
from trestledock.entry._metrics import METRICS

#: Maximum number of lines of a kind in a second, and the same for failures.
MAX_LINES_PER_S = 60
MAX_FAILURE_LINES_PER_S = 240
#: Maximum number of lines that wait for standard output.
MAX_WAITING = 2_000

#: Kinds with the higher limit, as they tell why a request failed.
FAILURES = frozenset(
    kind.get_name()
    for kind in (
        events.Refused,
        events.SendingEnded,
        events.ForeignAnswer,
        events.Cut,
        events.FailurePassedOn,
        events.Failed,
        events.RequestEnded,
    )
)

logger = logging.getLogger('trestledock.relay')


def emit(event: events.Event, *, failed: bool = False) -> None:
    """Count and log an event; `failed` adds the current traceback."""
    METRICS.record_event(event)
    level = logging.ERROR if failed else logging.INFO
    logger.log(
        level, event.get_name(), extra=event.get_fields(), exc_info=failed
    )


@dataclass
class LineLimit:
    """Counts the lines of each kind in the current second.

    >>> limit = LineLimit(clock=lambda: 0.0)
    >>> sum(limit.allows('answered') for _ in range(1000)) == MAX_LINES_PER_S
    True
    """

    clock: Callable[[], float] = read_clock
    second: int = -1
    counts: dict[str, int] = field(default_factory=dict)

    def allows(self, kind: str) -> bool:
        """Whether another line of this kind may be written."""
        self.counts[kind] = self.counts.get(kind, 0) + 1
        return self.counts[kind] <= _get_max_lines(kind)

    def start_new_second(self) -> dict[str, int]:
        """Return the dropped lines by kind, once a second has passed."""
        second = int(self.clock())
        if second == self.second:
            return {}
        dropped = {
            kind: count - _get_max_lines(kind)
            for kind, count in self.counts.items()
        }
        self.second = second
        self.counts = {}
        return {kind: count for kind, count in dropped.items() if count > 0}


def _get_max_lines(kind: str) -> int:
    return MAX_FAILURE_LINES_PER_S if kind in FAILURES else MAX_LINES_PER_S


class PipeHandler(logging.Handler):
    """Log handler that writes to a file descriptor without blocking."""

    def __init__(self, descriptor: int, limit: LineLimit | None = None) -> None:
        """Make the descriptor non-blocking."""
        super().__init__()
        self.descriptor = descriptor
        self.limit = limit or LineLimit()
        self.waiting: deque[bytes] = deque()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or drop it."""
        for kind, count in self.limit.start_new_second().items():
            self._put_dropped_count(kind, count, 'rate')
        if self.limit.allows(record.getMessage()):
            self._put(record)
        self._flush()

    def _put(self, record: logging.LogRecord) -> None:
        if len(self.waiting) >= MAX_WAITING:
            self.dropped += 1
            return
        if self.dropped:
            dropped, self.dropped = self.dropped, 0
            self._put_dropped_count('any', dropped, 'pipe')
        line = self.format(record)
        self.waiting.append(f'{line}\n'.encode())

    def _put_dropped_count(self, kind: str, count: int, reason: str) -> None:
        event = events.LinesLeftOut(kind, count, reason)
        METRICS.record_event(event)
        record = logger.makeRecord(
            logger.name,
            logging.WARNING,
            '',
            0,
            event.get_name(),
            (),
            None,
            extra=event.get_fields(),
        )
        self.waiting.append(f'{self.format(record)}\n'.encode())

    def _flush(self) -> None:
        while self.waiting:
            line = self.waiting[0]
            try:
                count = os.write(self.descriptor, line)
            except OSError:
                # Full or closed: a later call writes the waiting lines.
                return
            if count < len(line):
                self.waiting[0] = line[count:]
                return
            self.waiting.popleft()


def set_up_logs() -> None:
    """Log to standard output."""
    handler = PipeHandler(sys.stdout.fileno())
    handler.setFormatter(
        JsonFormatter('%(asctime)s %(levelname)s %(message)s'),
    )
    root = logging.getLogger('trestledock')
    root.addHandler(handler)
    root.setLevel(logging.INFO)
    root.propagate = False
