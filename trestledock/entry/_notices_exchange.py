"""
Notices between entries
=======================

Tells the other entries what targets have said of themselves: each change that
matters at once, what was heard here with every whole word, and all to an entry
that is met.  It also says which entries share a target's rate limit.
"""

from typing import Sequence

import anyio

from trestledock.entry._datagrams import Address, join_address
from trestledock.entry._gossip import Gossip
from trestledock.entry._notices import apply_notice
from trestledock.entry._messages import TargetNotice, ToldNotices
from trestledock.relay import (
    Drain,
    Member,
    Membership,
    Notice,
    RateLimit,
    Backoff,
)

#: The kinds of notices that concern all entries.
SHARED = (RateLimit, Drain, Backoff)
#: For how long it is told again that something was taken back, in seconds.
LIFTED_S = 30.0
#: How often is looked which entries there are, in seconds, while their number
#: stays: that takes half a millisecond among 195.
LOOK_S = 5.0


class NoticesExchange:
    """Tells and hears of notices for one entry."""

    def __init__(self, gossip: Gossip) -> None:
        """Take part in the gossip."""
        self.gossip = gossip
        self.state = gossip.state
        self._members: Membership | None = None
        self._counts = (0, 0)
        self._looked_at = float('-inf')
        self.state.throttle.get_members = self.get_members
        self.state.send_notices = self._tell
        gossip.handlers[ToldNotices] = self._take
        gossip.on_new_peer.append(self._tell_known)
        gossip.on_full_state_sent.append(self._tell_again)

    def get_members(self) -> Membership:
        """Return the entries that are heard, and how many there are."""
        now = anyio.current_time()
        counts = (
            len(self.gossip.peers.known),
            len(self.gossip.addresses.data_centres),
        )
        is_old = counts != self._counts or now - self._looked_at > LOOK_S
        if self._members is None or is_old:
            self._members = self._find_members(now)
            self._counts = counts
            self._looked_at = now
        return self._members

    def _find_members(self, now: float) -> Membership:
        settings = self.state.settings
        others = [
            Member(join_address(peer.address), peer.data_centre)
            for peer in self.gossip.peers.known.values()
        ]
        return Membership(
            Member(settings.peers, settings.data_centre),
            tuple(sorted(others, key=lambda one: one.name)),
            self.gossip.addresses.count(now) + 1,
        )

    def _tell(self, target: str) -> None:
        """Have all others know what a target has just said."""
        known = [one for one in self._get_known() if one.target == target]
        self._send(known, self.gossip.addresses.get_all())

    def _tell_known(self, address: Address) -> None:
        """Have an entry that is new know what is in force, and what is not."""
        self._send(self._get_known(), [address])

    def _tell_again(self, where: Sequence[Address]) -> None:
        """Tell what this entry heard itself: what is, or was, in force.

        If those that were told told it on, each would hear it from everyone.
        """
        now = anyio.current_time()
        matters = [
            one for one in self._get_known() if _is_told_again(one.notice, now)
        ]
        self._send(matters, where)

    def _get_known(self) -> list[TargetNotice]:
        """Return what targets have said that are still there."""
        return [
            TargetNotice(target, notice)
            for kind in SHARED
            for target, notice in self.state.notices.get_all(kind).items()
            if target in self.state.fleet.targets
        ]

    def _send(
        self, notices: Sequence[TargetNotice], where: Sequence[Address]
    ) -> None:
        self.gossip.send_rows(ToldNotices, notices, where)

    def _take(self, word: ToldNotices, _: Address) -> bool:
        for one in word.notices:
            apply_notice(self.state, one.target, one.notice, word.sender)
        return False


def _is_told_again(notice: Notice, now: float) -> bool:
    """Whether to make good for lost words; a rest is over soon anyway."""
    if notice.is_shared or isinstance(notice, Backoff):
        return False
    return notice.requested is not None or now - notice.heard_at <= LIFTED_S
