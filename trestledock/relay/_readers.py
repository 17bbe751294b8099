"""
Election of the store's reader
==============================

Which instance reads the platform's store for the others.  Calls of the store
are expensive and limited, so one instance reads and the others ask it: the
first by name of those whose knowledge of the store is fresh.  Instances that
know each other so make the same choice.  If no instance's knowledge is fresh,
all try to read, at intervals that grow with their position in the order of
names.
"""

from dataclasses import dataclass
from typing import Iterable

#: The share of the time within which a change must take effect everywhere after
#: which the store is read again.  The rest is left for passing the change on,
#: and for detecting that a reader has failed.
READ_SHARE = 0.2
#: The share of that time after which the reader is asked again, and the longest
#: interval, in seconds: a fifth of the age up to which keys are accepted.
ASK_SHARE = 0.15
MAX_ASK_INTERVAL_S = 0.6
#: The age of its proof up to which an instance may be asked, in read intervals.
FRESH_INTERVALS = 2.0
#: The age of its proof above which an instance reads the store itself, in read
#: intervals; and the delay that each position in the order adds, and its
#: maximum, in seconds.
SELF_READ_INTERVALS = 2.25
SELF_READ_STEP_S = 0.03
MAX_SELF_READ_DELAY_S = 0.35
#: The interval at which an instance tries to read while no instance has read
#: lately, in seconds: of the first in the order, what each position adds, and
#: the maximum.  All calls are charged, refused ones too; the first that
#: succeeds informs the others.
RETRY_BASE_S = 0.45
RETRY_STEP_S = 0.4
MAX_RETRY_S = 6.0


@dataclass(frozen=True)
class ReadSchedule:
    """The intervals at which one instance reads for all.

    `settle_s` is the time within which a change must take effect everywhere, in
    seconds.

    >>> round(ReadSchedule(settle_s=3).read_interval_s, 2)
    0.6
    """

    settle_s: float = 2

    @property
    def read_interval_s(self) -> float:
        """The interval between two reads, in seconds."""
        return self.settle_s * READ_SHARE

    @property
    def ask_interval_s(self) -> float:
        """The interval between two queries to the reader, in seconds."""
        return min(MAX_ASK_INTERVAL_S, self.settle_s * ASK_SHARE)

    @property
    def fresh_s(self) -> float:
        """The age of its proof up to which an instance may be asked."""
        return self.read_interval_s * FRESH_INTERVALS

    @property
    def self_read_s(self) -> float:
        """The age of its proof above which the first instance reads itself."""
        return self.read_interval_s * SELF_READ_INTERVALS


#: The schedule for a bound of two seconds.
DEFAULT_SCHEDULE = ReadSchedule()


@dataclass(frozen=True)
class ReaderCandidate:
    """An instance with the age of its knowledge of the store, in seconds.

    Instances of older versions can't tell which data centres are evacuated.
    """

    name: str
    age_s: float
    sends_evacuations: bool = True


def choose_reader(
    candidates: Iterable[ReaderCandidate],
    schedule: ReadSchedule = DEFAULT_SCHEDULE,
) -> str:
    """Return the name of the instance that reads for all.

    This is the first by name of the instances that are fresh, or of all if none
    is.  Instances that send evacuations come before older versions that don't.
    So an instance that is fresh and knows only older ones chooses itself.

    >>> choose_reader([ReaderCandidate('a', 9.0), ReaderCandidate('b', 0.2)])
    'b'
    >>> older = ReaderCandidate('a', 0.2, sends_evacuations=False)
    >>> choose_reader([older, ReaderCandidate('b', 0.2)])
    'b'
    >>> choose_reader([older, ReaderCandidate('b', 9.0)])
    'a'
    """
    known = tuple(candidates)
    fresh = [
        candidate for candidate in known if candidate.age_s <= schedule.fresh_s
    ]
    preferred = [
        candidate for candidate in fresh if candidate.sends_evacuations
    ]
    return min(candidate.name for candidate in preferred or fresh or known)


def get_own_read_delay_s(
    own_name: str,
    names: Iterable[str],
    age_s: float,
    schedule: ReadSchedule = DEFAULT_SCHEDULE,
) -> float:
    """Return after how many seconds an instance should read itself.

    By then, queries to the reader have failed for too long.

    >>> round(get_own_read_delay_s('b', ['a', 'b'], age_s=0.92), 2)
    0.01
    """
    position = sum(name < own_name for name in names)
    return (
        schedule.self_read_s
        + min(MAX_SELF_READ_DELAY_S, SELF_READ_STEP_S * position)
        - age_s
    )


def get_read_retry_s(own_name: str, names: Iterable[str]) -> float:
    """Return the interval at which an instance tries to read if all are stale.

    >>> round(get_read_retry_s('b', ['a', 'b', 'c']), 2)
    0.85
    """
    position = sum(name < own_name for name in names)
    return min(MAX_RETRY_S, RETRY_BASE_S + RETRY_STEP_S * position)
