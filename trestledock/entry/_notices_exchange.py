"""
Exchange of notices between entries
===================================

Sends the other entries the notices of targets: each important change at once,
those received here with each full state, and all of them to a new entry. Also
determines which entries share a target's rate limit, or what it takes while it
is cold.
"""

from typing import Sequence

import anyio

from trestledock.entry._cold_targets import apply_cold_start
from trestledock.entry._datagrams import Address, join_address
from trestledock.entry._gossip import Gossip
from trestledock.entry._notices import apply_notice
from trestledock.entry._messages import TargetNotice, ToldNotices
from trestledock.relay import (
    ColdStart,
    Drain,
    KnownInstances,
    Member,
    Membership,
    Notice,
    RateLimit,
    Backoff,
)

#: The kinds of notices that concern all entries.
SHARED = (RateLimit, Drain, Backoff, ColdStart)
#: For how long a withdrawn notice is sent again, in seconds.
RESEND_WITHDRAWN_S = 30.0
#: Interval of refreshing the list of entries while their number is constant, in
#: seconds: a refresh takes half a millisecond with 195 entries.
REFRESH_INTERVAL_S = 5.0


class NoticesExchange:
    """Sends and receives notices for one entry."""

    def __init__(self, gossip: Gossip) -> None:
        """Register the handlers with the gossip and the state."""
        self.gossip = gossip
        self.state = gossip.state
        self._members: Membership | None = None
        self._counts = (0, 0)
        self._refreshed_at = float('-inf')
        self.state.throttle.get_members = self.get_members
        self.state.throttle.cold.get_known = self.get_known
        self.state.send_notices = self._send_of_target
        gossip.handlers[ToldNotices] = self._handle_notices
        gossip.on_new_peer.append(self._send_known)
        gossip.on_full_state_sent.append(self._resend_own)

    def get_members(self) -> Membership:
        """Return the entries that are heard from, and the number of all."""
        now = anyio.current_time()
        counts = (
            len(self.gossip.peers.known),
            len(self.gossip.addresses.data_centres),
        )
        is_old = (
            counts != self._counts
            or now - self._refreshed_at > REFRESH_INTERVAL_S
        )
        if self._members is None or is_old:
            self._members = self._find_members(now)
            self._counts = counts
            self._refreshed_at = now
        return self._members

    def get_known(self) -> KnownInstances | None:
        """Return all known entries, None while this one holds no quotas."""
        return self.gossip.known_entries.get(anyio.current_time())

    def _find_members(self, now: float) -> Membership:
        settings = self.state.settings
        others = [
            Member(join_address(peer.address), peer.data_centre)
            for peer in self.gossip.peers.known.values()
        ]
        return Membership(
            Member(settings.peers, settings.data_centre),
            tuple(sorted(others, key=lambda member: member.name)),
            self.gossip.addresses.count(now) + 1,
        )

    def _send_of_target(self, target: str) -> None:
        """Send the notices of a target to all other entries."""
        notices = [
            notice for notice in self._get_known() if notice.target == target
        ]
        self._send(notices, self.gossip.addresses.get_all())

    def _send_known(self, address: Address) -> None:
        """Send all notices, including withdrawn ones, to a new entry."""
        self._send(self._get_known(), [address])

    def _resend_own(self, addresses: Sequence[Address]) -> None:
        """Send again what this entry received itself and what still matters.

        If receivers forwarded notices, each entry would get them from every
        other.
        """
        now = anyio.current_time()
        notices = [
            known
            for known in self._get_known()
            if _needs_resending(known.notice, now)
        ]
        self._send(notices, addresses)

    def _get_known(self) -> list[TargetNotice]:
        """Return the notices of targets that are still listed."""
        return [
            TargetNotice(target, notice)
            for kind in SHARED
            for target, notice in self.state.notices.get_all(kind).items()
            if target in self.state.fleet.targets
        ]

    def _send(
        self, notices: Sequence[TargetNotice], addresses: Sequence[Address]
    ) -> None:
        self.gossip.send_rows(ToldNotices, notices, addresses)

    def _handle_notices(self, message: ToldNotices, _: Address) -> bool:
        for received in message.notices:
            notice = received.notice
            if isinstance(notice, ColdStart):
                apply_cold_start(
                    self.state, received.target, notice, message.sender
                )
                continue
            apply_notice(self.state, received.target, notice, message.sender)
        return False


def _needs_resending(notice: Notice, now: float) -> bool:
    """Whether to repeat a notice in case its message was lost.

    A back-off is not repeated, as it ends soon.
    """
    if isinstance(notice, ColdStart) and now >= notice.until:
        return False
    if notice.is_shared or isinstance(notice, Backoff):
        return False
    return (
        notice.requested is not None
        or now - notice.heard_at <= RESEND_WITHDRAWN_S
    )
