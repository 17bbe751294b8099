"""
Quotas of a target's rate limit
===============================

A target's limit applies to all instances together and is divided without a
central coordinator.  From its own view of the others, each instance derives the
same few holders of a quota, which may send to the target at equal rates.
Instances that receive messages from only some of the others share no more than
those instances' part, so that both sides of a network partition together stay
within the limit.

The bound on a cold target holds in each second, also while the instances differ
in whom they receive messages from.  So its holders are chosen from all known
instances, silent ones included: an instance that knows more of them only holds
fewer quotas.
"""

from dataclasses import dataclass, field

from trestledock.relay._rendezvous import rank_by_key
from trestledock.relay._target_records import ListedTarget

#: The least rate that is assumed for a target, in requests a second: at zero,
#: no request would reveal that the target accepts more again.
MIN_RATE_PER_S = 0.1
#: The number of quota holders beyond one for each request a second.  More
#: holders use a small limit better, since each has its own callers, but each
#: may send one request early.
EXTRA_HOLDERS = 2
#: The data centre of an instance that hasn't been heard from.
UNKNOWN_PLACE = ''


@dataclass(frozen=True)
class Member:
    """An instance, named by its address."""

    name: str
    data_centre: str


@dataclass(frozen=True)
class Membership:
    """An instance and the peers that it receives messages from.

    `known_count` counts all known instances, silent ones included.

    >>> own, other = Member('a', 'dc'), Member('b', 'dc')
    >>> Membership(own, (other,), known_count=4).active_share
    0.5
    """

    own: Member
    others: tuple[Member, ...] = ()
    known_count: int = 1

    @property
    def active_share(self) -> float:
        """The share of known instances that send messages, with this one."""
        active_count = len(self.others) + 1
        return active_count / max(active_count, self.known_count)

    def rank(self, target: str, data_centre: str) -> tuple[str, ...]:
        """Return the active instances in order of precedence for a target.

        Instances of the target's own data centre come first, since they send
        most requests there.
        """
        members = (self.own, *self.others)
        local = [
            member.name
            for member in members
            if member.data_centre == data_centre
        ]
        remote = [
            member.name
            for member in members
            if member.data_centre != data_centre
        ]
        return rank_by_key(target, local) + rank_by_key(target, remote)


@dataclass(frozen=True)
class KnownInstances:
    """All known instances, silent ones included.

    One without a data centre hasn't been heard from yet.  Since the instant
    `since`, nothing has changed, and the own instance may hold quotas.
    """

    own: Member
    others: tuple[Member, ...]
    since: float

    def count_ahead(self, target: str, data_centre: str) -> int:
        """Return how many others may precede this instance at a target.

        Instances of the target's data centre come first.  One whose data centre
        isn't known counts as one of these: the result is never less than what
        an instance finds that knows all.
        """
        nearer = [
            member.name
            for member in self.others
            if member.data_centre in (data_centre, UNKNOWN_PLACE)
        ]
        own = self.own.name
        if self.own.data_centre == data_centre:
            return rank_by_key(target, [own, *nearer]).index(own)
        equals = [
            member.name
            for member in self.others
            if member.data_centre not in (data_centre, UNKNOWN_PLACE)
        ]
        return len(nearer) + rank_by_key(target, [own, *equals]).index(own)


@dataclass
class HolderRanks:
    """The ranks of one instance at targets, cached until the known change."""

    _known: KnownInstances | None = None
    _ranks: dict[str, int] = field(default_factory=dict)

    def get(self, known: KnownInstances, target: ListedTarget) -> int:
        """Return how many other instances may precede this one."""
        if known is not self._known:
            self._known = known
            self._ranks.clear()
        name = target.incarnation
        if name not in self._ranks:
            self._ranks[name] = known.count_ahead(name, target.data_centre)
        return self._ranks[name]

    def forget(self, target: str) -> None:
        """Forget a removed target."""
        self._ranks.pop(target, None)


@dataclass(frozen=True)
class TargetRate:
    """The rate at which a target accepts requests of all instances together."""

    target: str
    data_centre: str
    per_s: float


def get_quota(members: Membership, target_rate: TargetRate) -> float:
    """Return the rate at which an instance may send to a target.

    >>> alone = Membership(Member('a', 'dc'))
    >>> get_quota(alone, TargetRate('t', 'dc', per_s=3))
    3.0
    """
    shared = max(target_rate.per_s, MIN_RATE_PER_S) * members.active_share
    active_count = len(members.others) + 1
    count = min(active_count, int(shared) + EXTRA_HOLDERS)
    holders = members.rank(target_rate.target, target_rate.data_centre)[:count]
    return shared / count if members.own.name in holders else 0


@dataclass
class QuotaCache:
    """The quotas of one instance, cached until its peers change."""

    members: Membership
    _quotas: dict[TargetRate, float] = field(default_factory=dict)

    def set_members(self, members: Membership) -> None:
        """Set the active instances."""
        if members != self.members:
            self.members = members
            self._quotas.clear()

    def get(self, target_rate: TargetRate) -> float:
        """Return the rate at which this instance may send to a target."""
        if target_rate not in self._quotas:
            self._quotas[target_rate] = get_quota(self.members, target_rate)
        return self._quotas[target_rate]
