"""
Ends between entries
====================

Tells the other entries at once which targets have ended under which requests,
and which such requests were answered after all.
"""

from typing import Iterable, Sequence

import anyio

from trestledock.entry._datagrams import Address
from trestledock.entry._gossip import Gossip
from trestledock.entry._messages import Cleared, Ends
from trestledock.relay import Crash

#: When an end is told again that others must not miss, in seconds after it was
#: told last: words may be lost, or an entry be cut off for a while.
AGAIN_S = (0.3, 0.7, 2.0)

#: An end with its age, in seconds.
AgedEnd = tuple[Crash, float]


class EndsExchange:
    """Tells and hears of ends for one entry."""

    def __init__(self, gossip: Gossip) -> None:
        """Take part in the gossip."""
        self.gossip = gossip
        self.isolation = gossip.state.isolation
        self.isolation.hooks.send_crashes = self.tell
        self.isolation.hooks.send_cleared = self._tell_cleared
        gossip.handlers[Ends] = self._take
        gossip.handlers[Cleared] = self._take_cleared
        gossip.on_new_peer.append(self._tell_known)

    def tell(self, ends: Sequence[Crash]) -> None:
        """Have all others know of targets that have just ended."""
        if not ends:
            return
        self._send([(end, 0) for end in ends], self._get_all())
        if any(map(self.isolation.needs_resending, ends)):
            self.gossip.state.spawn(self._tell_again, ends)

    async def _tell_again(self, ends: Iterable[Crash]) -> None:
        age_s: float = 0
        for wait_s in AGAIN_S:
            await anyio.sleep(wait_s)
            age_s += wait_s
            self._send([(end, age_s) for end in ends], self._get_all())

    def _tell_known(self, address: Address) -> None:
        """Have an entry that is new know what matters of what is known."""
        self._send(list(self.isolation.get_known()), [address])

    def _tell_cleared(self, fingerprint: str, ends: Sequence[str]) -> None:
        word = Cleared(self.gossip.state.member, fingerprint, tuple(ends))
        self.gossip.send(word, self._get_all())

    def _take(self, word: Ends, _: Address) -> bool:
        self.isolation.merge_crashes(word.ends, word.sender)
        return True

    def _take_cleared(self, word: Cleared, _: Address) -> bool:
        self.isolation.merge_cleared(word.fingerprint, word.ends, word.sender)
        return False

    def _send(self, ends: Sequence[AgedEnd], where: Sequence[Address]) -> None:
        self.gossip.send_rows(Ends, ends, where)

    def _get_all(self) -> list[Address]:
        return self.gossip.addresses.get_all()
