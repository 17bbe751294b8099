"""
Rate limits between entries
===========================

Tells the other entries what targets said of how many requests a second they
take: each change at once, what was heard here with every whole word, and all to
an entry that is met.  It also says which entries share a limit.
"""

from typing import Iterable, Sequence

import anyio

from trestledock.entry._datagrams import Address, join_address
from trestledock.entry._gossip import Gossip
from trestledock.entry._rates import take_word
from trestledock.entry._words import Limits, ToldLimit
from trestledock.relay import Member, Members, RateLimit

#: Limits in one datagram.
MAX_LIMITS = 100
#: For how long it is told again that a limit was taken back, in seconds.
LIFTED_S = 30.0
#: How often is looked which entries there are, in seconds, while their number
#: stays: that takes half a millisecond among 195.
LOOK_S = 5.0


class RatesExchange:
    """Tells and hears of limits for one entry."""

    def __init__(self, gossip: Gossip) -> None:
        """Take part in the gossip."""
        self.gossip = gossip
        self.state = gossip.state
        self._members: Members | None = None
        self._counts = (0, 0)
        self._looked_at = float('-inf')
        self.state.throttle.get_members = self.get_members
        self.state.tell_limit = self._tell_limit
        gossip.handlers[Limits] = self._take
        gossip.on_met.append(self._tell_known)
        gossip.on_told.append(self._tell_again)

    def get_members(self) -> Members:
        """Return the entries that are heard, and how many there are."""
        now = anyio.current_time()
        counts = (
            len(self.gossip.peers.known),
            len(self.gossip.neighbours.places),
        )
        is_old = counts != self._counts or now - self._looked_at > LOOK_S
        if self._members is None or is_old:
            self._members = self._find_members(now)
            self._counts = counts
            self._looked_at = now
        return self._members

    def _find_members(self, now: float) -> Members:
        settings = self.state.settings
        others = [
            Member(join_address(peer.address), peer.data_centre)
            for peer in self.gossip.peers.known.values()
        ]
        return Members(
            Member(settings.peers, settings.data_centre),
            tuple(sorted(others, key=lambda one: one.name)),
            self.gossip.neighbours.count(now) + 1,
        )

    def _tell_limit(self, target: str) -> None:
        """Have all others know what a target has just said."""
        self._send([target], self.gossip.neighbours.get_all())

    def _tell_known(self, address: Address) -> None:
        """Have an entry that is new know what is in force, and what is not."""
        self._send(self.state.rate_limits.known, [address])

    def _tell_again(self, where: Sequence[Address]) -> None:
        """Tell what this entry heard itself: what is, or was, in force.

        If those that were told told it on, each would hear it from everyone.
        """
        now = anyio.current_time()
        matters = [
            target
            for target, limit in self.state.rate_limits.known.items()
            if not limit.is_told
            and (limit.is_in_force or now - limit.heard_at <= LIFTED_S)
        ]
        self._send(matters, where)

    def _send(self, targets: Iterable[str], where: Sequence[Address]) -> None:
        now = anyio.current_time()
        told = [self._make_told(target, now) for target in targets]
        for start in range(0, len(told), MAX_LIMITS):
            part = tuple(told[start : start + MAX_LIMITS])
            self.gossip.send(Limits(self.state.member, part), where)

    def _make_told(self, target: str, now: float) -> ToldLimit:
        limit = self.state.rate_limits.known[target]
        return ToldLimit(
            target, limit.per_s, now - limit.asked_at, now - limit.heard_at
        )

    def _take(self, word: Limits, _: Address) -> bool:
        now = anyio.current_time()
        for one in word.limits:
            limit = RateLimit(
                one.per_s,
                now - one.asked_age_s,
                now - one.heard_age_s,
                is_told=True,
            )
            take_word(self.state, one.target, limit, word.sender)
        return False
