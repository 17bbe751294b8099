"""
Tenths of size
==============

Places a prompt among the latest prompts of its service: 1 is the tenth with the
smallest prompts, 10 that with the largest.
"""

from bisect import bisect_left, bisect_right, insort
from collections import deque
from dataclasses import dataclass, field

#: The number of prompts of a service that a new one is compared with; an entry
#: sees about one a second, and an insertion into so short a list costs a
#: microsecond.
SAMPLE = 200
#: The least number of prompts by which a tenth is determined.
MIN_SAMPLE = 10
#: The maximum number of services with a sample.
MAX_SERVICES = 32
TENTHS = 10
#: Stands for no tenth: no size, too few prompts so far, or too many services.
NO_TENTH = 0


@dataclass
class _Sample:
    """The latest sizes, by age and in order."""

    latest: deque[int] = field(default_factory=deque)
    ordered: list[int] = field(default_factory=list)

    def add(self, size: int) -> None:
        """Add a size in place of the oldest one."""
        if len(self.latest) >= SAMPLE:
            oldest = self.latest.popleft()
            self.ordered.pop(bisect_left(self.ordered, oldest))
        self.latest.append(size)
        insort(self.ordered, size)

    def get_tenth(self, size: int) -> int:
        """Return the tenth of a size; equal sizes are in the same one."""
        smaller = bisect_left(self.ordered, size)
        up_to_equal = bisect_right(self.ordered, size)
        share = (smaller + up_to_equal) / 2 / len(self.ordered)
        return min(int(share * TENTHS), TENTHS - 1) + 1


@dataclass
class SizeTenths:
    """Samples of the sizes of prompts by service.

    >>> tenths = SizeTenths()
    >>> [tenths.place('svc', size) for size in range(11)][-2:]
    [10, 10]
    """

    samples: dict[str, _Sample] = field(default_factory=dict)

    def place(self, service: str, size: int) -> int:
        """Add a size to the sample of its service, and return its tenth."""
        if service not in self.samples:
            if len(self.samples) >= MAX_SERVICES:
                return NO_TENTH
            self.samples[service] = _Sample()
        sample = self.samples[service]
        sample.add(size)
        if len(sample.latest) < MIN_SAMPLE:
            return NO_TENTH
        return sample.get_tenth(size)
