"""
Stream forwarding
=================

Forwards the events of a target to the caller, complete events only, so that
another target can resume the stream after the last of them.
"""

from typing import AsyncIterator, Callable

import anyio

from trestledock.entry import _events as events
from trestledock.entry._answer_ends import AnswerEnds
from trestledock.entry._dialect import Dialect
from trestledock.entry._job import Job
from trestledock.entry._timeouts import ResponseTimeout, ResponseTimeouts
from trestledock.entry._logger import emit
from trestledock.entry._metrics import METRICS
from trestledock.entry._reply import CutReply, Reply
from trestledock.entry._reply_timers import Patience
from trestledock.entry._state import EntryState
from trestledock.entry._wire import Head, WireError
from trestledock.relay import (
    AnswerEnd,
    AttemptOutcome,
    EventProgress,
    EventSplitter,
    FailureKind,
    Placement,
    RelayAttempt,
    StreamEvent,
    Tail,
    follows,
)

MS = 1000
#: How long a caller that leaves more unread than its connection may buffer can
#: keep the target's events from being read, in seconds. Targets abort an answer
#: that stays unread for some seconds, and hold its memory until then.
UNREAD_S = 3.0

#: Resumes reading the body after a wait was cancelled.
IterBody = Callable[[], AsyncIterator[bytes]]


class StreamForwarder:
    """Forwards the complete events of one target."""

    def __init__(
        self,
        state: EntryState,
        dialect: Dialect,
        job: Job,
        placement: Placement,
        reply: Reply,
        ends: AnswerEnds,
    ) -> None:
        """Store the request and the reply that its events go to."""
        self.state = state
        self.dialect = dialect
        self.timeouts = ResponseTimeouts(state)
        self.job = job
        self.placement = placement
        self.peer = placement.target.incarnation
        self.reply = reply
        self.ends = ends
        self.splitter = EventSplitter()
        self._progress = EventProgress()
        self.event_count = 0
        self.last_events_at: float = 0
        self.body: AsyncIterator[bytes]

    async def run(
        self,
        head: Head,
        iter_body: IterBody,
        timeout: ResponseTimeout,
    ) -> RelayAttempt:
        """Forward events until the stream ends."""
        self.body = iter_body()
        self._begin_wait(timeout)
        while True:
            raw = await self._read(iter_body)
            if raw is None:
                return await self._finish(head)
            incoming = self.splitter.push(raw)
            self._check_bounds()
            is_working = self._progress.record(incoming)
            await self._forward(head, incoming)
            if is_working:
                self._begin_wait(self._get_next_timeout())

    def _begin_wait(self, timeout: ResponseTimeout) -> None:
        """Wait for the next new event from now on."""
        self._timeout = timeout
        self._patience = Patience(timeout.wait_s)

    def _get_next_timeout(self) -> ResponseTimeout:
        if not self.event_count:
            return self._timeout
        return self.timeouts.get_pause_timeout(self.job)

    async def _read(self, iter_body: IterBody) -> bytes | None:
        while True:
            with self.timeouts.wait(self.job, self.placement, self._patience):
                return await anext(self.body, None)
            # Targets that could have resumed the stream when the silence began
            # may be unavailable by now.
            if self.timeouts.may_fail_over(self.job, self.placement):
                raise self._record_timeout()
            recheck = self.timeouts.get_recheck_timeout(self.job)
            self._patience = Patience(recheck.wait_s)
            self.body = iter_body()

    def _record_timeout(self) -> WireError:
        """Return the error to raise; one that repeats events isn't silent."""
        if self._timeout.early or not self._progress.is_repeating:
            return self.timeouts.record_timeout(
                'events', self.peer, self._timeout
            )
        return WireError(
            'events',
            f'no new event for {self._timeout.wait_s:.2f} s',
            FailureKind.endless,
        )

    def _check_bounds(self) -> None:
        if self.splitter.is_overlong:
            raise WireError(
                'events', 'an event is too long', FailureKind.endless
            )
        if self._progress.is_idle:
            raise WireError(
                'events', 'no new event in too many bytes', FailureKind.endless
            )

    async def _forward(self, head: Head, incoming: list[StreamEvent]) -> None:
        """Forward the events that the caller doesn't have."""
        fresh = [
            event
            for event in incoming
            if follows(event.event_id, self.job.last_event_id)
        ]
        if not fresh:
            return
        self._record_pause()
        self.event_count += len(fresh)
        await self._start(head)
        await self._write(b''.join(event.raw for event in fresh))
        named = [event.event_id for event in fresh if event.event_id]
        if named:
            self.job.last_event_id = named[-1]
        self.job.record_event(anyio.current_time())

    async def _write(self, raw: bytes) -> None:
        """Write events; cut the reply if its caller reads too slowly."""
        with anyio.move_on_after(UNREAD_S) as scope:
            await self.reply.write(raw)
        if scope.cancelled_caught:
            self.reply.caller_left = True
            emit(events.Cut(self.job.call.req_id, 'unread'))
            raise CutReply('unread')

    def _record_pause(self) -> None:
        now = anyio.current_time()
        if self.event_count:
            METRICS.observe('pause', now - self.last_events_at)
        else:
            self._record_first_event()
        self.last_events_at = now

    def _record_first_event(self) -> None:
        now = anyio.current_time()
        if self.job.run:
            self.job.run.began_at = now
        flight = self.state.load_table.own.get(self.job.call.req_id)
        emit(
            events.FirstEvent(
                req=self.job.call.req_id,
                peer=self.peer,
                took_ms=round((now - flight.since) * MS) if flight else -1,
                predicted_ms=round(self.placement.first_token_s * MS),
            ),
        )
        self.state.load_table.start_decode(self.job.call.req_id, now)
        self.state.notify_own()

    async def _start(self, head: Head) -> None:
        if not self.reply.started:
            headers = self.dialect.make_reply_headers(head)
            await self.reply.start(
                head.status, headers, is_framed=head.is_framed
            )

    async def _finish(self, head: Head) -> RelayAttempt:
        end = await self.ends.confirm(
            self.job, self.placement.target, head.framing, self._get_tail()
        )
        if self._needs_another_run(end):
            return RelayAttempt(
                AttemptOutcome.lost, 'events', self.peer, end.value
            )
        if end is not AnswerEnd.unproven:
            self.state.record_success(self.peer, anyio.current_time())
        if self.job.run:
            self.job.run.is_success = bool(self.event_count)
        await self._start(head)
        await self.reply.finish(self.splitter.remainder)
        return RelayAttempt(
            AttemptOutcome.answered,
            'events',
            self.peer,
            f'{self.event_count}',
            end=end,
        )

    def _needs_another_run(self, end: AnswerEnd) -> bool:
        """Return whether the caller's answer can't end like the stream.

        The end of a framed answer would say that it is whole. What isn't known
        of a target that may have ended is found out by a run elsewhere.
        """
        if end is AnswerEnd.whole:
            return False
        if self.reply.started and self.reply.is_framed:
            return True
        if end is not AnswerEnd.unproven:
            return False
        is_last = self.job.history.is_last_attempt(self.job.route)
        return not is_last and self.timeouts.may_fail_over(
            self.job, self.placement
        )

    def _get_tail(self) -> Tail:
        """Return what the stream ends with.

        Nothing may be left of a stream that is resumed after its last event.
        """
        tail = self.splitter.get_tail()
        if tail is Tail.none and not self.event_count:
            return Tail.none if self.job.resume_after else Tail.unbegun
        return tail
