"""
Exchange of crashes between entries
===================================

Sends the other entries each crash of a target during a request at once
(`Ends`), and each answer to a request that had crashed targets (`Cleared`).
"""

from typing import Iterable, Sequence

import anyio

from trestledock.entry._datagrams import Address
from trestledock.entry._gossip import Gossip
from trestledock.entry._messages import Cleared, Ends
from trestledock.relay import Crash

#: Delays between repetitions of an important crash message, in seconds:
#: messages may be lost, or an entry be cut off for a while.
RESEND_DELAYS_S = (0.3, 0.7, 2.0)

#: Crash with its age, in seconds.
AgedCrash = tuple[Crash, float]


class EndsExchange:
    """Sends and receives `Ends` and `Cleared` messages for one entry."""

    def __init__(self, gossip: Gossip) -> None:
        """Register the handlers with the gossip and the isolation."""
        self.gossip = gossip
        self.isolation = gossip.state.isolation
        self.isolation.hooks.send_crashes = self.send_crashes
        self.isolation.hooks.send_cleared = self._send_cleared
        gossip.handlers[Ends] = self._handle_crashes
        gossip.handlers[Cleared] = self._handle_cleared
        gossip.on_new_peer.append(self._send_known)

    def send_crashes(self, crashes: Sequence[Crash]) -> None:
        """Send all other entries an `Ends` message about new crashes."""
        if not crashes:
            return
        self._send([(crash, 0) for crash in crashes], self._get_all())
        if any(map(self.isolation.needs_resending, crashes)):
            self.gossip.state.spawn(self._tell_again, crashes)

    async def _tell_again(self, crashes: Iterable[Crash]) -> None:
        age_s: float = 0
        for wait_s in RESEND_DELAYS_S:
            await anyio.sleep(wait_s)
            age_s += wait_s
            self._send([(crash, age_s) for crash in crashes], self._get_all())

    def _send_known(self, address: Address) -> None:
        """Send the known crashes that matter to a new entry."""
        self._send(list(self.isolation.get_known()), [address])

    def _send_cleared(
        self, fingerprint: str, incarnations: Sequence[str]
    ) -> None:
        message = Cleared(
            self.gossip.state.member, fingerprint, tuple(incarnations)
        )
        self.gossip.send(message, self._get_all())

    def _handle_crashes(self, message: Ends, _: Address) -> bool:
        self.isolation.merge_crashes(message.ends, message.sender)
        return True

    def _handle_cleared(self, message: Cleared, _: Address) -> bool:
        self.isolation.merge_cleared(
            message.fingerprint, message.ends, message.sender
        )
        return False

    def _send(
        self, crashes: Sequence[AgedCrash], addresses: Sequence[Address]
    ) -> None:
        self.gossip.send_rows(Ends, crashes, addresses)

    def _get_all(self) -> list[Address]:
        return self.gossip.addresses.get_all()
