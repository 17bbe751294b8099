"""
Stand-in engine
===============

Serves an `EngineModel` over HTTP: jobs, resumable streams, cancellation, load
reports that lag, cache events that are delayed and have gaps, and orders to
load models.  A generating job whose prompt contains a marker text crashes the
process before its stream starts.
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
    Rejected,
    Reservation,
    get_token_text,
)
from trestledock.standin._web import (
    NOT_STARTED_STATUS,
    Faults,
    WaitForStop,
    serve_app,
)
from trestledock.version import CONVERTER

#: Maximum sleep of the background tasks, and the interval of load reports, in
#: seconds.
MAX_SLEEP_S = 0.05
#: Maximum number of events buffered for the reader of a stream.
MAX_BUFFERED_EVENTS = 65_536
#: Delay before retrying after the weight store refused, in seconds.
WEIGHT_RETRY_DELAY_S = 0.2


@dataclass(frozen=True)
class PublishedCacheEvent:
    """A cache event as it is sent; a gap in `sequence` means a lost event."""

    sequence: int
    added: tuple[str, ...]
    removed: tuple[str, ...]


@dataclass
class EngineServer:
    """One stand-in engine.

    `listeners` holds the event senders of open requests by reservation id.
    `reports` and `cache_events` are kept with their times, so that they can be
    returned late.  The faults `cut_streams` and `lose_cancels` are the numbers
    of streams to cut and of cancel responses to lose.
    """

    model: EngineModel
    platform: str = ''
    seed: int = 0
    role: str = ''
    listeners: dict[str, MemoryObjectSendStream[EngineEvent]] = field(
        default_factory=dict,
    )
    reports: list[tuple[float, Any]] = field(default_factory=list)
    cache_events: list[tuple[float, PublishedCacheEvent]] = field(
        default_factory=list
    )
    pending_orders: list[frozenset[str]] = field(default_factory=list)
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
    wakeup: anyio.Event = field(init=False)

    def __post_init__(self) -> None:
        """Seed the random gaps in the cache events."""
        self.rng = random.Random(self.seed)

    async def run(
        self,
        address: str,
        wait_for_stop: WaitForStop = anyio.sleep_forever,
    ) -> None:
        """Serve until `wait_for_stop` returns."""
        self.wakeup = anyio.Event()
        async with anyio.create_task_group() as group:
            group.start_soon(self._run_model)
            group.start_soon(self._run_model_loads)
            await serve_app(self.make_app(), address, wait_for_stop)
            group.cancel_scope.cancel()

    def make_app(self) -> Starlette:
        """Return the web application."""
        return Starlette(
            routes=[
                Route('/v1/jobs', self.handle_job, methods=['POST']),
                Route('/v1/streams', self.resume_stream, methods=['POST']),
                Route('/v1/export', self.export_cache, methods=['POST']),
                Route('/v1/cancel', self.cancel_reservations, methods=['POST']),
                Route('/v1/load', self.get_load),
                Route('/v1/cache', self.get_cache_events),
                Route('/v1/orders', self.handle_order, methods=['POST']),
                Route('/v1/holds', self.get_reservations),
                Route('/control', self.faults.handle_control, methods=['POST']),
            ],
        )

    async def handle_job(self, request: Request) -> Response:
        """Run a job.

        A job that only prefills is answered when it is done; the tokens of a
        generating job are streamed as they are produced.
        """
        body = await request.json()
        job = CONVERTER.structure(body['job'], Job)
        send, receive = anyio.create_memory_object_stream[EngineEvent](
            MAX_BUFFERED_EVENTS,
        )
        if job.source and not await self._import_cache(job):
            return _make_rejection('the KV cache could not be imported')
        seed = make_seed(body['prompt'])
        expected_texts = [
            get_token_text(seed, index) for index in range(job.first_index)
        ]
        if body['prompt'] and body['continuation'] != ''.join(expected_texts):
            return _make_rejection('the continuation belongs to another answer')
        now = anyio.current_time()
        prefix = tuple(body['prefix'])
        try:
            self.model.submit(job, seed, prefix, now)
        except Rejected as exc:
            return _make_rejection(str(exc))
        self.listeners[job.hold] = send
        self.wakeup.set()
        if job.generate:
            self.faults.crash_if_marked(body['prompt'])
            return StreamingResponse(
                self._stream_events(receive),
                media_type='text/event-stream',
            )
        event = await receive.receive()
        return JSONResponse({'hold': event.reservation_id, 'stop': event.stop})

    async def resume_stream(self, request: Request) -> Response:
        """Resume a stream from a token index on, starting with past tokens."""
        body = await request.json()
        reservation_id = body['hold']
        active = self.model.reservations.get(reservation_id)
        reservation = active or self.model.finished.get(reservation_id)
        if reservation is None:
            return JSONResponse({'detail': 'no such hold'}, status_code=404)
        send, receive = anyio.create_memory_object_stream[EngineEvent](
            MAX_BUFFERED_EVENTS,
        )
        for event in _get_past_events(
            reservation_id, reservation, body['index']
        ):
            send.send_nowait(event)
        self.listeners[reservation_id] = send
        return StreamingResponse(
            self._stream_events(receive),
            media_type='text/event-stream',
        )

    async def export_cache(self, request: Request) -> Response:
        """Return how far a reservation is prefilled, in place of its KV cache.

        The token count stands for the KV cache that a real engine would send.
        """
        body = await request.json()
        reservation = self.model.reservations.get(body['hold'])
        if reservation is None:
            return JSONResponse({'detail': 'no such hold'}, status_code=404)
        return JSONResponse(
            {'hold': body['hold'], 'stop': reservation.job.stop}
        )

    async def cancel_reservations(self, request: Request) -> Response:
        """Release reservations; the response may be lost."""
        body = await request.json()
        for reservation_id in body['holds']:
            self.model.cancel(reservation_id, anyio.current_time())
            self.listeners.pop(reservation_id, None)
        if self.faults.count_down('lose_cancels'):
            return Response(status_code=504)
        return JSONResponse({'holds': body['holds']})

    async def get_load(self, request: Request) -> Response:
        """Return the latest report at least `lag_s` old, or else a new one."""
        now = anyio.current_time()
        visible_until = now - self.faults.get('lag_s')
        visible = [
            timed_report
            for timed_report in self.reports
            if timed_report[0] <= visible_until
        ]
        if visible:
            at, report = visible[-1]
        else:
            at, report = now, self.model.report(now)
        body = CONVERTER.unstructure(report)
        body['age_s'] = now - at
        body['leaving'] = self.faults.get('leaving')
        return JSONResponse(body)

    async def get_cache_events(self, request: Request) -> Response:
        """Return cache events after a sequence number, delayed by `lag_s`."""
        after = int(request.query_params.get('after', '-1'))
        visible_until = anyio.current_time() - self.faults.get('lag_s')
        cache_events = [
            CONVERTER.unstructure(event)
            for at, event in self.cache_events
            if at <= visible_until and event.sequence > after
        ]
        return JSONResponse({'events': cache_events})

    async def handle_order(self, request: Request) -> Response:
        """Accept an order to load models; a background task loads them."""
        body = await request.json()
        models = frozenset(body['models'])
        if not self.model.accept_fencing(body['fencing']):
            return JSONResponse(
                {'fencing': self.model.fencing},
                status_code=409,
            )
        self.pending_orders.append(models)
        self.role = body.get('role', self.role)
        return JSONResponse(
            {'models': sorted(models), 'role': self.role},
            status_code=202,
        )

    async def get_reservations(self, request: Request) -> Response:
        """Return the KV memory in use and the reservations, for tests."""
        return JSONResponse(
            {
                'used': self.model.reserved_tokens,
                'holds': sorted(self.model.reservations),
            },
        )

    async def _stream_events(self, receive: Any) -> AsyncIterator[str]:
        async for event in receive:
            if event.chunk:
                yield _encode_sse(CONVERTER.unstructure(event.chunk))
                if self.faults.count_down('cut_streams'):
                    raise ConnectionAbortedError('cut by the control route')
            if event.kind is EventKind.done:
                yield _encode_sse({'count': event.count})
                return

    async def _run_model(self) -> None:
        """Advance the model in real time and pass its events to listeners."""
        while True:
            now = anyio.current_time()
            for event in self.model.advance(now):
                listener = self.listeners.get(event.reservation_id)
                if listener:
                    _send_or_drop(listener, event)
                if event.kind is not EventKind.chunk:
                    self.listeners.pop(event.reservation_id, None)
            self._record_reports(now)
            self.wakeup = anyio.Event()
            wait_s = min(MAX_SLEEP_S, self.model.get_next_event_at() - now)
            with anyio.move_on_after(max(0, wait_s)):
                await self.wakeup.wait()

    async def _run_model_loads(self) -> None:
        """Load the models of the latest pending order; drop older orders."""
        while True:
            if self.pending_orders:
                models = self.pending_orders.pop()
                self.pending_orders.clear()
                for model in sorted(models - self.model.models):
                    await self._fetch_weights(model)
                self.model.models = models
            await anyio.sleep(MAX_SLEEP_S)

    async def _import_cache(self, job: Job) -> bool:
        """Import the KV cache that the job continues from."""
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
                    await anyio.sleep(WEIGHT_RETRY_DELAY_S)
                    continue
                fetched = response.is_success
                if not fetched:
                    await anyio.sleep(WEIGHT_RETRY_DELAY_S)

    def _record_reports(self, now: float) -> None:
        """Record a load report and a cache event, once per interval.

        Load reports are kept for one second longer than `lag_s`.  A skipped
        sequence number simulates a lost cache event.
        """
        last_report_at = self.reports[-1][0] if self.reports else float('-inf')
        if now - last_report_at < MAX_SLEEP_S:
            return
        self.reports.append((now, self.model.report(now)))
        keep_from = now - self.faults.get('lag_s') - 1
        self.reports = [
            timed_report
            for timed_report in self.reports
            if timed_report[0] > keep_from
        ]
        if self.model.cache_log:
            cache_log = self.model.cache_log
            self.model.cache_log = []
            sequence = (
                self.cache_events[-1][1].sequence + 1
                if self.cache_events
                else 0
            )
            if self.rng.random() < self.faults.get('cache_gap_share'):
                sequence += 1
            added = tuple(block for block, is_new in cache_log if is_new)
            removed = tuple(block for block, is_new in cache_log if not is_new)
            self.cache_events.append(
                (now, PublishedCacheEvent(sequence, added, removed))
            )


def make_seed(prompt: str) -> str:
    """Return the seed from which the answer to a prompt is generated."""
    return hashlib.blake2b(prompt.encode(), digest_size=8).hexdigest()


def _make_rejection(detail: str) -> JSONResponse:
    """Return the response that guarantees that a job was not started."""
    return JSONResponse(
        {'started': False, 'detail': detail},
        status_code=NOT_STARTED_STATUS,
    )


def _encode_sse(body: Any) -> str:
    return f'data: {json.dumps(body)}\n\n'


def _send_or_drop(listener: Any, event: EngineEvent) -> None:
    try:
        listener.send_nowait(event)
    except (anyio.WouldBlock, anyio.BrokenResourceError):
        return


def _get_past_events(
    reservation_id: str, reservation: Reservation, index: int
) -> list[EngineEvent]:
    events = [
        EngineEvent(0, reservation_id, EventKind.chunk, chunk=chunk)
        for chunk in reservation.produced
        if chunk.index >= index
    ]
    if reservation.final_count is not None:
        count = reservation.final_count
        events.append(
            EngineEvent(0, reservation_id, EventKind.done, count=count)
        )
    return events


def make_engine(
    models: frozenset[str],
    spec: EngineSpec,
    platform: str = '',
    seed: int = 0,
) -> EngineServer:
    """Return a stand-in engine that has loaded `models`."""
    return EngineServer(EngineModel(spec, models), platform, seed)
