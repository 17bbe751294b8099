"""
Callers
=======

What the callers of a run do: they send generations and calls at a steady
rate through instances drawn at random, and repeat a call under the same key
through another instance when its answer was lost, unknown or refused.
"""

from dataclasses import dataclass, field
from typing import Callable

from trestledock.process import Finish
from trestledock.proof._hosts import DEADLY, Host
from trestledock.proof._world import World
from trestledock.request import Kind, Model, Outcome, Reason, Request

#: How often a key is tried again at the most.
MAX_REPEATS = 3
#: What a caller does not repeat: it asks a person instead.
FINAL_REASONS = frozenset((Reason.claim_state_lost, Reason.claim_taken))
#: The least wait before a repeat, in seconds.
REPEAT_S = 0.5

MODEL = Model('ledger', version='1')


@dataclass(frozen=True)
class Traffic:
    """A steady stream of requests of one kind."""

    kind: Kind
    rate: float
    start: float
    stop: float
    team: str = 'assistant'
    tokens: tuple[int, ...] = (1000,)
    max_tokens: int = 16
    deadline_s: float = 15
    home: str = ''
    first_attempt: bool = False
    deadly: bool = False


@dataclass
class Callers:
    """All callers of a run."""

    world: World
    data_centres: tuple[str, ...]
    repeats: dict[str, int] = field(default_factory=dict)
    sent: dict[str, tuple[Traffic, Request]] = field(default_factory=dict)
    _count: int = 0

    def __post_init__(self) -> None:
        """Listen for the ends of requests."""
        self.world.on_finish = self._take_finish
        self.world.on_broken = self._take_broken

    def begin(self, traffic: Traffic) -> None:
        """Send a stream of requests."""
        moment = traffic.start
        while moment < traffic.stop:
            self._count += 1
            number = self._count
            self.world.at(moment, self._make_sender(traffic, number))
            moment += self.world.rng.expovariate(traffic.rate)

    def _make_sender(
        self,
        traffic: Traffic,
        number: int,
    ) -> Callable[[], None]:
        return lambda: self._send(traffic, f'k{number}', 0)

    def _send(self, traffic: Traffic, key: str, repeat: int) -> None:
        world = self.world
        host = self._draw_host(key, repeat)
        rng = world.rng
        is_call = traffic.kind is Kind.call
        home = traffic.home or rng.choice(self.data_centres)
        if is_call and not traffic.home:
            home = _get_home(key, self.data_centres)
        req = Request(
            req_id=f'{key}.{repeat}',
            team=traffic.team,
            kind=traffic.kind,
            deadline=world.now + traffic.deadline_s,
            model=MODEL,
            service='booking' if is_call else '',
            path='topup' if is_call else '',
            prompt_tokens=0 if is_call else rng.choice(traffic.tokens),
            max_tokens=0 if is_call else traffic.max_tokens,
            idempotent=not is_call,
            idempotency_key=key if is_call else '',
            home=home,
            first_attempt=traffic.first_attempt and not repeat,
            fingerprint=DEADLY if traffic.deadly else key,
        )
        self.sent[req.req_id] = (traffic, req)
        world.invoke(host, req, seed=key)

    def _draw_host(self, key: str, repeat: int) -> Host:
        ready = [
            host
            for host in self.world.hosts.values()
            if host.alive and host.node.is_ready()
        ]
        hosts = ready or list(self.world.hosts.values())
        return self.world.rng.choice(hosts)

    def _take_finish(self, finish: Finish) -> None:
        answered = finish.verdict.outcome is Outcome.answered
        if not answered and finish.verdict.reason not in FINAL_REASONS:
            self._repeat(finish.req.req_id, finish.verdict.retry_after)

    def _take_broken(self, req_id: str) -> None:
        self._repeat(req_id, 0)

    def _repeat(self, req_id: str, wait_s: float) -> None:
        traffic, req = self.sent[req_id]
        key = req.idempotency_key
        count = self.repeats.get(key, 0)
        if not key or count >= MAX_REPEATS:
            return
        self.repeats[key] = count + 1
        moment = self.world.now + max(REPEAT_S, wait_s)
        self.world.at(moment, lambda: self._send(traffic, key, count + 1))


def _get_home(key: str, data_centres: tuple[str, ...]) -> str:
    number = sum(key.encode())
    return data_centres[number % len(data_centres)]
