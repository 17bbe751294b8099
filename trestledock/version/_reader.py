"""
Log reader
==========

Feeds batches read from the log into a `Fold`, across gaps that the log's
retention has torn.
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
    """A record as read from the log, with its offset."""

    offset: int
    record: Record


@dataclass(frozen=True)
class Batch:
    """An answer of the log: entries from `first` on.

    `first` is the first offset that the log still keeps at or above the
    offset asked for; `tail` is the offset that the next append will get.
    """

    first: int
    tail: int
    entries: tuple[Entry, ...]


#: Stands for a record that others keep on the log; nothing accepts it.
FOREIGN = Record('', 'foreign', -2, '')


@dataclass(frozen=True)
class RawBatch:
    """A batch whose entries have not been looked at."""

    first: int
    tail: int
    entries: tuple[Any, ...]


def read_batch(plain: Any) -> Batch:
    """Read an answer of the log; records of others are kept as foreign.

    Raises `DecodeError` where the answer itself makes no sense.
    """
    raw = decode(plain, RawBatch)
    entries = []
    for number, one in enumerate(raw.entries):
        try:
            entries.append(decode(one, Entry))
        except DecodeError:
            entries.append(Entry(raw.first + number, FOREIGN))
    return Batch(raw.first, raw.tail, tuple(entries))


def make_snapshot_record(record_id: str, fold: Fold) -> Record:
    """Return the record that keeps the state of `fold` on the log."""
    snapshot = fold.get_snapshot()
    return Record(record_id, SNAPSHOT, snapshot.as_of, dump_json(snapshot))


@dataclass
class Reader:
    """One reader of the log.

    `has_gap` is true while records are missing between the fold and what has
    been read since; entries read meanwhile wait in `_pending`.
    """

    fold: Fold = field(default_factory=Fold)
    next_read: int = 0
    has_gap: bool = False
    at_tail: bool = False
    snapshots_seen: int = 0
    _gap_start: int = 0
    _pending: list[Entry] = field(default_factory=list)

    def feed(self, batch: Batch) -> list[Entry]:
        """Take a batch; return the entries accepted by it."""
        if batch.first > self.next_read:
            self._open_gap(batch.first)
        accepted: list[Entry] = []
        for entry in batch.entries:
            if entry.offset >= self.next_read:
                self.next_read = entry.offset + 1
                accepted.extend(self._take(entry))
        self.next_read = max(self.next_read, batch.first)
        self.at_tail = self.next_read >= batch.tail and not self.has_gap
        return accepted

    def install_snapshot(self, snapshot: Snapshot) -> list[Entry]:
        """Take a snapshot from the log or from a peer.

        Returns the waiting entries that were accepted on top of it.
        """
        covers = not self.has_gap or snapshot.as_of >= self._gap_start
        if not covers or not self.fold.install_snapshot(snapshot):
            return []
        self.next_read = max(self.next_read, self.fold.next_offset)
        self.has_gap = False
        waiting = tuple(self._pending)
        self._pending.clear()
        return [entry for entry in waiting if self._fold(entry)]

    def _open_gap(self, first: int) -> None:
        self.has_gap = True
        self._gap_start = first
        self.next_read = first
        self._pending.clear()

    def _take(self, entry: Entry) -> Iterable[Entry]:
        if entry.record.scope == SNAPSHOT:
            return self._take_snapshot(entry)
        if self.has_gap:
            self._pending.append(entry)
            return ()
        return (entry,) if self._fold(entry) else ()

    def _take_snapshot(self, entry: Entry) -> Iterable[Entry]:
        self.snapshots_seen += 1
        if not self.has_gap:
            self.fold.next_offset = entry.offset + 1
            return ()
        try:
            snapshot = load_json(entry.record.body, Snapshot)
        except DecodeError:
            return ()
        return self.install_snapshot(snapshot)

    def _fold(self, entry: Entry) -> bool:
        if entry.offset < self.fold.next_offset:
            return False
        return self.fold.apply(entry.offset, entry.record)
