"""
Rate limits of targets
======================

The rate that a target asks for in its answers, for all instances together.
Answers on different connections overtake each other, so each notice has the
instants between which it was made, and is certainly newer than another one only
if its request was sent after the other answer arrived.
"""

from dataclasses import dataclass, replace

from trestledock.relay._notices import resolve


@dataclass(frozen=True)
class RateLimit:
    """A target accepts `per_s` requests a second, or any number for None.

    The notice was made between `asked_at`, when the answered request was sent,
    and `heard_at`.  If `is_shared` is set, another instance received it.

    >>> from trestledock.relay import Notices
    >>> notices = Notices()
    >>> notices.record('t1', RateLimit(2, asked_at=0, heard_at=1)).value
    'learnt'
    >>> notices.record('t1', RateLimit(None, asked_at=0.5, heard_at=2)).value
    'nothing'
    >>> notices.record('t1', RateLimit(None, asked_at=2, heard_at=3)).value
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
        """Return whether this was certainly made after another notice."""
        return self.asked_at >= other.heard_at

    def is_below(self, other: 'RateLimit') -> bool:
        """Return whether this allows less than another notice."""
        if self.per_s is None:
            return False
        return other.per_s is None or self.per_s < other.per_s


@resolve.register
def _(notice: RateLimit, before: RateLimit) -> RateLimit:
    """Return the newer notice, or the lower limit if their order is unknown."""
    if notice.follows(before):
        return notice
    if before.follows(notice):
        return before
    lowest = notice if notice.is_below(before) else before
    heard_at = max(before.heard_at, notice.heard_at)
    return replace(lowest, heard_at=heard_at)
