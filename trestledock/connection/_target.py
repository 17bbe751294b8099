"""
Target connections
==================

Sends jobs, calls, cancellations and orders to targets and converts their
responses to messages for the core.  `not_started` is reported only if no
connection was established, if the target says so itself, or if nothing was
sent.
"""

import json
from dataclasses import dataclass
from typing import Any

import anyio
import httpx
import httpx_sse

from trestledock.connection._hub import Exchange, Hub
from trestledock.process import (
    AttemptFailed,
    CallDone,
    CallService,
    CancelConfirmed,
    CancelReservations,
    ChunkArrived,
    GiveOrder,
    OrderAnswered,
    PrefillDone,
    ResumeStream,
    StartJob,
    StreamDone,
)
from trestledock.relay import (
    FailureKind,
    Framing,
    classify_connect_error,
    get_framing,
)
from trestledock.request import Chunk
from trestledock.version import CONVERTER, DecodeError, load_json

#: The timeout of cancellations and orders, in seconds.
CONTROL_TIMEOUT_S = 5.0
MIN_TIMEOUT_S = 0.001
#: The most open connections to targets.
MAX_CONNECTIONS = 2000
#: The longest answer but for streams, in bytes.
MAX_ANSWER_BYTES = 16_777_216
NOT_STARTED_STATUS = 503
STALE_FENCING_STATUS = 409
MS = 1000
#: Raised by the client if the target has closed the connection.
CLOSED_ERRORS = (httpx.RemoteProtocolError, httpx.ReadError, httpx.WriteError)
#: The delay, in seconds, before checking whether such a target has crashed.
RECONNECT_DELAY_S = 0.03


@dataclass(frozen=True)
class Rejection:
    """An engine's rejection of a job; tells whether the job was started."""

    started: bool
    detail: str = ''


@dataclass(frozen=True)
class PrefillAnswer:
    """An engine's response that a prompt is prefilled up to `stop`."""

    hold: str
    stop: int


@dataclass(frozen=True)
class StreamLine:
    """A line of an engine's stream: a chunk, or the final token count."""

    index: int = 0
    text: str = ''
    tokens: int = 1
    count: int | None = None


def make_target_client() -> httpx.AsyncClient:
    """Return a client for targets whose connections carry one request each.

    Answers of targets don't say which request they belong to. On a connection
    that is used again, a late copy of one would be taken for the next.
    """
    limits = httpx.Limits(
        max_connections=MAX_CONNECTIONS, max_keepalive_connections=0
    )
    return httpx.AsyncClient(limits=limits)


class TargetLink:
    """Sends work of an instance to targets."""

    def __init__(self, hub: Hub, client: httpx.AsyncClient) -> None:
        """Set the hub, and the client that owns the connections."""
        self.hub = hub
        self.client = client

    async def start_job(self, action: StartJob) -> None:
        """Send a job and report its result.

        Only the first job of a reservation includes the prompt, and the answer
        so far if another engine had started it.
        """
        exchange = self.hub.exchanges.get(action.req_id)
        late = anyio.current_time() >= action.not_after
        if exchange is None or late:
            await self._fail(
                action, 'send', 'too late to start', not_started=True
            )
            return
        is_first = action.job.hold not in exchange.reservations
        exchange.reservations.add(action.job.hold)
        body = {
            'job': CONVERTER.unstructure(action.job),
            'prompt': exchange.prompt if is_first else '',
            'prefix': exchange.prefix if is_first else (),
            'continuation': ''.join(exchange.sent_texts) if is_first else '',
        }
        if action.job.generate:
            await self._read_stream(action, '/v1/jobs', body, exchange)
        else:
            await self._run_prefill(action, body, exchange)

    async def resume(self, action: ResumeStream) -> None:
        """Resume an interrupted stream."""
        exchange = self.hub.exchanges.get(action.req_id)
        if exchange:
            body = {'hold': action.hold, 'index': action.index}
            await self._read_stream(action, '/v1/streams', body, exchange)

    async def call(self, action: CallService) -> None:
        """Send a call to a plain service."""
        exchange = self.hub.exchanges.get(action.req_id)
        late = anyio.current_time() >= action.not_after
        if exchange is None or late:
            await self._fail(
                action, 'send', 'too late to start', not_started=True
            )
            return
        remaining_s = exchange.deadline - anyio.current_time()
        headers = {
            'content-type': exchange.content_type or 'application/json',
            'trestledock-deadline-ms': str(round(remaining_s * MS)),
        }
        if exchange.idempotency_key:
            headers['idempotency-key'] = exchange.idempotency_key
        try:
            response = await self._fetch(
                exchange.method,
                f'http://{action.address}/{exchange.path}',
                remaining_s,
                params=exchange.query,
                content=exchange.body,
                headers=headers,
            )
        except httpx.HTTPError as exc:
            await self._fail_with_error(action, 'call', exc)
            return
        if not _is_whole(response):
            await self._fail_closed(action, 'call', 'ended by closing')
            return
        await self.hub.send(
            CallDone(
                action.req_id,
                action.attempt,
                response.status_code,
                response.text,
            ),
        )

    async def cancel(self, action: CancelReservations) -> None:
        """Cancel reservations; without a response they remain in effect."""
        try:
            response = await self._fetch(
                'POST',
                f'http://{action.address}/v1/cancel',
                CONTROL_TIMEOUT_S,
                json={'holds': action.holds},
            )
        except httpx.HTTPError:
            return
        if response.is_success:
            await self.hub.send(CancelConfirmed(action.target, action.holds))

    async def order(self, action: GiveOrder) -> None:
        """Send an order, unless the lease may have expired."""
        if anyio.current_time() >= action.not_after:
            return
        try:
            response = await self._fetch(
                'POST',
                f'http://{action.address}/v1/orders',
                CONTROL_TIMEOUT_S,
                json={'models': action.models, 'fencing': action.fencing},
            )
        except httpx.HTTPError:
            return
        is_stale = response.status_code == STALE_FENCING_STATUS
        await self.hub.send(OrderAnswered(action.target, is_stale))

    async def _fetch(
        self, method: str, url: str, total_s: float, **fields: Any
    ) -> httpx.Response:
        """Return a whole answer; one that is too long or too late is an error.

        The client's own timeouts begin anew with each byte.
        """
        total_s = max(MIN_TIMEOUT_S, total_s)
        fields['timeout'] = self._get_timeout(total_s)
        try:
            with anyio.fail_after(total_s):
                async with self.client.stream(method, url, **fields) as source:
                    return await _read_whole(source)
        except TimeoutError as exc:
            raise httpx.ReadTimeout('the answer did not end') from exc

    async def _run_prefill(
        self,
        action: StartJob,
        body: dict[str, Any],
        exchange: Exchange,
    ) -> None:
        remaining_s = exchange.deadline - anyio.current_time()
        try:
            response = await self._fetch(
                'POST',
                f'http://{action.address}/v1/jobs',
                remaining_s,
                json=body,
            )
        except httpx.HTTPError as exc:
            await self._fail_with_error(action, 'piece', exc)
            return
        if response.is_success:
            await self._report_prefill(action, response)
        else:
            await self._reject(action, 'piece', response)

    async def _report_prefill(
        self,
        action: StartJob,
        response: httpx.Response,
    ) -> None:
        try:
            done = load_json(response.content, PrefillAnswer)
        except DecodeError as exc:
            await self._fail_closed(action, 'piece', str(exc))
            return
        await self.hub.send(
            PrefillDone(action.req_id, action.attempt, done.hold, done.stop),
        )

    async def _read_stream(
        self,
        action: StartJob | ResumeStream,
        path: str,
        body: dict[str, Any],
        exchange: Exchange,
    ) -> None:
        remaining_s = exchange.deadline - anyio.current_time()
        try:
            with anyio.fail_after(max(MIN_TIMEOUT_S, remaining_s)):
                async with httpx_sse.aconnect_sse(
                    self.client,
                    'POST',
                    f'http://{action.address}{path}',
                    json=body,
                    timeout=self._get_timeout(remaining_s),
                ) as source:
                    await self._receive_stream(action, source)
        except httpx.HTTPError as exc:
            await self._fail_with_error(action, 'stream', exc)
        except (DecodeError, TimeoutError, httpx_sse.SSEError) as exc:
            await self._fail(action, 'stream', repr(exc), not_started=False)

    async def _receive_stream(
        self,
        action: StartJob | ResumeStream,
        source: httpx_sse.EventSource,
    ) -> None:
        """Forward the events of a stream, or report its rejection."""
        if source.response.is_success:
            await self._forward_events(action, source)
            return
        response = await _read_whole(source.response)
        await self._reject(action, 'stream', response)

    async def _forward_events(
        self,
        action: StartJob | ResumeStream,
        source: httpx_sse.EventSource,
    ) -> None:
        async for event in source.aiter_sse():
            line = load_json(event.data, StreamLine)
            if line.count is not None:
                await self.hub.send(
                    StreamDone(action.req_id, action.attempt, line.count),
                )
                return
            if action.req_id not in self.hub.exchanges:
                return
            chunk = Chunk(line.index, line.text, line.tokens)
            await self.hub.send(
                ChunkArrived(action.req_id, action.attempt, chunk),
            )
        await self._fail_closed(action, 'stream', 'no final marker')

    async def _reject(
        self,
        action: StartJob | ResumeStream,
        step: str,
        response: httpx.Response,
    ) -> None:
        not_started = _says_not_started(response)
        await self._fail(action, step, response.text, not_started=not_started)

    async def _fail_with_error(
        self,
        action: StartJob | ResumeStream | CallService,
        step: str,
        exc: httpx.HTTPError,
    ) -> None:
        not_started = isinstance(
            exc, (httpx.ConnectError, httpx.ConnectTimeout)
        )
        crashed = isinstance(exc, CLOSED_ERRORS) and await self._has_crashed(
            action
        )
        await self._fail(
            action, step, repr(exc), not_started=not_started, ended=crashed
        )

    async def _fail_closed(
        self,
        action: StartJob | ResumeStream | CallService,
        step: str,
        detail: str,
    ) -> None:
        """Report an answer that ended properly, but is not known to be whole.

        A process that crashes may close its connections without a reset.
        """
        ended = await self._has_crashed(action)
        await self._fail(action, step, detail, not_started=False, ended=ended)

    async def _has_crashed(
        self, action: StartJob | ResumeStream | CallService
    ) -> bool:
        """Return whether a target that closed a connection refuses new ones.

        An exiting process closes its sockets one by one, so the check is made
        after a short delay.
        """
        await anyio.sleep(RECONNECT_DELAY_S)
        host, _, port = action.address.rpartition(':')
        try:
            with anyio.fail_after(self.hub.settings.target_connect_s):
                conn = await anyio.connect_tcp(host, int(port))
        except (OSError, TimeoutError) as exc:
            return classify_connect_error(exc) is FailureKind.refused
        await conn.aclose()
        return False

    async def _fail(
        self,
        action: StartJob | ResumeStream | CallService,
        step: str,
        detail: str,
        *,
        not_started: bool,
        ended: bool = False,
    ) -> None:
        await self.hub.send(
            AttemptFailed(
                action.req_id,
                action.attempt,
                not_started=not_started,
                step=step,
                peer=action.target,
                detail=detail,
                ended=ended,
            ),
        )

    def _get_timeout(self, remaining_s: float) -> httpx.Timeout:
        connect_s = self.hub.settings.target_connect_s
        remaining_s = max(MIN_TIMEOUT_S, remaining_s)
        return httpx.Timeout(remaining_s, connect=min(connect_s, remaining_s))


async def _read_whole(source: httpx.Response) -> httpx.Response:
    """Read an answer to its end; raise if it is too long."""
    body = bytearray()
    async for raw in source.aiter_raw():
        body += raw
        if len(body) > MAX_ANSWER_BYTES:
            raise httpx.ReadError('the answer is too long')
    response = httpx.Response(
        source.status_code,
        headers=source.headers,
        stream=httpx.ByteStream(bytes(body)),
        request=source.request,
    )
    response.read()
    return response


def _is_whole(response: httpx.Response) -> bool:
    """Return whether an answer is known to be whole.

    No part of a JSON object or array is one, so these need no framing.
    """
    framing = get_framing(
        response.request.method,
        response.status_code,
        has_length='content-length' in response.headers,
        is_chunked='transfer-encoding' in response.headers,
    )
    if framing is not Framing.close:
        return True
    try:
        return isinstance(json.loads(response.content), (dict, list))
    except ValueError:
        return False


def _says_not_started(response: httpx.Response) -> bool:
    """Return whether an engine's response proves that it started no job."""
    if response.status_code != NOT_STARTED_STATUS:
        return False
    try:
        answer = load_json(response.content, Rejection)
    except DecodeError:
        return False
    return not answer.started
