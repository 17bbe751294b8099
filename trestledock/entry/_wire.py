"""
HTTP connections
================

An HTTP/1.1 client connection that knows how far a request got: nothing written,
written, answered.  This decides whether a request may be retried, and
general-purpose HTTP clients don't report it.
"""

import itertools
import socket
from contextlib import suppress
from dataclasses import dataclass
from typing import Any, AsyncIterator, Callable, Iterator

import anyio
import h11
from anyio.abc import ByteStream, SocketAttribute, SocketStream

from trestledock.entry._loop_share import PIECES_PER_TURN, get_loop_share
from trestledock.entry._reply_timers import fail_if_silent
from trestledock.relay import (
    AnswerMeter,
    Excess,
    ExchangeNames,
    FailureKind,
    Framing,
    classify_connect_error,
    classify_disconnect,
    get_framing,
)

#: The timeout of connecting, in seconds: some hundred times the network delay,
#: and short compared with the objectives of short requests.
CONNECT_TIMEOUT_S = 0.2
#: How long sent bytes may stay unacknowledged, in milliseconds.
USER_TIMEOUT_MS = 2000
#: TCP keepalive: the idle time before the first probe, which is also the
#: interval between probes, in seconds, and the number of probes.
KEEPALIVE_S = 1
KEEPALIVE_PROBES = 2
READ_BYTES = 65_536
#: Requests above this size, in bytes, are written while the answer is awaited.
SMALL_BODY_BYTES = 32_768
HEAD_METHOD = 'HEAD'
#: How many bytes of answers that belong to no request are read on a connection.
MAX_SKIPPED_BYTES = 1_048_576
#: Long requests are written in pieces of this size, in bytes: the stream copies
#: what the target doesn't read of a piece.
WRITE_BYTES = 262_144

#: The exceptions of a stream that has ended or failed.
STREAM_ERRORS = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)

#: Numbers the connections of this process, for its log.
_conn_numbers = itertools.count(1)

Headers = tuple[tuple[bytes, bytes], ...]


class WireError(Exception):
    """A connection that failed at a step.

    `is_early` is true if it was only given up early, for another target.
    """

    def __init__(
        self,
        step: str,
        detail: str,
        failure_kind: FailureKind = FailureKind.garbled,
    ) -> None:
        """Store the step, the detail and the kind of failure."""
        super().__init__(f'{step}: {detail}')
        self.step = step
        self.detail = detail
        self.failure_kind = failure_kind
        self.is_early = False


@dataclass(frozen=True)
class Head:
    """The status and headers of an answer, and what tells where it ends."""

    status: int
    headers: Headers
    framing: Framing = Framing.length

    @property
    def is_framed(self) -> bool:
        """Whether anything but a close tells where the answer ends."""
        return self.framing is not Framing.close

    def get_header(self, name: bytes) -> str:
        """Return the first header of a lower-case name, or an empty string."""
        return next(iter(self.get_headers(name)), '')

    def get_headers(self, name: bytes) -> list[str]:
        """Return all headers of a lower-case name, in order."""
        return [
            text.decode('latin-1')
            for key, text in self.headers
            if key.lower() == name
        ]


class Wire:
    """An HTTP/1.1 connection, to a single incarnation if to a target.

    `is_new` is true until an answer has arrived, and `framing` that of the
    newest answer, None after a request. A tunnel goes through the
    entry `via`, for one request, and has an id in the logs of both entries.
    Logs name a connection by its `number`. `names` has the names of its
    exchanges with a target. `is_skipping` is true while an answer is read that
    belongs to no request.
    """

    def __init__(self, stream: ByteStream, *, is_tunnel: bool = False) -> None:
        """Use a newly connected stream."""
        self.stream = stream
        self.is_tunnel = is_tunnel
        self.via = ''
        self.tunnel_id = ''
        self.number = next(_conn_numbers)
        self.names = ExchangeNames()
        self.http = h11.Connection(h11.CLIENT)
        self.request_written = True
        self.broken = False
        self.is_new = True
        self.framing: Framing | None = None
        self.is_skipping = False
        self._meter = AnswerMeter()
        self._pieces_in_turn = 0
        self._skipped_bytes = 0
        self._method = ''
        self._has_asked_head = False
        self._received_eof = False

    @classmethod
    async def connect(cls, address: str) -> 'Wire':
        """Connect to `IP:PORT`; a `WireError` means that nothing was sent."""
        return cls(await connect_stream(address))

    async def send(
        self,
        method: str,
        path: str,
        headers: Headers,
        body: bytes,
        spawn: Callable[..., Any] | None = None,
    ) -> None:
        """Write a complete request.

        A long request is written in the background, with `spawn`, since a
        target may answer before it has read the whole body.
        """
        request = h11.Request(method=method, target=path, headers=list(headers))
        head = self.http.send(request) or b''
        raw = (self.http.send(h11.Data(data=body)) or b'') if body else b''
        end = self.http.send(h11.EndOfMessage()) or b''
        self.request_written = False
        self.framing = None
        self._method = method
        self._has_asked_head = self._has_asked_head or method == HEAD_METHOD
        if spawn and len(head) + len(raw) > SMALL_BODY_BYTES:
            spawn(self._write_quietly, head, raw, end)
        else:
            await self._write(head, raw, end)

    async def read_head(self) -> Head:
        """Wait for the answer's status and headers."""
        while True:
            event = await self._next_event('answer')
            if isinstance(event, h11.Response):
                return self._make_head(event)
            if isinstance(event, h11.InformationalResponse):
                self._check('answer', self._meter.add_interim())
            if isinstance(event, h11.ConnectionClosed):
                raise WireError(
                    'answer', 'connection closed', FailureKind.closed
                )

    async def iter_body(self) -> AsyncIterator[bytes]:
        """Yield the body's bytes; raise a `WireError` if it is truncated."""
        while True:
            event = await self._next_event('body')
            if isinstance(event, h11.Data):
                self._check('body', self._meter.add_piece(len(event.data)))
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return
            else:
                raise WireError('body', f'unexpected {event!r}')

    def limit_body(self, max_bytes: float) -> None:
        """Set how long the body may be of the answer whose head was read."""
        self._meter.max_bytes = max_bytes

    async def read_body(self) -> bytes:
        """Return the complete body."""
        return b''.join([raw async for raw in self.iter_body()])

    @property
    def may_skip(self) -> bool:
        """Whether the end of another answer can be told.

        The answer to a HEAD request has no body, whatever its head says.
        """
        return not self._has_asked_head

    async def skip_answer(self) -> None:
        """Read the rest of an answer that belongs to no request.

        The next head to be read is that of the next answer. The wait may be
        cancelled, and goes on with another call. Raises a `WireError` if such
        answers are too long.
        """
        self.is_skipping = True
        async for raw in self.iter_body():
            self._skipped_bytes += len(raw)
            if self._skipped_bytes > MAX_SKIPPED_BYTES:
                self._check('answer', Excess.size)
        following, is_closed = self.http.trailing_data
        self.http = _expect_answer(self._method)
        if following:
            self.http.receive_data(following)
        if is_closed:
            self.http.receive_data(b'')
        self.framing = None
        self.is_skipping = False

    def recycle(self) -> bool:
        """Prepare for the next request; return False if that is not safe."""
        if self.broken or self.is_tunnel or not self.request_written:
            return False
        if self.names.is_spent:
            return False
        done = self.http.our_state is h11.DONE
        if not done or self.http.their_state is not h11.DONE:
            return False
        if self.http.trailing_data[0]:
            return False
        self.http.start_next_cycle()
        return True

    async def wait_for_unexpected_data(self) -> None:
        """Wait until an idle connection closes or receives unexpected bytes."""
        with suppress(*STREAM_ERRORS):
            await self.stream.receive(1)
        self.broken = True

    async def close(self) -> None:
        """Close the connection, also during a request."""
        self.broken = True
        with anyio.CancelScope(shield=True):
            await self.stream.aclose()

    def _make_head(self, event: h11.Response) -> Head:
        headers = tuple(event.headers)
        names = {name.lower() for name, _ in headers}
        self._meter = AnswerMeter()
        self.framing = get_framing(
            self._method,
            event.status_code,
            has_length=b'content-length' in names,
            is_chunked=b'transfer-encoding' in names,
        )
        return Head(event.status_code, headers, self.framing)

    async def _write(self, head: bytes, raw: bytes, end: bytes) -> None:
        try:
            for piece in _split(head, raw, end):
                await self.stream.send(piece)
        except STREAM_ERRORS as exc:
            raise WireError(
                'write', repr(exc), classify_disconnect(exc)
            ) from exc
        self.request_written = True

    async def _write_quietly(self, head: bytes, raw: bytes, end: bytes) -> None:
        try:
            await self._write(head, raw, end)
        except WireError:
            self.broken = True

    async def _next_event(self, step: str) -> h11.Event:
        if self._pieces_in_turn >= PIECES_PER_TURN:
            await get_loop_share().take_turn()
            self._pieces_in_turn = 0
        try:
            event = self.http.next_event()
            while event is h11.NEED_DATA:
                self.http.receive_data(await self._receive(step))
                self._pieces_in_turn = 0
                event = self.http.next_event()
        except h11.RemoteProtocolError as exc:
            self.broken = True
            failure_kind = (
                FailureKind.closed
                if self._received_eof
                else FailureKind.garbled
            )
            raise WireError(step, repr(exc), failure_kind) from exc
        if isinstance(event, type):
            raise WireError(step, 'unexpected protocol state')
        self._pieces_in_turn += 1
        return event

    def _check(self, step: str, excess: Excess) -> None:
        """Raise a `WireError` if an answer has too much of something."""
        if excess is not Excess.none:
            self.broken = True
            raise WireError(step, excess.value, FailureKind.endless)

    async def _receive(self, step: str) -> bytes:
        try:
            return await self.stream.receive(READ_BYTES)
        except anyio.EndOfStream:
            self._received_eof = True
            return b''
        except STREAM_ERRORS as exc:
            self.broken = True
            raise WireError(step, repr(exc), self._classify(exc)) from exc

    def _classify(self, exc: Exception) -> FailureKind:
        """Return the kind of a failure.

        A tunnel breaks together with its target, whose own failure is not known
        here, or with the entry that it goes through.
        """
        if self.is_tunnel:
            return FailureKind.closed
        return classify_disconnect(exc)


async def connect_stream(
    address: str, own_host: str | None = None
) -> SocketStream:
    """Connect to `IP:PORT`, from an address of this machine if one is given.

    A `WireError` means that nothing was sent.
    """
    host, _, port = address.rpartition(':')
    try:
        with fail_if_silent(CONNECT_TIMEOUT_S):
            stream = await _connect_from(own_host, host, int(port))
    except (OSError, TimeoutError) as exc:
        raise WireError(
            'connect', repr(exc), classify_connect_error(exc)
        ) from exc
    _set_options(stream)
    return stream


async def _connect_from(
    own_host: str | None, host: str, port: int
) -> SocketStream:
    if own_host is None:
        return await anyio.connect_tcp(host, port)
    return await anyio.connect_tcp(host, port, local_host=own_host)


def _expect_answer(method: str) -> h11.Connection:
    """Return a parser that expects the answer to a request."""
    http = h11.Connection(h11.CLIENT)
    headers = [('host', 'unused')]
    http.send(h11.Request(method=method, target='/', headers=headers))
    http.send(h11.EndOfMessage())
    return http


def _split(head: bytes, raw: bytes, end: bytes) -> Iterator[bytes]:
    """Yield the pieces in which a request is written; one if it is small.

    >>> [len(piece) for piece in _split(b'head', bytes(WRITE_BYTES + 1), b'')]
    [262144, 5]
    """
    first = max(WRITE_BYTES - len(head), 0)
    yield head + raw[:first]
    for start in range(first, len(raw), WRITE_BYTES):
        yield raw[start : start + WRITE_BYTES]
    if end:
        yield end


def _set_options(stream: SocketStream) -> None:
    """Set TCP timeouts that detect a peer without power within seconds."""
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
