"""
Rate limits of targets
======================

What a target asks for in its answers: how many requests a second it takes from
all entries together.  Answers on different connections overtake each other, so
each word is believed with the instants between which it was said, and only a
word that was asked for after another one was heard is surely newer.
"""

from dataclasses import dataclass, field, replace
from enum import Enum


class Change(str, Enum):
    """What a word changed of what is believed."""

    nothing = 'nothing'
    learnt = 'learnt'
    changed = 'changed'
    lifted = 'lifted'


@dataclass(frozen=True)
class RateLimit:
    """A target's word: it takes `per_s` requests a second, None for any number.

    The word was said between `asked_at`, when the request left that it answers,
    and `heard_at`; with `is_told` another instance heard it.
    """

    per_s: float | None
    asked_at: float
    heard_at: float
    is_told: bool = False

    @property
    def is_in_force(self) -> bool:
        """Whether the target asks for fewer requests."""
        return self.per_s is not None

    def follows(self, other: 'RateLimit') -> bool:
        """Whether this was surely said after another word."""
        return self.asked_at >= other.heard_at

    def is_below(self, other: 'RateLimit') -> bool:
        """Whether this allows less than another word."""
        if self.per_s is None:
            return False
        return other.per_s is None or self.per_s < other.per_s


@dataclass
class RateLimits:
    """The newest word of each incarnation of a target that ever named a limit.

    >>> limits = RateLimits()
    >>> limits.note('t1', RateLimit(2, asked_at=0, heard_at=1)).value
    'learnt'
    >>> limits.note('t1', RateLimit(None, asked_at=0.5, heard_at=2)).value
    'nothing'
    >>> limits.note('t1', RateLimit(None, asked_at=1.5, heard_at=2)).value
    'lifted'
    """

    known: dict[str, RateLimit] = field(default_factory=dict)

    def note(self, target: str, word: RateLimit) -> Change:
        """Take a word of a target; return what it changed.

        Of words whose order nobody can tell the lowest limit counts.
        """
        before = self.known.get(target)
        if before is None and not word.is_in_force:
            return Change.nothing
        after = word if before is None else _pick(before, word)
        self.known[target] = after
        return _get_change(before, after)

    def get(self, target: str) -> RateLimit | None:
        """Return the limit that is in force at a target, if there is one."""
        known = self.known.get(target)
        return known if known and known.is_in_force else None

    def get_in_force(self) -> dict[str, RateLimit]:
        """Return the limits that are in force, by target."""
        return {
            target: limit
            for target, limit in self.known.items()
            if limit.is_in_force
        }

    def forget(self, target: str) -> None:
        """Forget a target that is gone."""
        self.known.pop(target, None)


def _pick(before: RateLimit, word: RateLimit) -> RateLimit:
    """Return which of two words to believe."""
    if word.follows(before):
        return word
    if before.follows(word):
        return before
    lowest = word if word.is_below(before) else before
    heard_at = max(before.heard_at, word.heard_at)
    return replace(lowest, heard_at=heard_at)


def _get_change(before: RateLimit | None, after: RateLimit) -> Change:
    if before is None or not before.is_in_force:
        return Change.learnt if after.is_in_force else Change.nothing
    if not after.is_in_force:
        return Change.lifted
    return Change.nothing if before.per_s == after.per_s else Change.changed
