"""
Known entries
=============

Which entries may hold quotas at cold targets.  Together they must never hold
more than the bound allows, whatever messages are lost.  So an entry holds
quotas only while it certainly knows each other entry that may hold one:

- It has announced itself in the store, and read the list of entries there.
- Since then it has heard from each listed entry, which sends messages only to
  entries that it knows; or it has waited until an entry that hasn't heard of it
  has to read the list again.
- It has read the list within `LEASE_S`.

An entry that is known once is never forgotten while the process lives.
"""

from trestledock.entry._datagrams import join_address
from trestledock.entry._peer_addresses import UNKNOWN, PeerAddresses
from trestledock.relay import KnownInstances, Member

#: How long an entry holds quotas without reading the list of entries, in
#: seconds: it reads it every 120 s, and one read may fail.
LEASE_S = 300.0
#: How much longer than `LEASE_S` an entry waits that not all others may know,
#: in seconds: what others sent by an older list must have arrived by then.
MARGIN_S = 1.0


class KnownEntries:
    """The entries that one entry knows, and since when it may hold quotas."""

    def __init__(self, own: Member, addresses: PeerAddresses) -> None:
        """Start without a list of entries, hence without quotas."""
        self._own = own
        self._addresses = addresses
        self._listed_at = float('-inf')
        self._lease_began_at = float('inf')
        self._first_listed_at = float('inf')
        self._confirmed_at = float('inf')
        self._known: KnownInstances | None = None
        self._revision = -1

    def record_list(self, read_at: float, now: float) -> None:
        """Record that the list was read; the read began at `read_at`."""
        if now > self._listed_at + LEASE_S:
            self._lease_began_at = now
        self._listed_at = read_at
        self._first_listed_at = min(self._first_listed_at, now)

    def get(self, now: float) -> KnownInstances | None:
        """Return the known entries, None while this one holds no quotas."""
        if now > self._listed_at + LEASE_S or now < self._confirm(now):
            return None
        since = max(
            self._confirmed_at,
            self._lease_began_at,
            self._addresses.changed_at,
        )
        is_current = self._revision == self._addresses.revision
        if self._known is None or self._known.since != since or not is_current:
            self._known = self._make(since)
            self._revision = self._addresses.revision
        return self._known

    def _confirm(self, now: float) -> float:
        """Return since when all other holders know this entry, or infinity."""
        if self._confirmed_at == float('inf'):
            waited_at = self._first_listed_at + LEASE_S + MARGIN_S
            if UNKNOWN not in self._addresses.data_centres.values():
                self._confirmed_at = max(
                    self._first_listed_at, self._addresses.changed_at
                )
            elif now >= waited_at:
                self._confirmed_at = waited_at
        return self._confirmed_at

    def _make(self, since: float) -> KnownInstances:
        others = [
            Member(join_address(address), data_centre)
            for address, data_centre in self._addresses.data_centres.items()
        ]
        return KnownInstances(self._own, tuple(others), since)
