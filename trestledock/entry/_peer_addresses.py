"""
Addresses of the other entries
==============================

Which entries receive which messages. Up to a number of entries all exchange
everything. Above it, entries of other data centres receive less, and only what
concerns their targets, because the traffic of a full mesh grows with the square
of the number of entries.
"""

from collections import defaultdict
from typing import Iterable, Mapping

from trestledock.entry._datagrams import Address

#: Maximum number of other entries that form a full mesh.
MAX_FULL_MESH = 16
#: Data centre of an entry that no message has come from yet.
UNKNOWN = ''
#: How long a silent entry still counts, in seconds: it may be cut off or
#: restarting.
FORGET_AFTER_S = 600


class PeerAddresses:
    """Addresses of the other entries, with their data centres."""

    def __init__(self, own: Address, data_centre: str) -> None:
        """Start with the own address only."""
        self.own = own
        self.data_centre = data_centre
        self.data_centres: dict[Address, str] = {}
        #: How often, and when last, an address or a data centre was added or
        #: changed.
        self.revision = 0
        self.changed_at = float('-inf')
        self._seen_at: dict[Address, float] = {}
        self._full_state_receivers: list[Address] | None = None

    def add_addresses(
        self, addresses: Iterable[Address], now: float
    ) -> list[Address]:
        """Add addresses; return those that are new."""
        new = [
            address
            for address in addresses
            if address not in self.data_centres and address != self.own
        ]
        for address in new:
            self.record_address(address, UNKNOWN, now)
        return new

    def record_address(
        self, address: Address, data_centre: str, now: float
    ) -> None:
        """Record the data centre of an entry."""
        self._seen_at[address] = now
        if self.data_centres.get(address) != data_centre:
            self.data_centres[address] = data_centre
            self.changed_at = now
            self.revision += 1
            self._full_state_receivers = None

    def record_shutdown(self, address: Address) -> None:
        """Record that an entry has shut down as planned."""
        self._seen_at.pop(address, None)

    def count(self, now: float) -> int:
        """Return the number of other entries, including silent ones."""
        return sum(
            now - seen_at <= FORGET_AFTER_S
            for seen_at in self._seen_at.values()
        )

    def get_all(self) -> list[Address]:
        """Return the addresses of all other entries."""
        return list(self.data_centres)

    def get_full_state_receivers(self, *, many: bool) -> list[Address]:
        """Return the entries that get the full state often.

        These are all if there are not `many`, otherwise those that are in this
        data centre or in an unknown one.
        """
        if not many:
            return self.get_all()
        if self._full_state_receivers is None:
            included = (self.data_centre, UNKNOWN)
            self._full_state_receivers = [
                address
                for address, data_centre in self.data_centres.items()
                if data_centre in included
            ]
        return self._full_state_receivers

    def get_remote_by_data_centre(
        self, *, many: bool
    ) -> Mapping[str, list[Address]]:
        """Return the entries of other data centres, by data centre.

        The result is empty unless there are `many` entries.
        """
        by_data_centre: dict[str, list[Address]] = defaultdict(list)
        if many:
            for address, data_centre in self.data_centres.items():
                if data_centre not in (self.data_centre, UNKNOWN):
                    by_data_centre[data_centre].append(address)
        return by_data_centre

    def get_remote(self) -> list[Address]:
        """Return the addresses that are not known to be in this data centre."""
        return [
            address
            for address, data_centre in self.data_centres.items()
            if data_centre != self.data_centre
        ]
