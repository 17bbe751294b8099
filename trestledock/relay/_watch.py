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
#: The same from the last read that failed, in seconds, since the directory may
#: have been back from that moment on: after three seconds without a disturbance
#: a target that left before must get nothing, and the end is looked for each
#: 0.2 s.
RETURN_GRACE_S = 2.7
#: A gap between two lists above this leaves room for entries to lapse, in
#: seconds: leases last three heartbeats, of which the last one may have been
#: written up to one before the gap.
GAP_S = 1.8


@dataclass
class ListWatch:
    """When the list was read, and when a gap between two reads ended.

    A gap alone is no disturbance: whoever reads for all may have stood still,
    and holding what left meanwhile would send work to it for as long as the gap
    and the grace together.  A disturbance is a gap in which the directory was
    asked in vain, for the last time at `last_failure_at`.  `resumed_at` is the
    end of the last gap of any kind, `disturbed_at` that of the last
    disturbance, after which a missing entry is held until `grace_end`.

    What is known was true at `read_at`, and may be as young as `latest_at`,
    since a list was on its way for some time: only one that is surely younger
    may replace it.

    >>> watch = ListWatch()
    >>> watch.record_read(0, 0)
    >>> watch.record_failure(3)
    >>> watch.record_read(4, 4)
    >>> watch.grace_end, watch.is_synchronized(6), watch.is_synchronized(6.3)
    (5.7, False, True)
    """

    read_at: float = float('-inf')
    latest_at: float = float('-inf')
    last_failure_at: float = float('-inf')
    resumed_at: float = float('-inf')
    disturbed_at: float = float('-inf')
    grace_end: float = float('-inf')

    def record_read(
        self,
        as_of: float,
        now: float,
        latest_at: float | None = None,
    ) -> None:
        """Note a list of what the directory held at the instant `as_of`.

        It is no younger than `latest_at`; that is now where it is not known.
        """
        youngest_at = now if latest_at is None else latest_at
        self.latest_at = max(self.latest_at, youngest_at)
        if as_of - self.read_at > GAP_S:
            self.resumed_at = now
            if self.last_failure_at > self.read_at:
                self.disturbed_at = now
                self.grace_end = min(
                    now + LAPSE_GRACE_S, self.last_failure_at + RETURN_GRACE_S
                )
        self.read_at = max(self.read_at, as_of)

    def record_restore(self, now: float) -> None:
        """Note that the directory came back from an older copy.

        What came since is missing there until it is written again.
        """
        self.resumed_at = now
        self.disturbed_at = now
        self.grace_end = now + LAPSE_GRACE_S

    def record_failure(self, began_at: float) -> None:
        """Note a read that failed, or the end of a time without any."""
        self.last_failure_at = began_at

    def is_disturbed(self, now: float) -> bool:
        """Whether live targets may still be missing after a disturbance."""
        return now - self.disturbed_at < LAPSE_GRACE_S

    def is_synchronized(self, now: float) -> bool:
        """Whether what is missing from this list is missing for good."""
        return now - self.resumed_at >= LAPSE_GRACE_S
