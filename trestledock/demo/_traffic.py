"""
Demo traffic
============

Sends mixed traffic to a deployment for some seconds and records what became
of every request.
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
#: Prompt tokens, and how often each is drawn.
SHORT_TOKENS = (500, 1500, 4000)
LONG_TOKENS = (20_000, 60_000, 180_000)
LONG_SHARE = 0.12
CALL_SHARE = 0.3
MAX_TOKENS = 12
DEADLINE_MS = 30_000
MAX_CONNECTIONS = 500
ANSWERED = 'answered'
BROKEN = 'broken'
FIRST = 0


@dataclass
class Tally:
    """What became of the requests of one phase."""

    sent: int = 0
    outcomes: dict[str, int] = field(default_factory=dict)
    ttft: dict[str, list[float]] = field(default_factory=dict)

    def count(self, outcome: str) -> None:
        """Count the one outcome of a request."""
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1


@dataclass
class Generator:
    """The caller of a phase."""

    cfg: Configuration
    entries: list[str]
    rng: Random
    with_long: bool
    tally: Tally = field(default_factory=Tally)

    async def run(
        self,
        rate: float,
        seconds: float,
        on_sent: Callable[[], None],
    ) -> Tally:
        """Send requests at a rate, then wait for every answer."""
        limits = httpx.Limits(max_connections=MAX_CONNECTIONS)
        async with (
            httpx.AsyncClient(limits=limits, timeout=60) as client,
            anyio.create_task_group() as group,
        ):
            for number in range(int(rate * seconds)):
                self.tally.sent += 1
                send = self._generate
                if self.rng.random() < CALL_SHARE:
                    send = self._call
                entry = self.rng.choice(self.entries)
                group.start_soon(send, client, entry, f'k{number}')
                on_sent()
                await anyio.sleep(self.rng.expovariate(rate))
        return self.tally

    async def _call(
        self,
        client: httpx.AsyncClient,
        entry: str,
        key: str,
    ) -> None:
        pool = self._get_pool(TargetKind.service)
        headers = {
            'trestledock-team': self.cfg.teams[0].name,
            'idempotency-key': f'{self.with_long}-{key}',
        }
        url = f'{entry}/call/{pool.service}/order'
        try:
            answer = await client.post(url, json={}, headers=headers)
        except httpx.HTTPError:
            self.tally.count(BROKEN)
            return
        self.tally.count(_get_outcome(answer))

    async def _generate(
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
        started = anyio.current_time()
        try:
            outcome = await self._stream(client, entry, body, tokens, started)
        except httpx.HTTPError:
            outcome = BROKEN
        self.tally.count(outcome)

    async def _stream(
        self,
        client: httpx.AsyncClient,
        entry: str,
        body: dict,
        tokens: int,
        started: float,
    ) -> str:
        headers = {
            'trestledock-team': self.cfg.teams[2].name,
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
                plain = json.loads(event.data)
                if plain.get('index') == FIRST:
                    name = get_length_class_by_tokens(tokens).value
                    waited = anyio.current_time() - started
                    self.tally.ttft.setdefault(name, []).append(waited)
                if 'outcome' in plain:
                    return str(plain['outcome'])
        return BROKEN

    def _get_pool(self, kind: TargetKind) -> Pool:
        return next(pool for pool in self.cfg.pools if pool.kind is kind)


def _get_outcome(answer: httpx.Response) -> str:
    if answer.is_success:
        return ANSWERED
    return answer.json().get('type', BROKEN)
