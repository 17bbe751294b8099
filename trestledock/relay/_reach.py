"""
Reach of data centres
=====================

Whether another data centre can be reached, as its instances tell by speaking.
Each of them says something several times a second; when all are silent at
once, the way there is cut, and targets there need not be tried one by one.  A
cut that is noticed so costs the streams across it half a second, where each
target's own silence takes one to four.
"""

from dataclasses import dataclass, field
from typing import Iterable

#: How often an instance lets those elsewhere hear it, in seconds; sixty bytes
#: each.
BEAT_INTERVAL_S = 0.2
#: For how long all instances of a data centre must be silent, in seconds: two
#: beats that are lost and half a beat of delay.
QUIET_S = 0.5
#: A look that comes later than this after the one before it says nothing, in
#: seconds: this process stood still, and words for it wait to be heard.
LATE_LOOK_S = 0.4
#: Instances that were heard within this time are expected to speak, in
#: seconds; one that was silent for longer has been taken away.
EXPECTED_S = 1.7


@dataclass
class Reachability:
    """When each instance of another data centre was last heard.

    >>> reach = Reachability()
    >>> reach.record_message('dc-2', 'entry-1', now=0)
    >>> reach.get_silent(now=0.4), reach.get_silent(now=0.6)
    (set(), {'dc-2'})
    """

    last_heard: dict[str, dict[str, float]] = field(default_factory=dict)
    checked_at: float = float('-inf')

    def record_message(self, data_centre: str, name: str, now: float) -> None:
        """Note that an instance of a data centre has spoken."""
        self.last_heard.setdefault(data_centre, {})[name] = now

    def remove_instance(self, data_centre: str, name: str) -> None:
        """Note that an instance is ending, and will be silent as planned."""
        self.last_heard.get(data_centre, {}).pop(name, None)

    def check(self, now: float) -> set[str]:
        """Return the data centres that are silent; to be asked each beat."""
        is_late = now - self.checked_at > LATE_LOOK_S
        self.checked_at = now
        return set() if is_late else self.get_silent(now)

    def get_silent(self, now: float) -> set[str]:
        """Return the data centres whose instances have all fallen silent."""
        return {
            place
            for place, names in self.last_heard.items()
            if _is_quiet(names.values(), now)
        }


def _is_quiet(heard: Iterable[float], now: float) -> bool:
    """Whether some instances spoke lately, and none just now."""
    ages = [now - at for at in heard]
    expected = [age for age in ages if age <= EXPECTED_S]
    return bool(expected) and min(expected) > QUIET_S
