"""
Peers of an entry
=================

The other entries as of their last messages: their addresses, the age of their
copies of the store, and how long each may be silent.
"""

from dataclasses import dataclass
from typing import Iterator

from trestledock.entry._datagrams import Address
from trestledock.entry._peer_addresses import MAX_FULL_MESH
from trestledock.entry._messages import Flights
from trestledock.relay import ReaderCandidate

#: Timeout after which the in-flight requests of a silent peer are dropped: a
#: multiple of its announced period of the full state, so that two messages may
#: be lost, and a minimum in seconds.
TIMEOUT_INTERVALS = 2.5
MIN_TIMEOUT_S = 1.7


@dataclass
class Peer:
    """Another entry, with the age of its copy of the store when last heard.

    One of an older version doesn't send evacuations.
    """

    address: Address
    heard_at: float
    store_age_s: float
    data_centre: str = ''
    again_s: float = 0
    draining: bool = False
    sends_evacuations: bool = True
    offers_tunnels: bool = True

    def get_store_age_s(self, now: float) -> float:
        """Return the age of its copy if it has not been updated since."""
        return self.store_age_s + now - self.heard_at

    def is_silent(self, now: float) -> bool:
        """Whether it has been silent for longer than lost datagrams explain."""
        timeout_s = max(MIN_TIMEOUT_S, self.again_s * TIMEOUT_INTERVALS)
        return now - self.heard_at > timeout_s


class Peers:
    """The entries that messages come from, by the names of their processes."""

    def __init__(self, data_centre: str) -> None:
        """Start without peers, in a data centre."""
        self.data_centre = data_centre
        self.known: dict[str, Peer] = {}

    @property
    def are_many(self) -> bool:
        """Whether data centres exchange less and have readers of their own."""
        return len(self.known) > MAX_FULL_MESH

    def update(self, message: Flights, sender: Address, now: float) -> bool:
        """Record an entry's message; return whether the entry is new."""
        is_new = message.sender not in self.known
        self.known[message.sender] = Peer(
            sender,
            now,
            message.store_age_s,
            message.data_centre,
            message.again_s,
            message.leaving,
            message.sends_evacuations,
            message.offers_tunnels,
        )
        return is_new

    def record_read(self, name: str, store_age_s: float, now: float) -> None:
        """Record that an entry has read the store."""
        peer = self.known.get(name)
        if peer:
            peer.heard_at = now
            peer.store_age_s = store_age_s

    def is_near(self, name: str) -> bool:
        """Whether an entry gets the full state at the short period."""
        return not self.are_many or (
            self.known[name].data_centre == self.data_centre
        )

    def get_near(self) -> list[str]:
        """Return the names of the entries that get the full state often."""
        if not self.are_many:
            return list(self.known)
        own = self.data_centre
        return [
            name for name, peer in self.known.items() if peer.data_centre == own
        ]

    def get_most_informed(self) -> list[str]:
        """Return the near entries, older versions last."""
        return sorted(
            self.get_near(),
            key=lambda name: not self.known[name].sends_evacuations,
        )

    def get_candidates(self, now: float) -> Iterator[ReaderCandidate]:
        """Yield the near entries as possible readers of the store for this one.

        With many entries each data centre has a reader of its own.
        """
        for name in self.get_near():
            peer = self.known[name]
            yield ReaderCandidate(
                name, peer.get_store_age_s(now), peer.sends_evacuations
            )

    def get_silent(self, now: float) -> list[str]:
        """Return the names of the entries that have timed out."""
        return [
            name for name, peer in self.known.items() if peer.is_silent(now)
        ]

    def get_previous_at(self, name: str) -> list[str]:
        """Return the earlier processes at an entry's address."""
        address = self.known[name].address
        return [
            other
            for other, peer in self.known.items()
            if peer.address == address and other != name
        ]
