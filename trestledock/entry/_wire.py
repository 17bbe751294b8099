"""
Connections to targets
======================

One HTTP/1.1 connection that knows how far a request got: nothing written,
written, answered.  That knowledge decides whether a request may be repeated,
and pools of general clients don't tell it.
"""

import socket
from contextlib import suppress
from dataclasses import dataclass
from typing import Any, AsyncIterator, Callable

import anyio
import h11
from anyio.abc import SocketAttribute, SocketStream

from trestledock.relay import (
    FailureKind,
    classify_connect_error,
    classify_disconnect,
)

#: How long a target may take to accept a connection, in seconds: some hundred
#: times the way there, and short beside the objectives of short requests.
CONNECT_S = 0.2
#: How long unacknowledged bytes keep a connection, in milliseconds.
USER_TIMEOUT_MS = 2000
#: Probes of a silent connection: first after, then every, and how many.
KEEPALIVE_S = 1
KEEPALIVE_PROBES = 2
READ_BYTES = 65_536
#: Bodies above this are written while the answer is awaited, in bytes.
SMALL_BODY_BYTES = 32_768

#: How a stream says that it has ended.
STREAM_ENDS = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)

Headers = tuple[tuple[bytes, bytes], ...]


class WireError(Exception):
    """A connection failed at a step."""

    def __init__(
        self,
        step: str,
        detail: str,
        failure_kind: FailureKind = FailureKind.garbled,
    ) -> None:
        """Keep the step, what went wrong, and what it was a sign of."""
        super().__init__(f'{step}: {detail}')
        self.step = step
        self.detail = detail
        self.failure_kind = failure_kind


@dataclass(frozen=True)
class Head:
    """The beginning of an answer."""

    status: int
    headers: Headers

    def get_header(self, name: bytes) -> str:
        """Return a header by its name in lower case, or an empty text."""
        return next(iter(self.get_headers(name)), '')

    def get_headers(self, name: bytes) -> list[str]:
        """Return all headers of a name in lower case, in their order."""
        return [
            text.decode('latin-1')
            for known, text in self.headers
            if known.lower() == name
        ]


class Wire:
    """One connection to one incarnation of a target."""

    def __init__(self, stream: SocketStream) -> None:
        """Take over a stream that has just been connected."""
        self.stream = stream
        self.http = h11.Connection(h11.CLIENT)
        self.written = True
        self.broken = False
        self._is_at_end = False

    @classmethod
    async def connect(cls, address: str) -> 'Wire':
        """Connect to `IP:PORT`, or raise a `WireError` with nothing sent."""
        host, _, port = address.rpartition(':')
        try:
            with anyio.fail_after(CONNECT_S):
                stream = await anyio.connect_tcp(host, int(port))
        except (OSError, TimeoutError) as exc:
            raise WireError(
                'connect', repr(exc), classify_connect_error(exc)
            ) from exc
        _set_options(stream)
        return cls(stream)

    async def send(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        spawn: Callable[..., Any] | None = None,
    ) -> None:
        """Write a whole request; `spawn` takes a long body to the background.

        A target may answer before it has read a long body.
        """
        request = h11.Request(
            method=method, target=target, headers=list(headers)
        )
        raw = self.http.send(request) or b''
        if body:
            raw += self.http.send(h11.Data(data=body)) or b''
        raw += self.http.send(h11.EndOfMessage()) or b''
        self.written = False
        if spawn and len(raw) > SMALL_BODY_BYTES:
            spawn(self._write_quietly, raw)
        else:
            await self._write(raw)

    async def read_head(self) -> Head:
        """Wait for the answer's status and headers."""
        while True:
            event = await self._next_event('answer')
            if isinstance(event, h11.Response):
                return Head(event.status_code, tuple(event.headers))
            if isinstance(event, h11.ConnectionClosed):
                raise WireError(
                    'answer', 'connection closed', FailureKind.closed
                )

    async def iter_body(self) -> AsyncIterator[bytes]:
        """Yield the body's bytes; raise a `WireError` where it is cut."""
        while True:
            event = await self._next_event('body')
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return
            else:
                raise WireError('body', f'unexpected {event!r}')

    async def read_body(self) -> bytes:
        """Return the whole body."""
        return b''.join([raw async for raw in self.iter_body()])

    def recycle(self) -> bool:
        """Prepare for the next request; False where that is not safe."""
        if self.broken or not self.written:
            return False
        done = self.http.our_state is h11.DONE
        if not done or self.http.their_state is not h11.DONE:
            return False
        if self.http.trailing_data[0]:
            return False
        self.http.start_next_cycle()
        return True

    async def wait_for_unexpected_data(self) -> None:
        """Return when an idle connection closes or gets bytes unasked for."""
        with suppress(*STREAM_ENDS):
            await self.stream.receive(1)
        self.broken = True

    async def close(self) -> None:
        """Close the connection, whatever is under way on it."""
        self.broken = True
        with anyio.CancelScope(shield=True):
            await self.stream.aclose()

    async def _write(self, raw: bytes) -> None:
        try:
            await self.stream.send(raw)
        except STREAM_ENDS as exc:
            raise WireError(
                'write', repr(exc), classify_disconnect(exc)
            ) from exc
        self.written = True

    async def _write_quietly(self, raw: bytes) -> None:
        try:
            await self._write(raw)
        except WireError:
            self.broken = True

    async def _next_event(self, step: str) -> h11.Event:
        try:
            event = self.http.next_event()
            while event is h11.NEED_DATA:
                self.http.receive_data(await self._receive(step))
                event = self.http.next_event()
        except h11.RemoteProtocolError as exc:
            self.broken = True
            sign = (
                FailureKind.closed if self._is_at_end else FailureKind.garbled
            )
            raise WireError(step, repr(exc), sign) from exc
        if isinstance(event, type):
            raise WireError(step, 'answer out of turn')
        return event

    async def _receive(self, step: str) -> bytes:
        try:
            return await self.stream.receive(READ_BYTES)
        except anyio.EndOfStream:
            self._is_at_end = True
            return b''
        except STREAM_ENDS as exc:
            self.broken = True
            raise WireError(step, repr(exc), classify_disconnect(exc)) from exc


def _set_options(stream: SocketStream) -> None:
    """Let a peer that has lost power end the connection within seconds."""
    raw = stream.extra(SocketAttribute.raw_socket)
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    )
    for level, option, number in options:
        raw.setsockopt(level, option, number)
