"""
Reachability of data centres
============================

Whether another data centre can be reached, judged by the messages of its
instances.  Each instance sends several messages a second; if all of a data
centre fall silent at once, the network path is cut, and its targets need not be
tried one by one.  Detecting a cut this way delays the streams across it by half
a second, while the silence of each target takes one to four seconds to detect.
"""

from dataclasses import dataclass, field
from typing import Iterable

#: The interval at which an instance sends a message to other data centres, in
#: seconds; sixty bytes each.
BEAT_INTERVAL_S = 0.2
#: How long all instances of a data centre must be silent, in seconds: two lost
#: messages and a delay of half an interval.
SILENCE_S = 0.5
#: A check that comes later than this after the previous check has no result, in
#: seconds: this process was stalled, and messages wait to be received.
MAX_CHECK_GAP_S = 0.4
#: Instances that sent a message within this time are expected to send more, in
#: seconds; one that was silent for longer has been removed.
ACTIVE_S = 1.7


@dataclass
class Reachability:
    """The time of the last message of each instance in other data centres.

    >>> reach = Reachability()
    >>> reach.record_message('dc-2', 'entry-1', now=0)
    >>> reach.get_silent(now=0.4), reach.get_silent(now=0.6)
    (set(), {'dc-2'})
    """

    last_message_at: dict[str, dict[str, float]] = field(default_factory=dict)
    checked_at: float = float('-inf')

    def record_message(self, data_centre: str, name: str, now: float) -> None:
        """Record a message from an instance of a data centre."""
        self.last_message_at.setdefault(data_centre, {})[name] = now

    def remove_instance(self, data_centre: str, name: str) -> None:
        """Remove an instance that is ending, whose silence is expected."""
        self.last_message_at.get(data_centre, {}).pop(name, None)

    def check(self, now: float) -> set[str]:
        """Return the silent data centres; to be called at each interval."""
        is_late = now - self.checked_at > MAX_CHECK_GAP_S
        self.checked_at = now
        return set() if is_late else self.get_silent(now)

    def get_silent(self, now: float) -> set[str]:
        """Return the data centres whose instances have all fallen silent."""
        return {
            data_centre
            for data_centre, names in self.last_message_at.items()
            if _are_silent(names.values(), now)
        }


def _are_silent(times: Iterable[float], now: float) -> bool:
    """Return whether instances sent messages lately, but none just now."""
    ages = [now - at for at in times]
    expected = [age for age in ages if age <= ACTIVE_S]
    return bool(expected) and min(expected) > SILENCE_S
