"""
Notices of targets
==================

What a target says of itself in its answers, kept by incarnation and by kind.
Each kind of notice is a type of its own, with a rule that says which of two
notices to believe; the rest is the same for all.
"""

from dataclasses import dataclass, field
from enum import Enum
from functools import singledispatch
from typing import Any, Protocol, TypeVar


class Change(str, Enum):
    """What a notice changed of what is believed."""

    nothing = 'nothing'
    learnt = 'learnt'
    changed = 'changed'
    lifted = 'lifted'


class Notice(Protocol):
    """What a target said between two instants, whatever it is about.

    The request that it answers left at `asked_at`, the answer came at
    `heard_at`; with `is_told` the other entries hear it without this one.
    """

    @property
    def asked_at(self) -> float:
        """The instant at which the request left that was answered."""

    @property
    def heard_at(self) -> float:
        """The instant at which the answer came."""

    @property
    def is_told(self) -> bool:
        """Whether the other entries hear it without this one."""

    @property
    def asks_for(self) -> float | None:
        """What is asked for as a number, None where nothing is any more."""


Kind = TypeVar('Kind', bound=Notice)


@singledispatch
def believe(notice: Any, before: Any) -> Any:
    """Return what to believe of a notice and the one before it."""
    raise TypeError(f'no notice: {notice!r}')


@dataclass(frozen=True)
class Leave:
    """A target takes nothing new; that is final for its incarnation."""

    asked_at: float
    heard_at: float
    is_told: bool = False

    @property
    def asks_for(self) -> float:
        """Nothing beside the notice itself."""
        return 0


@believe.register
def _(notice: Leave, before: Leave) -> Leave:
    return before


@dataclass(frozen=True)
class Rest:
    """A target wants nothing from this entry until an instant."""

    until: float
    asked_at: float
    heard_at: float
    is_told: bool = False

    @property
    def asks_for(self) -> float:
        """The instant until which nothing is wanted."""
        return self.until

    def is_over(self, now: float) -> bool:
        """Whether the target may be asked again."""
        return now >= self.until


@believe.register
def _(notice: Rest, before: Rest) -> Rest:
    return max(notice, before, key=lambda one: one.until)


@dataclass(frozen=True)
class RestElsewhere(Rest):
    """A target wants nothing from another entry until an instant."""


@dataclass
class Notices:
    """What is believed of each kind of notice, by incarnation.

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
        """Take a notice of a target; return what it changed."""
        of_kind = self.known.setdefault(type(notice), {})
        before = of_kind.get(target)
        if before is None and notice.asks_for is None:
            return Change.nothing
        after = notice if before is None else believe(notice, before)
        of_kind[target] = after
        return _get_change(before, after)

    def get(self, kind: type[Kind], target: str) -> Kind | None:
        """Return what a target asks for, if it asks for anything."""
        found = self.known.get(kind, {}).get(target)
        return found if found and found.asks_for is not None else None

    def get_all(self, kind: type[Kind]) -> dict[str, Kind]:
        """Return the newest notices of a kind, by target."""
        return self.known.get(kind, {})

    def get_in_force(self, kind: type[Kind]) -> dict[str, Kind]:
        """Return what targets ask for, by target."""
        return {
            target: notice
            for target, notice in self.get_all(kind).items()
            if notice.asks_for is not None
        }

    def drop(self, kind: type[Notice], target: str) -> None:
        """Believe a notice no more."""
        self.known.get(kind, {}).pop(target, None)

    def forget(self, target: str) -> None:
        """Forget a target that is gone, but not that it leaves.

        A record of it that is written late must not bring it back.
        """
        for kind in self.known.keys() - {Leave}:
            self.drop(kind, target)


def _get_change(before: Notice | None, after: Notice) -> Change:
    asked = None if before is None else before.asks_for
    if asked == after.asks_for:
        return Change.nothing
    if asked is None:
        return Change.learnt
    return Change.lifted if after.asks_for is None else Change.changed
