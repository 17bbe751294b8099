"""
Tunnels to targets
==================

A connection to a target by way of another entry, for an entry whose own link
to the target is lost. The other entry connects to the target and passes on
bytes in both directions without reading them, so whatever holds for a direct
connection holds here: what was written may have run, what was not written has
not.

A tunnel is one HTTP request between entries with a chunked body in each
direction. The last chunk tells an end of the target's bytes from a connection
that broke on the way. It opens before anything is sent to the target.
"""

from dataclasses import dataclass
from typing import Any, Mapping
from urllib.parse import urlencode

import anyio
import h11
from anyio.abc import ByteStream, SocketStream

from trestledock.entry._datagrams import Address, join_address
from trestledock.entry._reply_timers import fail_if_silent
from trestledock.entry._wire import (
    READ_BYTES,
    STREAM_ERRORS,
    Head,
    Wire,
    WireError,
    connect_stream,
)
from trestledock.relay import FailureKind

TUNNEL_PATH = '/tunnel'
#: Fields of the query: the entry that asks, the incarnation of the target and
#: the id of the tunnel in the logs of both entries.
SENDER_FIELD = 'sender'
TARGET_FIELD = 'target'
TUNNEL_FIELD = 'tunnel'
#: The header that tells an answer about a tunnel from that of an older version,
#: which answers any path.
TUNNEL_HEADER = b'trestledock-tunnel'
OPEN = b'open'
#: The exceptions of a tunnel that does not open.
OPEN_ERRORS = (TimeoutError, *STREAM_ERRORS)
#: How long another entry may take to open a tunnel, in seconds: its timeout for
#: connecting to the target, and some round trips.
OPEN_TIMEOUT_S = 0.35


class PeerError(WireError):
    """No tunnel through another entry; the target was not tried."""


@dataclass(frozen=True)
class TunnelRequest:
    """What an entry asks another one for."""

    sender: str
    incarnation: str
    tunnel_id: str

    def make_path(self) -> str:
        """Return the path and query of the request."""
        query = urlencode(
            {
                SENDER_FIELD: self.sender,
                TARGET_FIELD: self.incarnation,
                TUNNEL_FIELD: self.tunnel_id,
            }
        )
        return f'{TUNNEL_PATH}?{query}'


class TunnelStream(ByteStream):
    """The bytes of a tunnel as a stream."""

    def __init__(self, stream: SocketStream) -> None:
        """Use a new connection to another entry."""
        self._stream = stream
        self._http = h11.Connection(h11.CLIENT)

    @property
    def extra_attributes(self) -> Mapping[Any, Any]:
        """The attributes of the connection to the other entry."""
        return self._stream.extra_attributes

    async def request(self, path: str, host: str) -> Head:
        """Send the head of the request; return that of the answer."""
        headers = [('host', host), ('transfer-encoding', 'chunked')]
        head = h11.Request(method='POST', target=path, headers=headers)
        await self._stream.send(self._http.send(head) or b'')
        event = await self._next_event()
        if not isinstance(event, h11.Response):
            raise anyio.BrokenResourceError
        return Head(event.status_code, tuple(event.headers))

    async def send(self, item: bytes) -> None:
        """Send bytes to the target."""
        try:
            raw = self._http.send(h11.Data(data=item))
        except h11.LocalProtocolError as exc:
            raise anyio.BrokenResourceError from exc
        await self._stream.send(raw or b'')

    async def receive(self, max_bytes: int = READ_BYTES) -> bytes:
        """Return the next bytes of the target."""
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            raise anyio.EndOfStream
        raise anyio.BrokenResourceError

    async def send_eof(self) -> None:
        """Do nothing: requests end by their own length."""

    async def aclose(self) -> None:
        """Close the tunnel in both directions."""
        await self._stream.aclose()

    async def _next_event(self) -> Any:
        try:
            event = self._http.next_event()
            while event is h11.NEED_DATA:
                self._http.receive_data(await self._receive())
                event = self._http.next_event()
        except h11.RemoteProtocolError as exc:
            raise anyio.BrokenResourceError from exc
        return event

    async def _receive(self) -> bytes:
        try:
            return await self._stream.receive(READ_BYTES)
        except anyio.EndOfStream:
            return b''


async def open_tunnel(
    peer: Address, own_host: str, request: TunnelRequest
) -> Wire:
    """Return a connection to a target by way of another entry.

    Raises `PeerError` if the other entry offers none, and another `WireError`
    if it does not reach the target. In both cases nothing was sent there.
    """
    address = join_address(peer)
    try:
        stream = TunnelStream(await connect_stream(address, own_host))
    except WireError as exc:
        raise PeerError('tunnel', exc.detail) from exc
    is_open = False
    try:
        with fail_if_silent(OPEN_TIMEOUT_S):
            head = await stream.request(request.make_path(), address)
        _check_head(head)
        is_open = True
    except OPEN_ERRORS as exc:
        raise PeerError('tunnel', repr(exc)) from exc
    finally:
        if not is_open:
            with anyio.CancelScope(shield=True):
                await stream.aclose()
    return Wire(stream, is_tunnel=True)


def _check_head(head: Head) -> None:
    """Raise if an answer does not open a tunnel."""
    outcome = head.get_header(TUNNEL_HEADER)
    if outcome == OPEN.decode():
        return
    if outcome in {kind.value for kind in FailureKind} and outcome:
        raise WireError('connect', 'through a peer', FailureKind(outcome))
    raise PeerError('tunnel', outcome or f'status {head.status}')
