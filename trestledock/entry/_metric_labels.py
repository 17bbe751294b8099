"""
Bounded label values
====================

Names from the configuration as label values of metrics. A name that has its own
value keeps it for the life of the process, so a counter never shrinks and the
sum over all values never jumps when the largest names change.
"""

from dataclasses import dataclass, field

#: Values for names without a value of their own, and for no name.
OTHER = 'other'
NONE = 'none'
#: The maximum number of names with a count; a further name replaces the one
#: with the smallest.
MAX_COUNTED = 100
#: All counts are halved after this many requests, so that a name that became
#: large lately outgrows one that used to be.
HALVE_AFTER = 1000


@dataclass
class FirstNames:
    """Own values for the first `limit` names.

    >>> names = FirstNames(1)
    >>> names.get_label('a'), names.get_label('b'), names.get_label('')
    ('a', 'other', 'none')
    """

    limit: int
    labelled: set[str] = field(default_factory=set)

    def get_label(self, name: str) -> str:
        """Return the label value of a name."""
        if not name:
            return NONE
        if name not in self.labelled:
            if len(self.labelled) >= self.limit:
                return OTHER
            self.labelled.add(name)
        return name


@dataclass
class LargestNames:
    """Own values for names that are, or were, among the `largest`.

    The size of a name is its number of requests, counted lately and within
    bounded memory: a name that replaces the smallest one takes its count over
    (space saving, Metwally et al., ICDT 2005).
    """

    largest: int
    limit: int
    labelled: set[str] = field(default_factory=set)
    counts: dict[str, int] = field(default_factory=dict)
    until_halved: int = HALVE_AFTER

    def get_label(self, name: str) -> str:
        """Count a request of a name, and return its label value."""
        if not name:
            return NONE
        self._count(name)
        if name in self.labelled:
            return name
        if len(self.labelled) >= self.limit or not self._is_large(name):
            return OTHER
        self.labelled.add(name)
        return name

    def _count(self, name: str) -> None:
        if self.until_halved <= 0:
            self._halve()
        self.until_halved -= 1
        known = self.counts.get(name)
        if known is None and len(self.counts) >= MAX_COUNTED:
            smallest = min(self.counts, key=self.counts.__getitem__)
            known = self.counts.pop(smallest)
        self.counts[name] = (known or 0) + 1

    def _halve(self) -> None:
        self.until_halved = HALVE_AFTER
        halves = {name: count // 2 for name, count in self.counts.items()}
        self.counts = {name: half for name, half in halves.items() if half}

    def _is_large(self, name: str) -> bool:
        """Return whether fewer than `largest` others are as large."""
        own = self.counts[name]
        as_large = sum(count >= own for count in self.counts.values())
        return as_large <= self.largest
