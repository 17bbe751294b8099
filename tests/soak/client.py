"""
HTTP/1.1 client
===============

Connections of callers that can send a body in chunks with pauses, and read an
answer slowly.  The caller knows when the last byte was sent.
"""

import select
import socket
from dataclasses import dataclass, field
from typing import Any, Sequence
from urllib.parse import urlsplit

import anyio
import h11
from anyio.abc import SocketAttribute, SocketStream

from tests.soak.serving import CONNECTION_ERRORS, READ_BYTES

#: Bytes a slow caller reads at once (also its receive buffer), and its pause
#: before each read, in seconds.
SLOW_READ_BYTES = 65_536
SLOW_PAUSE_S = 0.02


@dataclass(eq=False)
class Connection:
    """One persistent connection to an entry, without pipelining."""

    stream: SocketStream
    slow: bool = False
    used: bool = False
    http: h11.Connection = field(
        default_factory=lambda: h11.Connection(h11.CLIENT)
    )

    def is_open(self) -> bool:
        """Whether the other side has neither closed nor sent anything."""
        raw = self.stream.extra(SocketAttribute.raw_socket)
        poll = select.poll()
        poll.register(raw, select.POLLIN)
        return not poll.poll(0)

    async def send(
        self,
        head: h11.Request,
        chunks: Sequence[bytes],
        pause_s: float,
    ) -> None:
        """Send a request, with a pause before each chunk of its body."""
        await self._send(head)
        for chunk in chunks:
            await anyio.sleep(pause_s)
            await self._send(h11.Data(data=chunk))
        await self._send(h11.EndOfMessage())

    async def receive(self) -> Any:
        """Return the next h11 event of the answer."""
        event = self.http.next_event()
        while event is h11.NEED_DATA:
            if self.slow:
                await anyio.sleep(SLOW_PAUSE_S)
            size = SLOW_READ_BYTES if self.slow else READ_BYTES
            try:
                raw = await self.stream.receive(size)
            except anyio.EndOfStream:
                raw = b''
            self.http.receive_data(raw)
            event = self.http.next_event()
        return event

    def reuse(self) -> bool:
        """Prepare for the next request; return whether one may follow."""
        self.used = True
        states = {self.http.our_state, self.http.their_state}
        if states == {h11.DONE}:
            self.http.start_next_cycle()
            return True
        return False

    async def _send(self, event: Any) -> None:
        raw = self.http.send(event)
        if raw:
            await self.stream.send(raw)


async def connect(url: str, *, slow: bool) -> Connection | None:
    """Return a connection, or None if it isn't accepted."""
    parts = urlsplit(url)
    try:
        stream = await anyio.connect_tcp(str(parts.hostname), parts.port or 0)
    except CONNECTION_ERRORS:
        return None
    if slow:
        raw = stream.extra(SocketAttribute.raw_socket)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_READ_BYTES)
    return Connection(stream, slow)
