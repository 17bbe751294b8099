"""
Time histograms
===============

Counts of times by fixed buckets, as plain numbers until they are requested.
"""

from bisect import bisect_left
from dataclasses import dataclass, field

#: Upper bounds of the time histograms, in seconds.
BOUNDS_S = (0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 1, 1.5, 2.5, 5, 10, 20)


def _make_buckets() -> list[int]:
    """Return a count for each bound, and one for larger values."""
    return [0 for _ in (*BOUNDS_S, None)]


@dataclass
class HistogramCounts:
    """Histogram of times: counts by bucket, and the sum."""

    counts: list[int] = field(default_factory=_make_buckets)
    total_s: float = 0

    def add(self, seconds: float) -> None:
        """Count one time."""
        self.counts[bisect_left(BOUNDS_S, seconds)] += 1
        self.total_s += seconds
