"""
Back-off of targets
===================

When a target that asked for a back-off gets requests again: none until it ends,
then one at a time until the target has answered one, since it may still be
overloaded.  Instances that were asked at the same moment resume at different
times.
"""

from dataclasses import dataclass, field

from trestledock.relay._notices import Backoff, Notices

#: The longest random extension of a back-off, as a share of it and in seconds;
#: each instance draws its own.
JITTER_SHARE = 0.2
MAX_JITTER_S = 1.0
#: How long the first request after a back-off may be unanswered until another
#: request is sent, in seconds.
PROBE_TIMEOUT_S = 0.4


def get_jitter_s(backoff_s: float, drawn: float) -> float:
    """Return the extension of a back-off for a random number from 0 to 1.

    >>> get_jitter_s(2, 0.5), get_jitter_s(60, 1)
    (0.2, 1.0)
    """
    return min(backoff_s * JITTER_SHARE, MAX_JITTER_S) * drawn


@dataclass
class BackoffGate:
    """Holds back requests to targets that asked this instance for a back-off.

    >>> gate = BackoffGate(Notices())
    >>> _ = gate.notices.record('t', Backoff(until=3, asked_at=0, heard_at=0))
    >>> gate.can_send('t', now=2), gate.can_send('t', now=3)
    (False, True)
    >>> gate.record_sent('t', now=3)
    >>> gate.can_send('t', now=3.1), gate.can_send('t', now=3.5)
    (False, True)
    """

    notices: Notices
    _probed_until: dict[str, float] = field(default_factory=dict)

    def has_backoff(self, target: str) -> bool:
        """Return whether a target backs off, or has not answered since."""
        return self.notices.get(Backoff, target) is not None

    def is_backing_off(self, target: str, now: float) -> bool:
        """Return whether a target wants no requests now."""
        backoff = self.notices.get(Backoff, target)
        return backoff is not None and not backoff.is_over(now)

    def can_send(self, target: str, now: float) -> bool:
        """Return whether a request may be sent to a target now."""
        return self.get_wait_s(target, now) <= 0

    def get_wait_s(self, target: str, now: float) -> float:
        """Return after how many seconds the next request may be sent."""
        backoff = self.notices.get(Backoff, target)
        if backoff is None:
            return 0
        probed_until = self._probed_until.get(target, backoff.until)
        return max(0, max(backoff.until, probed_until) - now)

    def record_sent(self, target: str, now: float) -> None:
        """Record that a request is sent to a target."""
        if self.has_backoff(target):
            self._probed_until[target] = now + PROBE_TIMEOUT_S

    def forget(self, target: str) -> None:
        """Forget the back-off of a target."""
        self.notices.discard(Backoff, target)
        self._probed_until.pop(target, None)
