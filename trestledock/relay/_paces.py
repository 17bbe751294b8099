"""
Paces of engines
================

How much slower engines are than the formula of their model: the duration of
their passes, measured from the streams that instances forward, divided by the
nominal one.  A pace is kept as a notice of the incarnation, since all instances
tell each other, and expires: a slow engine gets little work, so that it must be
tried again to be measured.
"""

from dataclasses import dataclass, replace
from statistics import median_low

from trestledock.relay._fleet import Fleet
from trestledock.relay._notices import resolve
from trestledock.relay._target_records import ListedTarget

#: An engine with a lower pace counts as nominal.
MIN_PACE = 1.3
#: An engine that counts as slow does so until its pace falls below this one:
#: measurements vary by a tenth.
KEPT_PACE = 1.15
#: The highest pace that placements assume, so that a wrong measurement leaves
#: an engine usable for prompts that have much time left.
MAX_PACE = 4.0
#: How long a pace is used after its measurement, in seconds.
PACE_TTL_S = 5.0
#: How long a lower pace is kept against a higher one, in seconds.  The network
#: and the processes between an engine and its measurement can only add to the
#: pauses, so of two instances the one with the lower pace is right.
LOWER_KEPT_S = 2.0
#: The age from which a known pace is renewed, in seconds: often enough for one
#: message to be lost before it expires.
REFRESH_S = 2.0
#: The factor by which a pace must change to be another one.
CLEAR_CHANGE = 1.25


@dataclass(frozen=True)
class Pace:
    """The pace of an engine, measured between two instants.

    Below `MIN_PACE` it withdraws an earlier one.
    """

    factor: float
    asked_at: float
    heard_at: float
    is_shared: bool = False

    @property
    def requested(self) -> float | None:
        """The pace, or None if the engine is nominal."""
        return self.factor if self.factor >= MIN_PACE else None

    def is_fresh(self, now: float) -> bool:
        """Return whether the measurement is recent enough to be used."""
        return now - self.heard_at <= PACE_TTL_S


@resolve.register
def _(notice: Pace, before: Pace) -> Pace:
    newer_s = notice.heard_at - before.heard_at
    is_higher = notice.factor > before.factor
    if newer_s < 0 or (is_higher and newer_s < LOWER_KEPT_S):
        return before
    return notice


def choose_update(known: Pace | None, measured: Pace) -> Pace | None:
    """Return what a measurement changes in the fresh pace that is known.

    An unclear change only renews the known pace: each change is logged.
    """
    if known is None or measured.requested is None:
        is_change = (known or measured).requested is not None
        return measured if is_change else None
    change = measured.factor / known.factor
    if max(change, 1 / change) >= CLEAR_CHANGE:
        return measured
    if measured.heard_at - known.heard_at < REFRESH_S:
        return None
    return replace(measured, factor=known.factor)


class Paces:
    """The paces that placements assume."""

    def __init__(self, fleet: Fleet) -> None:
        """Store the fleet with the notices of its targets."""
        self.fleet = fleet
        self._medians: dict[tuple[str, str], float] = {}
        self._medians_at = float('-inf')

    def get_known(self, target: str, now: float) -> Pace | None:
        """Return the fresh pace of an incarnation if it is slow."""
        pace = self.fleet.notices.get(Pace, target)
        return pace if pace and pace.is_fresh(now) else None

    def count_slow(self, now: float) -> int:
        """Return the number of engines that are known to be slow."""
        names = self.fleet.notices.get_all(Pace)
        return sum(self.get_known(name, now) is not None for name in names)

    def expire(self, now: float) -> None:
        """Discard the paces that are no longer used."""
        for name, pace in tuple(self.fleet.notices.get_all(Pace).items()):
            if not pace.is_fresh(now):
                self.fleet.notices.discard(Pace, name)

    def get_factor(self, target: ListedTarget, now: float) -> float:
        """Return the factor of an engine's estimates, 1 for a nominal engine.

        It is relative to the median of the engines of the same service and data
        centre.  If more than half of them seem slow, the cause is rather the
        network or the formula, and none of them is worse than another.
        """
        known = self.get_known(target.incarnation, now)
        if known is None:
            return 1
        factor = known.factor / self._get_median(target, now)
        return min(factor, MAX_PACE) if factor >= MIN_PACE else 1

    def _get_median(self, target: ListedTarget, now: float) -> float:
        """Return the median pace, computed once for all targets at an instant.

        Otherwise a placement among slow engines would take a step for each pair
        of them.
        """
        if now != self._medians_at:
            self._medians.clear()
            self._medians_at = now
        key = (target.service, target.data_centre)
        if key not in self._medians:
            self._medians[key] = self._compute_median(key, now)
        return self._medians[key]

    def _compute_median(self, key: tuple[str, str], now: float) -> float:
        paces = [
            self.get_known(name, now)
            for name, listed in self.fleet.targets.items()
            if (listed.service, listed.data_centre) == key
        ]
        return median_low(pace.factor if pace else 1 for pace in paces)
