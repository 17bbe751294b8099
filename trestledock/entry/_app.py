"""
Web application of an entry
===========================

The ASGI application behind the listeners.  Callers, the balancer's readiness
checks, other entries and metrics each have an address of their own.
"""

from http import HTTPStatus
from hashlib import sha256
from typing import Any, AsyncIterator, Awaitable, Callable, Mapping
from urllib.parse import parse_qs

import anyio

from trestledock.entry import _events as events
from trestledock.entry._byte_budget import HeldBytes
from trestledock.entry._dialect import Dialect
from trestledock.entry._datagrams import split_address
from trestledock.entry._loads import LOAD_PATH, DATA_CENTRE_FIELD, LoadExchange
from trestledock.entry._job import Refusal
from trestledock.entry._logger import emit
from trestledock.entry._metrics import METRICS
from trestledock.entry._update_exchange import (
    REMOVED_FIELD,
    VERSION_FIELD,
    UpdateExchange,
)
from trestledock.entry._relaying import Relayer
from trestledock.entry._reply import CutReply, Reply, Send
from trestledock.entry._state import NO_VERSION, EntryState
from trestledock.entry._tunnel_server import TunnelServer
from trestledock.entry._tunnels import TUNNEL_PATH
from trestledock.relay import ENCODE_ERRORS, Body, Call

#: How long a body may take to arrive, in seconds.  By then callers with the
#: default timeout have given up, even if their connection is still open.
BODY_TIMEOUT_S = 60.0

Receive = Callable[[], Awaitable[dict[str, Any]]]
Scope = Mapping[str, Any]


class ClientDisconnected(Exception):
    """The caller disconnected before its request was complete."""


class EntryApp:
    """The ASGI application of one entry process."""

    def __init__(
        self,
        state: EntryState,
        relayer: Relayer,
        dialect: Dialect,
        update_exchange: UpdateExchange,
        load_exchange: LoadExchange,
        tunnels: TunnelServer | None = None,
    ) -> None:
        """Store the relayer, and what answers other entries."""
        self.state = state
        self.relayer = relayer
        self.dialect = dialect
        self.update_exchange = update_exchange
        self.load_exchange = load_exchange
        self.tunnels = tunnels
        settings = state.settings
        self._handlers_by_port = {
            split_address(settings.ready)[1]: self._answer_ready,
            split_address(settings.peers)[1]: self._answer_peer,
        }
        if settings.metrics:
            port = split_address(settings.metrics)[1]
            self._handlers_by_port[port] = self._answer_metrics

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Serve one request."""
        if scope['type'] != 'http':
            return
        handle = self._handlers_by_port.get(scope['server'][1])
        if handle:
            await handle(scope, receive, send)
            return
        # The answer to a request that starts on a closing connection can't be
        # delivered, so the request must not be sent to a target.
        during_close = self.state.closing
        self.state.in_progress += 1
        try:
            with self.state.buffers.bodies.hold() as held:
                await self._serve(
                    scope, receive, send, held, during_close=during_close
                )
        finally:
            self.state.in_progress -= 1

    async def _answer_ready(
        self, _scope: Scope, _receive: Receive, send: Send
    ) -> None:
        ready = self.state.is_ready(anyio.current_time())
        status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
        reply = Reply(send)
        await reply.start(status, ((b'content-length', b'0'),))
        await reply.finish()

    async def _answer_metrics(
        self, _scope: Scope, _receive: Receive, send: Send
    ) -> None:
        reply = Reply(send)
        await reply.start(HTTPStatus.OK, ((b'content-type', b'text/plain'),))
        gauges = self.state.get_gauges(anyio.current_time())
        await reply.finish(METRICS.render(gauges))

    async def _answer_peer(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        if self.tunnels and scope['path'] == TUNNEL_PATH:
            await self.tunnels.serve(scope, receive, send)
            return
        reply = Reply(send)
        try:
            body = self._make_peer_answer(scope)
        except ENCODE_ERRORS:
            emit(events.Failed(f'answer {scope["path"]}'), failed=True)
            await reply.start(HTTPStatus.INTERNAL_SERVER_ERROR, ())
            await reply.finish()
            return
        await reply.start(
            HTTPStatus.OK, ((b'content-type', b'application/json'),)
        )
        await reply.finish(body)

    def _make_peer_answer(self, scope: Scope) -> bytes:
        query = scope['query_string']
        if scope['path'] == LOAD_PATH:
            return self.load_exchange.make_load(
                _read_field(query, DATA_CENTRE_FIELD)
            )
        return self.update_exchange.encode_update(
            _read_version(query),
            with_removed=bool(_read_field(query, REMOVED_FIELD)),
        )

    async def _serve(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
        held: HeldBytes,
        *,
        during_close: bool,
    ) -> None:
        arrived_at = anyio.current_time()
        reply = Reply(send, self.state.is_draining)
        try:
            body = await self._read_body(receive, reply, held)
        except ClientDisconnected:
            return
        call = self.dialect.read_call(
            scope, body if isinstance(body, Body) else Body(), arrived_at
        )
        if during_close or self.state.aborting:
            await self.relayer.refuse_late(call, reply)
            return
        if isinstance(body, Refusal):
            await self.relayer.refuse(call, reply, body)
            return
        cut = False
        async with anyio.create_task_group() as group:
            group.start_soon(_cancel_on_disconnect, receive, group, reply, call)
            try:
                await self.relayer.relay(call, reply)
            except CutReply:
                cut = True
            except Exception:
                emit(events.Failed(f'request {call.req_id}'), failed=True)
                cut = True
            group.cancel_scope.cancel()
        if cut:
            raise CutReply(call.req_id)

    async def _read_body(
        self, receive: Receive, reply: Reply, held: HeldBytes
    ) -> Body | Refusal:
        """Return the body, or what has arrived of it once requests end.

        A body without room is read to its end, as a caller that still writes
        might not see a refusal, but it is not held.  It is collected in one
        block of memory: the small blocks of a list of parts would stay with the
        process after their use.
        """
        raw = bytearray()
        digest = sha256()
        has_room = True
        with (
            anyio.move_on_after(BODY_TIMEOUT_S) as scope,
            self.state.track_unanswered(reply, scope),
        ):
            async for part in _receive_parts(receive):
                has_room = has_room and held.take(len(part))
                if not has_room:
                    raw.clear()
                    held.release()
                    continue
                raw += part
                digest.update(part)
        if not has_room:
            return Refusal.no_buffer
        if scope.cancelled_caught:
            return Refusal.not_run_in_time
        return Body(bytes(raw), digest.digest())


def _read_version(query: bytes) -> int:
    """Return the configuration version that a peer has, from its query.

    >>> _read_version(b'version=7'), _read_version(b'') == NO_VERSION
    (7, True)
    """
    version = _read_field(query, VERSION_FIELD)
    return int(version) if version.isdigit() else NO_VERSION


def _read_field(query: bytes, name: str) -> str:
    """Return the value of a query field, empty if it is missing.

    >>> _read_field(b'version=7&past=1', 'past'), _read_field(b'', 'past')
    ('1', '')
    """
    return parse_qs(query.decode('latin-1')).get(name, [''])[0]


async def _receive_parts(receive: Receive) -> AsyncIterator[bytes]:
    """Yield the parts of a body as they arrive."""
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            raise ClientDisconnected
        yield message.get('body', b'')
        if not message.get('more_body'):
            return


async def _cancel_on_disconnect(
    receive: Receive,
    group: anyio.abc.TaskGroup,
    reply: Reply,
    call: Call,
) -> None:
    """Cancel a request when its caller disconnects."""
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            if not reply.finished:
                reply.caller_left = True
                emit(events.CallerLeft(call.req_id))
            group.cancel_scope.cancel()
            return
