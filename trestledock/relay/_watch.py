"""
Watch over the list of targets
==============================

How closely the platform's directory has been followed, which decides what a
missing entry means.  Entries of live targets lapse only where these can't
reach the directory for seconds; whoever followed it all the while knows that a
missing target has gone.
"""

from dataclasses import dataclass

#: How long a missing entry counts after a disturbance of the directory, in
#: seconds; lapsed entries of live targets are back within about two.
LAPSE_GRACE_S = 2.2
#: A gap between two lists above this leaves room for entries to lapse, in
#: seconds: leases last three heartbeats, of which the last one may have been
#: written up to one before the gap.
GAP_S = 1.8


@dataclass
class Watch:
    """When the list was read, and when a gap between two reads ended.

    A gap alone is no disturbance: whoever reads for all may have stood still,
    and holding what left meanwhile would send work to it for as long as the gap
    and the grace together.  A disturbance is a gap in which the directory was
    asked in vain.  `resumed_at` is the end of the last gap of any kind,
    `disturbed_at` that of the last disturbance.

    >>> watch = Watch()
    >>> watch.note_read(0, 0)
    >>> watch.note_trouble(1)
    >>> watch.note_read(3, 3)
    >>> watch.get_grace_end(), watch.is_settled(5), watch.is_settled(5.3)
    (5.2, False, True)
    """

    read_at: float = float('-inf')
    troubled_at: float = float('-inf')
    resumed_at: float = float('-inf')
    disturbed_at: float = float('-inf')

    def note_read(self, as_of: float, now: float) -> None:
        """Note a list of what the directory held at the instant `as_of`."""
        if as_of - self.read_at > GAP_S:
            self.resumed_at = now
            if self.troubled_at > self.read_at:
                self.disturbed_at = now
        self.read_at = max(self.read_at, as_of)

    def note_trouble(self, now: float) -> None:
        """Note a read that failed, or a time in which nobody could read."""
        self.troubled_at = now

    def get_grace_end(self) -> float:
        """Return until when a missing entry may only have lapsed."""
        return self.disturbed_at + LAPSE_GRACE_S

    def is_settled(self, now: float) -> bool:
        """Whether what is missing from this list is missing for good."""
        return now - self.resumed_at >= LAPSE_GRACE_S
