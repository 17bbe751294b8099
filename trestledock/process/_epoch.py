"""
Epochs
======

An epoch is the set of members of a data centre that decide on idempotency keys.
The epochs are records on the log.  Each key has a few replicas among the
members, chosen by rendezvous hashing.

For each key, a new epoch imports the claims of one replica of the old epoch,
which seals the old epoch first.  If none of a key's old replicas responds, the
key has an unknown history: a call may have run under it.
"""

from dataclasses import dataclass, field

from trestledock.process._payloads import Blind
from trestledock.relay import rank_by_key
from trestledock.version import EpochBody

#: The minimum time for which members of an earlier epoch are asked to seal it,
#: in seconds.
MIN_HANDOVER_S = 5.0


@dataclass(frozen=True)
class Epoch:
    """An accepted epoch; its log offset is its number."""

    offset: int
    body: EpochBody

    @property
    def members(self) -> tuple[str, ...]:
        """The members of this epoch."""
        return self.body.members

    def get_replicas_by_key(self, key: str) -> tuple[str, ...]:
        """Return the replicas of a key; the first decides on claims."""
        return rank_by_key(key, self.members)[: self.body.replicas]


@dataclass
class Handover:
    """The handover of an earlier epoch's claims.

    `handed_over_by` holds the members that sent every claim on their keys,
    `sealed` those that have sealed the epoch.  From `closed_at` on, certainly
    no member can grant claims in the epoch; only then does the time begin to
    run for which histories stay unknown.
    """

    offset: int
    members: tuple[str, ...]
    replicas: int
    handed_over_by: set[str] = field(default_factory=set)
    sealed: set[str] = field(default_factory=set)
    closed_at: float | None = None
    started_at: float = 0

    def has_unknown_history(self, key: str) -> bool:
        """Whether no replica of `key` in the earlier epoch has responded."""
        replicas = rank_by_key(key, self.members)[: self.replicas]
        return self.handed_over_by.isdisjoint(replicas)

    def covers_all_keys(self) -> bool:
        """Whether every key has a replica that has responded."""
        missing = len(set(self.members) - self.handed_over_by)
        return missing < min(self.replicas, len(self.members))

    def is_done(self, now: float, keep_s: float) -> bool:
        """Whether the handover is complete or has expired.

        Members are asked for a minimum time even if nothing is missing, so that
        a draining member learns that it has handed over its claims.
        """
        is_covered = (
            self.covers_all_keys() and now - self.started_at > MIN_HANDOVER_S
        )
        return is_covered or self.get_remaining_s(now, keep_s) <= 0

    def close_if_inactive(self, terminated: set[str], now: float) -> None:
        """Close the epoch once its members can't grant claims any more.

        This is the case if more than half of them have sealed it, since a
        member grants only while it hears more than half, or if all members that
        have not sealed it have terminated.
        """
        has_majority = len(self.sealed) * 2 > len(self.members)
        unsealed = set(self.members) - self.sealed
        if self.closed_at is None and (has_majority or unsealed <= terminated):
            self.closed_at = now

    def get_remaining_s(self, now: float, keep_s: float) -> float:
        """Return for how many seconds missing histories stay unknown."""
        if self.closed_at is None:
            return keep_s
        return self.closed_at + keep_s - now

    def to_payload(self, now: float, keep_s: float) -> Blind:
        """Return the payload for a member of the next epoch."""
        return Blind(
            self.offset,
            self.members,
            self.replicas,
            tuple(sorted(self.handed_over_by)),
            self.get_remaining_s(now, keep_s),
            self.closed_at is not None,
        )
