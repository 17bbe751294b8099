"""
Web application of an entry
===========================

The ASGI application behind the listeners: callers on one address, the
balancer's question for readiness on another.
"""

from http import HTTPStatus
from hashlib import sha256
from typing import Any, Awaitable, Callable, Mapping
from urllib.parse import parse_qs

import anyio

from trestledock.entry import _events as events
from trestledock.entry._dialect import Dialect
from trestledock.entry._datagrams import split_address
from trestledock.entry._loads import LOAD_PATH, PLACE_FIELD, LoadExchange
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
from trestledock.relay import Body, Call

Receive = Callable[[], Awaitable[dict[str, Any]]]
Scope = Mapping[str, Any]


class NoRequest(Exception):
    """The caller closed its connection before its request was whole."""


class EntryApp:
    """The application of one entry process."""

    def __init__(
        self,
        state: EntryState,
        relayer: Relayer,
        dialect: Dialect,
        exchange: UpdateExchange,
        loads: LoadExchange,
    ) -> None:
        """Keep what requests are relayed by, and what peers ask for."""
        self.state = state
        self.relayer = relayer
        self.dialect = dialect
        self.exchange = exchange
        self.loads = loads
        settings = state.settings
        self._ports = {
            split_address(settings.ready)[1]: self._answer_ready,
            split_address(settings.peers)[1]: self._answer_peer,
        }
        if settings.metrics:
            port = split_address(settings.metrics)[1]
            self._ports[port] = self._answer_metrics

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Serve one request."""
        if scope['type'] != 'http':
            return
        answer = self._ports.get(scope['server'][1])
        if answer:
            await answer(scope, send)
            return
        # One that begins on a connection that is being closed gets no answer
        # through, so it must not run: no target gets it.
        crossing = self.state.closing
        self.state.in_progress += 1
        try:
            await self._serve(scope, receive, send, crossing=crossing)
        finally:
            self.state.in_progress -= 1

    async def _answer_ready(self, _: Scope, send: Send) -> None:
        ready = self.state.is_ready(anyio.current_time())
        status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
        reply = Reply(send)
        await reply.start(status, ((b'content-length', b'0'),))
        await reply.finish()

    async def _answer_metrics(self, _: Scope, send: Send) -> None:
        reply = Reply(send)
        await reply.start(HTTPStatus.OK, ((b'content-type', b'text/plain'),))
        gauges = self.state.get_gauges(anyio.current_time())
        await reply.finish(METRICS.render(gauges))

    async def _answer_peer(self, scope: Scope, send: Send) -> None:
        reply = Reply(send)
        headers = ((b'content-type', b'application/json'),)
        await reply.start(HTTPStatus.OK, headers)
        await reply.finish(self._tell_peer(scope))

    def _tell_peer(self, scope: Scope) -> bytes:
        query = scope['query_string']
        if scope['path'] == LOAD_PATH:
            return self.loads.make_load(_read_field(query, PLACE_FIELD))
        return self.exchange.encode_update(
            _read_version(query),
            with_removed=bool(_read_field(query, REMOVED_FIELD)),
        )

    async def _serve(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
        *,
        crossing: bool,
    ) -> None:
        arrived_at = anyio.current_time()
        try:
            body = await _read_body(receive)
        except NoRequest:
            return
        reply = Reply(send, self.state.is_draining)
        call = self.dialect.read_call(scope, body, arrived_at)
        if crossing or self.state.aborting:
            await self.relayer.turn_away(call, reply)
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


def _read_version(query: bytes) -> int:
    """Return the version that a peer has, as it says in its question.

    >>> _read_version(b'version=7'), _read_version(b'') == NO_VERSION
    (7, True)
    """
    found = _read_field(query, VERSION_FIELD)
    return int(found) if found.isdigit() else NO_VERSION


def _read_field(query: bytes, name: str) -> str:
    """Return what a peer says in a field of its question.

    >>> _read_field(b'version=7&past=1', 'past'), _read_field(b'', 'past')
    ('1', '')
    """
    return parse_qs(query.decode('latin-1')).get(name, [''])[0]


async def _read_body(receive: Receive) -> Body:
    parts = []
    digest = sha256()
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            raise NoRequest
        part = message.get('body', b'')
        parts.append(part)
        digest.update(part)
        if not message.get('more_body'):
            return Body(b''.join(parts), digest.digest())


async def _cancel_on_disconnect(
    receive: Receive,
    group: anyio.abc.TaskGroup,
    reply: Reply,
    call: Call,
) -> None:
    """Cancel a request when its caller closes the connection."""
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            if not reply.finished:
                emit(events.CallerLeft(call.req_id))
            group.cancel_scope.cancel()
            return
