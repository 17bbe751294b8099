"""
Stand-in engine
===============

Serves an `EngineModel` over HTTP: jobs, streams that can be resumed, cancels,
load reports that lag, cache events that come late and with gaps, and orders.
Prompts that are marked end its process as it begins to write.
"""

import hashlib
import json
import random
from dataclasses import dataclass, field
from typing import Any, AsyncIterator

import anyio
import httpx
from anyio.streams.memory import MemoryObjectSendStream
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from trestledock.process import Job
from trestledock.standin._engine_model import (
    EngineEvent,
    EngineModel,
    EngineSpec,
    EventKind,
    Hold,
    Rejected,
    get_token_text,
)
from trestledock.standin._web import (
    NOT_STARTED_STATUS,
    Faults,
    Stop,
    serve_app,
)
from trestledock.version import CONVERTER

#: The longest sleep of the clock task, in seconds.
MAX_SLEEP_S = 0.05
#: Events that may wait for a reader of a stream.
STREAM_BUFFER = 65_536
#: How long to wait after the weight store refused, in seconds.
WEIGHT_RETRY_S = 0.2


@dataclass(frozen=True)
class CacheLine:
    """A cache event as it is published."""

    sequence: int
    added: tuple[str, ...]
    removed: tuple[str, ...]


@dataclass
class EngineServer:
    """One stand-in engine."""

    model: EngineModel
    platform: str = ''
    seed: int = 0
    role: str = ''
    listeners: dict[str, MemoryObjectSendStream[EngineEvent]] = field(
        default_factory=dict,
    )
    reports: list[tuple[float, Any]] = field(default_factory=list)
    lines: list[tuple[float, CacheLine]] = field(default_factory=list)
    orders: list[frozenset[str]] = field(default_factory=list)
    faults: Faults = field(
        default_factory=lambda: Faults(
            lag_s=0.2,
            cache_gap_share=0,
            cut_streams=0,
            lose_cancels=0,
            leaving=False,
            crash_on='',
        ),
    )
    rng: random.Random = field(init=False)
    changed: anyio.Event = field(init=False)

    def __post_init__(self) -> None:
        """Seed the gaps of the cache events."""
        self.rng = random.Random(self.seed)

    async def run(
        self,
        address: str,
        wait_for_stop: Stop = anyio.sleep_forever,
    ) -> None:
        """Serve until `wait_for_stop` returns."""
        self.changed = anyio.Event()
        async with anyio.create_task_group() as group:
            group.start_soon(self._run_clock)
            group.start_soon(self._run_loads)
            await serve_app(self.make_app(), address, wait_for_stop)
            group.cancel_scope.cancel()

    def make_app(self) -> Starlette:
        """Return the web application."""
        return Starlette(
            routes=[
                Route('/v1/jobs', self.take_job, methods=['POST']),
                Route('/v1/streams', self.resume, methods=['POST']),
                Route('/v1/export', self.export, methods=['POST']),
                Route('/v1/cancel', self.cancel, methods=['POST']),
                Route('/v1/load', self.get_load),
                Route('/v1/cache', self.get_cache),
                Route('/v1/orders', self.take_order, methods=['POST']),
                Route('/v1/holds', self.get_holds),
                Route('/control', self.faults.control, methods=['POST']),
            ],
        )

    async def take_job(self, request: Request) -> Response:
        """Run a job: a piece is answered when done, a stream as it comes."""
        body = await request.json()
        job = CONVERTER.structure(body['job'], Job)
        send, receive = anyio.create_memory_object_stream[EngineEvent](
            STREAM_BUFFER,
        )
        if job.source and not await self._import(job):
            return _make_rejection('the KV cache could not be imported')
        seed = make_seed(body['prompt'])
        begun = [
            get_token_text(seed, index) for index in range(job.first_index)
        ]
        if body['prompt'] and body['continuation'] != ''.join(begun):
            return _make_rejection('the continuation is of another answer')
        now = anyio.current_time()
        prefix = tuple(body['prefix'])
        try:
            self.model.submit(job, seed, prefix, now)
        except Rejected as exc:
            return _make_rejection(str(exc))
        self.listeners[job.hold] = send
        self.changed.set()
        if job.generate:
            self.faults.end_if_marked(body['prompt'])
            return StreamingResponse(
                self._stream(receive),
                media_type='text/event-stream',
            )
        event = await receive.receive()
        return JSONResponse({'hold': event.hold, 'stop': event.stop})

    async def resume(self, request: Request) -> Response:
        """Go on with a stream from a token on."""
        body = await request.json()
        hold_id = body['hold']
        live = self.model.holds.get(hold_id)
        hold = live or self.model.finished.get(hold_id)
        if hold is None:
            return JSONResponse({'detail': 'no such hold'}, status_code=404)
        send, receive = anyio.create_memory_object_stream[EngineEvent](
            STREAM_BUFFER,
        )
        for event in _replay(hold_id, hold, body['index']):
            send.send_nowait(event)
        self.listeners[hold_id] = send
        return StreamingResponse(
            self._stream(receive),
            media_type='text/event-stream',
        )

    async def export(self, request: Request) -> Response:
        """Hand out the KV cache of a hold, as far as it is prefilled."""
        body = await request.json()
        hold = self.model.holds.get(body['hold'])
        if hold is None:
            return JSONResponse({'detail': 'no such hold'}, status_code=404)
        return JSONResponse({'hold': body['hold'], 'stop': hold.job.stop})

    async def cancel(self, request: Request) -> Response:
        """Free holds; the answer may get lost."""
        body = await request.json()
        for hold in body['holds']:
            self.model.cancel(hold, anyio.current_time())
            self.listeners.pop(hold, None)
        if self.faults.take('lose_cancels'):
            return Response(status_code=504)
        return JSONResponse({'holds': body['holds']})

    async def get_load(self, request: Request) -> Response:
        """Return a report that is as old as the lag says."""
        now = anyio.current_time()
        wanted = now - self.faults.get('lag_s')
        older = [entry for entry in self.reports if entry[0] <= wanted]
        if older:
            at, report = older[-1]
        else:
            at, report = now, self.model.report(now)
        plain = CONVERTER.unstructure(report)
        plain['age_s'] = now - at
        plain['leaving'] = self.faults.get('leaving')
        return JSONResponse(plain)

    async def get_cache(self, request: Request) -> Response:
        """Return the cache events after a sequence number, late."""
        after = int(request.query_params.get('after', '-1'))
        wanted = anyio.current_time() - self.faults.get('lag_s')
        lines = [
            CONVERTER.unstructure(line)
            for at, line in self.lines
            if at <= wanted and line.sequence > after
        ]
        return JSONResponse({'events': lines})

    async def take_order(self, request: Request) -> Response:
        """Take an order to hold models, and load them by and by."""
        body = await request.json()
        models = frozenset(body['models'])
        if not self.model.take_number(body['fencing']):
            return JSONResponse(
                {'fencing': self.model.fencing},
                status_code=409,
            )
        self.orders.append(models)
        self.role = body.get('role', self.role)
        return JSONResponse(
            {'models': sorted(models), 'role': self.role},
            status_code=202,
        )

    async def get_holds(self, request: Request) -> Response:
        """Return the memory in use, for tests."""
        return JSONResponse(
            {'used': self.model.used, 'holds': sorted(self.model.holds)},
        )

    async def _stream(self, receive: Any) -> AsyncIterator[str]:
        async for event in receive:
            if event.chunk:
                yield _to_line(CONVERTER.unstructure(event.chunk))
                if self.faults.take('cut_streams'):
                    raise ConnectionAbortedError('cut by the control route')
            if event.kind is EventKind.done:
                yield _to_line({'count': event.count})
                return

    async def _run_clock(self) -> None:
        while True:
            now = anyio.current_time()
            for event in self.model.advance(now):
                listener = self.listeners.get(event.hold)
                if listener:
                    _offer(listener, event)
                if event.kind is not EventKind.chunk:
                    self.listeners.pop(event.hold, None)
            self._publish(now)
            self.changed = anyio.Event()
            wait_s = min(MAX_SLEEP_S, self.model.get_next() - now)
            with anyio.move_on_after(max(0, wait_s)):
                await self.changed.wait()

    async def _run_loads(self) -> None:
        while True:
            if self.orders:
                models = self.orders.pop()
                self.orders.clear()
                for model in sorted(models - self.model.models):
                    await self._fetch_weights(model)
                self.model.models = models
            await anyio.sleep(MAX_SLEEP_S)

    async def _import(self, job: Job) -> bool:
        """Fetch the KV cache that the job goes on from."""
        async with httpx.AsyncClient() as client:
            try:
                response = await client.post(
                    f'http://{job.source}/v1/export',
                    json={'hold': job.source_hold},
                )
            except httpx.HTTPError:
                return False
        return response.is_success and response.json()['stop'] >= job.start

    async def _fetch_weights(self, model: str) -> None:
        if not self.platform:
            return
        async with httpx.AsyncClient(base_url=self.platform) as client:
            fetched = False
            while not fetched:
                try:
                    response = await client.get(f'/v1/weights/{model}')
                except httpx.HTTPError:
                    await anyio.sleep(WEIGHT_RETRY_S)
                    continue
                fetched = response.is_success
                if not fetched:
                    await anyio.sleep(WEIGHT_RETRY_S)

    def _publish(self, now: float) -> None:
        last = self.reports[-1][0] if self.reports else float('-inf')
        if now - last < MAX_SLEEP_S:
            return
        self.reports.append((now, self.model.report(now)))
        keep_from = now - self.faults.get('lag_s') - 1
        self.reports = [entry for entry in self.reports if entry[0] > keep_from]
        if self.model.cache_log:
            log = self.model.cache_log
            self.model.cache_log = []
            sequence = self.lines[-1][1].sequence + 1 if self.lines else 0
            if self.rng.random() < self.faults.get('cache_gap_share'):
                sequence += 1
            added = tuple(block for block, is_new in log if is_new)
            removed = tuple(block for block, is_new in log if not is_new)
            self.lines.append((now, CacheLine(sequence, added, removed)))


def make_seed(prompt: str) -> str:
    """Return what the model draws the answer to a prompt from."""
    return hashlib.blake2b(prompt.encode(), digest_size=8).hexdigest()


def _make_rejection(detail: str) -> JSONResponse:
    """Return the answer that proves that a job was not started."""
    return JSONResponse(
        {'started': False, 'detail': detail},
        status_code=NOT_STARTED_STATUS,
    )


def _to_line(plain: Any) -> str:
    return f'data: {json.dumps(plain)}\n\n'


def _offer(listener: Any, event: EngineEvent) -> None:
    try:
        listener.send_nowait(event)
    except (anyio.WouldBlock, anyio.BrokenResourceError):
        return


def _replay(hold_id: str, hold: Hold, index: int) -> list[EngineEvent]:
    events = [
        EngineEvent(0, hold_id, EventKind.chunk, chunk=chunk)
        for chunk in hold.produced
        if chunk.index >= index
    ]
    if hold.final_count is not None:
        count = hold.final_count
        events.append(EngineEvent(0, hold_id, EventKind.done, count=count))
    return events


def make_engine(
    models: frozenset[str],
    spec: EngineSpec,
    platform: str = '',
    seed: int = 0,
) -> EngineServer:
    """Return a stand-in engine that holds `models`."""
    return EngineServer(EngineModel(spec, models), platform, seed)
