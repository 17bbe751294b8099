"""Simulation of requests that share parts, at targets that crash.

All instances share one quarantine at once.  A request that loses its target is
sent to another one, once, as long as it is not quarantined.
"""

from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random

from trestledock.entry._runs import MIN_WRITING_S
from trestledock.relay import Crash, Quarantine

#: Delays from the sending to the first event, from there to a crash, and until
#: a crashed target is back, in seconds.
PREFILL_S, CRASH_S, RESTART_S = 0.2, 0.05, 2.0
#: The interval in which targets may crash for reasons of their own, in seconds.
TICK_S = 0.1
DEADLY = 'part:d'
SENDS = 2


@dataclass(frozen=True)
class Load:
    """What callers send, and how often targets crash by themselves.

    Rates are per second, and crash rates per target.  Requests with the deadly
    part come from `since` on.  A wave is the share of targets that crash at the
    same moment, every `wave_s` seconds.
    """

    targets: int = 18
    slots: int = 8
    sound_rate: float = 20
    deadly_rate: float = 3
    mean_s: float = 1.0
    crash_rate: float = 0
    wave: float = 0
    wave_s: float = 4.0
    since: float = 4.0
    until: float = 24.0
    deadly_place: int = 1
    deadly: int = 1
    first_parts: int = 3
    documents: int = 40


@dataclass(eq=False)
class Request:
    """A request with its names; one that is deadly crashes its targets."""

    names: tuple
    is_deadly: bool
    duration_s: float
    sends: int = 0
    target: int = -1
    began_at: float | None = None


@dataclass
class Result:
    """Requests by what became of them, and the crashes under the part."""

    sound: int = 0
    refused: int = 0
    late_sound: int = 0
    late_refused: int = 0
    deadly_at: list = field(default_factory=list)
    crashes_at: list = field(default_factory=list)

    def count_late(self, after_s=3.0):
        """Return how often the part was sent so long after its fifth crash."""
        if len(self.crashes_at) < 5:
            return 0
        known_at = self.crashes_at[4] + after_s
        return sum(at > known_at for at in self.deadly_at)


class Simulation:
    """One run; the same seed draws the same requests and crashes."""

    def __init__(self, load, seed, quarantine=None):
        self.load = load
        self.rng = Random(seed)
        self.quarantine = quarantine or Quarantine()
        self.result = Result()
        self.running = [set() for _ in range(load.targets)]
        self.births = [0 for _ in range(load.targets)]
        self.down_until = [0.0 for _ in range(load.targets)]
        self.events = []
        self.order = count()
        self.now = 0.0

    def run(self):
        self._schedule(0, self._arrive, False)
        self._schedule(0, self._tick)
        if self.load.deadly_rate:
            self._schedule(self.load.since, self._arrive, True)
        while self.events:
            self.now, _, step, args = heappop(self.events)
            if self.now > self.load.until:
                break
            step(*args)
        return self.result

    def _schedule(self, delay_s, step, *args):
        at = self.now + delay_s
        heappush(self.events, (at, next(self.order), step, args))

    def _arrive(self, is_deadly):
        load = self.load
        rate = load.deadly_rate if is_deadly else load.sound_rate
        self._schedule(self.rng.expovariate(rate), self._arrive, is_deadly)
        number = next(self.order)
        first = min(int(self.rng.expovariate(1)), load.first_parts - 1)
        parts = [f'part:a{first}', f'part:b{self._draw_document()}']
        if is_deadly:
            parts.insert(load.deadly_place, f'{DEADLY}{number % load.deadly}')
        duration_s = self.rng.expovariate(1 / load.mean_s)
        self._send(Request((f'f{number}', *parts), is_deadly, duration_s))

    def _draw_document(self):
        return int(self.load.documents * self.rng.random() ** 3)

    def _send(self, request):
        self._count_sound(request)
        if self.quarantine.refuses(request.names):
            self._count_refused(request)
            return
        up = [
            target
            for target, until in enumerate(self.down_until)
            if until <= self.now
        ]
        if not up:
            return
        fewest = min(len(self.running[target]) for target in up)
        request.target = self.rng.choice(
            [one for one in up if len(self.running[one]) == fewest]
        )
        request.sends += 1
        request.began_at = None
        self.running[request.target].add(request)
        if request.is_deadly:
            self.result.deadly_at.append(self.now)
        send = (request, request.sends)
        self._schedule(PREFILL_S, self._begin, *send)

    def _count_sound(self, request):
        if request.is_deadly or request.sends:
            return
        self.result.sound += 1
        self.result.late_sound += self._is_late()

    def _count_refused(self, request):
        if request.is_deadly or request.sends:
            return
        self.result.refused += 1
        self.result.late_refused += self._is_late()

    def _is_late(self):
        """Return whether six seconds have passed since the fifth crash."""
        crashes_at = self.result.crashes_at[:5]
        return bool(crashes_at) and self.now > crashes_at[-1] + 6

    def _begin(self, request, sends):
        if not self._is_running(request, sends):
            return
        request.began_at = self.now
        if request.is_deadly:
            self._schedule(CRASH_S, self._crash_by, request, sends)
        else:
            self._schedule(request.duration_s, self._end, request, sends)

    def _end(self, request, sends):
        if self._is_running(request, sends):
            self.running[request.target].discard(request)
            for name in request.names:
                self.quarantine.record_answer(name, request.began_at)

    def _is_running(self, request, sends):
        is_current = request.sends == sends
        return is_current and request in self.running[request.target]

    def _crash_by(self, request, sends):
        if self._is_running(request, sends):
            self.result.crashes_at.append(self.now)
            self._crash(request.target)

    def _crash(self, target):
        if self.down_until[target] > self.now:
            return
        self.births[target] += 1
        self.down_until[target] = self.now + RESTART_S
        lost, self.running[target] = self.running[target], set()
        for request in sorted(lost, key=lambda one: one.names):
            for name in request.names if self._is_suspect(request) else ():
                crash = Crash(name, f't{target}@{self.births[target]}')
                self.quarantine.record_crash(crash, self.now)
            self.quarantine.record_request(request.names)
            if request.sends < SENDS:
                self._schedule(0.01, self._send, request)

    def _is_suspect(self, request):
        """Return whether an answer has not gone on for a while."""
        began_at = request.began_at
        return began_at is None or self.now - began_at < MIN_WRITING_S

    def _set_proofs(self):
        wanted = set(self.quarantine.get_candidates())
        proofs = {}
        for request in set().union(*self.running):
            if not self._is_suspect(request):
                for name in wanted.intersection(request.names):
                    began_at = max(request.began_at, proofs.get(name, 0))
                    proofs[name] = began_at
        self.quarantine.set_proofs(proofs)

    def _tick(self):
        self._schedule(TICK_S, self._tick)
        self._set_proofs()
        load = self.load
        is_wave = load.wave and self.now % load.wave_s < TICK_S
        share = load.wave if is_wave else load.crash_rate * TICK_S
        for target in range(load.targets):
            if self.rng.random() < share:
                self._crash(target)
