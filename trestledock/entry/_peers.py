"""
Peers of an entry
=================

The other entries as they were last heard: where they are, how fresh what they
know of the store is, and how long each may be silent.
"""

from dataclasses import dataclass
from typing import Iterator

from trestledock.entry._datagrams import Address
from trestledock.entry._peer_addresses import MAX_FULL_MESH
from trestledock.entry._messages import Flights
from trestledock.relay import ReaderCandidate

#: How long a peer may be silent before its flights are forgotten: so many times
#: what it said until it tells everything again, so that two may be lost, and at
#: least, in seconds.
PATIENCE_TURNS = 2.5
PATIENCE_S = 1.7


@dataclass
class Peer:
    """One entry, with the age of its news when it was last heard."""

    address: Address
    heard_at: float
    news_age_s: float
    data_centre: str = ''
    again_s: float = 0
    leaving: bool = False

    def get_store_age_s(self, now: float) -> float:
        """Return the age of its news if it has heard none since."""
        return self.news_age_s + now - self.heard_at

    def is_silent(self, now: float) -> bool:
        """Whether it was silent for longer than lost datagrams explain."""
        patience_s = max(PATIENCE_S, self.again_s * PATIENCE_TURNS)
        return now - self.heard_at > patience_s


class Peers:
    """The entries that are heard, by the names of their processes."""

    def __init__(self, data_centre: str) -> None:
        """Begin without any, in a data centre."""
        self.data_centre = data_centre
        self.known: dict[str, Peer] = {}

    @property
    def are_many(self) -> bool:
        """Whether other data centres are told more rarely, and read alone."""
        return len(self.known) > MAX_FULL_MESH

    def update(self, word: Flights, sender: Address, now: float) -> bool:
        """Take what an entry says of itself; return whether it is new."""
        is_new = word.sender not in self.known
        self.known[word.sender] = Peer(
            sender,
            now,
            word.news_age_s,
            word.data_centre,
            word.again_s,
            word.leaving,
        )
        return is_new

    def record_read(self, name: str, news_age_s: float, now: float) -> None:
        """Note that an entry has read the store."""
        peer = self.known.get(name)
        if peer:
            peer.heard_at = now
            peer.news_age_s = news_age_s

    def is_near(self, name: str) -> bool:
        """Whether an entry is told everything at once."""
        return not self.are_many or (
            self.known[name].data_centre == self.data_centre
        )

    def get_near(self) -> list[str]:
        """Return the names of those that are told everything at once."""
        if not self.are_many:
            return list(self.known)
        own = self.data_centre
        return [
            name for name, peer in self.known.items() if peer.data_centre == own
        ]

    def get_candidates(self, now: float) -> Iterator[ReaderCandidate]:
        """Yield the near ones, as readers of the store for this entry.

        Where there are many, each data centre has a reader of its own.
        """
        for name in self.get_near():
            yield ReaderCandidate(name, self.known[name].get_store_age_s(now))

    def get_silent(self, now: float) -> list[str]:
        """Return the names of those that are heard no more."""
        return [
            name for name, peer in self.known.items() if peer.is_silent(now)
        ]

    def get_previous_at(self, name: str) -> list[str]:
        """Return who else was heard at an entry's address: those before it."""
        address = self.known[name].address
        return [
            other
            for other, peer in self.known.items()
            if peer.address == address and other != name
        ]
