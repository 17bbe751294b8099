"""
Log model
=========

A small model of the platform's append-only log, with offsets, limited
retention and a limited append rate.  It has no clock and no sockets: callers
pass the current time.
"""

from dataclasses import dataclass, field

from trestledock.version import Batch, Entry, Record

#: Maximum number of entries that one read returns.
MAX_READ_ENTRIES = 500


class Overloaded(Exception):
    """The append rate limit is exceeded; a later append may succeed."""


@dataclass
class LogModel:
    """An append-only log that drops records older than `retention_s`.

    `rate` is the number of appends per second.  A token bucket limits it and
    allows a burst of one second's appends.
    """

    retention_s: float = float('inf')
    rate: float = 300.0
    entries: list[tuple[float, Entry]] = field(default_factory=list)
    first_offset: int = 0
    next_offset: int = 0
    _append_tokens: float = 0
    _refilled_at: float = 0

    def append(self, record: Record, now: float) -> int:
        """Append a record and return its offset, or raise `Overloaded`."""
        gained = (now - self._refilled_at) * self.rate
        self._append_tokens = min(self.rate, self._append_tokens + gained)
        self._refilled_at = now
        if self._append_tokens < 1 and self.entries:
            raise Overloaded('too many appends')
        self._append_tokens -= 1
        offset = self.next_offset
        self.entries.append((now, Entry(offset, record)))
        self.next_offset += 1
        return offset

    def read(self, offset: int, now: float) -> Batch:
        """Return retained entries from `offset` on, up to the maximum number.

        If older entries were dropped, the batch starts after them.
        """
        self._expire(now)
        first_offset = max(offset, self.first_offset)
        start_index = first_offset - self.first_offset
        retained = self.entries[start_index : start_index + MAX_READ_ENTRIES]
        return Batch(
            first_offset,
            self.next_offset,
            tuple(entry for _, entry in retained),
        )

    def _expire(self, now: float) -> None:
        while self.entries and now - self.entries[0][0] > self.retention_s:
            self.entries.pop(0)
            self.first_offset += 1
