"""
Log fold
========

One rule decides all shared state: a record names a scope and the offset of the
record that it is based on, and is accepted if and only if that record is the
last one accepted in its scope (compare-and-set).  All readers fold the same
records in the same order and therefore reach the same verdicts.  A record
appended twice with the same id is accepted at most once.

The scopes are `configuration`, `epoch/<data centre>` and `lease/<data centre>`.

The log keeps records for a limited time.  A `Snapshot` therefore carries the
whole state and `as_of`, the offset up to which its writer had read.  A reader
that has missed older records installs a snapshot only if it has read every
record from `as_of` on, and then folds those records again.  A stale snapshot,
written by a process that was paused, can therefore not restore old state.  The
state of a peer is installed in the same way while the platform is unavailable.
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

#: The base of the first record in a scope.
NO_BASE = -1

#: The number of recent records whose verdicts are kept.
MAX_VERDICTS = 2048


@dataclass(frozen=True)
class Record:
    """A log record; `body` is JSON text."""

    record_id: str
    scope: str
    base: int
    body: str


@dataclass(frozen=True)
class Accepted:
    """The last accepted record of a scope, with its offset."""

    offset: int
    record_id: str
    body: str


@dataclass(frozen=True)
class Snapshot:
    """The state of a fold that has read every record below `as_of`."""

    as_of: int
    scopes: Mapping[str, Accepted]


def _is_valid(record: Record) -> bool:
    prefix = record.scope.partition('/')[0]
    check = _BODY_CHECKS.get(prefix)
    return check is not None and check(record.body)


def _make_body_check(kind: type) -> Callable[[str], bool]:
    def check(body: str) -> bool:  # noqa: WPS430
        try:
            load_json(body, kind)
        except DecodeError:
            return False
        return True

    return check


def _is_configuration(body: str) -> bool:
    return isinstance(check_configuration(body), Success)


#: Checks of record bodies, by the part of the scope before the slash.
_BODY_CHECKS: Mapping[str, Callable[[str], bool]] = MappingProxyType(
    {
        CONFIGURATION: _is_configuration,
        'epoch': _make_body_check(EpochBody),
        'lease': _make_body_check(LeaseBody),
    }
)


@dataclass
class Fold:
    """The state that a reader has derived from the log.

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
        """Return the record in force in `scope`."""
        return self.scopes.get(scope)

    def get_base_by_scope(self, scope: str) -> int:
        """Return the base that the next record of `scope` must name."""
        accepted = self.scopes.get(scope)
        return accepted.offset if accepted else NO_BASE

    def apply(self, offset: int, record: Record) -> bool:
        """Fold the record at `offset`; return whether it was accepted.

        Records below `next_offset` were folded before and have no effect.
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
        """Install a snapshot; return false if it is not ahead of this fold."""
        if snapshot.as_of <= self.next_offset:
            return False
        self.next_offset = snapshot.as_of
        for scope, accepted in snapshot.scopes.items():
            if accepted.offset > self.get_base_by_scope(scope):
                self.scopes[scope] = accepted
                self._remember(accepted.record_id, verdict=True)
        return True

    def get_snapshot(self) -> Snapshot:
        """Return the current state."""
        return Snapshot(self.next_offset, dict(self.scopes))

    def _remember(self, record_id: str, verdict: bool) -> None:
        known = self.verdicts.get(record_id, False)
        self.verdicts[record_id] = known or verdict
        while len(self.verdicts) > MAX_VERDICTS:
            self.verdicts.pop(next(iter(self.verdicts)))
