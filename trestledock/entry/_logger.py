"""
Structured log
==============

Writes events as JSON lines to standard output.  The volume is bounded for each
kind of event, failures more generously than successes, and writing never
blocks: what standard output does not take is kept for a while and then left
out, and a line says how much.
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

#: Lines of one kind a second; those of failures may be more.
MOST_LINES = 60
MOST_FAILURES = 240
#: Lines that wait for standard output to take them.
MOST_WAITING = 2_000

#: Kinds of which more is kept: they tell why a request failed.
FAILURES = frozenset(
    kind.get_name()
    for kind in (
        events.Refused,
        events.SendingEnded,
        events.Cut,
        events.FailurePassedOn,
        events.Failed,
    )
)

logger = logging.getLogger('trestledock.relay')


def emit(event: events.Event, *, failed: bool = False) -> None:
    """Count and write one event; `failed` adds the traceback at hand."""
    METRICS.record_event(event)
    level = logging.ERROR if failed else logging.INFO
    logger.log(
        level, event.get_name(), extra=event.get_fields(), exc_info=failed
    )


@dataclass
class LineLimit:
    """Counts the lines of each kind in the current second.

    >>> limit = LineLimit(clock=lambda: 0.0)
    >>> sum(limit.allows('answered') for _ in range(1000)) == MOST_LINES
    True
    """

    clock: Callable[[], float] = read_clock
    second: int = -1
    counts: dict[str, int] = field(default_factory=dict)

    def allows(self, kind: str) -> bool:
        """Whether a line of this kind is written."""
        self.counts[kind] = self.counts.get(kind, 0) + 1
        return self.counts[kind] <= _get_most(kind)

    def turn(self) -> dict[str, int]:
        """Return what was left out, once a second has passed."""
        second = int(self.clock())
        if second == self.second:
            return {}
        left_out = {
            kind: count - _get_most(kind) for kind, count in self.counts.items()
        }
        self.second = second
        self.counts = {}
        return {kind: count for kind, count in left_out.items() if count > 0}


def _get_most(kind: str) -> int:
    return MOST_FAILURES if kind in FAILURES else MOST_LINES


class PipeHandler(logging.Handler):
    """Writes lines to a file descriptor without ever waiting for it."""

    def __init__(self, descriptor: int, limit: LineLimit | None = None) -> None:
        """Make the descriptor non-blocking."""
        super().__init__()
        self.descriptor = descriptor
        self.limit = limit or LineLimit()
        self.waiting: deque[bytes] = deque()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or leave it out."""
        for kind, count in self.limit.turn().items():
            self._put_left_out(kind, count, 'rate')
        if self.limit.allows(record.getMessage()):
            self._put(record)
        self._flush()

    def _put(self, record: logging.LogRecord) -> None:
        if len(self.waiting) >= MOST_WAITING:
            self.dropped += 1
            return
        if self.dropped:
            dropped, self.dropped = self.dropped, 0
            self._put_left_out('any', dropped, 'pipe')
        line = self.format(record)
        self.waiting.append(f'{line}\n'.encode())

    def _put_left_out(self, kind: str, count: int, reason: str) -> None:
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
                # Full or closed: what waits is written with a later line.
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
