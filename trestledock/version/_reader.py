"""
Log reader
==========

Feeds batches from the log into a `Fold`, and bridges gaps where records were
removed by the log's retention.
"""

from dataclasses import dataclass, field
from typing import Any, Iterable

from trestledock.version._codec import (
    DecodeError,
    decode,
    dump_json,
    load_json,
)
from trestledock.version._fold import SNAPSHOT, Fold, Record, Snapshot


@dataclass(frozen=True)
class Entry:
    """A log record and its offset."""

    offset: int
    record: Record


@dataclass(frozen=True)
class Batch:
    """A response of the log: entries from offset `first`.

    `first` is the lowest retained offset at or above the requested one; `tail`
    is the offset of the next append.
    """

    first: int
    tail: int
    entries: tuple[Entry, ...]


#: Placeholder for records of other applications; it is never accepted.
FOREIGN = Record('', 'foreign', -2, '')


@dataclass(frozen=True)
class RawBatch:
    """A batch whose entries have not been decoded."""

    first: int
    tail: int
    entries: tuple[Any, ...]


def read_batch(data: Any) -> Batch:
    """Decode a response of the log.

    Entries that can't be decoded are replaced by `FOREIGN`.  Raises
    `DecodeError` if the response itself is invalid.
    """
    raw = decode(data, RawBatch)
    entries = []
    for number, raw_entry in enumerate(raw.entries):
        try:
            entries.append(decode(raw_entry, Entry))
        except DecodeError:
            entries.append(Entry(raw.first + number, FOREIGN))
    return Batch(raw.first, raw.tail, tuple(entries))


def make_snapshot_record(record_id: str, fold: Fold) -> Record:
    """Return a record that stores the state of `fold` in the log."""
    snapshot = fold.get_snapshot()
    return Record(record_id, SNAPSHOT, snapshot.as_of, dump_json(snapshot))


@dataclass
class Reader:
    """A reader of the log.

    `has_gap` is true while records are missing between the fold and the entries
    read after the gap; these are kept in `_pending`.
    """

    fold: Fold = field(default_factory=Fold)
    next_read: int = 0
    has_gap: bool = False
    at_tail: bool = False
    snapshots_seen: int = 0
    _gap_start: int = 0
    _pending: list[Entry] = field(default_factory=list)

    def feed(self, batch: Batch) -> list[Entry]:
        """Process a batch; return its accepted entries."""
        if batch.first > self.next_read:
            self._start_gap(batch.first)
        accepted: list[Entry] = []
        for entry in batch.entries:
            if entry.offset >= self.next_read:
                self.next_read = entry.offset + 1
                accepted.extend(self._process_entry(entry))
        self.next_read = max(self.next_read, batch.first)
        self.at_tail = self.next_read >= batch.tail and not self.has_gap
        return accepted

    def install_snapshot(self, snapshot: Snapshot) -> list[Entry]:
        """Install a snapshot from the log or from a peer.

        Returns the pending entries that were then accepted.
        """
        covers_gap = not self.has_gap or snapshot.as_of >= self._gap_start
        if not covers_gap or not self.fold.install_snapshot(snapshot):
            return []
        self.next_read = max(self.next_read, self.fold.next_offset)
        self.has_gap = False
        pending = tuple(self._pending)
        self._pending.clear()
        return [entry for entry in pending if self._apply(entry)]

    def _start_gap(self, first: int) -> None:
        self.has_gap = True
        self._gap_start = first
        self.next_read = first
        self._pending.clear()

    def _process_entry(self, entry: Entry) -> Iterable[Entry]:
        if entry.record.scope == SNAPSHOT:
            return self._process_snapshot(entry)
        if self.has_gap:
            self._pending.append(entry)
            return ()
        return (entry,) if self._apply(entry) else ()

    def _process_snapshot(self, entry: Entry) -> Iterable[Entry]:
        self.snapshots_seen += 1
        if not self.has_gap:
            self.fold.next_offset = entry.offset + 1
            return ()
        try:
            snapshot = load_json(entry.record.body, Snapshot)
        except DecodeError:
            return ()
        return self.install_snapshot(snapshot)

    def _apply(self, entry: Entry) -> bool:
        if entry.offset < self.fold.next_offset:
            return False
        return self.fold.apply(entry.offset, entry.record)
