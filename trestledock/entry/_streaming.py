"""
Passing streams on
==================

Passes the events of one target on to the caller, whole ones only, so that
another target can go on after the last of them.
"""

from typing import AsyncIterator, Callable

import anyio

from trestledock.entry import _events as events
from trestledock.entry._dialect import Dialect
from trestledock.entry._job import Job
from trestledock.entry._limits import Limit, Limits
from trestledock.entry._logger import emit
from trestledock.entry._metrics import METRICS
from trestledock.entry._reply import Reply
from trestledock.entry._state import EntryState
from trestledock.entry._wire import Head
from trestledock.relay import (
    AttemptOutcome,
    Placement,
    RelayAttempt,
    EventSplitter,
)

MS = 1000

#: Reads on where a wait for the body was left.
IterBody = Callable[[], AsyncIterator[bytes]]


class StreamPassing:
    """Passes one target's events on, whole ones only."""

    def __init__(
        self,
        state: EntryState,
        dialect: Dialect,
        job: Job,
        placement: Placement,
        reply: Reply,
    ) -> None:
        """Keep the request and where its events go."""
        self.state = state
        self.dialect = dialect
        self.limits = Limits(state)
        self.job = job
        self.placement = placement
        self.peer = placement.target.incarnation
        self.reply = reply
        self.splitter = EventSplitter()
        self.count = 0
        self.noted_at: float = 0
        self.body: AsyncIterator[bytes]

    async def run(
        self,
        head: Head,
        iter_body: IterBody,
        limit: Limit,
    ) -> RelayAttempt:
        """Pass on events until the stream ends."""
        self.body = iter_body()
        while True:
            raw = await self._read(iter_body, limit)
            if raw is None:
                return await self._finish(head)
            await self._pass_on(head, raw)
            if self.count:
                limit = self.limits.get_pause(self.job)

    async def _read(
        self,
        iter_body: IterBody,
        limit: Limit,
    ) -> bytes | None:
        again = limit
        while True:
            with self.limits.wait(self.job, self.placement, again):
                return await anext(self.body, None)
            # Who might have gone on when the silence began may have gone.
            if self.limits.may_leave(self.job, self.placement):
                raise self.limits.give_up('events', self.peer, limit)
            again = self.limits.get_again(self.job)
            self.body = iter_body()

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
        now = anyio.current_time()
        flight = self.state.board.own.get(self.job.call.req_id)
        emit(
            events.FirstEvent(
                req=self.job.call.req_id,
                peer=self.peer,
                took_ms=round((now - flight.since) * MS) if flight else -1,
                predicted_ms=round(self.placement.first_token_s * MS),
            ),
        )
        self.state.board.start_decode(self.job.call.req_id, now)
        self.state.notify_own()

    async def _start(self, head: Head) -> None:
        if not self.reply.started:
            headers = self.dialect.make_reply_headers(head)
            await self.reply.start(head.status, headers)

    async def _finish(self, head: Head) -> RelayAttempt:
        self.state.record_success(self.peer, anyio.current_time())
        await self._start(head)
        await self.reply.finish(self.splitter.remainder)
        return RelayAttempt(
            AttemptOutcome.answered, 'events', self.peer, f'{self.count}'
        )


def _is_next(event_id: str, last: str) -> bool:
    """Whether an event follows those that the caller has."""
    if event_id.isdigit() and last.isdigit():
        return int(event_id) > int(last)
    return True
