"""
Open ends
=========

Targets that may have ended under a request: their connection ended, but that
they are gone is known only as another start of them, or another target at their
address, is listed.
"""

from dataclasses import dataclass

from trestledock.relay._listed import ListedTarget
from trestledock.relay._quarantine import Crash

#: For how long it may be told by a list that a target had ended, in seconds:
#: three heartbeats, and the time that a process takes to start.
UNCONFIRMED_TTL_S = 10.0
#: Targets whose end may be open at once.
MAX_UNCONFIRMED = 500


@dataclass(frozen=True)
class _Open:
    """An end that may be one, with the address of its target."""

    end: Crash
    address: str
    until: float


class UnconfirmedCrashes:
    """What may have been the end of a target.

    >>> found = UnconfirmedCrashes()
    >>> found.add('f', ListedTarget('t1', 's', 'a:1'), now=0)
    >>> [end.fingerprint for end in found.pop_confirmed('t1', now=2)]
    ['f']
    """

    def __init__(self) -> None:
        """Begin with none."""
        self._by_target: dict[str, list[_Open]] = {}

    def add(self, fingerprint: str, target: ListedTarget, now: float) -> None:
        """Keep that a target may have ended under a request."""
        self._drop_old(now)
        if len(self._by_target) >= MAX_UNCONFIRMED:
            return
        end = Crash(fingerprint, target.incarnation)
        found = self._by_target.setdefault(target.incarnation, [])
        found.append(_Open(end, target.address, now + UNCONFIRMED_TTL_S))

    def pop_confirmed(self, incarnation: str, now: float) -> list[Crash]:
        """Return the ends of a target that is known to have ended."""
        found = self._by_target.pop(incarnation, [])
        return [one.end for one in found if now < one.until]

    def pop_replaced_by(self, listed: ListedTarget, now: float) -> list[Crash]:
        """Return the ends of what had the address of a target before it."""
        before = [
            incarnation
            for incarnation, found in self._by_target.items()
            if found[0].address == listed.address
            and incarnation != listed.incarnation
        ]
        return [end for one in before for end in self.pop_confirmed(one, now)]

    def _drop_old(self, now: float) -> None:
        self._by_target = {
            incarnation: found
            for incarnation, found in self._by_target.items()
            if now < found[-1].until
        }
