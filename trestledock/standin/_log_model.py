"""
Log model
=========

A small model of the platform's append-only log: offsets, limited retention
and a limited rate of appends.  It has no clock and no sockets.
"""

from dataclasses import dataclass, field

from trestledock.version import Batch, Entry, Record

#: The most entries that one read returns.
MAX_READ = 500


class Overloaded(Exception):
    """The log takes no more appends for the moment."""


@dataclass
class LogModel:
    """An append-only log that forgets old records."""

    retention_s: float = float('inf')
    rate: float = 300.0
    entries: list[tuple[float, Entry]] = field(default_factory=list)
    first: int = 0
    tail: int = 0
    _budget: float = 0
    _filled_at: float = 0

    def append(self, record: Record, now: float) -> int:
        """Append a record and return its offset."""
        gained = (now - self._filled_at) * self.rate
        self._budget = min(self.rate, self._budget + gained)
        self._filled_at = now
        if self._budget < 1 and self.entries:
            raise Overloaded('too many appends')
        self._budget -= 1
        offset = self.tail
        self.entries.append((now, Entry(offset, record)))
        self.tail += 1
        return offset

    def read(self, offset: int, now: float) -> Batch:
        """Return the entries from `offset` on that are still kept."""
        self._expire(now)
        first = max(offset, self.first)
        start = first - self.first
        chosen = self.entries[start : start + MAX_READ]
        return Batch(first, self.tail, tuple(entry for _, entry in chosen))

    def _expire(self, now: float) -> None:
        while self.entries and now - self.entries[0][0] > self.retention_s:
            self.entries.pop(0)
            self.first += 1
