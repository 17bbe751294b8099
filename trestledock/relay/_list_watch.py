"""
Monitoring of the target list
=============================

How closely the platform's directory has been followed, which decides what a
missing record means.  Leases of live targets lapse only if the targets can't
reach the directory for seconds; an instance that followed it without a gap
knows that a missing target has been removed.
"""

from dataclasses import dataclass

#: How long a missing record is retained after a disturbance of the directory,
#: in seconds; lapsed records of live targets are back within about two.
LAPSE_GRACE_S = 2.2
#: The same since the last failed read, in seconds, as the directory may have
#: been back from that moment on.  Three seconds after a disturbance, a target
#: that was removed earlier must get no requests, and the end is checked every
#: 0.2 s.
RETURN_GRACE_S = 2.7
#: A longer gap between two lists, in seconds, lets records lapse: leases last
#: three heartbeats, the last of which may have been written up to one heartbeat
#: before the gap.
GAP_S = 1.8


@dataclass
class ListWatch:
    """The times of reads of the list and of gaps between them.

    A gap alone is no disturbance: the reading instance may have been stalled,
    and retaining what was removed meanwhile would send requests to it for as
    long as the gap and the grace together.  A disturbance is a gap in which
    reads failed, the last of them at `last_failure_at`.  `resumed_at` is the
    end of the last gap of any kind, and `disturbed_at` that of the last
    disturbance, after which a missing record is retained until `grace_end`.

    The list was true at `read_at`, and may be as recent as `latest_at`, since
    it took some time to arrive: only a list that is certainly newer may replace
    it.

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
        """Record a list of the directory's contents at the instant `as_of`.

        It is no newer than `latest_at`, or now if this is not known.
        """
        newest_at = now if latest_at is None else latest_at
        self.latest_at = max(self.latest_at, newest_at)
        if as_of - self.read_at > GAP_S:
            self.resumed_at = now
            if self.last_failure_at > self.read_at:
                self.disturbed_at = now
                self.grace_end = min(
                    now + LAPSE_GRACE_S, self.last_failure_at + RETURN_GRACE_S
                )
        self.read_at = max(self.read_at, as_of)

    def record_restore(self, now: float) -> None:
        """Record that the directory was restored from an older copy.

        Later records are missing until they are written again.
        """
        self.resumed_at = now
        self.disturbed_at = now
        self.grace_end = now + LAPSE_GRACE_S

    def record_failure(self, began_at: float) -> None:
        """Record a failed read, or the end of a time without reads."""
        self.last_failure_at = began_at

    def is_disturbed(self, now: float) -> bool:
        """Return whether live targets may be missing after a disturbance."""
        return now - self.disturbed_at < LAPSE_GRACE_S

    def is_synchronized(self, now: float) -> bool:
        """Return whether targets missing from this list were really removed."""
        return now - self.resumed_at >= LAPSE_GRACE_S
