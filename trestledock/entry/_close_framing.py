"""
Replies that end by closing
===========================

The server library adds chunks to each reply without a length, and they say that
it is whole. A reply whose end isn't known to be that is written without them,
as to callers that speak HTTP/1.0, and ends with its connection.

Without framing only a reset shows that a reply was cut. So until it is finished
the connection is set to end with a reset, also if this process is killed.
"""

import socket
import struct
from asyncio import WriteTransport
from dataclasses import dataclass, replace
from typing import TypeGuard

import h11
from hypercorn import protocol
from hypercorn.events import Event
from hypercorn.protocol.events import EndBody
from hypercorn.protocol.events import Event as StreamEvent
from hypercorn.protocol.events import Response
from hypercorn.protocol.h11 import H11Protocol

from trestledock.entry._reply import END_BY_CLOSE

#: The version of callers that know no chunks.
OLD_VERSION = b'1.0'


@dataclass(frozen=True)
class ReplyOpen(Event):
    """A reply without framing has begun, or is finished."""

    is_open: bool


class ClosingProtocol(H11Protocol):
    """HTTP/1.1 with replies that end by closing."""

    async def stream_send(self, event: StreamEvent) -> None:
        """Write a part of a reply."""
        if isinstance(event, Response):
            event = self._take_framing(event)
            if self._ends_by_close():
                await self.send(ReplyOpen(is_open=True))
        await super().stream_send(event)
        if isinstance(event, EndBody):
            await self.send(ReplyOpen(is_open=False))

    def _take_framing(self, event: Response) -> Response:
        """Return a head without the request to end by closing."""
        headers = [one for one in event.headers if tuple(one) != END_BY_CLOSE]
        conn = self.connection
        if len(headers) < len(event.headers) and _is_http(conn):
            conn.their_http_version = OLD_VERSION
        return replace(event, headers=headers)

    def _ends_by_close(self) -> bool:
        """Return whether the library adds no chunks to a reply."""
        conn = self.connection
        if not _is_http(conn):
            return False
        return (conn.their_http_version or OLD_VERSION) <= OLD_VERSION


# The library has no setting for the protocol class.
protocol.H11Protocol = ClosingProtocol  # type: ignore[misc]


def _is_http(conn: object) -> TypeGuard[h11.Connection]:
    """Return whether a connection has not become a web socket."""
    return isinstance(conn, h11.Connection)


def set_reset(transport: WriteTransport, *, resets: bool) -> None:
    """Set whether the end of a connection is a reset."""
    sock = transport.get_extra_info('socket')
    option = struct.pack('ii', resets, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
