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

#: A proof up to this age makes an instance fit to be asked, in seconds: twice
#: the pause between reads.
FRESH_S = 0.8
#: A proof above this age makes an instance read itself, in seconds, the later
#: in the order the later: what is added for each place, and at most.
SELF_S = 0.9
SELF_PLACE_S = 0.03
SELF_MOST_S = 0.5
#: How often an instance tries to read while nobody has read lately, in
#: seconds: the first in order, what is added for each place, and at most.
RETRY_FIRST_S = 0.45
RETRY_PLACE_S = 0.2
RETRY_MOST_S = 2.0


@dataclass(frozen=True)
class Candidate:
    """An instance with the age of what it knows of the store, in seconds."""

    name: str
    age_s: float


def choose_reader(candidates: Iterable[Candidate]) -> str:
    """Return the name of the instance that reads for all.

    >>> choose_reader([Candidate('a', 9.0), Candidate('b', 0.2)])
    'b'
    """
    known = tuple(candidates)
    fresh = [one.name for one in known if one.age_s <= FRESH_S]
    return min(fresh or [one.name for one in known])


def is_own_read_due(me: str, names: Iterable[str], age_s: float) -> bool:
    """Whether an instance should read itself, since asking does not help.

    >>> is_own_read_due('b', ['a', 'b'], age_s=0.92)
    False
    """
    place = sum(name < me for name in names)
    return age_s > SELF_S + min(SELF_MOST_S, SELF_PLACE_S * place)


def get_retry_s(me: str, names: Iterable[str]) -> float:
    """Return how long an instance waits between tries when all are stale.

    >>> get_retry_s('b', ['a', 'b', 'c'])
    0.65
    """
    place = sum(name < me for name in names)
    return min(RETRY_MOST_S, RETRY_FIRST_S + RETRY_PLACE_S * place)
