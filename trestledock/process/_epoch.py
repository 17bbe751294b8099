"""
Epochs
======

An epoch is the set of members of a data centre that decide together on
idempotency keys.  The log holds the epochs; each key has a few replicas among
the members, chosen by rendezvous hashing.

A new epoch starts from what one old replica of a key remembers; that replica
seals the old epoch first.  Keys of which no old replica answered are blind:
what may have run under them is not known.
"""

from dataclasses import dataclass, field

from trestledock.process._payloads import Blind
from trestledock.relay import rank_by_key
from trestledock.version import EpochBody

#: How long the members of an earlier epoch are asked at least, in seconds.
MIN_HANDOVER_S = 5.0


@dataclass(frozen=True)
class Epoch:
    """An accepted epoch; its offset on the log is its number."""

    offset: int
    body: EpochBody

    @property
    def members(self) -> tuple[str, ...]:
        """The members that decide in this epoch."""
        return self.body.members

    def get_replicas_by_key(self, key: str) -> tuple[str, ...]:
        """Return the replicas of a key, the first of them decides."""
        return rank_by_key(key, self.members)[: self.body.replicas]


@dataclass
class Handover:
    """What is missing from an earlier epoch, and until when.

    The time runs only once no member of the earlier epoch can still grant
    anything: `closed_at` is the instant from which that is certain.
    """

    offset: int
    members: tuple[str, ...]
    replicas: int
    heard: set[str] = field(default_factory=set)
    sealed: set[str] = field(default_factory=set)
    closed_at: float | None = None
    started_at: float = 0

    def has_unknown_history(self, key: str) -> bool:
        """Whether no replica of `key` in the earlier epoch has answered."""
        replicas = rank_by_key(key, self.members)[: self.replicas]
        return self.heard.isdisjoint(replicas)

    def covers_all_keys(self) -> bool:
        """Whether every key has a replica that answered."""
        missing = len(set(self.members) - self.heard)
        return missing < min(self.replicas, len(self.members))

    def is_done(self, now: float, keep_s: float) -> bool:
        """Whether nothing is missing any more, or its time is over.

        Every member is asked for a while even where nothing is missing, so
        that one that leaves learns that it may go.
        """
        covered = (
            self.covers_all_keys() and now - self.started_at > MIN_HANDOVER_S
        )
        return covered or self.get_remaining_s(now, keep_s) <= 0

    def close_if_inactive(self, gone: set[str], now: float) -> None:
        """Start the time once the earlier members can grant nothing more.

        That is so when more than half of them have sealed, since a member
        grants only while it hears more than half, or when each of the others
        is gone.
        """
        majority = len(self.sealed) * 2 > len(self.members)
        rest = set(self.members) - self.sealed
        if self.closed_at is None and (majority or rest <= gone):
            self.closed_at = now

    def get_remaining_s(self, now: float, keep_s: float) -> float:
        """Return for how many seconds its blind keys stay blind."""
        if self.closed_at is None:
            return keep_s
        return self.closed_at + keep_s - now

    def to_payload(self, now: float, keep_s: float) -> Blind:
        """Return it as it is told to a member of the next epoch."""
        return Blind(
            self.offset,
            self.members,
            self.replicas,
            tuple(sorted(self.heard)),
            self.get_remaining_s(now, keep_s),
            self.closed_at is not None,
        )
