"""
Addresses of the other entries
==============================

Whom to tell what.  Up to some number of entries are all told everything; with
more of them those of other data centres are told more rarely, and only of what
concerns their targets: what all tell all grows with the square of the entries.
"""

from collections import defaultdict
from typing import Iterable, Mapping

from trestledock.entry._datagrams import Address

#: Up to so many other entries are all told at once.
MAX_FULL_MESH = 16
#: What stands for the data centre of an entry that was not heard yet.
UNKNOWN = ''
#: For how long an entry that is not heard counts as one of all, in seconds: it
#: may be cut off, or start again.
FORGET_S = 600


class PeerAddresses:
    """The addresses of the other entries, with their data centres."""

    def __init__(self, own: Address, data_centre: str) -> None:
        """Begin without any but the own one."""
        self.own = own
        self.data_centre = data_centre
        self.data_centres: dict[Address, str] = {}
        self._seen_at: dict[Address, float] = {}
        self._near: list[Address] | None = None

    def add_addresses(
        self, addresses: Iterable[Address], now: float
    ) -> list[Address]:
        """Take addresses; return those that are new."""
        new = [
            one
            for one in addresses
            if one not in self.data_centres and one != self.own
        ]
        for one in new:
            self.record_address(one, UNKNOWN, now)
        return new

    def record_address(self, address: Address, place: str, now: float) -> None:
        """Note in which data centre an entry is that is heard or met."""
        self._seen_at[address] = now
        if self.data_centres.get(address) != place:
            self.data_centres[address] = place
            self._near = None

    def record_shutdown(self, address: Address) -> None:
        """Note that an entry has ended as planned."""
        self._seen_at.pop(address, None)

    def count(self, now: float) -> int:
        """Return how many others there are, heard or not."""
        return sum(
            now - seen_at <= FORGET_S for seen_at in self._seen_at.values()
        )

    def get_all(self) -> list[Address]:
        """Return the addresses of all others."""
        return list(self.data_centres)

    def get_near(self, *, many: bool) -> list[Address]:
        """Return who is told at once: all, if there are not many."""
        if not many:
            return self.get_all()
        if self._near is None:
            near = (self.data_centre, UNKNOWN)
            self._near = [
                one for one, place in self.data_centres.items() if place in near
            ]
        return self._near

    def get_far(self, *, many: bool) -> Mapping[str, list[Address]]:
        """Return the others by data centre: none, if there are not many."""
        far: dict[str, list[Address]] = defaultdict(list)
        if many:
            for address, place in self.data_centres.items():
                if place not in (self.data_centre, UNKNOWN):
                    far[place].append(address)
        return far

    def get_remote(self) -> list[Address]:
        """Return the addresses that are not known to be in this one."""
        return [
            address
            for address, place in self.data_centres.items()
            if place != self.data_centre
        ]
