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


class NoticeChange(str, Enum):
    """What a notice changed of what is believed."""

    nothing = 'nothing'
    learnt = 'learnt'
    changed = 'changed'
    lifted = 'lifted'


class Notice(Protocol):
    """What a target said between two instants, whatever it is about.

    The request that it answers left at `asked_at`, the answer came at
    `heard_at`; with `is_shared` the other entries hear it without this one.
    """

    @property
    def asked_at(self) -> float:
        """The instant at which the request left that was answered."""

    @property
    def heard_at(self) -> float:
        """The instant at which the answer came."""

    @property
    def is_shared(self) -> bool:
        """Whether the other entries hear it without this one."""

    @property
    def requested(self) -> float | None:
        """What is asked for as a number, None where nothing is any more."""


Kind = TypeVar('Kind', bound=Notice)


@singledispatch
def resolve(notice: Any, before: Any) -> Any:
    """Return what to believe of a notice and the one before it."""
    raise TypeError(f'no notice: {notice!r}')


@dataclass(frozen=True)
class Drain:
    """A target takes nothing new; that is final for its incarnation."""

    asked_at: float
    heard_at: float
    is_shared: bool = False

    @property
    def requested(self) -> float:
        """Nothing beside the notice itself."""
        return 0


@resolve.register
def _(notice: Drain, before: Drain) -> Drain:
    return before


@dataclass(frozen=True)
class Backoff:
    """A target wants nothing from this entry until an instant."""

    until: float
    asked_at: float
    heard_at: float
    is_shared: bool = False

    @property
    def requested(self) -> float:
        """The instant until which nothing is wanted."""
        return self.until

    def is_over(self, now: float) -> bool:
        """Whether the target may be asked again."""
        return now >= self.until


@resolve.register
def _(notice: Backoff, before: Backoff) -> Backoff:
    return max(notice, before, key=lambda one: one.until)


@dataclass(frozen=True)
class PeerBackoff(Backoff):
    """A target wants nothing from another entry until an instant."""


@dataclass
class Notices:
    """What is believed of each kind of notice, by incarnation.

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
        """Take a notice of a target; return what it changed."""
        of_kind = self.by_kind.setdefault(type(notice), {})
        before = of_kind.get(target)
        if before is None and notice.requested is None:
            return NoticeChange.nothing
        after = notice if before is None else resolve(notice, before)
        of_kind[target] = after
        return _get_change(before, after)

    def get(self, kind: type[Kind], target: str) -> Kind | None:
        """Return what a target asks for, if it asks for anything."""
        found = self.by_kind.get(kind, {}).get(target)
        return found if found and found.requested is not None else None

    def get_all(self, kind: type[Kind]) -> dict[str, Kind]:
        """Return the newest notices of a kind, by target."""
        return self.by_kind.get(kind, {})

    def get_in_force(self, kind: type[Kind]) -> dict[str, Kind]:
        """Return what targets ask for, by target."""
        return {
            target: notice
            for target, notice in self.get_all(kind).items()
            if notice.requested is not None
        }

    def discard(self, kind: type[Notice], target: str) -> None:
        """Believe a notice no more."""
        self.by_kind.get(kind, {}).pop(target, None)

    def forget(self, target: str) -> None:
        """Forget a target that is gone, but not that it leaves.

        A record of it that is written late must not bring it back.
        """
        for kind in self.by_kind.keys() - {Drain}:
            self.discard(kind, target)


def _get_change(before: Notice | None, after: Notice) -> NoticeChange:
    asked = None if before is None else before.requested
    if asked == after.requested:
        return NoticeChange.nothing
    if asked is None:
        return NoticeChange.learnt
    return (
        NoticeChange.lifted if after.requested is None else NoticeChange.changed
    )
