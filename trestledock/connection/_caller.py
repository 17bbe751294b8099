"""
Caller connections
==================

The web application of an entry instance, with routes for callers, peers,
operators and the platform's load balancer.
"""

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
from trestledock.connection._peer import decode_peer_message
from trestledock.connection._problems import (
    get_problem_body,
    make_bad_request,
    make_problem,
)
from trestledock.process import Arrive, CallerDisconnected, EmitChunks, Finish
from trestledock.relay import encode_json
from trestledock.request import Outcome, Request, Verdict

#: How long a connection waits for the core's verdict after the deadline, in
#: seconds.
VERDICT_GRACE_S = 1.0
NOT_READY_STATUS = HTTPStatus.SERVICE_UNAVAILABLE


class CallerApp:
    """The web application of one hub."""

    def __init__(self, hub: Hub) -> None:
        """Set the hub that the routes use."""
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
                Route(
                    '/peer/v1/messages',
                    self.receive_peer_message,
                    methods=['POST'],
                ),
                Route('/metrics', self.get_metrics),
                Route('/healthz', self.get_health),
                Route('/readyz', self.get_ready),
                *operator.make_routes(),
            ],
            exception_handlers={BadRequest: _handle_bad_request},
        )

    async def complete(self, http: HttpRequest) -> Response:
        """Serve a completion, as one response or as server-sent events."""
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
        exchange.length_class = req.length_class.value
        exchange.deadline = req.deadline
        await self.hub.send(Arrive(req))
        if completion.stream:
            return await self._respond_streaming(req, exchange)
        return await self._respond(http, req, exchange)

    async def call(self, http: HttpRequest) -> Response:
        """Forward a call to a plain service."""
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
        await self.hub.send(Arrive(req))
        return await self._respond(http, req, exchange)

    async def receive_peer_message(self, http: HttpRequest) -> Response:
        """Receive a message from a peer."""
        body = await http.body()
        self.hub.metrics.control_bytes.labels('received').inc(len(body))
        await self.hub.send(decode_peer_message(body))
        return Response(status_code=HTTPStatus.NO_CONTENT)

    async def get_metrics(self, http: HttpRequest) -> Response:
        """Return the metrics."""
        return PlainTextResponse(self.hub.metrics.render(self.hub.node))

    async def get_health(self, http: HttpRequest) -> Response:
        """Report that the process is running."""
        return PlainTextResponse('ok')

    async def get_ready(self, http: HttpRequest) -> Response:
        """Report whether the load balancer should send requests here."""
        ready = self.hub.node.is_ready()
        text = 'ready' if ready else 'not ready'
        return PlainTextResponse(
            text, HTTPStatus.OK if ready else NOT_READY_STATUS
        )

    def _get_cfg(self) -> Any:
        return self.hub.node.state.version.cfg

    async def _respond(
        self,
        http: HttpRequest,
        req: Request,
        exchange: Exchange,
    ) -> Response:
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._watch_disconnect, http, req)
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
            {'text': ''.join(exchange.sent_texts), 'tokens': verdict.tokens},
        )

    async def _respond_streaming(
        self, req: Request, exchange: Exchange
    ) -> Response:
        """Start the response only when the first token is available."""
        reply = await self._receive_reply(req, exchange)
        if isinstance(reply, Finish):
            self.hub.exchanges.pop(req.req_id, None)
            return make_problem(reply.verdict)
        return StreamingResponse(
            self._generate_events(req, exchange, reply),
            media_type='text/event-stream',
        )

    async def _generate_events(
        self,
        req: Request,
        exchange: Exchange,
        reply: Any,
    ) -> AsyncIterator[str]:
        is_complete = False
        try:
            while isinstance(reply, EmitChunks):
                for chunk in reply.chunks:
                    event = {'index': chunk.index, 'text': chunk.text}
                    yield _format_event(event)
                reply = await self._receive_reply(req, exchange)
            is_complete = True
            yield _format_event(_make_final_event(reply.verdict))
            yield 'data: [DONE]\n\n'
        finally:
            self.hub.exchanges.pop(req.req_id, None)
            if not is_complete:
                with anyio.CancelScope(shield=True):
                    await self.hub.send(CallerDisconnected(req.req_id))

    async def _receive_reply(self, req: Request, exchange: Exchange) -> Any:
        remaining_s = req.deadline + VERDICT_GRACE_S - anyio.current_time()
        with anyio.move_on_after(max(0, remaining_s)):
            try:
                return await exchange.receive.receive()
            except anyio.EndOfStream:
                await self.hub.send(CallerDisconnected(req.req_id))
        return Finish(req, Verdict(_get_fallback_outcome(req), step='reply'))

    async def _wait_for_verdict(
        self,
        req: Request,
        exchange: Exchange,
    ) -> Verdict:
        while True:
            reply = await self._receive_reply(req, exchange)
            if isinstance(reply, Finish):
                return reply.verdict

    async def _watch_disconnect(self, http: HttpRequest, req: Request) -> None:
        """Notify the core when the caller disconnects."""
        while not await http.is_disconnected():
            await anyio.sleep(VERDICT_GRACE_S / 4)
        await self.hub.send(CallerDisconnected(req.req_id))


async def _handle_bad_request(
    http: HttpRequest,
    exc: Exception,
) -> Response:
    if not isinstance(exc, BadRequest):
        raise exc
    return make_bad_request(exc.detail, exc.status)


def _make_req_id() -> str:
    return uuid.uuid4().hex


def _format_event(data: dict[str, Any]) -> str:
    return f'data: {encode_json(data).decode()}\n\n'


def _make_final_event(verdict: Verdict) -> dict[str, Any]:
    if verdict.outcome is Outcome.answered:
        return {'outcome': 'answered', 'tokens': verdict.tokens}
    return {'outcome': verdict.outcome.value, **get_problem_body(verdict)}


def _get_fallback_outcome(req: Request) -> Outcome:
    return Outcome.failed if req.idempotent else Outcome.unknown
