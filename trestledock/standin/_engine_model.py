"""
Engine model
============

A small model of a model engine: prefill by priority, one piece at a time,
continuous batching of streams, limited KV memory and a prefix cache.  It has
no clock and no sockets; `standin engine` serves it over HTTP and the replay
drives it on one clock.

A hold keeps its memory until its stream ends or it is cancelled; the model
never frees memory by itself, so that whoever forgets a hold is found out.
"""

import hashlib
import heapq
from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

from trestledock.process import Job, LoadReport
from trestledock.request import Chunk

#: Priorities that are told apart in reports.
PRIORITIES = 5
#: Tokens in a cached block.
BLOCK_TOKENS = 512
#: Cancelled holds that are remembered, to refuse late jobs for them.
MAX_TOMBSTONES = 100_000
#: Tokens a second that KV cache is imported at.
IMPORT_RATE = 400_000.0
#: How much a full batch slows each stream.
BATCH_SLOWDOWN = 1.0


class EventKind(str, Enum):
    """What an engine reports of a hold."""

    piece_done = 'piece_done'
    chunk = 'chunk'
    done = 'done'


@dataclass(frozen=True)
class EngineEvent:
    """Something that happened to a hold at the instant `at`."""

    at: float
    hold: str
    kind: EventKind
    stop: int = 0
    chunk: Chunk | None = None
    count: int = 0


@dataclass(frozen=True)
class EngineSpec:
    """What an engine can do; rates in tokens a second."""

    rate: float = 8_000
    itl_s: float = 0.02
    capacity_tokens: int = 400_000
    max_batch: int = 64
    cache_blocks: int = 2_000
    stride: int = 1
    checks_fencing: bool = False


class Rejected(Exception):
    """The engine did not start a job; the text says why."""


@dataclass
class Hold:
    """What an engine keeps for a hold."""

    reserve: int
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
    """One engine; every method takes the present instant."""

    spec: EngineSpec
    models: frozenset[str] = frozenset()
    holds: dict[str, Hold] = field(default_factory=dict)
    finished: OrderedDict[str, Hold] = field(default_factory=OrderedDict)
    cancelled: OrderedDict[str, None] = field(default_factory=OrderedDict)
    cache: OrderedDict[str, None] = field(default_factory=OrderedDict)
    cache_log: list[tuple[str, bool]] = field(default_factory=list)
    accepted_tokens: int = 0
    fencing: int = -1
    used: int = 0
    _queue: list[tuple[int, int, float, str]] = field(default_factory=list)
    _current: tuple[float, str] | None = None
    _streams: list[tuple[float, str, int]] = field(default_factory=list)
    _count: int = 0
    _clock: float = 0
    _events: list[EngineEvent] = field(default_factory=list)

    @property
    def running(self) -> int:
        """How many streams are being decoded."""
        return sum(hold.running for hold in self.holds.values())

    def submit(
        self,
        job: Job,
        seed: str,
        prefix: tuple[str, ...],
        now: float,
    ) -> None:
        """Take a job or raise `Rejected`, which proves it did not start."""
        self._run_until(now)
        self._check(job)
        hold = self.holds.get(job.hold)
        if hold is None:
            hold = Hold(job.reserve, seed, job, prefix)
            self.holds[job.hold] = hold
            self.used += job.reserve
        hold.job = job
        tokens = job.stop - job.start
        if tokens == 0 and not job.generate:
            self._emit(now, job.hold, EventKind.piece_done, stop=job.stop)
            return
        self.accepted_tokens += tokens
        self._count += 1
        work_s = self._get_work(hold, job)
        entry = (job.priority, self._count, work_s, job.hold)
        heapq.heappush(self._queue, entry)
        self._start_next(now)

    def cancel(self, hold_id: str, now: float) -> None:
        """Free a hold; unknown ids are remembered as cancelled, too."""
        self._run_until(now)
        self.cancelled[hold_id] = None
        while len(self.cancelled) > MAX_TOMBSTONES:
            self.cancelled.popitem(last=False)
        self._free(hold_id)

    def order(self, models: frozenset[str], fencing: int) -> bool:
        """Load exactly these models; False where the number is old."""
        taken = self.take_number(fencing)
        if taken:
            self.models = models
        return taken

    def take_number(self, fencing: int) -> bool:
        """Take the fencing number of an order; False where it is too old."""
        if self.spec.checks_fencing and fencing < self.fencing:
            return False
        self.fencing = max(self.fencing, fencing)
        return True

    def advance(self, now: float) -> list[EngineEvent]:
        """Run until `now`; return what has happened since the last call."""
        self._run_until(now)
        events = self._events
        self._events = []
        return events

    def get_next(self) -> float:
        """Return the instant of the next event."""
        moments = [self._current[0]] if self._current else []
        if self._streams:
            moments.append(self._streams[0][0])
        if self._events:
            moments.append(self._clock)
        return min(moments, default=float('inf'))

    def report(self, now: float, age_s: float = 0) -> LoadReport:
        """Return the load as of `now`."""
        self._run_until(now)
        queued = [0 for _ in range(PRIORITIES)]
        waiting = [(entry[0], entry[2]) for entry in self._queue]
        if self._current:
            hold = self.holds.get(self._current[1])
            left_s = self._current[0] - now
            waiting.append((hold.job.priority if hold else 0, left_s))
        for priority, work_s in waiting:
            queued[priority] += int(work_s * self.spec.rate)
        return LoadReport(
            age_s=age_s,
            queued=tuple(queued),
            free_tokens=self.spec.capacity_tokens - self.used,
            capacity_tokens=self.spec.capacity_tokens,
            rate=self.spec.rate,
            itl_s=self._get_itl(),
            accepted_tokens=self.accepted_tokens,
            running=self.running,
            models=tuple(sorted(self.models)),
            fencing=self.fencing,
        )

    def _check(self, job: Job) -> None:
        if job.hold in self.cancelled:
            raise Rejected('the hold was cancelled')
        if str(job.model) not in self.models:
            raise Rejected('the model is not loaded')
        if job.hold in self.holds:
            return
        if job.hold in self.finished:
            raise Rejected('the hold is finished')
        if self.used + job.reserve > self.spec.capacity_tokens:
            raise Rejected('not enough memory')
        if job.generate and self.running >= self.spec.max_batch:
            raise Rejected('the batch is full')

    def _get_work(self, hold: Hold, job: Job) -> float:
        tokens = job.stop - job.start
        cached = 0
        for count, block in enumerate(hold.prefix, start=1):
            if block not in self.cache:
                break
            self.cache.move_to_end(block)
            cached = count * BLOCK_TOKENS
        saved = min(tokens - 1, max(0, min(cached, job.stop) - job.start))
        work_s = (tokens - max(0, saved)) / self.spec.rate
        if job.source:
            work_s += job.start / IMPORT_RATE
        return work_s

    def _get_itl(self) -> float:
        load = self.running / self.spec.max_batch
        return self.spec.itl_s * (1 + BATCH_SLOWDOWN * load)

    def _run_until(self, now: float) -> None:
        while True:
            piece_at = self._current[0] if self._current else float('inf')
            stream_at = self._streams[0][0] if self._streams else float('inf')
            if min(piece_at, stream_at) > now:
                break
            if piece_at <= stream_at:
                self._end_piece()
            else:
                self._produce()
        self._clock = max(self._clock, now)

    def _start_next(self, now: float) -> None:
        while self._current is None and self._queue:
            _, _, work_s, hold_id = heapq.heappop(self._queue)
            if hold_id in self.holds:
                self._current = (now + work_s, hold_id)

    def _end_piece(self) -> None:
        if self._current is None:
            return
        at, hold_id = self._current
        self._current = None
        hold = self.holds.get(hold_id)
        if hold:
            self._fill_cache(hold)
            if hold.job.generate:
                hold.running = True
                entry = (at, hold_id, hold.job.first_index)
                heapq.heappush(self._streams, entry)
            else:
                stop = hold.job.stop
                self._emit(at, hold_id, EventKind.piece_done, stop=stop)
        self._start_next(at)

    def _produce(self) -> None:
        at, hold_id, index = heapq.heappop(self._streams)
        hold = self.holds.get(hold_id)
        if hold is None:
            return
        end = hold.job.first_index + hold.job.max_tokens
        tokens = min(self.spec.stride, end - index) if index else 1
        chunk = Chunk(index, get_token_text(hold.seed, index), tokens)
        hold.produced.append(chunk)
        self._emit(at, hold_id, EventKind.chunk, chunk=chunk)
        following = index + tokens
        if following >= end:
            hold.final_count = end
            self._emit(at, hold_id, EventKind.done, count=end)
            self.finished[hold_id] = hold
            while len(self.finished) > self.spec.max_batch:
                self.finished.popitem(last=False)
            self._free(hold_id)
            return
        coming = min(self.spec.stride, end - following)
        due = at + self._get_itl() * coming
        heapq.heappush(self._streams, (due, hold_id, following))

    def _free(self, hold_id: str) -> None:
        hold = self.holds.pop(hold_id, None)
        if hold:
            self.used -= hold.reserve
            hold.running = False

    def _fill_cache(self, hold: Hold) -> None:
        count = hold.job.stop // BLOCK_TOKENS
        for block in hold.prefix[:count]:
            if block not in self.cache:
                self.cache_log.append((block, True))
            self.cache[block] = None
            self.cache.move_to_end(block)
        while len(self.cache) > self.spec.cache_blocks:
            dropped, _ = self.cache.popitem(last=False)
            self.cache_log.append((dropped, False))

    def _emit(
        self,
        at: float,
        hold: str,
        kind: EventKind,
        stop: int = 0,
        chunk: Chunk | None = None,
        count: int = 0,
    ) -> None:
        self._events.append(EngineEvent(at, hold, kind, stop, chunk, count))
