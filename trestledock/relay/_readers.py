"""
Readers of the store
====================

Which instance reads the platform's store for the others.  Calls of the store
are dear and limited, so one instance reads and the others ask it.  Whoever has
read lately comes first; among equals the order of names decides, so that all
who hear each other choose alike.  Where nobody has read lately, everyone
tries, the later in the order the more rarely.
"""

from dataclasses import dataclass
from typing import Iterable

#: The part of the time within which a change must be in force everywhere after
#: which the store is read again; the rest is for the way to the others, and for
#: noticing that a reader is gone.
READ_SHARE = 0.2
#: The part of that time after which the reader is asked again, and the longest
#: pause, in seconds: a fifth of the age up to which keys are served.
ASK_SHARE = 0.15
ASK_MOST_S = 0.6
#: A proof up to this age makes an instance fit to be asked, in pauses between
#: reads.
FRESH_PAUSES = 2.0
#: A proof above this age makes an instance read itself, in pauses between
#: reads, the later in the order the later: what is added for each place, and at
#: most, in seconds.
SELF_PAUSES = 2.25
SELF_PLACE_S = 0.03
SELF_MOST_S = 0.35
#: How often an instance tries to read while nobody has read lately, in
#: seconds: the first in order, what is added for each place, and at most.  All
#: calls are priced, refused ones too; whoever is served first tells the others.
RETRY_FIRST_S = 0.45
RETRY_PLACE_S = 0.4
MAX_RETRY_S = 6.0


@dataclass(frozen=True)
class ReadSchedule:
    """How often one instance reads for all.

    `settle_s` is the time within which a change must be in force everywhere,
    in seconds.

    >>> round(ReadSchedule(settle_s=3).read_interval_s, 2)
    0.6
    """

    settle_s: float = 2

    @property
    def read_interval_s(self) -> float:
        """The pause between two reads in seconds."""
        return self.settle_s * READ_SHARE

    @property
    def ask_interval_s(self) -> float:
        """The pause between two questions to the reader in seconds."""
        return min(ASK_MOST_S, self.settle_s * ASK_SHARE)

    @property
    def fresh_s(self) -> float:
        """Up to what age of its proof an instance is fit to be asked."""
        return self.read_interval_s * FRESH_PAUSES

    @property
    def self_s(self) -> float:
        """Above what age of its proof the first in order reads itself."""
        return self.read_interval_s * SELF_PAUSES


#: The pace for a bound of two seconds.
DEFAULT_PACE = ReadSchedule()


@dataclass(frozen=True)
class ReaderCandidate:
    """An instance with the age of what it knows of the store, in seconds."""

    name: str
    age_s: float


def choose_reader(
    candidates: Iterable[ReaderCandidate],
    pace: ReadSchedule = DEFAULT_PACE,
) -> str:
    """Return the name of the instance that reads for all.

    >>> choose_reader([ReaderCandidate('a', 9.0), ReaderCandidate('b', 0.2)])
    'b'
    """
    known = tuple(candidates)
    fresh = [one.name for one in known if one.age_s <= pace.fresh_s]
    return min(fresh or [one.name for one in known])


def get_own_read_delay_s(
    me: str,
    names: Iterable[str],
    age_s: float,
    pace: ReadSchedule = DEFAULT_PACE,
) -> float:
    """Return in how many seconds an instance should read itself.

    By then, asking has not helped for too long.

    >>> round(get_own_read_delay_s('b', ['a', 'b'], age_s=0.92), 2)
    0.01
    """
    place = sum(name < me for name in names)
    return pace.self_s + min(SELF_MOST_S, SELF_PLACE_S * place) - age_s


def get_read_retry_s(me: str, names: Iterable[str]) -> float:
    """Return how long an instance waits between tries when all are stale.

    >>> get_read_retry_s('b', ['a', 'b', 'c'])
    0.85
    """
    place = sum(name < me for name in names)
    return min(MAX_RETRY_S, RETRY_FIRST_S + RETRY_PLACE_S * place)
