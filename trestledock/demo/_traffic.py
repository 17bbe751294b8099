"""
Demo traffic
============

Sends calls and generation requests to a deployment for some seconds and
records the outcome of every request.
"""

import json
from dataclasses import dataclass, field
from random import Random
from typing import Callable

import anyio
import httpx
import httpx_sse

from trestledock.request import get_length_class_by_tokens
from trestledock.version import Configuration, Pool, TargetKind

CHARS_PER_TOKEN = 4
#: Prompt lengths in tokens.  In mixed traffic, `LONG_SHARE` are long.
SHORT_TOKENS = (500, 1500, 4000)
LONG_TOKENS = (20_000, 60_000, 180_000)
LONG_SHARE = 0.12
#: Share of the requests that are calls to a plain service.
CALL_SHARE = 0.3
MAX_TOKENS = 12
DEADLINE_MS = 30_000
MAX_CONNECTIONS = 500
ANSWERED = 'answered'
#: Outcome of a request whose connection broke or whose error has no type.
BROKEN = 'broken'
FIRST_INDEX = 0


@dataclass
class PhaseResult:
    """Outcome counts and times to first token of the requests of one phase.

    `ttft` holds seconds by length class.
    """

    sent: int = 0
    outcomes: dict[str, int] = field(default_factory=dict)
    ttft: dict[str, list[float]] = field(default_factory=dict)

    def count_outcome(self, outcome: str) -> None:
        """Count the outcome of one request."""
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1


@dataclass
class TrafficGenerator:
    """Sends the requests of one phase; `with_long` adds long prompts."""

    configuration: Configuration
    entries: list[str]
    rng: Random
    with_long: bool
    result: PhaseResult = field(default_factory=PhaseResult)

    async def run(
        self,
        rate: float,
        seconds: float,
        on_sent: Callable[[], None],
    ) -> PhaseResult:
        """Send requests at a mean rate, then wait for all responses.

        The intervals are exponentially distributed (Poisson arrivals).
        """
        limits = httpx.Limits(max_connections=MAX_CONNECTIONS)
        async with (
            httpx.AsyncClient(limits=limits, timeout=60) as client,
            anyio.create_task_group() as group,
        ):
            for number in range(int(rate * seconds)):
                self.result.sent += 1
                send = self._send_generation
                if self.rng.random() < CALL_SHARE:
                    send = self._send_call
                entry = self.rng.choice(self.entries)
                group.start_soon(send, client, entry, f'k{number}')
                on_sent()
                await anyio.sleep(self.rng.expovariate(rate))
        return self.result

    async def _send_call(
        self,
        client: httpx.AsyncClient,
        entry: str,
        key: str,
    ) -> None:
        pool = self._get_pool(TargetKind.service)
        headers = {
            'trestledock-team': self.configuration.teams[0].name,
            'idempotency-key': f'{self.with_long}-{key}',
        }
        url = f'{entry}/call/{pool.service}/order'
        try:
            response = await client.post(url, json={}, headers=headers)
        except httpx.HTTPError:
            self.result.count_outcome(BROKEN)
            return
        self.result.count_outcome(_get_outcome(response))

    async def _send_generation(
        self,
        client: httpx.AsyncClient,
        entry: str,
        key: str,
    ) -> None:
        tokens = self.rng.choice(SHORT_TOKENS)
        if self.with_long and self.rng.random() < LONG_SHARE:
            tokens = self.rng.choice(LONG_TOKENS)
        model = self._get_pool(TargetKind.engine).models[0]
        body = {
            'prompt': f'{key:_<4}' * tokens,
            'model': model.name,
            'adapter': model.adapter,
            'version': model.version,
            'max_tokens': MAX_TOKENS,
            'stream': True,
        }
        started_at = anyio.current_time()
        try:
            outcome = await self._read_stream(
                client, entry, body, tokens, started_at
            )
        except httpx.HTTPError:
            outcome = BROKEN
        self.result.count_outcome(outcome)

    async def _read_stream(
        self,
        client: httpx.AsyncClient,
        entry: str,
        body: dict,
        tokens: int,
        started_at: float,
    ) -> str:
        """Send a streaming request; return its outcome.

        Records the time to the first token.
        """
        headers = {
            'trestledock-team': self.configuration.teams[2].name,
            'trestledock-deadline-ms': str(DEADLINE_MS),
        }
        async with httpx_sse.aconnect_sse(
            client,
            'POST',
            f'{entry}/v1/completions',
            json=body,
            headers=headers,
        ) as source:
            if not source.response.is_success:
                await source.response.aread()
                return _get_outcome(source.response)
            async for event in source.aiter_sse():
                payload = json.loads(event.data)
                if payload.get('index') == FIRST_INDEX:
                    length_class = get_length_class_by_tokens(tokens).value
                    elapsed_s = anyio.current_time() - started_at
                    self.result.ttft.setdefault(length_class, []).append(
                        elapsed_s
                    )
                if 'outcome' in payload:
                    return str(payload['outcome'])
        return BROKEN

    def _get_pool(self, kind: TargetKind) -> Pool:
        return next(
            pool for pool in self.configuration.pools if pool.kind is kind
        )


def _get_outcome(response: httpx.Response) -> str:
    if response.is_success:
        return ANSWERED
    return response.json().get('type', BROKEN)
