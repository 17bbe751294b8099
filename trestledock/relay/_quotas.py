"""
Quotas of a target's rate limit
===============================

What a target takes from all entries together is shared without anybody who
grants it: by what each entry knows of the others, a few of them have the right
to send to that target, and each has an equal part.  Entries that hear only some
of the others share no more than the part of those that they hear, so that both
sides of a cut together stay within the limit.
"""

from dataclasses import dataclass, field

from trestledock.relay._rendezvous import rank_by_key

#: A target that takes less than this is treated as if it took as much, in
#: requests a second: nobody would hear that it takes more again.
MIN_RATE_PER_S = 0.1
#: So many entries hold a quota beside one for each request a second.  More use
#: a small limit better, since each has its own callers, and each may be one
#: request early.
EXTRA_HOLDERS = 2


@dataclass(frozen=True)
class Member:
    """An entry by its address."""

    name: str
    data_centre: str


@dataclass(frozen=True)
class Membership:
    """An entry and others that it hears; `known_count` counts the unheard, too.

    >>> own, other = Member('a', 'dc'), Member('b', 'dc')
    >>> Membership(own, (other,), known_count=4).heard_share
    0.5
    """

    own: Member
    others: tuple[Member, ...] = ()
    known_count: int = 1

    @property
    def heard_share(self) -> float:
        """The part of all entries that this one hears, itself included."""
        heard = len(self.others) + 1
        return heard / max(heard, self.known_count)

    def rank(self, target: str, data_centre: str) -> tuple[str, ...]:
        """Return the entries that are heard in the order of their right.

        Those of the target's own data centre go first: they send there most.
        """
        everyone = (self.own, *self.others)
        near = [one.name for one in everyone if one.data_centre == data_centre]
        far = [one.name for one in everyone if one.data_centre != data_centre]
        return rank_by_key(target, near) + rank_by_key(target, far)


@dataclass(frozen=True)
class TargetRate:
    """What a target in a data centre takes from all entries, per second."""

    target: str
    data_centre: str
    per_s: float


def get_quota(members: Membership, demand: TargetRate) -> float:
    """Return how many requests a second an entry may send to a target.

    >>> alone = Membership(Member('a', 'dc'))
    >>> get_quota(alone, TargetRate('t', 'dc', per_s=3))
    3.0
    """
    shared = max(demand.per_s, MIN_RATE_PER_S) * members.heard_share
    heard = len(members.others) + 1
    count = min(heard, int(shared) + EXTRA_HOLDERS)
    holders = members.rank(demand.target, demand.data_centre)[:count]
    return shared / count if members.own.name in holders else 0


@dataclass
class QuotaCache:
    """The quotas of one entry, kept until what they rest on changes."""

    members: Membership
    _kept: dict[TargetRate, float] = field(default_factory=dict)

    def set_members(self, members: Membership) -> None:
        """Take who is heard now."""
        if members != self.members:
            self.members = members
            self._kept.clear()

    def get(self, demand: TargetRate) -> float:
        """Return how many requests a second the entry may send to a target."""
        if demand not in self._kept:
            self._kept[demand] = get_quota(self.members, demand)
        return self._kept[demand]
