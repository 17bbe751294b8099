"""
Resting targets
===============

When a target that asked for rest gets requests again: none until its rest is
over, then one at a time until it has answered one, as it may still be in need.
Entries that were asked at the same moment come back at different ones.
"""

from dataclasses import dataclass, field

from trestledock.relay._notices import Notices, Backoff

#: By which part of it a rest is made longer at most, and by how much, in
#: seconds: each entry draws its own.
SPREAD_SHARE = 0.2
SPREAD_MOST_S = 1.0
#: How long a request after a rest may be unanswered until another one may go,
#: in seconds.
PROBE_TIMEOUT_S = 0.4


def get_jitter_s(rest_s: float, drawn: float) -> float:
    """Return by how much a rest is made longer, for a draw from 0 to 1.

    >>> get_jitter_s(2, 0.5), get_jitter_s(60, 1)
    (0.2, 1.0)
    """
    return min(rest_s * SPREAD_SHARE, SPREAD_MOST_S) * drawn


@dataclass
class BackoffGate:
    """Keeps requests from targets that asked this entry for rest.

    >>> resting = BackoffGate(Notices())
    >>> backoff = Backoff(until=3, asked_at=0, heard_at=0)
    >>> _ = resting.notices.record('t', backoff)
    >>> resting.can_send('t', now=2), resting.can_send('t', now=3)
    (False, True)
    >>> resting.record_sent('t', now=3)
    >>> resting.can_send('t', now=3.1), resting.can_send('t', now=3.5)
    (False, True)
    """

    notices: Notices
    _tried_until: dict[str, float] = field(default_factory=dict)

    def has_backoff(self, target: str) -> bool:
        """Whether a target rests, or has not answered since it did."""
        return self.notices.get(Backoff, target) is not None

    def is_backing_off(self, target: str, now: float) -> bool:
        """Whether a target wants nothing now."""
        rest = self.notices.get(Backoff, target)
        return rest is not None and not rest.is_over(now)

    def can_send(self, target: str, now: float) -> bool:
        """Whether a request may go to a target now."""
        return self.get_wait_s(target, now) <= 0

    def get_wait_s(self, target: str, now: float) -> float:
        """Return in how many seconds the next request may go to a target."""
        rest = self.notices.get(Backoff, target)
        if rest is None:
            return 0
        tried_until = self._tried_until.get(target, rest.until)
        return max(0, max(rest.until, tried_until) - now)

    def record_sent(self, target: str, now: float) -> None:
        """Have a request go to a target."""
        if self.has_backoff(target):
            self._tried_until[target] = now + PROBE_TIMEOUT_S

    def forget(self, target: str) -> None:
        """Forget that a target has rested."""
        self.notices.discard(Backoff, target)
        self._tried_until.pop(target, None)
