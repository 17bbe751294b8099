"""
Connections to targets
======================

Decides how to connect to a target: over this entry's own link, or through
another entry where that link is lost or in doubt. A request that finds neither
can be refused at once.
"""

from typing import Iterable

import anyio

from trestledock.entry import _events as events
from trestledock.entry._links import Links
from trestledock.entry._logger import emit
from trestledock.entry._peers import Peer, Peers
from trestledock.entry._state import EntryState
from trestledock.entry._tunnels import PeerError, TunnelRequest, open_tunnel
from trestledock.entry._wire import Wire, WireError
from trestledock.relay import FailureKind, ListedTarget

#: How many other entries are tried for one connection.
MAX_PEERS_TRIED = 2
#: How long an entry that offered no tunnel, or did not reach a target, comes
#: after all others, in seconds.
PEER_PAUSE_S = 1.0
LONG_AGO = float('-inf')


class Connector:
    """Opens the connections of one entry process to the targets."""

    def __init__(self, state: EntryState, peers: Peers) -> None:
        """Store the state, and the other entries that may offer tunnels."""
        self.state = state
        self.peers = peers
        self._failed_at: dict[str, float] = {}
        self._unreached_at: dict[str, float] = {}
        self._count = 0
        state.links.has_way_around = self._has_peer
        state.links.record_unreached = self._record_unreached

    @property
    def links(self) -> Links:
        """The links of this entry."""
        return self.state.links

    def may_reuse(self, target: ListedTarget) -> bool:
        """Return whether idle connections to a target may still work."""
        return not self.links.is_doubted(target)

    async def connect(self, target: ListedTarget) -> Wire:
        """Return a new connection to a target.

        Raises a `WireError` of kind `no_link` if there is no way to it from
        here; nothing was sent in any case of error.
        """
        if self.links.is_doubted(target):
            return await self._connect_around(target)
        try:
            return await self._connect_directly(target)
        except WireError:
            if not self.links.is_doubted(target):
                raise
        return await self._connect_around(target)

    async def check_elsewhere(self, target: ListedTarget) -> FailureKind:
        """Connect through another entry only; return the failure, if any."""
        try:
            wire = await self.open_tunnel(target)
        except WireError as exc:
            return exc.failure_kind
        await wire.close()
        return FailureKind.none

    async def open_tunnel(self, target: ListedTarget) -> Wire:
        """Return a tunnel; raise `PeerError` if no other entry offers one."""
        failure = PeerError('tunnel', 'no other entry offers one')
        for name, peer in self._choose_peers(target):
            try:
                return await self._open_through(name, peer, target)
            except PeerError as exc:
                failure = exc
        raise failure

    async def _connect_around(self, target: ListedTarget) -> Wire:
        try:
            return await self.open_tunnel(target)
        except PeerError as exc:
            if self.links.is_isolated():
                raise WireError(
                    'link', exc.detail, FailureKind.no_link
                ) from exc
        return await self._connect_directly(target)

    async def _connect_directly(self, target: ListedTarget) -> Wire:
        try:
            return await Wire.connect(target.address)
        except WireError as exc:
            self.links.record_failure(target, exc, is_new=True)
            raise

    async def _open_through(
        self, name: str, peer: Peer, target: ListedTarget
    ) -> Wire:
        self._count += 1
        request = TunnelRequest(
            sender=self.state.member,
            incarnation=target.incarnation,
            tunnel_id=f'{self.state.member}-{self._count}',
        )
        own_host = self.state.settings.peers.rpartition(':')[0]
        try:
            wire = await open_tunnel(peer.address, own_host, request)
        except WireError as exc:
            self._record_failed(name, exc)
            emit(
                events.TunnelFailed(
                    tunnel=request.tunnel_id,
                    peer=target.incarnation,
                    via=name,
                    detail=str(exc),
                    sign=exc.failure_kind.value,
                )
            )
            raise
        wire.via = name
        wire.tunnel_id = request.tunnel_id
        return wire

    def _record_failed(self, name: str, exc: WireError) -> None:
        """Record that another entry failed, or did not reach a target."""
        is_peer = isinstance(exc, PeerError)
        self._put(self._failed_at if is_peer else self._unreached_at, name)

    def _record_unreached(self, name: str) -> None:
        self._put(self._unreached_at, name)

    def _put(self, failed_at: dict[str, float], name: str) -> None:
        failed_at[name] = anyio.current_time()
        for other in failed_at.keys() - self.peers.known.keys():
            failed_at.pop(other)

    def _choose_peers(self, target: ListedTarget) -> Iterable[tuple[str, Peer]]:
        """Return the entries to try, best first.

        Entries near this one or near the target come first, as bytes then cross
        between data centres once at most; those that failed lately come last.
        """
        now = anyio.current_time()
        near = {self.state.settings.data_centre, target.data_centre}
        offering = self._get_offering(now)
        self.state.rng.shuffle(offering)

        def rank(item: tuple[str, Peer]) -> tuple[bool, bool]:  # noqa: WPS430
            failed_at = max(
                self._failed_at.get(item[0], LONG_AGO),
                self._unreached_at.get(item[0], LONG_AGO),
            )
            is_far = item[1].data_centre not in near
            return now - failed_at < PEER_PAUSE_S, is_far

        return sorted(offering, key=rank)[:MAX_PEERS_TRIED]

    def _get_offering(self, now: float) -> list[tuple[str, Peer]]:
        silent = self.state.reach.get_silent(now)
        return [
            (name, peer)
            for name, peer in self.peers.known.items()
            if peer.offers_tunnels
            and not peer.draining
            and not peer.is_silent(now)
            and peer.data_centre not in silent
        ]

    def _has_peer(self) -> bool:
        """Return whether another entry that did not just fail offers a way."""
        now = anyio.current_time()
        return any(
            now - self._failed_at.get(name, LONG_AGO) >= PEER_PAUSE_S
            for name, _ in self._get_offering(now)
        )
