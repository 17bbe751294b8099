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


class Change(str, Enum):
    """How a notice changed what is known."""

    nothing = 'nothing'
    learnt = 'learnt'
    changed = 'changed'
    lifted = 'lifted'


class Notice(Protocol):
    """An announcement of a target, made between two instants.

    The request that it answers was sent at `asked_at`, and the answer arrived
    at `heard_at`.  If `is_told` is set, other instances learn of it without
    this one.
    """

    @property
    def asked_at(self) -> float:
        """The instant at which the answered request was sent."""

    @property
    def heard_at(self) -> float:
        """The instant at which the answer arrived."""

    @property
    def is_told(self) -> bool:
        """Whether other instances learn of it without this one."""

    @property
    def asks_for(self) -> float | None:
        """The requested value as a number, or None if nothing is requested."""


Kind = TypeVar('Kind', bound=Notice)


@singledispatch
def believe(notice: Any, before: Any) -> Any:
    """Return the notice that holds after a new one and the one before it."""
    raise TypeError(f'no notice: {notice!r}')


@dataclass(frozen=True)
class Leave:
    """A target drains; this is final for its incarnation."""

    asked_at: float
    heard_at: float
    is_told: bool = False

    @property
    def asks_for(self) -> float:
        """A constant: the notice has no value of its own."""
        return 0


@believe.register
def _(notice: Leave, before: Leave) -> Leave:
    return before


@dataclass(frozen=True)
class Rest:
    """A target wants no requests from this instance until an instant."""

    until: float
    asked_at: float
    heard_at: float
    is_told: bool = False

    @property
    def asks_for(self) -> float:
        """The instant until which no requests are wanted."""
        return self.until

    def is_over(self, now: float) -> bool:
        """Return whether the back-off has ended."""
        return now >= self.until


@believe.register
def _(notice: Rest, before: Rest) -> Rest:
    return max(notice, before, key=lambda backoff: backoff.until)


@dataclass(frozen=True)
class RestElsewhere(Rest):
    """A target wants no requests from another instance until an instant."""


@dataclass
class Notices:
    """The notices that hold, by kind and incarnation.

    >>> notices = Notices()
    >>> notices.note('t1', Rest(until=4, asked_at=0, heard_at=1)).value
    'learnt'
    >>> notices.note('t1', Rest(until=3, asked_at=0, heard_at=2)).value
    'nothing'
    >>> notices.get(Rest, 't1').until
    4
    """

    known: dict[type, dict[str, Any]] = field(default_factory=dict)

    def note(self, target: str, notice: Notice) -> Change:
        """Process a notice of a target; return what it changed."""
        of_kind = self.known.setdefault(type(notice), {})
        before = of_kind.get(target)
        if before is None and notice.asks_for is None:
            return Change.nothing
        after = notice if before is None else believe(notice, before)
        of_kind[target] = after
        return _get_change(before, after)

    def get(self, kind: type[Kind], target: str) -> Kind | None:
        """Return a target's notice of a kind, if it requests anything."""
        notice = self.known.get(kind, {}).get(target)
        return notice if notice and notice.asks_for is not None else None

    def get_all(self, kind: type[Kind]) -> dict[str, Kind]:
        """Return the newest notices of a kind by target, withdrawn ones too."""
        return self.known.get(kind, {})

    def get_in_force(self, kind: type[Kind]) -> dict[str, Kind]:
        """Return the notices of a kind that request something, by target."""
        return {
            target: notice
            for target, notice in self.get_all(kind).items()
            if notice.asks_for is not None
        }

    def drop(self, kind: type[Notice], target: str) -> None:
        """Discard a notice of a target."""
        self.known.get(kind, {}).pop(target, None)

    def forget(self, target: str) -> None:
        """Forget a removed target, except that it drains.

        A record of it that arrives late must not bring it back.
        """
        for kind in self.known.keys() - {Leave}:
            self.drop(kind, target)


def _get_change(before: Notice | None, after: Notice) -> Change:
    requested_before = None if before is None else before.asks_for
    if requested_before == after.asks_for:
        return Change.nothing
    if requested_before is None:
        return Change.learnt
    return Change.lifted if after.asks_for is None else Change.changed
