"""
Back-off of targets
===================

When a target that asked for a back-off gets requests again: none until it ends,
then one at a time until the target has answered one, since it may still be
overloaded.  Instances that were asked at the same moment resume at different
times.
"""

from dataclasses import dataclass, field

from trestledock.relay._notices import Notices, Backoff

#: The longest random extension of a back-off, as a share of it and in seconds;
#: each instance draws its own.
SPREAD_SHARE = 0.2
SPREAD_MOST_S = 1.0
#: How long the first request after a back-off may be unanswered until another
#: request is sent, in seconds.
PROBE_TIMEOUT_S = 0.4


def get_jitter_s(rest_s: float, drawn: float) -> float:
    """Return the extension of a back-off for a random number from 0 to 1.

    >>> get_spread_s(2, 0.5), get_spread_s(60, 1)
    (0.2, 1.0)
    """
    return min(rest_s * SPREAD_SHARE, SPREAD_MOST_S) * drawn


@dataclass
class BackoffGate:
    """Holds back requests to targets that asked this instance for a back-off.

    >>> gate = Resting(Notices())
    >>> _ = gate.notices.note('t', Rest(until=3, asked_at=0, heard_at=0))
    >>> gate.is_free('t', now=2), gate.is_free('t', now=3)
    (False, True)
    >>> gate.take('t', now=3)
    >>> gate.is_free('t', now=3.1), gate.is_free('t', now=3.5)
    (False, True)
    """

    notices: Notices
    _tried_until: dict[str, float] = field(default_factory=dict)

    def has_backoff(self, target: str) -> bool:
        """Return whether a target backs off, or has not answered since."""
        return self.notices.get(Backoff, target) is not None

    def is_backing_off(self, target: str, now: float) -> bool:
        """Return whether a target wants no requests now."""
        rest = self.notices.get(Backoff, target)
        return rest is not None and not rest.is_over(now)

    def can_send(self, target: str, now: float) -> bool:
        """Return whether a request may be sent to a target now."""
        return self.get_wait_s(target, now) <= 0

    def get_wait_s(self, target: str, now: float) -> float:
        """Return after how many seconds the next request may be sent."""
        rest = self.notices.get(Backoff, target)
        if rest is None:
            return 0
        tried_until = self._tried_until.get(target, rest.until)
        return max(0, max(rest.until, tried_until) - now)

    def record_sent(self, target: str, now: float) -> None:
        """Record that a request is sent to a target."""
        if self.has_backoff(target):
            self._tried_until[target] = now + PROBE_TIMEOUT_S

    def forget(self, target: str) -> None:
        """Forget the back-off of a target."""
        self.notices.discard(Backoff, target)
        self._tried_until.pop(target, None)
