"""
Answers of targets
==================

Takes what a target answers and passes it on, or says how the sending ended.
An answer counts only if it belongs to the request, bears the target's seal and
is whole.
"""

from contextlib import contextmanager
from dataclasses import dataclass
from http import HTTPStatus
from typing import AsyncIterator, Iterator

import anyio

from trestledock.entry import _events as events
from trestledock.entry._dialect import AnswerNote, Dialect
from trestledock.entry._job import Answer, Job
from trestledock.entry._logger import emit
from trestledock.entry._metrics import METRICS
from trestledock.entry._pool import get_idle_s
from trestledock.entry._reply import Reply
from trestledock.entry._state import EntryState, Wait
from trestledock.entry._wire import Head, Wire, WireError
from trestledock.relay import (
    Ending,
    Placement,
    RouteKind,
    Sending,
    Splitter,
    get_first_patience_s,
    get_pause_patience_s,
)

#: The statuses that promise that nothing has run.
PROMISES = frozenset((408, 421, 429, 503))
MS = 1000


@dataclass(frozen=True)
class Limit:
    """How long a target may be silent, and whether that is but a doubt."""

    wait_s: float
    early: bool = False


class Answering:
    """Receives answers for one entry process."""

    def __init__(self, state: EntryState, dialect: Dialect) -> None:
        """Keep the state and the platform's formats."""
        self.state = state
        self.dialect = dialect

    async def receive(
        self,
        job: Job,
        placement: Placement,
        wire: Wire,
        reply: Reply,
    ) -> tuple[Sending, float]:
        """Take an answer; return the ending and how long `wire` may idle."""
        limit = self._get_first_limit(job, placement)
        peer = placement.target.target_id
        with self.wait(job, placement, limit) as scope:
            head = await wire.read_head()
        if scope.cancelled_caught:
            raise self.give_up('answer', peer, limit)
        answer = self.dialect.read_head(head)
        if answer.req_id and answer.req_id != job.call.req_id:
            raise WireError('answer', 'of another request')
        idle_s = get_idle_s(answer.keep_alive, answer.connection)
        if _is_stream(job, head, answer):
            passing = StreamPassing(self, job, placement, reply)
            sending = await passing.run(head, wire.iter_body(), limit)
        else:
            sending = await self._take_whole(
                job, peer, wire, head, answer, reply
            )
        return sending, idle_s

    @contextmanager
    def wait(
        self,
        job: Job,
        placement: Placement,
        limit: Limit,
    ) -> Iterator[anyio.CancelScope]:
        """Wait within a limit, or until the way to a target is cut."""
        with anyio.move_on_after(limit.wait_s) as scope:
            if job.history.is_last_run(job.route):
                yield scope
                return
            helpers = () if job.last_event else placement.helpers
            names = [one.target_id for one in (placement.target, *helpers)]
            wait = Wait(tuple(names), scope)
            self.state.waits.add(wait)
            try:
                yield scope
            finally:
                self.state.waits.discard(wait)

    def give_up(self, step: str, peer: str, limit: Limit) -> WireError:
        """Note that a target was silent for too long; return the error."""
        now = anyio.current_time()
        if limit.early:
            self.state.note_early(peer, now)
        else:
            self.state.note_silence(peer, now)
        if self.state.is_cut_off(peer, now):
            return WireError(step, 'its data centre is silent')
        return WireError(step, f'silent for {limit.wait_s:.2f} s')

    def note_success(self, peer: str) -> None:
        """Note that a target did its work."""
        self.state.note_success(peer, anyio.current_time())

    def note_failure(self, peer: str) -> None:
        """Note that a target failed."""
        self.state.health.note_failure(peer, anyio.current_time())

    def _note_silence(self, peer: str) -> None:
        self.state.note_silence(peer, anyio.current_time())

    def _get_first_limit(self, job: Job, placement: Placement) -> Limit:
        """Return how long a target may be silent before another is asked."""
        is_last = job.history.is_last_run(job.route)
        may_leave = self.state.may_leave_early(anyio.current_time())
        early = may_leave and not is_last and not placement.helpers
        patience_s = get_first_patience_s(
            job.route,
            placement.first_s,
            early=early,
            helped=bool(placement.helpers),
        )
        return Limit(min(patience_s, _get_left_s(job)), early)

    def _blame(self, job: Job, peer: str, status: int, named: str) -> str:
        """Have the next sending avoid the target at fault; return its id.

        A rejection may name a helper, which is then left alone for a while.
        421 says that another incarnation has the address: this one has gone.
        """
        found = self.state.fleet.get_id_by_address(named)
        at_fault = found or peer
        job.tried.add(at_fault)
        if found:
            self._note_silence(found)
        if status == HTTPStatus.MISDIRECTED_REQUEST:
            self.state.fleet.leaving.add(at_fault)
        return at_fault

    async def _take_whole(
        self,
        job: Job,
        peer: str,
        wire: Wire,
        head: Head,
        answer: AnswerNote,
        reply: Reply,
    ) -> Sending:
        body = await wire.read_body()
        if answer.not_run:
            at_fault = self._blame(job, peer, head.status, answer.at_fault)
            detail = f'{head.status} at {at_fault}'
            return Sending(Ending.rejected, 'answer', peer, detail)
        if head.status in PROMISES or not answer.sealed or answer.encoded:
            self.note_failure(peer)
            return Sending(Ending.lost, 'answer', peer, f'{head.status}')
        if (
            head.status >= HTTPStatus.INTERNAL_SERVER_ERROR
            and not reply.started
        ):
            return self._take_failure(job, peer, Answer(head, body))
        if reply.started:
            return Sending(Ending.lost, 'answer', peer, f'{head.status}')
        self.note_success(peer)
        job.note_event(anyio.current_time())
        await reply.start(head.status, self.dialect.make_reply_headers(head))
        await reply.finish(body)
        return Sending(Ending.answered, 'answer', peer, f'{head.status}')

    def _take_failure(self, job: Job, peer: str, answer: Answer) -> Sending:
        """Keep a target's own failure in case nothing better comes."""
        job.fallback = answer
        if answer.head.status != HTTPStatus.GATEWAY_TIMEOUT:
            self.note_failure(peer)
        return Sending(Ending.failed, 'answer', peer, f'{answer.head.status}')


class StreamPassing:
    """Passes one target's events on, whole ones only."""

    def __init__(
        self,
        answering: Answering,
        job: Job,
        placement: Placement,
        reply: Reply,
    ) -> None:
        """Keep the request and where its events go."""
        self.answering = answering
        self.job = job
        self.placement = placement
        self.peer = placement.target.target_id
        self.reply = reply
        self.splitter = Splitter()
        self.count = 0
        self.noted_at: float = 0

    async def run(
        self,
        head: Head,
        body: AsyncIterator[bytes],
        limit: Limit,
    ) -> Sending:
        """Pass on events until the stream ends."""
        while True:
            raw = await self._read(body, limit)
            if raw is None:
                return await self._finish(head)
            await self._pass_on(head, raw)
            if self.count:
                limit = Limit(_get_pause_limit_s(self.job))

    async def _read(
        self,
        body: AsyncIterator[bytes],
        limit: Limit,
    ) -> bytes | None:
        with self.answering.wait(self.job, self.placement, limit):
            return await anext(body, None)
        raise self.answering.give_up('events', self.peer, limit)

    async def _pass_on(self, head: Head, raw: bytes) -> None:
        events = [
            event
            for event in self.splitter.push(raw)
            if _is_next(event.event_id, self.job.last_event)
        ]
        if not events:
            return
        self._note_pause()
        self.count += len(events)
        await self._start(head)
        await self.reply.write(b''.join(event.raw for event in events))
        named = [event.event_id for event in events if event.event_id]
        if named:
            self.job.last_event = named[-1]
        self.job.note_event(anyio.current_time())

    def _note_pause(self) -> None:
        now = anyio.current_time()
        if self.count:
            METRICS.observe('pause', now - self.noted_at)
        else:
            self._note_first()
        self.noted_at = now

    def _note_first(self) -> None:
        state = self.answering.state
        now = anyio.current_time()
        flight = state.board.own.get(self.job.call.req_id)
        emit(
            events.FirstEvent(
                req=self.job.call.req_id,
                peer=self.peer,
                took_ms=round((now - flight.since) * MS) if flight else -1,
                predicted_ms=round(self.placement.first_s * MS),
            ),
        )
        state.board.advance(self.job.call.req_id, now)
        state.notify_own()

    async def _start(self, head: Head) -> None:
        if not self.reply.started:
            headers = self.answering.dialect.make_reply_headers(head)
            await self.reply.start(head.status, headers)

    async def _finish(self, head: Head) -> Sending:
        self.answering.note_success(self.peer)
        await self._start(head)
        await self.reply.finish(self.splitter.rest)
        return Sending(Ending.answered, 'events', self.peer, f'{self.count}')


def _get_pause_limit_s(job: Job) -> float:
    """Return how long a stream may be silent between events.

    The last target that may run it is waited for: nobody else would go on.
    """
    left_s = _get_left_s(job)
    if job.history.is_last_run(job.route):
        return left_s
    return min(get_pause_patience_s(job.route), left_s)


def _get_left_s(job: Job) -> float:
    return max(0, job.deadline - anyio.current_time())


def _is_stream(job: Job, head: Head, answer: AnswerNote) -> bool:
    if (
        job.route.kind is not RouteKind.streaming
        or head.status != HTTPStatus.OK
    ):
        return False
    return answer.sealed and not answer.encoded


def _is_next(event_id: str, last: str) -> bool:
    """Whether an event follows those that the caller has."""
    if event_id.isdigit() and last.isdigit():
        return int(event_id) > int(last)
    return True
