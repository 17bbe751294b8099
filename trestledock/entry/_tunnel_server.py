"""
Tunnels for other entries
=========================

Opens connections to targets for entries that have lost their own links to them,
and passes on the bytes. It tries the target's own address only, so a request
takes one hop at most and can't go round in circles.
"""

from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, Awaitable, Callable, Mapping
from urllib.parse import parse_qs

import anyio
from anyio.abc import SocketStream

from trestledock.entry import _events as events
from trestledock.entry._gossip import Gossip
from trestledock.entry._links import Links
from trestledock.entry._logger import emit
from trestledock.entry._reply import CutReply, Reply, Send
from trestledock.entry._state import EntryState
from trestledock.entry._tunnels import (
    OPEN,
    SENDER_FIELD,
    TARGET_FIELD,
    TUNNEL_FIELD,
    TUNNEL_HEADER,
    TunnelRequest,
)
from trestledock.entry._wire import (
    READ_BYTES,
    STREAM_ERRORS,
    WireError,
    connect_stream,
)
from trestledock.relay import ListedTarget

#: How many tunnels are open at the same time: each takes two descriptors, and
#: 65 KB at most in each direction.
MAX_TUNNELS = 256
MS = 1000

Receive = Callable[[], Awaitable[dict[str, Any]]]


@dataclass
class TunnelBytes:
    """How many bytes a tunnel has passed on, to the target and back.

    They tell whether the target answers over the own link to it.
    """

    links: Links
    target: ListedTarget
    up: int = 0
    down: int = 0

    def add_answer(self, size: int) -> None:
        """Count bytes of the target."""
        if not self.down:
            self.links.record_tunnel_answer(self.target)
        self.down += size

    def end_by_target(self) -> None:
        """Record that the target has ended its connection."""
        if self.up and not self.down:
            self.links.record_tunnel_lost(self.target)


class TunnelServer:
    """The tunnels through one entry process."""

    def __init__(self, state: EntryState, gossip: Gossip) -> None:
        """Store the state, and the gossip that knows the other entries."""
        self.state = state
        self.gossip = gossip
        self.count = 0

    async def serve(
        self, scope: Mapping[str, Any], receive: Receive, send: Send
    ) -> None:
        """Open a tunnel and pass on bytes until either side closes."""
        request = _read_request(scope['query_string'])
        reply = Reply(send)
        refusal = self._find_refusal(request, scope)
        if refusal:
            emit(events.TunnelRefused(request.tunnel_id, refusal))
            await _refuse(reply, refusal)
            return
        self.count += 1
        try:
            await self._connect(request, receive, reply)
        finally:
            self.count -= 1

    def _find_refusal(
        self, request: TunnelRequest, scope: Mapping[str, Any]
    ) -> str:
        """Return why a tunnel is refused, empty if it is not.

        The name of an entry's process has a random part, so nobody but the
        other entries knows it; the address has to be that of the entry, too.
        """
        peer = self.gossip.peers.known.get(request.sender)
        if peer is None or peer.address[0] != scope['client'][0]:
            return 'unknown sender'
        if request.incarnation not in self.state.fleet.targets:
            return 'unknown target'
        if not self.state.offers_tunnels(anyio.current_time()):
            return 'not offered'
        return 'too many tunnels' if self.count >= MAX_TUNNELS else ''

    async def _connect(
        self, request: TunnelRequest, receive: Receive, reply: Reply
    ) -> None:
        target = self.state.fleet.targets[request.incarnation]
        try:
            stream = await connect_stream(target.address)
        except WireError as exc:
            kind = exc.failure_kind.value
            emit(events.TunnelRefused(request.tunnel_id, kind))
            await _refuse(reply, kind)
            return
        opened_at = anyio.current_time()
        emit(
            events.TunnelOpened(
                request.tunnel_id, request.sender, request.incarnation
            )
        )
        counts = TunnelBytes(self.state.links, target)
        try:
            async with stream:
                await _pass_on(stream, receive, reply, counts)
        finally:
            emit(
                events.TunnelClosed(
                    tunnel=request.tunnel_id,
                    up_bytes=counts.up,
                    down_bytes=counts.down,
                    took_ms=round((anyio.current_time() - opened_at) * MS),
                )
            )


async def _pass_on(
    stream: SocketStream, receive: Receive, reply: Reply, counts: TunnelBytes
) -> None:
    """Pass on bytes in both directions until either side closes.

    Raises `CutReply` if the target's connection breaks, so that the end of the
    tunnel does not look like the end of its bytes.
    """
    await reply.start(HTTPStatus.OK, ((TUNNEL_HEADER, OPEN),))
    is_broken = False
    async with anyio.create_task_group() as group:
        group.start_soon(_pass_up, stream, receive, group, counts)
        try:
            await _pass_down(stream, reply, counts)
        except STREAM_ERRORS:
            is_broken = True
        counts.end_by_target()
        group.cancel_scope.cancel()
    if is_broken:
        raise CutReply('tunnel')


async def _pass_up(
    stream: SocketStream,
    receive: Receive,
    group: anyio.abc.TaskGroup,
    counts: TunnelBytes,
) -> None:
    """Pass on what the sender sends; stop the tunnel once it is gone."""
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            group.cancel_scope.cancel()
            return
        raw = message.get('body', b'')
        try:
            await stream.send(raw)
        except STREAM_ERRORS:
            # The other direction finds out how the connection ended.
            return
        counts.up += len(raw)


async def _pass_down(
    stream: SocketStream, reply: Reply, counts: TunnelBytes
) -> None:
    """Pass on what the target sends until it closes."""
    while True:
        try:
            raw = await stream.receive(READ_BYTES)
        except anyio.EndOfStream:
            await reply.finish()
            return
        counts.add_answer(len(raw))
        await reply.write(raw)


async def _refuse(reply: Reply, reason: str) -> None:
    headers = ((TUNNEL_HEADER, reason.encode()), (b'content-length', b'0'))
    await reply.start(HTTPStatus.BAD_GATEWAY, headers)
    await reply.finish()


def _read_request(query: bytes) -> TunnelRequest:
    fields = parse_qs(query.decode('latin-1'))
    names = (SENDER_FIELD, TARGET_FIELD, TUNNEL_FIELD)
    return TunnelRequest(*(fields.get(name, [''])[0] for name in names))
