"""
Unconfirmed crashes
===================

Targets that may have crashed while they ran a request.  The connection was
closed, but the crash is confirmed only when the list shows a new incarnation of
the target or another target at its address.
"""

from dataclasses import dataclass

from trestledock.relay._quarantine import Crash
from trestledock.relay._target_records import ListedTarget

#: How long a list can confirm a crash, in seconds: three heartbeats, and the
#: time that a process takes to start.
UNCONFIRMED_TTL_S = 10.0
#: The maximum number of targets with unconfirmed crashes.
MAX_UNCONFIRMED = 500


@dataclass(frozen=True)
class _PossibleCrash:
    """A possible crash, with the address of its target."""

    crash: Crash
    address: str
    until: float


class UnconfirmedCrashes:
    """Possible crashes that wait for confirmation.

    >>> crashes = UnconfirmedCrashes()
    >>> crashes.add('f', ListedTarget('t1', 's', 'a:1'), now=0)
    >>> [crash.name for crash in crashes.pop_confirmed('t1', now=2)]
    ['f']
    """

    def __init__(self) -> None:
        """Create an empty collection."""
        self._by_target: dict[str, list[_PossibleCrash]] = {}

    def count_targets(self, now: float) -> int:
        """Return the number of targets that may have crashed."""
        self._expire(now)
        return len(self._by_target)

    def add(self, name: str, target: ListedTarget, now: float) -> None:
        """Record that a target may have crashed while it ran a request."""
        self._expire(now)
        if len(self._by_target) >= MAX_UNCONFIRMED:
            return
        crash = Crash(name, target.incarnation, now)
        crashes = self._by_target.setdefault(target.incarnation, [])
        crashes.append(
            _PossibleCrash(crash, target.address, now + UNCONFIRMED_TTL_S)
        )

    def pop_confirmed(self, incarnation: str, now: float) -> list[Crash]:
        """Remove and return the crashes of a target that has crashed."""
        crashes = self._by_target.pop(incarnation, [])
        return [crash.crash for crash in crashes if now < crash.until]

    def pop_replaced_by(self, listed: ListedTarget, now: float) -> list[Crash]:
        """Remove and return the crashes of other targets at its address."""
        predecessors = [
            incarnation
            for incarnation, crashes in self._by_target.items()
            if crashes[0].address == listed.address
            and incarnation != listed.incarnation
        ]
        return [
            crash
            for predecessor in predecessors
            for crash in self.pop_confirmed(predecessor, now)
        ]

    def _expire(self, now: float) -> None:
        self._by_target = {
            incarnation: crashes
            for incarnation, crashes in self._by_target.items()
            if now < crashes[-1].until
        }
