"""
Callers
=======

Each caller keeps its connection for as long as it may and asks for one thing
after the other; some leave before they have their answer.
"""

import time
from dataclasses import dataclass, field
from itertools import count
from random import Random
from typing import Callable

import anyio
import httpx

from tests.soak.entries import Entry
from tests.soak.ledger import Ask, Attempt, Ledger
from tests.soak.targets import count_events, get_body, make_event

HOST = 'a.example'
#: Paths by kind of request; the configuration has a route for each.
KINDS = {
    'short': ('/notes/x', 'streaming', 'engines'),
    'long': ('/ledgers/x', 'streaming', 'engines'),
    'giant': ('/giants/x', 'streaming', 'engines'),
    'book': ('/book/x', 'non_idempotent', 'booking'),
    'look': ('/look/x', 'idempotent', 'booking'),
}
WEIGHTS = {'short': 10, 'long': 2, 'giant': 1, 'book': 6, 'look': 6}
#: Prompt and output tokens, at least and at most, by kind of request.
SIZES = {
    'short': ((1000, 9000), (300, 1500)),
    'long': ((40_000, 120_000), (200, 800)),
    'giant': ((240_000, 500_000), (200, 600)),
}
TIMEOUT_S = {'short': 8, 'long': 8, 'giant': 10, 'book': 3, 'look': 3}
#: Share of requests whose caller leaves, and when at most, in seconds.
LEAVE_SHARE = 0.05
LEAVE_S = 0.6
#: Share of requests with a key that was taken away before.
REVOKED_SHARE = 0.15
#: Pause between two requests of a caller, in seconds.
THINK_S = (0.02, 0.3)
END = b'\n\n'


@dataclass
class Keys:
    """The teams of the keys in force, and of those taken away."""

    by_key: dict[str, str] = field(default_factory=dict)
    revoked: dict[str, str] = field(default_factory=dict)

    def pick(self, rng: Random) -> tuple[str, str]:
        """Return a key in force and its team."""
        return rng.choice(sorted(self.by_key.items()))

    def pick_any(self, rng: Random) -> tuple[str, str]:
        """Return a key as callers use them, at times one taken away."""
        if self.revoked and rng.random() < REVOKED_SHARE:
            return rng.choice(sorted(self.revoked.items()))
        return self.pick(rng)

    def revoke(self, rng: Random) -> str:
        """Replace a key by another; return the one taken away."""
        key, team = self.pick(rng)
        self.revoked[key] = self.by_key.pop(key)
        self.by_key[f'{key}+'] = team
        return key


@dataclass
class Caller:
    """One caller with at most one open connection."""

    name: str
    entries: list[Entry]
    ledger: Ledger
    keys: Keys
    rng: Random
    is_over: Callable[[], bool]

    async def run(self) -> None:
        """Ask until the run is over."""
        numbers = count()
        while not self.is_over():
            entry = self._pick_entry()
            if entry is None:
                await anyio.sleep(0.1)
                continue
            limits = httpx.Limits(max_connections=1)
            async with httpx.AsyncClient(limits=limits, timeout=None) as client:
                kept = True
                while kept and not self.is_over():
                    ask = self._draw(f'{self.name}-{next(numbers)}')
                    kept = await self._ask(client, entry, ask)
                    await anyio.sleep(self.rng.uniform(*THINK_S))

    def _pick_entry(self) -> Entry | None:
        ready = [one for one in self.entries if one.in_rotation]
        return self.rng.choice(ready) if ready else None

    def _draw(self, req_id: str) -> Ask:
        kind = self.rng.choices(list(WEIGHTS), list(WEIGHTS.values()))[0]
        key, team = self.keys.pick_any(self.rng)
        path, route_kind, service = KINDS[kind]
        sizes = ''
        if kind in SIZES:
            prompt, output = (self.rng.randint(*one) for one in SIZES[kind])
            sizes = f'{prompt},{output}'
        return Ask(
            req_id=req_id,
            kind=route_kind,
            key=key,
            team=team,
            service=service,
            path=path,
            sizes=sizes,
            events=count_events(sizes) if sizes else 0,
            timeout_s=TIMEOUT_S[kind],
        )

    async def _ask(
        self, client: httpx.AsyncClient, entry: Entry, ask: Ask
    ) -> bool:
        """Send one request; return whether the connection may be kept."""
        attempt = Attempt(ask, entry.name, time.monotonic())
        self.ledger.attempts[ask.req_id] = attempt
        leaving = self.rng.random() < LEAVE_SHARE
        wait_s = ask.timeout_s + 2
        if leaving:
            wait_s = self.rng.uniform(0, LEAVE_S)
        kept = False
        with anyio.move_on_after(wait_s) as scope:
            try:
                kept = await self._exchange(client, entry, attempt)
            except httpx.HTTPError:
                attempt.whole = False
        now = time.monotonic()
        if scope.cancelled_caught and leaving:
            attempt.left_at = now
        elif not scope.cancelled_caught:
            attempt.ended_at = now
        return kept and not scope.cancelled_caught

    async def _exchange(
        self, client: httpx.AsyncClient, entry: Entry, attempt: Attempt
    ) -> bool:
        ask = attempt.ask
        headers = {
            'Host': HOST,
            'Trestledock-Request-Id': ask.req_id,
            'Trestledock-Request-Deadline': str(ask.timeout_s * 1000),
            'Authorization': f'Bearer {ask.key}',
        }
        if ask.sizes:
            headers['Trestledock-Model'] = 'm'
            headers['Trestledock-Token-Counts'] = ask.sizes
        method = 'GET' if ask.kind == 'idempotent' else 'POST'
        async with client.stream(
            method, f'{entry.front}{ask.path}', headers=headers
        ) as answer:
            attempt.status = answer.status_code
            attempt.seal = answer.headers.get('Trestledock-Response-Seal', '')
            await self._take(answer, attempt)
            closing = answer.headers.get('Connection', '').lower() == 'close'
        return not closing

    async def _take(self, answer: httpx.Response, attempt: Attempt) -> None:
        body = b''
        async for raw in answer.aiter_raw():
            body += raw
            if answer.is_success and attempt.ask.events:
                body = _take_events(attempt, body)
        attempt.whole = True
        if answer.is_success and not attempt.ask.events:
            target = attempt.seal.partition('.')[0]
            if body != get_body(target, attempt.ask.req_id):
                attempt.problem = f'body {body[:40]!r}'
        elif answer.is_success and body:
            attempt.problem = f'left over {body[:40]!r}'


def _take_events(attempt: Attempt, body: bytes) -> bytes:
    """Check whole events; return the bytes of the one that is not whole."""
    *whole, rest = body.split(END)
    for raw in whole:
        expected = make_event(attempt.ask.req_id, attempt.last_event + 1)
        if b''.join((raw, END)) != expected:
            attempt.problem = attempt.problem or f'event {raw[:40]!r}'
        attempt.last_event += 1
    return rest
