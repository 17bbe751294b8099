"""
The fold of the log
===================

One rule decides everything that must be agreed: a record names a scope and the
offset of the record it is based on, and is accepted if, and only if, that is
the offset accepted last in its scope (compare and set).  Every reader folds
the same records in the same order and so reaches the same verdicts; a record
appended twice under one id is accepted at most once.

Scopes are `configuration`, `epoch/<data centre>` and `lease/<data centre>`.

A log keeps records for a limited time.  A `Snapshot` therefore carries the
whole state and `as_of`, the offset up to which its writer had read.  A reader
that misses older records takes a snapshot only if it has read everything from
`as_of` on, and then folds those records again: a stale snapshot of a writer
that had been paused can bring nothing back.  The same rebase takes the state
from a peer while the platform is away.
"""

from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Callable, Mapping

from returns.result import Success

from trestledock.version._bodies import EpochBody, LeaseBody
from trestledock.version._check import check_configuration
from trestledock.version._codec import DecodeError, load_json

CONFIGURATION = 'configuration'
SNAPSHOT = 'snapshot'
EPOCH_PREFIX = 'epoch/'
LEASE_PREFIX = 'lease/'

#: The base of the first record of a scope.
NO_BASE = -1

#: How many verdicts of recent records are remembered.
MAX_VERDICTS = 2048


@dataclass(frozen=True)
class Record:
    """A record of the log; `body` is JSON text."""

    record_id: str
    scope: str
    base: int
    body: str


@dataclass(frozen=True)
class Accepted:
    """The record accepted last in a scope and its offset."""

    offset: int
    record_id: str
    body: str


@dataclass(frozen=True)
class Snapshot:
    """The state of a fold that had read every record below `as_of`."""

    as_of: int
    scopes: Mapping[str, Accepted]


def _is_valid(record: Record) -> bool:
    prefix = record.scope.partition('/')[0]
    check = _BODY_CHECKS.get(prefix)
    return check is not None and check(record.body)


def _is_body(kind: type) -> Callable[[str], bool]:
    def check(body: str) -> bool:  # noqa: WPS430
        try:
            load_json(body, kind)
        except DecodeError:
            return False
        return True

    return check


def _is_configuration(body: str) -> bool:
    return isinstance(check_configuration(body), Success)


#: What makes a body valid, by the part of the scope before the slash.
_BODY_CHECKS: Mapping[str, Callable[[str], bool]] = MappingProxyType(
    {
        CONFIGURATION: _is_configuration,
        'epoch': _is_body(EpochBody),
        'lease': _is_body(LeaseBody),
    }
)


@dataclass
class Fold:
    """The state of one reader of the log.

    >>> fold = Fold()
    >>> body = '{"holder": "entry-1", "ttl_s": 10}'
    >>> fold.apply(0, Record('a', 'lease/x', NO_BASE, body))
    True
    >>> fold.apply(1, Record('b', 'lease/x', NO_BASE, body))
    False
    """

    next_offset: int = 0
    scopes: dict[str, Accepted] = field(default_factory=dict)
    verdicts: dict[str, bool] = field(default_factory=dict)

    def get_accepted_by_scope(self, scope: str) -> Accepted | None:
        """Return what is in force in `scope`."""
        return self.scopes.get(scope)

    def get_base_by_scope(self, scope: str) -> int:
        """Return the base that the next record of `scope` must name."""
        accepted = self.scopes.get(scope)
        return accepted.offset if accepted else NO_BASE

    def apply(self, offset: int, record: Record) -> bool:
        """Fold the record at `offset`; return whether it was accepted.

        A record below `next_offset` was folded before and changes nothing.
        """
        if offset < self.next_offset:
            return self.verdicts.get(record.record_id, False)
        self.next_offset = offset + 1
        current = self.get_base_by_scope(record.scope)
        verdict = record.base == current and _is_valid(record)
        if verdict:
            self.scopes[record.scope] = Accepted(
                offset,
                record.record_id,
                record.body,
            )
        self._remember(record.record_id, verdict)
        return verdict

    def install_snapshot(self, snapshot: Snapshot) -> bool:
        """Take the state of a snapshot that is ahead of this reader."""
        if snapshot.as_of <= self.next_offset:
            return False
        self.next_offset = snapshot.as_of
        for scope, accepted in snapshot.scopes.items():
            if accepted.offset > self.get_base_by_scope(scope):
                self.scopes[scope] = accepted
                self._remember(accepted.record_id, verdict=True)
        return True

    def get_snapshot(self) -> Snapshot:
        """Return the state as of now."""
        return Snapshot(self.next_offset, dict(self.scopes))

    def _remember(self, record_id: str, verdict: bool) -> None:
        known = self.verdicts.get(record_id, False)
        self.verdicts[record_id] = known or verdict
        while len(self.verdicts) > MAX_VERDICTS:
            self.verdicts.pop(next(iter(self.verdicts)))
