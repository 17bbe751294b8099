"""
Request relaying
================

Takes a request through admission, placement and one or more attempts.  In every
case the caller gets exactly one final answer before its deadline.
"""

from http import HTTPStatus

import anyio

from trestledock.entry import _events as events
from trestledock.entry._admission import admit, recheck, is_quarantined
from trestledock.entry._dialect import Dialect
from trestledock.entry._job import STATUSES, Job, Refusal
from trestledock.entry._logger import emit
from trestledock.entry._outcomes import OutcomeLog
from trestledock.entry._reply import CutReply, Reply
from trestledock.entry._selecting import select
from trestledock.entry._sending import Sender
from trestledock.entry._state import EntryState
from trestledock.entry._wire import Headers
from trestledock.relay import (
    MAX_AGE_S,
    PLACEMENT_RETRY_S,
    AnswerEnd,
    Call,
    AttemptOutcome,
    FailureKind,
    Framing,
    Placement,
    RelayAttempt,
    get_worth,
)

#: The smallest Retry-After of a refusal, in seconds, before jitter.
RETRY_AFTER_S = 0.25
#: The largest random addition to Retry-After, in seconds.
RETRY_AFTER_JITTER_S = 0.25
#: The pause before a request that was not sent is tried again, in seconds.
RESEND_PAUSE_S = 0.1
#: Refusals that are replaced by a target's own error response where there is
#: one, as that describes the failure better.
FAILURE_REFUSALS = frozenset((Refusal.failed, Refusal.timeout))
MS = 1000


class Relayer:
    """Relays the requests of one entry process."""

    def __init__(
        self,
        state: EntryState,
        dialect: Dialect,
        sender: Sender,
    ) -> None:
        """Store the state, the platform's formats and the sender."""
        self.state = state
        self.dialect = dialect
        self.sender = sender
        self.outcomes = OutcomeLog(state)

    async def relay(self, call: Call, reply: Reply) -> None:
        """Send the final answer to a call, or raise `CutReply`."""
        job = admit(self.state, call, anyio.current_time())
        if isinstance(job, Refusal):
            await self.refuse(call, reply, job)
            return
        with self.outcomes.track(job, reply):
            with self.state.buffers.answers.hold() as held:
                job.answer_held = held
                await self._relay_job(job, reply)

    async def refuse_late(self, call: Call, reply: Reply) -> None:
        """Refuse a call that arrives too late in the shutdown to be relayed."""
        await self.refuse(call, reply, Refusal.not_run)

    async def refuse(self, call: Call, reply: Reply, reason: Refusal) -> None:
        """Refuse a call that is not admitted."""
        self.outcomes.record_refused(call, reason)
        await self._refuse(call, reply, reason)

    async def _relay_job(self, job: Job, reply: Reply) -> None:
        self._log_admitted(job)
        if is_quarantined(self.state, job):
            job.is_trial = await self.state.isolation.may_probe(job.names)
        with anyio.CancelScope(deadline=job.deadline) as scope:
            with self.state.track_unanswered(reply, scope):
                await self._run(job, reply)
        if scope.cancelled_caught:
            expired = anyio.current_time() >= job.deadline
            reason = Refusal.timeout if expired else Refusal.failed
            await self._end_unanswered(job, reply, reason)

    async def _run(self, job: Job, reply: Reply) -> None:
        """Try one target after another until one has answered."""
        while True:
            placement = await select(self.state, job)
            refusal = recheck(self.state, job)
            if refusal or isinstance(placement, Refusal):
                await self._end_unanswered(
                    job, reply, _choose_refusal(refusal, placement)
                )
                return
            attempt = await self._send(job, placement, reply)
            if attempt.outcome is AttemptOutcome.answered:
                return
            if is_quarantined(self.state, job):
                await self._end_unanswered(job, reply, Refusal.quarantined)
                return
            if _has_no_link(job, attempt):
                await self._end_unanswered(job, reply, Refusal.no_link)
                return
            if not await self._may_retry(job):
                await self._end_unanswered(job, reply, Refusal.failed)
                return
            emit(
                events.Repeated(
                    job.call.req_id,
                    len(job.history.attempts),
                    job.resume_after,
                )
            )

    async def _send(
        self,
        job: Job,
        placement: Placement,
        reply: Reply,
    ) -> RelayAttempt:
        started_at = anyio.current_time()
        job.placed_at = job.placed_at or started_at
        attempt = await self.sender.send(job, placement, reply)
        job.history = job.history.add(attempt)
        job.is_writing = False
        if attempt.outcome is AttemptOutcome.answered:
            self._record_answered(job, placement, attempt)
        _exclude_targets(job, placement, attempt)
        took_ms = round((anyio.current_time() - started_at) * MS)
        _log_outcome(job, attempt, took_ms)
        return attempt

    def _record_answered(
        self, job: Job, placement: Placement, attempt: RelayAttempt
    ) -> None:
        """Record that a request has not crashed its target, if known."""
        isolation = self.state.isolation
        if attempt.end is AnswerEnd.unproven:
            isolation.record_unproven(job.names, placement.target)
        elif job.run:
            isolation.record_answered(job.run)

    async def _may_retry(self, job: Job) -> bool:
        """Return whether to retry; a begun answer waits for the budget."""
        if (
            job.response_begun
            and job.history.attempts[-1].outcome is AttemptOutcome.not_sent
        ):
            return await self._may_resend(job)
        if not job.history.may_repeat(job.route):
            return False
        if job.history.attempts[-1].outcome is AttemptOutcome.not_sent:
            return True
        while not self._spend_retry(job):
            if (
                not job.response_begun
                or anyio.current_time() >= job.timing.abandoned_at
            ):
                return False
            await self.state.wait_for_change(PLACEMENT_RETRY_S)
        return True

    async def _may_resend(self, job: Job) -> bool:
        """Return whether to retry an attempt that sent nothing.

        There is no limit on the number: a begun answer loses nothing by it.
        The pause keeps a target that refuses connections from being tried in a
        tight loop until the deadline.
        """
        if not job.history.may_run_again(job.route):
            return False
        await anyio.sleep(RESEND_PAUSE_S)
        return anyio.current_time() < job.timing.abandoned_at

    def _spend_retry(self, job: Job) -> bool:
        if job.has_reserved_retry:
            job.has_reserved_retry = False
            return True
        return self.state.budgets.spend_retry(job.service, anyio.current_time())

    async def _end_unanswered(
        self, job: Job, reply: Reply, reason: Refusal
    ) -> None:
        """Finish a request that no target answered."""
        if reply.started:
            emit(events.Cut(job.call.req_id, reason.value))
            raise CutReply(reason.value)
        refusal = _weaken_refusal(job, reason)
        if refusal is Refusal.quarantined:
            isolation = self.state.isolation
            job.retry_after_s = isolation.get_retry_after_s(job.names)
        if job.fallback and refusal in FAILURE_REFUSALS:
            head = job.fallback.head
            job.refusal = refusal
            emit(events.FailurePassedOn(job.call.req_id, head.status))
            headers = self.dialect.make_reply_headers(head)
            await reply.start(head.status, headers, is_framed=head.is_framed)
            await reply.finish(job.fallback.body)
            return
        await self._refuse(job.call, reply, refusal, job)

    async def _refuse(
        self,
        call: Call,
        reply: Reply,
        reason: Refusal,
        job: Job | None = None,
    ) -> None:
        if job:
            job.refusal = reason
        age_s = self.state.proof.get_age_s(anyio.current_time())
        emit(
            events.Refused(
                req=call.req_id,
                reason=reason.value,
                status=STATUSES[reason],
                proof_age_ms=round(min(age_s, MAX_AGE_S) * MS),
                version=self.state.version,
                sendings=len(job.history.attempts) if job else 0,
            ),
        )
        retry_after_s = max(RETRY_AFTER_S, job.retry_after_s if job else 0)
        headers = self._make_headers(reason, retry_after_s)
        await reply.start(STATUSES[reason], headers)
        await reply.finish()

    def _make_headers(self, reason: Refusal, retry_after_s: float) -> Headers:
        headers: Headers = ((b'content-length', b'0'),)
        if STATUSES[reason] != HTTPStatus.SERVICE_UNAVAILABLE:
            return headers
        jitter_s = self.state.rng.uniform(0, RETRY_AFTER_JITTER_S)
        retry_after = f'{retry_after_s + jitter_s:.2f}'
        return (*headers, (b'retry-after', retry_after.encode()))

    def _log_admitted(self, job: Job) -> None:
        remaining_s = job.deadline - job.call.arrived_at
        emit(
            events.Admitted(
                req=job.call.req_id,
                route=job.route.name,
                service=job.service,
                team=job.team.team,
                version=self.state.version,
                left_ms=round(remaining_s * MS),
                objective_ms=round(job.route.objective_s * MS),
                pause_ms=round(job.route.pause_s * MS),
                worth=round(get_worth(job.placement_request.size), 2),
                fingerprint=job.fingerprint,
                parts=job.call.parts,
            ),
        )


def _choose_refusal(
    refusal: Refusal | None, placement: Placement | Refusal
) -> Refusal:
    """Return the refusal of the recheck, or else that of the selection."""
    if refusal is None and isinstance(placement, Refusal):
        return placement
    return refusal or Refusal.no_target


def _weaken_refusal(job: Job, reason: Refusal) -> Refusal:
    """Return a refusal that claims no more than is known.

    Only a request that no target can have run gets a status that promises so.
    """
    if job.may_have_run:
        return Refusal.timeout if reason is Refusal.timeout else Refusal.failed
    if reason is Refusal.timeout:
        return Refusal.not_run_in_time
    return Refusal.not_run if reason is Refusal.failed else reason


def _has_no_link(job: Job, attempt: RelayAttempt) -> bool:
    """Return whether to refuse, as no target can be reached from here.

    A begun answer waits for the links for as long as its caller does.
    """
    is_unreachable = attempt.failure_kind is FailureKind.no_link
    return is_unreachable and not job.response_begun


def _exclude_targets(
    job: Job, placement: Placement, attempt: RelayAttempt
) -> None:
    """Exclude the targets of a failed attempt from the next one.

    The target at fault in a rejection is excluded where the answer is read.  A
    lost attempt may be the fault of any target involved, helpers included.
    """
    if attempt.outcome is AttemptOutcome.rejected:
        return
    job.tried.add(placement.target.incarnation)
    if attempt.outcome is AttemptOutcome.lost:
        job.tried.update(helper.incarnation for helper in placement.helpers)


def _log_outcome(job: Job, attempt: RelayAttempt, took_ms: int) -> None:
    req = job.call.req_id
    if attempt.outcome is AttemptOutcome.answered:
        emit(_make_answered_event(job, attempt, took_ms))
        return
    emit(
        events.SendingEnded(
            req=req,
            ending=attempt.outcome.value,
            step=attempt.step,
            peer=attempt.peer,
            detail=attempt.detail,
            took_ms=took_ms,
            sign=attempt.failure_kind.value,
            framing=_get_name(attempt.framing),
            conn=attempt.conn,
            exchange=attempt.exchange,
            named=attempt.is_named,
            fingerprint=job.fingerprint,
        )
    )


def _make_answered_event(
    job: Job, attempt: RelayAttempt, took_ms: int
) -> events.Answered:
    arrived_at = job.call.arrived_at
    first_s = (job.first_event_at or arrived_at) - arrived_at
    return events.Answered(
        req=job.call.req_id,
        peer=attempt.peer,
        detail=attempt.detail,
        took_ms=took_ms,
        first_ms=round(first_s * MS),
        longest_ms=round(job.longest_pause_s * MS),
        framing=_get_name(attempt.framing),
        end=attempt.end.value,
        conn=attempt.conn,
        exchange=attempt.exchange,
        named=attempt.is_named,
    )


def _get_name(framing: Framing | None) -> str:
    return framing.value if framing else ''
