"""
Blame
=====

Decides which names of requests crash the targets that run them.  A request has
several names: its fingerprint and the shared parts of its prompt.  A crash is
evidence against all names of all requests that the target ran, most of which
are harmless.
"""

from dataclasses import dataclass
from typing import AbstractSet as Set
from typing import Iterable, Mapping


#: The least time between two moments of crashes, in seconds.
MOMENT_S = 0.3


@dataclass(frozen=True)
class Threshold:
    """The number of crashes at which a name is blamed.

    They must be spread over so many `moments`, as many targets may crash
    together for another reason.
    """

    crashes: int
    moments: int = 1

    def is_reached(self, instants: Iterable[float]) -> bool:
        """Return whether crashes at these instants suffice.

        >>> Threshold(3, moments=2).is_reached([1.0, 1.1, 1.2])
        False
        >>> Threshold(3, moments=2).is_reached([1.0, 1.1, 1.5])
        True
        """
        ordered = sorted(instants)
        is_enough = len(ordered) >= self.crashes
        return is_enough and _count_moments(ordered) >= self.moments


def _count_moments(ordered: Iterable[float]) -> int:
    count = 0
    next_at = float('-inf')
    for at in ordered:
        if at >= next_at:
            count += 1
            next_at = at + MOMENT_S
    return count


#: A request that no target has answered lately.
REQUEST_THRESHOLD = Threshold(3)
#: A name under which many requests run.
SHARED_THRESHOLD = Threshold(5, moments=3)
#: How many of the crashes of a part may be missing from another part that may
#: be at fault in its place: reports are lost, and targets crash for other
#: reasons.
MAX_MISSING = 1


@dataclass(frozen=True)
class Evidence:
    """The crashes that count against a name: their instants by incarnation.

    Requests have several names that are parts of prompts, but one fingerprint.
    A name `was_sound` if it was answered in the minute before the last crash,
    or after an earlier one.  `companions` are the names that were together with
    it in a request at a crash.
    """

    crashes: Mapping[str, float]
    threshold: Threshold
    is_part: bool = False
    was_sound: bool = False
    companions: Set[str] = frozenset()

    def is_sufficient(self, explained: Set[str]) -> bool:
        """Return whether the crashes without another explanation suffice."""
        return self.threshold.is_reached(
            at
            for incarnation, at in self.crashes.items()
            if incarnation not in explained
        )


#: Names of which at least one crashes targets, though it is not known which.
Suspects = frozenset[str]
Names = Mapping[str, Evidence]


def find_blamed(evidence: Names) -> tuple[Suspects, ...]:
    """Return what crashes targets, as sets of names.

    A request that has all names of a set crashes its target.  One that has some
    of them may be harmless, and running it tells: it clears its names, or they
    have more crashes than the others.

    Parts come first, and the crashes that a part explains count against nothing
    else.  Of several that suffice, one that no target has answered lately is
    more likely than one that was sound until then, and else the one with most
    crashes.  One request never explains a crash in place of another, as that
    would let deadly ones pass.

    >>> crashes = {f't{number}': number for number in range(5)}
    >>> deadly = Evidence(crashes, SHARED_THRESHOLD, is_part=True)
    >>> beside = Evidence(crashes, REQUEST_THRESHOLD)
    >>> find_blamed({'part:dead': deadly, 'beside': beside})
    (frozenset({'part:dead'}),)
    """
    parts = {name: one for name, one in evidence.items() if one.is_part}
    blamed: list[Suspects] = []
    explained: set[str] = set()
    while True:
        worst = _find_worst(parts, explained)
        if not worst:
            break
        crashes = parts[worst].crashes.keys() - explained
        blamed.append(_find_equivalent(parts, worst, crashes))
        explained |= crashes
    requests = (
        frozenset((name,))
        for name, one in evidence.items()
        if not one.is_part and one.is_sufficient(explained)
    )
    return (*blamed, *requests)


def _find_worst(parts: Names, explained: Set[str]) -> str:
    """Return the most likely part whose unexplained crashes suffice."""
    ranked = (
        (not one.was_sound, len(one.crashes.keys() - explained), name)
        for name, one in parts.items()
        if one.is_sufficient(explained)
    )
    return max(ranked, default=(False, 0, ''))[-1]


def _find_equivalent(parts: Names, worst: str, crashes: Set[str]) -> Suspects:
    """Return the parts that explain the crashes as well as the worst one.

    One request must be able to have them all.
    """
    return frozenset(
        name
        for name, one in parts.items()
        if one.was_sound == parts[worst].was_sound
        and name in {worst, *parts[worst].companions}
        and len(crashes - one.crashes.keys()) <= MAX_MISSING
    )
