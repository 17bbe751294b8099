"""
Engine model
============

A small model of an LLM engine: prefill by priority, one prefill chunk at a
time, continuous batching of streams, limited KV memory and a prefix cache.  It
has no clock and no sockets: callers pass the current time.  The command
`standin engine` serves it over HTTP; the simulations drive it on a virtual
clock.

A reservation (`hold` in the engine's API) keeps its memory until its stream
ends or it is cancelled.  The model never releases memory by itself, so a test
detects an entry that forgets to cancel a reservation.
"""

import hashlib
import heapq
from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

from trestledock.process import Job, LoadReport
from trestledock.request import Chunk

#: Number of priorities that load reports distinguish.
PRIORITY_COUNT = 5
#: Tokens per block of the prefix cache.
BLOCK_TOKENS = 512
#: Maximum number of cancelled reservations that are remembered, in order to
#: reject jobs for them that arrive late.
MAX_TOMBSTONES = 100_000
#: Rate at which KV cache is imported, in tokens per second.
IMPORT_RATE = 400_000.0
#: Relative increase of the time between tokens when the batch is full.
BATCH_SLOWDOWN = 1.0


class EventKind(str, Enum):
    """Kind of an event of a reservation.

    `prefill_done`: a job that only prefills is complete.  `chunk`: part of a
    stream was decoded.  `done`: the stream is complete.
    """

    prefill_done = 'piece_done'
    chunk = 'chunk'
    done = 'done'


@dataclass(frozen=True)
class EngineEvent:
    """An event of the reservation `hold` at the time `at`, in seconds."""

    at: float
    reservation_id: str
    kind: EventKind
    stop: int = 0
    chunk: Chunk | None = None
    count: int = 0


@dataclass(frozen=True)
class EngineSpec:
    """Capabilities and limits of an engine.

    `rate` is the prefill rate in tokens per second, `itl_s` the time between
    tokens (inter-token latency) of a single stream, and `stride` the maximum
    number of tokens in a chunk of a stream.
    """

    rate: float = 8_000
    itl_s: float = 0.02
    capacity_tokens: int = 400_000
    max_batch: int = 64
    cache_blocks: int = 2_000
    stride: int = 1
    checks_fencing: bool = False


class Rejected(Exception):
    """The engine did not start a job; the message gives the reason."""


@dataclass
class Reservation:
    """KV memory reserved for a request, with the state of its job."""

    reserved_tokens: int
    seed: str
    job: Job
    prefix: tuple[str, ...] = ()
    running: bool = False
    produced: list[Chunk] = field(default_factory=list)
    final_count: int | None = None


def get_token_text(seed: str, index: int) -> str:
    """Return the text of token `index` of the answer to a prompt."""
    digest = hashlib.blake2b(f'{seed}/{index}'.encode(), digest_size=3)
    return f'{digest.hexdigest()} '


@dataclass
class EngineModel:
    """One engine.

    Methods that depend on the time take it as `now`, in seconds, and first run
    the model up to then.  `holds` are the live reservations by id; `cancelled`
    are the ids of cancelled ones.  `accepted_tokens` counts the prefill tokens
    of all accepted jobs; `fencing` is the highest fencing number seen in an
    order; `used` is the reserved KV memory in tokens.  `cache_log` holds the
    cached (True) and evicted (False) blocks that are not yet published.
    """

    spec: EngineSpec
    models: frozenset[str] = frozenset()
    reservations: dict[str, Reservation] = field(default_factory=dict)
    finished: OrderedDict[str, Reservation] = field(default_factory=OrderedDict)
    cancelled: OrderedDict[str, None] = field(default_factory=OrderedDict)
    cache: OrderedDict[str, None] = field(default_factory=OrderedDict)
    cache_log: list[tuple[str, bool]] = field(default_factory=list)
    accepted_tokens: int = 0
    fencing: int = -1
    reserved_tokens: int = 0
    _prefill_queue: list[tuple[int, int, float, str]] = field(
        default_factory=list
    )
    _current_prefill: tuple[float, str] | None = None
    _streams: list[tuple[float, str, int]] = field(default_factory=list)
    _job_count: int = 0
    _model_time: float = 0
    _events: list[EngineEvent] = field(default_factory=list)

    @property
    def running(self) -> int:
        """Number of streams that are being decoded."""
        return sum(
            reservation.running for reservation in self.reservations.values()
        )

    def submit(
        self,
        job: Job,
        seed: str,
        prefix: tuple[str, ...],
        now: float,
    ) -> None:
        """Accept a job, or raise `Rejected` if it certainly was not started."""
        self._run_until(now)
        self._check_job(job)
        reservation = self.reservations.get(job.hold)
        if reservation is None:
            reservation = Reservation(job.reserve, seed, job, prefix)
            self.reservations[job.hold] = reservation
            self.reserved_tokens += job.reserve
        reservation.job = job
        tokens = job.stop - job.start
        if tokens == 0 and not job.generate:
            self._emit(now, job.hold, EventKind.prefill_done, stop=job.stop)
            return
        self.accepted_tokens += tokens
        self._job_count += 1
        prefill_s = self._get_prefill_s(reservation, job)
        entry = (job.priority, self._job_count, prefill_s, job.hold)
        heapq.heappush(self._prefill_queue, entry)
        self._start_next_prefill(now)

    def cancel(self, reservation_id: str, now: float) -> None:
        """Release a reservation; remember unknown ids as cancelled too."""
        self._run_until(now)
        self.cancelled[reservation_id] = None
        while len(self.cancelled) > MAX_TOMBSTONES:
            self.cancelled.popitem(last=False)
        self._release(reservation_id)

    def load_models(self, models: frozenset[str], fencing: int) -> bool:
        """Load exactly these models; return False if the order is outdated."""
        accepted = self.accept_fencing(fencing)
        if accepted:
            self.models = models
        return accepted

    def accept_fencing(self, fencing: int) -> bool:
        """Record the fencing number of an order; return False if outdated."""
        if self.spec.checks_fencing and fencing < self.fencing:
            return False
        self.fencing = max(self.fencing, fencing)
        return True

    def advance(self, now: float) -> list[EngineEvent]:
        """Run until `now`; return the events since the last call."""
        self._run_until(now)
        events = self._events
        self._events = []
        return events

    def get_next_event_at(self) -> float:
        """Return the time of the next event, or infinity if there is none."""
        event_times = (
            [self._current_prefill[0]] if self._current_prefill else []
        )
        if self._streams:
            event_times.append(self._streams[0][0])
        if self._events:
            event_times.append(self._model_time)
        return min(event_times, default=float('inf'))

    def report(self, now: float, age_s: float = 0) -> LoadReport:
        """Return the load report as of `now`."""
        self._run_until(now)
        queued_tokens = [0 for _ in range(PRIORITY_COUNT)]
        waiting = [(entry[0], entry[2]) for entry in self._prefill_queue]
        if self._current_prefill:
            reservation = self.reservations.get(self._current_prefill[1])
            remaining_s = self._current_prefill[0] - now
            waiting.append(
                (reservation.job.priority if reservation else 0, remaining_s)
            )
        for priority, prefill_s in waiting:
            queued_tokens[priority] += int(prefill_s * self.spec.rate)
        return LoadReport(
            age_s=age_s,
            queued=tuple(queued_tokens),
            free_tokens=self.spec.capacity_tokens - self.reserved_tokens,
            capacity_tokens=self.spec.capacity_tokens,
            rate=self.spec.rate,
            itl_s=self._get_itl(),
            accepted_tokens=self.accepted_tokens,
            running=self.running,
            models=tuple(sorted(self.models)),
            fencing=self.fencing,
        )

    def _check_job(self, job: Job) -> None:
        if job.hold in self.cancelled:
            raise Rejected('the hold was cancelled')
        if str(job.model) not in self.models:
            raise Rejected('the model is not loaded')
        if job.hold in self.reservations:
            return
        if job.hold in self.finished:
            raise Rejected('the hold is finished')
        if self.reserved_tokens + job.reserve > self.spec.capacity_tokens:
            raise Rejected('not enough memory')
        if job.generate and self.running >= self.spec.max_batch:
            raise Rejected('the batch is full')

    def _get_prefill_s(self, reservation: Reservation, job: Job) -> float:
        tokens = job.stop - job.start
        cached_tokens = 0
        for count, block in enumerate(reservation.prefix, start=1):
            if block not in self.cache:
                break
            self.cache.move_to_end(block)
            cached_tokens = count * BLOCK_TOKENS
        saved_tokens = min(
            tokens - 1, max(0, min(cached_tokens, job.stop) - job.start)
        )
        prefill_s = (tokens - max(0, saved_tokens)) / self.spec.rate
        if job.source:
            prefill_s += job.start / IMPORT_RATE
        return prefill_s

    def _get_itl(self) -> float:
        batch_share = self.running / self.spec.max_batch
        return self.spec.itl_s * (1 + BATCH_SLOWDOWN * batch_share)

    def _run_until(self, now: float) -> None:
        while True:
            prefill_end_at = (
                self._current_prefill[0]
                if self._current_prefill
                else float('inf')
            )
            next_token_at = (
                self._streams[0][0] if self._streams else float('inf')
            )
            if min(prefill_end_at, next_token_at) > now:
                break
            if prefill_end_at <= next_token_at:
                self._finish_prefill()
            else:
                self._decode_next()
        self._model_time = max(self._model_time, now)

    def _start_next_prefill(self, now: float) -> None:
        while self._current_prefill is None and self._prefill_queue:
            _, _, prefill_s, reservation_id = heapq.heappop(self._prefill_queue)
            if reservation_id in self.reservations:
                self._current_prefill = (now + prefill_s, reservation_id)

    def _finish_prefill(self) -> None:
        if self._current_prefill is None:
            return
        at, reservation_id = self._current_prefill
        self._current_prefill = None
        reservation = self.reservations.get(reservation_id)
        if reservation:
            self._fill_cache(reservation)
            if reservation.job.generate:
                reservation.running = True
                entry = (at, reservation_id, reservation.job.first_index)
                heapq.heappush(self._streams, entry)
            else:
                stop = reservation.job.stop
                self._emit(
                    at, reservation_id, EventKind.prefill_done, stop=stop
                )
        self._start_next_prefill(at)

    def _decode_next(self) -> None:
        at, reservation_id, index = heapq.heappop(self._streams)
        reservation = self.reservations.get(reservation_id)
        if reservation is None:
            return
        end = reservation.job.first_index + reservation.job.max_tokens
        tokens = min(self.spec.stride, end - index) if index else 1
        chunk = Chunk(index, get_token_text(reservation.seed, index), tokens)
        reservation.produced.append(chunk)
        self._emit(at, reservation_id, EventKind.chunk, chunk=chunk)
        next_index = index + tokens
        if next_index >= end:
            reservation.final_count = end
            self._emit(at, reservation_id, EventKind.done, count=end)
            self.finished[reservation_id] = reservation
            while len(self.finished) > self.spec.max_batch:
                self.finished.popitem(last=False)
            self._release(reservation_id)
            return
        next_tokens = min(self.spec.stride, end - next_index)
        due_at = at + self._get_itl() * next_tokens
        heapq.heappush(self._streams, (due_at, reservation_id, next_index))

    def _release(self, reservation_id: str) -> None:
        reservation = self.reservations.pop(reservation_id, None)
        if reservation:
            self.reserved_tokens -= reservation.reserved_tokens
            reservation.running = False

    def _fill_cache(self, reservation: Reservation) -> None:
        count = reservation.job.stop // BLOCK_TOKENS
        for block in reservation.prefix[:count]:
            if block not in self.cache:
                self.cache_log.append((block, True))
            self.cache[block] = None
            self.cache.move_to_end(block)
        while len(self.cache) > self.spec.cache_blocks:
            evicted, _ = self.cache.popitem(last=False)
            self.cache_log.append((evicted, False))

    def _emit(
        self,
        at: float,
        reservation_id: str,
        kind: EventKind,
        stop: int = 0,
        chunk: Chunk | None = None,
        count: int = 0,
    ) -> None:
        self._events.append(
            EngineEvent(at, reservation_id, kind, stop, chunk, count)
        )
