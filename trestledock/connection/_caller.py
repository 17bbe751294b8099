"""
Caller connections
==================

The web application of an entry instance: what callers, peers, operators and
the platform's balancer ask of it.
"""

import json
import uuid
from http import HTTPStatus
from typing import Any, AsyncIterator

import anyio
from starlette.applications import Starlette
from starlette.requests import Request as HttpRequest
from starlette.responses import (
    JSONResponse,
    PlainTextResponse,
    Response,
    StreamingResponse,
)
from starlette.routing import Route

from trestledock.connection._hub import Exchange, Hub
from trestledock.connection._operator import OperatorRoutes
from trestledock.connection._parsing import (
    BadRequest,
    make_call,
    make_fingerprint,
    make_generation,
    read_body,
    read_completion,
    read_envelope,
)
from trestledock.connection._peer import read_envelope_of_peer
from trestledock.connection._problems import (
    get_problem_body,
    make_bad_request,
    make_problem,
)
from trestledock.process import Arrive, CallerDisconnected, EmitChunks, Finish
from trestledock.request import Outcome, Request, Verdict

#: How long past the deadline the connection waits for the core's last word.
GRACE_S = 1.0
NOT_READY = HTTPStatus.SERVICE_UNAVAILABLE


class CallerApp:
    """The web application around one hub."""

    def __init__(self, hub: Hub) -> None:
        """Keep the hub that the routes talk to."""
        self.hub = hub

    def make_app(self) -> Starlette:
        """Return the application with its routes."""
        operator = OperatorRoutes(self.hub)
        call_methods = ['GET', 'POST', 'PUT', 'DELETE', 'PATCH']
        return Starlette(
            routes=[
                Route('/v1/completions', self.complete, methods=['POST']),
                Route(
                    '/call/{service}/{path:path}',
                    self.call,
                    methods=call_methods,
                ),
                Route('/peer/v1/messages', self.take_peer, methods=['POST']),
                Route('/metrics', self.get_metrics),
                Route('/healthz', self.get_health),
                Route('/readyz', self.get_ready),
                *operator.make_routes(),
            ],
            exception_handlers={BadRequest: _answer_bad_request},
        )

    async def complete(self, http: HttpRequest) -> Response:
        """Serve a completion, whole or as server-sent events."""
        body = await read_body(http, self.hub.settings)
        completion = read_completion(body)
        envelope = read_envelope(http, self._get_cfg(), anyio.current_time())
        req = make_generation(
            _make_req_id(),
            envelope,
            completion,
            self.hub.settings,
            make_fingerprint(http, envelope.team, body),
        )
        exchange = self.hub.open_exchange(req.req_id)
        exchange.prompt = completion.prompt
        exchange.prefix = req.prefix
        exchange.arrived_at = anyio.current_time()
        exchange.length = req.length_class.value
        exchange.deadline = req.deadline
        await self.hub.tell(Arrive(req))
        if completion.stream:
            return await self._stream(req, exchange)
        return await self._answer_whole(http, req, exchange)

    async def call(self, http: HttpRequest) -> Response:
        """Pass a call on to a plain service."""
        body = await read_body(http, self.hub.settings)
        cfg = self._get_cfg()
        envelope = read_envelope(http, cfg, anyio.current_time())
        fingerprint = make_fingerprint(http, envelope.team, body)
        req = make_call(_make_req_id(), envelope, http, cfg, fingerprint)
        exchange = self.hub.open_exchange(req.req_id)
        exchange.body = body
        exchange.method = http.method
        exchange.path = req.path
        exchange.query = http.url.query
        exchange.content_type = http.headers.get('content-type', '')
        exchange.idempotency_key = req.idempotency_key
        exchange.deadline = req.deadline
        await self.hub.tell(Arrive(req))
        return await self._answer_whole(http, req, exchange)

    async def take_peer(self, http: HttpRequest) -> Response:
        """Take a message from a peer."""
        body = await http.body()
        self.hub.metrics.control_bytes.labels('received').inc(len(body))
        await self.hub.tell(read_envelope_of_peer(body))
        return Response(status_code=HTTPStatus.NO_CONTENT)

    async def get_metrics(self, http: HttpRequest) -> Response:
        """Return the metrics."""
        return PlainTextResponse(self.hub.metrics.render(self.hub.node))

    async def get_health(self, http: HttpRequest) -> Response:
        """Say that the process lives."""
        return PlainTextResponse('ok')

    async def get_ready(self, http: HttpRequest) -> Response:
        """Say whether the balancer should send requests here."""
        ready = self.hub.node.is_ready()
        text = 'ready' if ready else 'not ready'
        return PlainTextResponse(text, HTTPStatus.OK if ready else NOT_READY)

    def _get_cfg(self) -> Any:
        return self.hub.node.state.version.cfg

    async def _answer_whole(
        self,
        http: HttpRequest,
        req: Request,
        exchange: Exchange,
    ) -> Response:
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._watch, http, req)
                verdict = await self._wait_for_verdict(req, exchange)
                group.cancel_scope.cancel()
        finally:
            self.hub.exchanges.pop(req.req_id, None)
        if verdict.outcome is not Outcome.answered:
            return make_problem(verdict)
        if verdict.status:
            return Response(
                verdict.body,
                status_code=verdict.status,
                media_type='application/json',
            )
        return JSONResponse(
            {'text': ''.join(exchange.emitted), 'tokens': verdict.tokens},
        )

    async def _stream(self, req: Request, exchange: Exchange) -> Response:
        """Start the stream only once there is a token to send."""
        reply = await self._next_reply(req, exchange)
        if isinstance(reply, Finish):
            self.hub.exchanges.pop(req.req_id, None)
            return make_problem(reply.verdict)
        return StreamingResponse(
            self._iter_events(req, exchange, reply),
            media_type='text/event-stream',
        )

    async def _iter_events(
        self,
        req: Request,
        exchange: Exchange,
        reply: Any,
    ) -> AsyncIterator[str]:
        is_whole = False
        try:
            while isinstance(reply, EmitChunks):
                for chunk in reply.chunks:
                    event = {'index': chunk.index, 'text': chunk.text}
                    yield _to_event(event)
                reply = await self._next_reply(req, exchange)
            is_whole = True
            yield _to_event(_get_last_event(reply.verdict))
            yield 'data: [DONE]\n\n'
        finally:
            self.hub.exchanges.pop(req.req_id, None)
            if not is_whole:
                with anyio.CancelScope(shield=True):
                    await self.hub.tell(CallerDisconnected(req.req_id))

    async def _next_reply(self, req: Request, exchange: Exchange) -> Any:
        left_s = req.deadline + GRACE_S - anyio.current_time()
        with anyio.move_on_after(max(0, left_s)):
            try:
                return await exchange.receive.receive()
            except anyio.EndOfStream:
                await self.hub.tell(CallerDisconnected(req.req_id))
        return Finish(req, Verdict(_get_worst(req), step='reply'))

    async def _wait_for_verdict(
        self,
        req: Request,
        exchange: Exchange,
    ) -> Verdict:
        while True:
            reply = await self._next_reply(req, exchange)
            if isinstance(reply, Finish):
                return reply.verdict

    async def _watch(self, http: HttpRequest, req: Request) -> None:
        """Tell the core when the caller leaves."""
        while not await http.is_disconnected():
            await anyio.sleep(GRACE_S / 4)
        await self.hub.tell(CallerDisconnected(req.req_id))


async def _answer_bad_request(
    http: HttpRequest,
    exc: Exception,
) -> Response:
    if not isinstance(exc, BadRequest):
        raise exc
    return make_bad_request(exc.detail, exc.status)


def _make_req_id() -> str:
    return uuid.uuid4().hex


def _to_event(plain: dict[str, Any]) -> str:
    return f'data: {json.dumps(plain)}\n\n'


def _get_last_event(verdict: Verdict) -> dict[str, Any]:
    if verdict.outcome is Outcome.answered:
        return {'outcome': 'answered', 'tokens': verdict.tokens}
    return {'outcome': verdict.outcome.value, **get_problem_body(verdict)}


def _get_worst(req: Request) -> Outcome:
    return Outcome.failed if req.idempotent else Outcome.unknown
