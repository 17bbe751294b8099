"""
Answers of targets
==================

Receives a target's answer and forwards it, or returns how the attempt failed.
An answer is valid only if it is that of the exchange, has the target's seal,
and is complete.
"""

from http import HTTPStatus

import anyio

from trestledock.entry._answer_ends import AnswerEnds
from trestledock.entry._answer_source import find_attributed_target
from trestledock.entry._cold_targets import record_cold_time
from trestledock.entry._byte_budget import HeldBytes
from trestledock.entry._dialect import AnswerMetadata, Dialect
from trestledock.entry._job import StoredAnswer, Job
from trestledock.entry._timeouts import ResponseTimeout, ResponseTimeouts
from trestledock.entry._own_answer import OwnAnswerReader
from trestledock.entry._pool import get_idle_s
from trestledock.entry._notices import record_answer_notices
from trestledock.entry._reply import Reply
from trestledock.entry._reply_timers import Patience
from trestledock.entry._state import EntryState
from trestledock.entry._streaming import StreamForwarder
from trestledock.entry._wire import Head, Wire, WireError
from trestledock.relay import (
    MAX_NOTE_BYTES,
    UNBOUNDED,
    AnswerEnd,
    AttemptOutcome,
    Placement,
    RelayAttempt,
    RouteKind,
    Verdict,
)

#: The detail of an attempt whose answer this entry has no memory for.
NO_BUFFER = 'no_buffer'


class AnswerReceiver:
    """Receives the answers of targets for one entry process."""

    def __init__(self, state: EntryState, dialect: Dialect) -> None:
        """Store the state and the platform's formats."""
        self.state = state
        self.dialect = dialect
        self.timeouts = ResponseTimeouts(state)
        self.ends = AnswerEnds(state)

    async def receive(
        self,
        job: Job,
        placement: Placement,
        wire: Wire,
        reply: Reply,
        asked_at: float,
    ) -> tuple[RelayAttempt, float]:
        """Receive an answer; return the attempt and how long `wire` may idle.

        The request was written at the time `asked_at` or later.
        """
        timeout = self.timeouts.get_first_timeout(job, placement)
        head, answer = await self._read_head(job, placement, wire, timeout)
        self.state.links.record_answer(placement.target, wire)
        record_answer_notices(
            self.state, job, placement, head.status, answer, asked_at
        )
        if self.state.settings.cold_bounds:
            self._record_cold_time(job, placement, head, answer, asked_at)
        wire.limit_body(self._get_max_bytes(job, head, answer))
        idle_s = get_idle_s(answer.keep_alive, answer.connection)
        if _is_stream(job, head, answer):
            forwarder = StreamForwarder(
                self.state, self.dialect, job, placement, reply, self.ends
            )
            attempt = await forwarder.run(head, wire.iter_body, timeout)
        else:
            attempt = await self._receive_whole(
                job, placement, wire, head, answer, reply
            )
        return attempt, idle_s

    def record_success(self, peer: str) -> None:
        """Record that a target answered correctly."""
        self.state.record_success(peer, anyio.current_time())

    def record_failure(self, peer: str) -> None:
        """Record that a target failed."""
        self.state.health.record_failure(peer, anyio.current_time())

    async def _read_head(
        self,
        job: Job,
        placement: Placement,
        wire: Wire,
        timeout: ResponseTimeout,
    ) -> tuple[Head, AnswerMetadata]:
        current = timeout
        reader = OwnAnswerReader(
            self.dialect, wire, placement.target.incarnation, job.call.req_id
        )
        while True:
            waits_for_memory = self.timeouts.is_waiting_for_memory(
                job, placement
            )
            next_wait = (
                self.timeouts.get_recheck_timeout(job)
                if waits_for_memory
                else current
            )
            patience = Patience(next_wait.wait_s)
            with self.timeouts.wait(job, placement, patience):
                return await reader.read_head()
            if waits_for_memory and not self.timeouts.is_wait_over(
                job, placement
            ):
                continue
            if self.timeouts.may_fail_over(job, placement):
                peer = placement.target.incarnation
                raise self.timeouts.record_timeout('answer', peer, timeout)
            current = self.timeouts.get_recheck_timeout(job)

    def _get_max_bytes(
        self, job: Job, head: Head, answer: AnswerMetadata
    ) -> float:
        """Return how long the body of an answer may be.

        A stream lasts as long as its caller reads it, up to the deadline. Of a
        rejection only the head counts.
        """
        if _is_stream(job, head, answer):
            return UNBOUNDED
        if answer.judge(head.status) is Verdict.not_run:
            return MAX_NOTE_BYTES
        return self.state.settings.max_answer_bytes

    def _record_cold_time(
        self,
        job: Job,
        placement: Placement,
        head: Head,
        answer: AnswerMetadata,
        asked_at: float,
    ) -> None:
        """Record for how long the target that answered stays cold."""
        target = find_attributed_target(
            self.state, job, placement, head.status, answer
        )
        cold = self.dialect.read_cold_time(head)
        if target:
            record_cold_time(self.state, target, cold, asked_at)

    def _record_silence(self, peer: str) -> None:
        self.state.record_silence(peer, anyio.current_time())

    def _find_at_fault(
        self,
        job: Job,
        placement: Placement,
        status: int,
        answer: AnswerMetadata,
    ) -> str:
        """Exclude the target at fault from the next attempt; return its name.

        A rejection may name a helper, which is then suspect for a while.  421
        means that another incarnation has the address: this one no longer runs.
        """
        peer = placement.target.incarnation
        named = self._get_named_incarnation(placement, answer.at_fault)
        at_fault = named or peer
        job.tried.add(at_fault)
        # A target that asks for a back-off, or drains, is not faulty.
        if named and not answer.backoff.backoff_s and not answer.is_draining:
            self._record_silence(named)
        if status == HTTPStatus.MISDIRECTED_REQUEST:
            now = anyio.current_time()
            self.state.fleet.record_draining(at_fault, now)
            self.state.isolation.record_replaced(at_fault)
        return at_fault

    def _get_named_incarnation(self, placement: Placement, named: str) -> str:
        """Return the incarnation that an answer names by id or address.

        The targets of the attempt come first: the named target may have
        restarted since the request was written.
        """
        for target in placement.engaged_targets:
            if target.is_named(named):
                return target.incarnation
        return self.state.fleet.get_incarnation_by_name(named)

    async def _receive_whole(
        self,
        job: Job,
        placement: Placement,
        wire: Wire,
        head: Head,
        answer: AnswerMetadata,
        reply: Reply,
    ) -> RelayAttempt:
        peer = placement.target.incarnation
        body = await _read_body(wire, job.answer_held)
        if body is None:
            return RelayAttempt(AttemptOutcome.lost, 'answer', peer, NO_BUFFER)
        verdict = answer.judge(head.status)
        if verdict is Verdict.not_run:
            job.rejected_at[peer] = anyio.current_time()
            at_fault = self._find_at_fault(job, placement, head.status, answer)
            detail = f'{head.status} at {at_fault}'
            return RelayAttempt(AttemptOutcome.rejected, 'answer', peer, detail)
        if verdict is Verdict.untrusted:
            self.record_failure(peer)
            return RelayAttempt(
                AttemptOutcome.lost, 'answer', peer, f'{head.status}'
            )
        if verdict is Verdict.failed and not reply.started:
            return self._store_failure(job, peer, StoredAnswer(head, body))
        if reply.started:
            return RelayAttempt(
                AttemptOutcome.lost, 'answer', peer, f'{head.status}'
            )
        return await self._pass_on(
            job, placement, StoredAnswer(head, body), reply
        )

    async def _pass_on(
        self, job: Job, placement: Placement, answer: StoredAnswer, reply: Reply
    ) -> RelayAttempt:
        """Pass on a plain answer whose bytes have ended.

        If its target may have ended, another one is asked where that is
        allowed, and this answer is stored in case no attempt succeeds.
        """
        head = answer.head
        peer = placement.target.incarnation
        end = await self._confirm_whole(job, placement, head)
        if end is not AnswerEnd.unproven:
            self.record_success(peer)
        elif not job.history.is_last_attempt(job.route):
            job.fallback = answer
            return RelayAttempt(AttemptOutcome.lost, 'answer', peer, end.value)
        if job.run:
            job.run.is_success = head.status < HTTPStatus.MULTIPLE_CHOICES
        job.record_event(anyio.current_time())
        headers = self.dialect.make_reply_headers(head)
        await reply.start(head.status, headers, is_framed=head.is_framed)
        await reply.finish(answer.body)
        return RelayAttempt(
            AttemptOutcome.answered, 'answer', peer, f'{head.status}', end=end
        )

    async def _confirm_whole(
        self, job: Job, placement: Placement, head: Head
    ) -> AnswerEnd:
        """Confirm the end of a plain answer; it is held no longer if broken."""
        try:
            return await self.ends.confirm(job, placement.target, head.framing)
        except WireError:
            if job.answer_held:
                job.answer_held.release()
            raise

    def _store_failure(
        self, job: Job, peer: str, answer: StoredAnswer
    ) -> RelayAttempt:
        """Store a target's error response in case no attempt succeeds."""
        job.fallback = answer
        if answer.head.status != HTTPStatus.GATEWAY_TIMEOUT:
            self.record_failure(peer)
        return RelayAttempt(
            AttemptOutcome.failed, 'answer', peer, f'{answer.head.status}'
        )


async def _read_body(wire: Wire, held: HeldBytes | None) -> bytes | None:
    """Return a whole body, or None if there is no memory left for it.

    A body that breaks off is held no longer: the next attempt reads its own.
    """
    body = bytearray()
    try:
        async for raw in wire.iter_body():
            if held and not held.take(len(raw)):
                held.release()
                return None
            body += raw
    except WireError:
        if held:
            held.release()
        raise
    return bytes(body)


def _is_stream(job: Job, head: Head, answer: AnswerMetadata) -> bool:
    if (
        job.route.kind is not RouteKind.streaming
        or head.status != HTTPStatus.OK
    ):
        return False
    return answer.judge(head.status) is Verdict.answered
