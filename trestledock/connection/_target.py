"""
Target connections
==================

Sends jobs, calls, cancels and orders to targets and turns their answers into
messages.  `not_started` is claimed only where the connection was never made,
where the target says so itself, or where nothing was written.
"""

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
from trestledock.relay import FailureKind, classify_connect_error
from trestledock.request import Chunk
from trestledock.version import CONVERTER, DecodeError, load_json

#: How long a cancel or an order may take, in seconds.
CONTROL_TIMEOUT_S = 5.0
LEAST_TIMEOUT_S = 0.001
REJECTED_STATUS = 503
OLD_NUMBER_STATUS = 409
MS = 1000
#: What the client raises where a target has closed the connection.
CLOSED = (httpx.RemoteProtocolError, httpx.ReadError, httpx.WriteError)
#: How long after that is looked whether it has ended, in seconds.
SETTLE_S = 0.03


@dataclass(frozen=True)
class Rejection:
    """An engine's word that it did not start a job."""

    started: bool
    detail: str = ''


@dataclass(frozen=True)
class PieceAnswer:
    """An engine's word that a piece is prefilled up to `stop`."""

    hold: str
    stop: int


@dataclass(frozen=True)
class StreamLine:
    """A line of an engine's stream: a chunk, or the count that ends it."""

    index: int = 0
    text: str = ''
    tokens: int = 1
    count: int | None = None


class TargetLink:
    """The sender of one instance's work to targets."""

    def __init__(self, hub: Hub, client: httpx.AsyncClient) -> None:
        """Keep the client that owns the connections."""
        self.hub = hub
        self.client = client

    async def start_job(self, action: StartJob) -> None:
        """Send a job and report what comes of it.

        The prompt travels with the first job of a hold only, and with it the
        answer so far where another engine had begun it.
        """
        exchange = self.hub.exchanges.get(action.req_id)
        late = anyio.current_time() >= action.not_after
        if exchange is None or late:
            await self._fail(action, 'send', 'too late to start', proof=True)
            return
        is_first = action.job.hold not in exchange.holds
        exchange.holds.add(action.job.hold)
        body = {
            'job': CONVERTER.unstructure(action.job),
            'prompt': exchange.prompt if is_first else '',
            'prefix': exchange.prefix if is_first else (),
            'continuation': ''.join(exchange.emitted) if is_first else '',
        }
        if action.job.generate:
            await self._read_stream(action, '/v1/jobs', body, exchange)
        else:
            await self._wait_for_piece(action, body, exchange)

    async def resume(self, action: ResumeStream) -> None:
        """Go on with a stream that broke off."""
        exchange = self.hub.exchanges.get(action.req_id)
        if exchange:
            body = {'hold': action.hold, 'index': action.index}
            await self._read_stream(action, '/v1/streams', body, exchange)

    async def call(self, action: CallService) -> None:
        """Send a call to a plain service."""
        exchange = self.hub.exchanges.get(action.req_id)
        late = anyio.current_time() >= action.not_after
        if exchange is None or late:
            await self._fail(action, 'send', 'too late to start', proof=True)
            return
        left_s = exchange.deadline - anyio.current_time()
        headers = {
            'content-type': exchange.content_type or 'application/json',
            'trestledock-deadline-ms': str(round(left_s * MS)),
        }
        if exchange.idempotency_key:
            headers['idempotency-key'] = exchange.idempotency_key
        try:
            response = await self.client.request(
                exchange.method,
                f'http://{action.address}/{exchange.path}',
                params=exchange.query,
                content=exchange.body,
                headers=headers,
                timeout=self._get_timeout(left_s),
            )
        except httpx.HTTPError as exc:
            await self._fail_on(action, 'call', exc)
            return
        await self.hub.tell(
            CallDone(
                action.req_id,
                action.attempt,
                response.status_code,
                response.text,
            ),
        )

    async def cancel(self, action: CancelReservations) -> None:
        """Cancel holds; silence means that they still count as held."""
        try:
            response = await self.client.post(
                f'http://{action.address}/v1/cancel',
                json={'holds': action.holds},
                timeout=CONTROL_TIMEOUT_S,
            )
        except httpx.HTTPError:
            return
        if response.is_success:
            await self.hub.tell(CancelConfirmed(action.target, action.holds))

    async def order(self, action: GiveOrder) -> None:
        """Give an order, unless the lease may have lapsed meanwhile."""
        if anyio.current_time() >= action.not_after:
            return
        try:
            response = await self.client.post(
                f'http://{action.address}/v1/orders',
                json={'models': action.models, 'fencing': action.fencing},
                timeout=CONTROL_TIMEOUT_S,
            )
        except httpx.HTTPError:
            return
        refused = response.status_code == OLD_NUMBER_STATUS
        await self.hub.tell(OrderAnswered(action.target, refused))

    async def _wait_for_piece(
        self,
        action: StartJob,
        body: dict[str, Any],
        exchange: Exchange,
    ) -> None:
        left_s = exchange.deadline - anyio.current_time()
        try:
            response = await self.client.post(
                f'http://{action.address}/v1/jobs',
                json=body,
                timeout=self._get_timeout(left_s),
            )
        except httpx.HTTPError as exc:
            await self._fail_on(action, 'piece', exc)
            return
        if response.is_success:
            await self._note_piece(action, response)
        else:
            await self._reject(action, 'piece', response)

    async def _note_piece(
        self,
        action: StartJob,
        response: httpx.Response,
    ) -> None:
        try:
            done = load_json(response.content, PieceAnswer)
        except DecodeError as exc:
            await self._fail(action, 'piece', str(exc), proof=False)
            return
        await self.hub.tell(
            PrefillDone(action.req_id, action.attempt, done.hold, done.stop),
        )

    async def _read_stream(
        self,
        action: StartJob | ResumeStream,
        path: str,
        body: dict[str, Any],
        exchange: Exchange,
    ) -> None:
        left_s = exchange.deadline - anyio.current_time()
        try:
            async with httpx_sse.aconnect_sse(
                self.client,
                'POST',
                f'http://{action.address}{path}',
                json=body,
                timeout=self._get_timeout(left_s),
            ) as source:
                if not source.response.is_success:
                    await source.response.aread()
                    await self._reject(action, 'stream', source.response)
                    return
                await self._pass_on(action, source)
        except httpx.HTTPError as exc:
            await self._fail_on(action, 'stream', exc)
        except (DecodeError, httpx_sse.SSEError) as exc:
            await self._fail(action, 'stream', repr(exc), proof=False)

    async def _pass_on(
        self,
        action: StartJob | ResumeStream,
        source: httpx_sse.EventSource,
    ) -> None:
        async for event in source.aiter_sse():
            line = load_json(event.data, StreamLine)
            if line.count is not None:
                await self.hub.tell(
                    StreamDone(action.req_id, action.attempt, line.count),
                )
                return
            if action.req_id not in self.hub.exchanges:
                return
            chunk = Chunk(line.index, line.text, line.tokens)
            await self.hub.tell(
                ChunkArrived(action.req_id, action.attempt, chunk),
            )
        await self._fail(action, 'stream', 'no final marker', proof=False)

    async def _reject(
        self,
        action: StartJob | ResumeStream,
        step: str,
        response: httpx.Response,
    ) -> None:
        proof = _says_not_started(response)
        await self._fail(action, step, response.text, proof=proof)

    async def _fail_on(
        self,
        action: StartJob | ResumeStream | CallService,
        step: str,
        exc: httpx.HTTPError,
    ) -> None:
        proof = isinstance(exc, (httpx.ConnectError, httpx.ConnectTimeout))
        ended = isinstance(exc, CLOSED) and await self._has_ended(action)
        await self._fail(action, step, repr(exc), proof=proof, ended=ended)

    async def _has_ended(
        self, action: StartJob | ResumeStream | CallService
    ) -> bool:
        """Whether nobody listens any more at a target that closed.

        A process that ends closes its sockets one after the other, so there is
        a moment's pause before the look.
        """
        await anyio.sleep(SETTLE_S)
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
        proof: bool,
        ended: bool = False,
    ) -> None:
        await self.hub.tell(
            AttemptFailed(
                action.req_id,
                action.attempt,
                not_started=proof,
                step=step,
                peer=action.target,
                detail=detail,
                ended=ended,
            ),
        )

    def _get_timeout(self, left_s: float) -> httpx.Timeout:
        connect_s = self.hub.settings.target_connect_s
        left_s = max(LEAST_TIMEOUT_S, left_s)
        return httpx.Timeout(left_s, connect=min(connect_s, left_s))


def _says_not_started(response: httpx.Response) -> bool:
    """Whether an engine's answer proves that it did not start a job."""
    if response.status_code != REJECTED_STATUS:
        return False
    try:
        answer = load_json(response.content, Rejection)
    except DecodeError:
        return False
    return not answer.started
