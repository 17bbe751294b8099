"""
Simulated callers
=================

Callers send generations and calls at a steady rate through random instances.
They retry a call, with the same idempotency key and through a random instance,
if its answer was lost, unknown or a refusal.
"""

from dataclasses import dataclass, field
from typing import Callable

from trestledock.process import Finish
from trestledock.proof._hosts import CRASHING_FINGERPRINT, Host
from trestledock.proof._world import World
from trestledock.request import Kind, Model, Outcome, Reason, Request

#: The most retries for a key.
MAX_RETRIES = 3
#: The reasons after which a caller does not retry, but asks a person.
FINAL_REASONS = frozenset((Reason.claim_state_lost, Reason.claim_taken))
#: The least delay before a retry, in seconds.
MIN_RETRY_DELAY_S = 0.5

MODEL = Model('ledger', version='1')


@dataclass(frozen=True)
class Traffic:
    """A steady stream of requests of one kind.

    With `crashes_engines`, the requests crash the engines that run them.
    """

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
    crashes_engines: bool = False


@dataclass
class Callers:
    """The callers of a run.

    `sent` has all requests by their ids.
    """

    world: World
    data_centres: tuple[str, ...]
    retry_counts: dict[str, int] = field(default_factory=dict)
    sent: dict[str, tuple[Traffic, Request]] = field(default_factory=dict)
    _count: int = 0

    def __post_init__(self) -> None:
        """Register for the ends of requests."""
        self.world.on_finish = self._handle_finish
        self.world.on_broken = self._handle_broken

    def start_traffic(self, traffic: Traffic) -> None:
        """Schedule the requests of a stream."""
        instant = traffic.start
        while instant < traffic.stop:
            self._count += 1
            number = self._count
            self.world.schedule(instant, self._make_sender(traffic, number))
            instant += self.world.rng.expovariate(traffic.rate)

    def _make_sender(
        self,
        traffic: Traffic,
        number: int,
    ) -> Callable[[], None]:
        return lambda: self._send(traffic, f'k{number}', 0)

    def _send(self, traffic: Traffic, key: str, retry: int) -> None:
        world = self.world
        host = self._choose_host(key, retry)
        rng = world.rng
        is_call = traffic.kind is Kind.call
        home = traffic.home or rng.choice(self.data_centres)
        if is_call and not traffic.home:
            home = _get_home(key, self.data_centres)
        req = Request(
            req_id=f'{key}.{retry}',
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
            first_attempt=traffic.first_attempt and not retry,
            fingerprint=(
                CRASHING_FINGERPRINT if traffic.crashes_engines else key
            ),
        )
        self.sent[req.req_id] = (traffic, req)
        world.invoke(host, req, seed=key)

    def _choose_host(self, key: str, retry: int) -> Host:
        ready = [
            host
            for host in self.world.hosts.values()
            if host.alive and host.node.is_ready()
        ]
        hosts = ready or list(self.world.hosts.values())
        return self.world.rng.choice(hosts)

    def _handle_finish(self, finish: Finish) -> None:
        answered = finish.verdict.outcome is Outcome.answered
        if not answered and finish.verdict.reason not in FINAL_REASONS:
            self._retry(finish.req.req_id, finish.verdict.retry_after)

    def _handle_broken(self, req_id: str) -> None:
        self._retry(req_id, 0)

    def _retry(self, req_id: str, delay_s: float) -> None:
        traffic, req = self.sent[req_id]
        key = req.idempotency_key
        count = self.retry_counts.get(key, 0)
        if not key or count >= MAX_RETRIES:
            return
        self.retry_counts[key] = count + 1
        instant = self.world.now + max(MIN_RETRY_DELAY_S, delay_s)
        self.world.schedule(
            instant, lambda: self._send(traffic, key, count + 1)
        )


def _get_home(key: str, data_centres: tuple[str, ...]) -> str:
    number = sum(key.encode())
    return data_centres[number % len(data_centres)]
