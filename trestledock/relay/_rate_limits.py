"""
Rate limits of targets
======================

What a target asks for in its answers: how many requests a second it takes from
all entries together.  Answers on different connections overtake each other, so
each notice is believed with the instants between which it was said, and only
one that was asked for after another one was heard is surely newer.
"""

from dataclasses import dataclass, replace

from trestledock.relay._notices import resolve


@dataclass(frozen=True)
class RateLimit:
    """A target takes `per_s` requests a second, None for any number.

    That was said between `asked_at`, when the request left that it answers, and
    `heard_at`; with `is_shared` another instance heard it.

    >>> from trestledock.relay import Notices
    >>> notices = Notices()
    >>> notices.record('t1', RateLimit(2, asked_at=0, heard_at=1)).value
    'learnt'
    >>> notices.record('t1', RateLimit(None, asked_at=0.5, heard_at=2)).value
    'nothing'
    >>> notices.record('t1', RateLimit(None, asked_at=1.5, heard_at=2)).value
    'lifted'
    """

    per_s: float | None
    asked_at: float
    heard_at: float
    is_shared: bool = False

    @property
    def requested(self) -> float | None:
        """The number of requests a second."""
        return self.per_s

    def follows(self, other: 'RateLimit') -> bool:
        """Whether this was surely said after another notice."""
        return self.asked_at >= other.heard_at

    def is_below(self, other: 'RateLimit') -> bool:
        """Whether this allows less than another notice."""
        if self.per_s is None:
            return False
        return other.per_s is None or self.per_s < other.per_s


@resolve.register
def _(notice: RateLimit, before: RateLimit) -> RateLimit:
    """Of those whose order nobody can tell the lowest limit counts."""
    if notice.follows(before):
        return notice
    if before.follows(notice):
        return before
    lowest = notice if notice.is_below(before) else before
    heard_at = max(before.heard_at, notice.heard_at)
    return replace(lowest, heard_at=heard_at)
