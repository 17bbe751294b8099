"""
Cold starts of targets
======================

For some time after its start a target takes only some requests a second from
all entries together.  A cold start is a notice with its end.  How many requests
a cold target gets follows from the configuration of its service and the bounds
of the settings.
"""

from dataclasses import dataclass, replace

from trestledock.relay._notices import resolve

#: The bound applies to each second, also to one that begins just before the end
#: of the cold time, so a target is restrained for this long after it, in
#: seconds.
WINDOW_S = 1.0
#: Longer cold times are implausible and are ignored, in seconds.
MAX_COLD_S = 600.0
#: The share of the sustained rate at the beginning of a cold time.
INITIAL_SHARE = 0.5


@dataclass(frozen=True)
class ColdStart:
    """A target is cold until an instant.

    This instance has restrained its requests since `since`.  The announcement
    was made between `asked_at` and `heard_at`.  If `is_shared` is set, other
    instances learn of it without this one.
    """

    until: float
    since: float
    asked_at: float
    heard_at: float
    is_shared: bool = False

    @property
    def requested(self) -> float:
        """The instant until which the target is cold."""
        return self.until

    def is_over(self, now: float) -> bool:
        """Return whether the target is restrained no more."""
        return now >= self.until + WINDOW_S


@resolve.register
def _(notice: ColdStart, before: ColdStart) -> ColdStart:
    """Return the notice with the later end; it continues a cold time."""
    if notice.until <= before.until:
        return before
    if before.is_over(notice.since):
        return notice
    return replace(notice, since=min(notice.since, before.since))


@dataclass(frozen=True)
class ColdService:
    """What the targets of a service sustain in the `start_s` after a start."""

    per_s: float
    start_s: float


@dataclass(frozen=True)
class ColdBounds:
    """The bound on requests to a cold target in any second.

    It is `over` times the rate that the target sustains, plus `slack`.
    """

    over: float
    slack: float


@dataclass(frozen=True)
class ColdLimit:
    """How many requests in any second the cold targets of a service get.

    A holder of a quota that spaces its requests evenly by 1/r seconds sends at
    most r + 1 in a second.  So what the bound leaves above the sustained rate
    is the number of holders.

    >>> limit = ColdLimit(ColdService(17, 3), ColdBounds(1.5, 5))
    >>> limit.max_holders, limit.get_rate(left_s=3), limit.get_rate(left_s=0)
    (13, 8.5, 17.0)
    """

    service: ColdService
    bounds: ColdBounds

    @property
    def max_per_s(self) -> float:
        """The greatest number of requests in any second."""
        return self.service.per_s * self.bounds.over + self.bounds.slack

    @property
    def max_holders(self) -> int:
        """The number of instances that may send to a cold target."""
        return max(1, int(self.max_per_s - self.service.per_s))

    def get_rate(self, left_s: float) -> float:
        """Return the rate of all holders together, `left_s` before the end.

        It rises linearly.  With a bound below one request above the sustained
        rate, the rate of the only holder is lower.
        """
        left_share = min(max(left_s / self.service.start_s, 0), 1)
        ramp = 1 - left_share * (1 - INITIAL_SHARE)
        full_per_s = min(self.service.per_s, self.max_per_s - self.max_holders)
        return max(0, full_per_s) * ramp
