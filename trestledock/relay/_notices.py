"""
Notices of targets
==================

What targets announce about themselves in their answers, by incarnation and
kind.  Each kind is a type with a rule that decides between two notices;
everything else is shared.
"""

from dataclasses import dataclass, field
from enum import Enum
from functools import singledispatch
from typing import Any, Protocol, TypeVar


class NoticeChange(str, Enum):
    """How a notice changed what is known."""

    nothing = 'nothing'
    learnt = 'learnt'
    changed = 'changed'
    lifted = 'lifted'


class Notice(Protocol):
    """An announcement of a target, made between two instants.

    The request that it answers was sent at `asked_at`, and the answer arrived
    at `heard_at`.  If `is_shared` is set, other instances learn of it without
    this one.
    """

    @property
    def asked_at(self) -> float:
        """The instant at which the answered request was sent."""

    @property
    def heard_at(self) -> float:
        """The instant at which the answer arrived."""

    @property
    def is_shared(self) -> bool:
        """Whether other instances learn of it without this one."""

    @property
    def requested(self) -> float | None:
        """The requested value as a number, or None if nothing is requested."""


Kind = TypeVar('Kind', bound=Notice)


@singledispatch
def resolve(notice: Any, before: Any) -> Any:
    """Return which of two notices is valid, the new or the earlier one."""
    raise TypeError(f'not a notice: {notice!r}')


@dataclass(frozen=True)
class Drain:
    """A target drains; this is final for its incarnation."""

    asked_at: float
    heard_at: float
    is_shared: bool = False

    @property
    def requested(self) -> float:
        """A constant: the notice has no value of its own."""
        return 0


@resolve.register
def _(notice: Drain, before: Drain) -> Drain:
    return before


@dataclass(frozen=True)
class Backoff:
    """A target wants no requests from this instance until an instant.

    Its start and end are logged as `rest_heard` and `rest_ended`.
    """

    until: float
    asked_at: float
    heard_at: float
    is_shared: bool = False

    @property
    def requested(self) -> float:
        """The instant until which no requests are wanted."""
        return self.until

    def is_over(self, now: float) -> bool:
        """Return whether the back-off has ended."""
        return now >= self.until


@resolve.register
def _(notice: Backoff, before: Backoff) -> Backoff:
    return max(notice, before, key=lambda backoff: backoff.until)


@dataclass(frozen=True)
class PeerBackoff(Backoff):
    """A target wants no requests from another instance until an instant."""


@dataclass
class Notices:
    """The valid notices, by kind and incarnation.

    >>> notices = Notices()
    >>> notices.record('t1', Backoff(until=4, asked_at=0, heard_at=1)).value
    'learnt'
    >>> notices.record('t1', Backoff(until=3, asked_at=0, heard_at=2)).value
    'nothing'
    >>> notices.get(Backoff, 't1').until
    4
    """

    by_kind: dict[type, dict[str, Any]] = field(default_factory=dict)

    def record(self, target: str, notice: Notice) -> NoticeChange:
        """Process a notice of a target; return what it changed."""
        of_kind = self.by_kind.setdefault(type(notice), {})
        before = of_kind.get(target)
        if before is None and notice.requested is None:
            return NoticeChange.nothing
        after = notice if before is None else resolve(notice, before)
        of_kind[target] = after
        return _get_change(before, after)

    def get(self, kind: type[Kind], target: str) -> Kind | None:
        """Return a target's notice of a kind, if it requests anything."""
        notice = self.by_kind.get(kind, {}).get(target)
        return notice if notice and notice.requested is not None else None

    def get_all(self, kind: type[Kind]) -> dict[str, Kind]:
        """Return the newest notices of a kind by target, withdrawn ones too."""
        return self.by_kind.get(kind, {})

    def get_in_force(self, kind: type[Kind]) -> dict[str, Kind]:
        """Return the notices of a kind that request something, by target."""
        return {
            target: notice
            for target, notice in self.get_all(kind).items()
            if notice.requested is not None
        }

    def discard(self, kind: type[Notice], target: str) -> None:
        """Discard a notice of a target."""
        self.by_kind.get(kind, {}).pop(target, None)

    def forget(self, target: str) -> None:
        """Forget a removed target, except that it drains.

        A record of it that arrives late must not bring it back.
        """
        for kind in self.by_kind.keys() - {Drain}:
            self.discard(kind, target)


def _get_change(before: Notice | None, after: Notice) -> NoticeChange:
    requested_before = None if before is None else before.requested
    if requested_before == after.requested:
        return NoticeChange.nothing
    if requested_before is None:
        return NoticeChange.learnt
    return (
        NoticeChange.lifted if after.requested is None else NoticeChange.changed
    )
