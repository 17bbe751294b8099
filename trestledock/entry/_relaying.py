"""
Relaying
========

The life of a relayed request: admitted, placed, sent, and answered, repeated
elsewhere or given up.  Whatever happens, the caller gets one final answer
within its time.
"""

from http import HTTPStatus

import anyio

from trestledock.entry import _events as events
from trestledock.entry._admission import admit, recheck, is_quarantined
from trestledock.entry._dialect import Dialect
from trestledock.entry._job import STATUSES, Job, Refusal
from trestledock.entry._logger import emit
from trestledock.entry._reply import CutReply, Reply
from trestledock.entry._selecting import select
from trestledock.entry._sending import Sender
from trestledock.entry._state import MOST_AGE_S, EntryState
from trestledock.entry._wire import Headers
from trestledock.relay import (
    LOOK_S,
    Call,
    Ending,
    Placement,
    Sending,
    get_worth,
)

#: When to come back after a refusal, in seconds and at least, before jitter.
RETRY_AFTER_S = 0.25
#: The most that is added to it by chance, in seconds.
RETRY_AFTER_JITTER_S = 0.25
#: The pause before what was not sent is tried again, in seconds.
RESEND_PAUSE_S = 0.1
#: Refusals in whose place a target's own failure is told: it is the truer word.
FAILURE_REFUSALS = frozenset((Refusal.failed, Refusal.timeout))
MS = 1000


class Relayer:
    """Relays calls for one entry process."""

    def __init__(
        self,
        state: EntryState,
        dialect: Dialect,
        sender: Sender,
    ) -> None:
        """Keep the state, the platform's formats and the way to targets."""
        self.state = state
        self.dialect = dialect
        self.sender = sender

    async def relay(self, call: Call, reply: Reply) -> None:
        """Give a call its final answer, or raise `CutReply`."""
        job = admit(self.state, call, anyio.current_time())
        if isinstance(job, Refusal):
            await self._refuse(call, reply, job)
            return
        self._log_admitted(job)
        if is_quarantined(self.state, job):
            job.is_trial = await self.state.isolation.may_try(job.fingerprint)
        with anyio.CancelScope(deadline=job.deadline) as scope:
            with self.state.keep_unanswered(reply, scope):
                await self._run(job, reply)
        if scope.cancelled_caught:
            over = anyio.current_time() >= job.deadline
            reason = Refusal.timeout if over else Refusal.failed
            await self._end_unanswered(job, reply, reason)

    async def refuse_late(self, call: Call, reply: Reply) -> None:
        """Refuse a call that comes too late to be relayed."""
        await self._refuse(call, reply, Refusal.not_run)

    async def _run(self, job: Job, reply: Reply) -> None:
        """Send to one target after the other until one has answered."""
        while True:
            placement = await select(self.state, job)
            refusal = recheck(self.state, job)
            if refusal or isinstance(placement, Refusal):
                await self._end_unanswered(
                    job, reply, _choose_refusal(refusal, placement)
                )
                return
            sending = await self._send(job, placement, reply)
            if sending.ending is Ending.answered:
                return
            if is_quarantined(self.state, job):
                await self._end_unanswered(job, reply, Refusal.quarantined)
                return
            if not await self._may_retry(job):
                await self._end_unanswered(job, reply, Refusal.failed)
                return
            emit(
                events.Repeated(
                    job.call.req_id,
                    len(job.history.sendings),
                    job.resume_after,
                )
            )

    async def _send(
        self,
        job: Job,
        placement: Placement,
        reply: Reply,
    ) -> Sending:
        began_at = anyio.current_time()
        sending = await self.sender.send(job, placement, reply)
        job.history = job.history.add(sending)
        job.is_writing = False
        if sending.ending is Ending.answered:
            self.state.isolation.note_answered(job.fingerprint)
        _exclude_targets(job, placement, sending)
        took_ms = round((anyio.current_time() - began_at) * MS)
        _log_ending(job, sending, took_ms)
        return sending

    async def _may_retry(self, job: Job) -> bool:
        """Whether to go on elsewhere; an answer that has begun waits for it."""
        if (
            job.response_begun
            and job.history.sendings[-1].ending is Ending.not_sent
        ):
            return await self._may_resend(job)
        if not job.history.may_repeat(job.route):
            return False
        if job.history.sendings[-1].ending is Ending.not_sent:
            return True
        while not self._spend_retry(job):
            if (
                not job.response_begun
                or anyio.current_time() >= job.timing.gone
            ):
                return False
            await self.state.wait_for_change(LOOK_S)
        return True

    async def _may_resend(self, job: Job) -> bool:
        """Whether what was not sent is tried again, however often that was.

        An answer that has begun has nothing to lose by it; a moment's pause
        keeps targets that refuse connections from using up its time.
        """
        if not job.history.may_run_again(job.route):
            return False
        await anyio.sleep(RESEND_PAUSE_S)
        return anyio.current_time() < job.timing.gone

    def _spend_retry(self, job: Job) -> bool:
        if job.has_reserved_retry:
            job.has_reserved_retry = False
            return True
        return self.state.budgets.spend_repeat(
            job.service, anyio.current_time()
        )

    async def _end_unanswered(
        self, job: Job, reply: Reply, reason: Refusal
    ) -> None:
        """End a request that no target answered."""
        if reply.started:
            emit(events.Cut(job.call.req_id, reason.value))
            raise CutReply(reason.value)
        refusal = _weaken_refusal(job, reason)
        if refusal is Refusal.quarantined:
            isolation = self.state.isolation
            job.retry_after_s = isolation.get_come_back_s(job.fingerprint)
        if job.fallback and refusal in FAILURE_REFUSALS:
            head = job.fallback.head
            emit(events.FailurePassedOn(job.call.req_id, head.status))
            headers = self.dialect.make_reply_headers(head)
            await reply.start(head.status, headers)
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
        age_s = self.state.proof.get_age_s(anyio.current_time())
        emit(
            events.Refused(
                req=call.req_id,
                reason=reason.value,
                status=STATUSES[reason],
                proof_age_ms=round(min(age_s, MOST_AGE_S) * MS),
                version=self.state.version,
                sendings=len(job.history.sendings) if job else 0,
            ),
        )
        come_back_s = max(RETRY_AFTER_S, job.retry_after_s if job else 0)
        headers = self._make_headers(reason, come_back_s)
        await reply.start(STATUSES[reason], headers)
        await reply.finish()

    def _make_headers(self, reason: Refusal, come_back_s: float) -> Headers:
        headers: Headers = ((b'content-length', b'0'),)
        if STATUSES[reason] != HTTPStatus.SERVICE_UNAVAILABLE:
            return headers
        jitter_s = self.state.rng.uniform(0, RETRY_AFTER_JITTER_S)
        after = f'{come_back_s + jitter_s:.2f}'
        return (*headers, (b'retry-after', after.encode()))

    def _log_admitted(self, job: Job) -> None:
        left_s = job.deadline - job.call.arrived_at
        emit(
            events.Admitted(
                req=job.call.req_id,
                route=job.route.name,
                service=job.service,
                team=job.team.team,
                version=self.state.version,
                left_ms=round(left_s * MS),
                objective_ms=round(job.route.objective_s * MS),
                pause_ms=round(job.route.pause_s * MS),
                worth=round(get_worth(job.ask.size), 2),
                fingerprint=job.fingerprint,
            ),
        )


def _choose_refusal(
    refusal: Refusal | None, placement: Placement | Refusal
) -> Refusal:
    """Return the refusal that came of checking or else of selecting."""
    if refusal is None and isinstance(placement, Refusal):
        return placement
    return refusal or Refusal.no_target


def _weaken_refusal(job: Job, reason: Refusal) -> Refusal:
    """Return the refusal that says no more than what is known to be true."""
    if job.may_have_run:
        return Refusal.timeout if reason is Refusal.timeout else Refusal.failed
    if reason is Refusal.timeout:
        return Refusal.not_run_in_time
    return Refusal.not_run if reason is Refusal.failed else reason


def _exclude_targets(job: Job, placement: Placement, sending: Sending) -> None:
    """Remember which targets the next sending should keep away from.

    Who is at fault in a rejection is noted where the answer is read; silence
    may be anybody's who was involved.
    """
    if sending.ending is Ending.rejected:
        return
    job.tried.add(placement.target.incarnation)
    if sending.ending is Ending.lost:
        job.tried.update(one.incarnation for one in placement.helpers)


def _log_ending(job: Job, sending: Sending, took_ms: int) -> None:
    req = job.call.req_id
    if sending.ending is Ending.answered:
        emit(_make_answered_event(job, sending, took_ms))
        return
    emit(
        events.SendingEnded(
            req=req,
            ending=sending.ending.value,
            step=sending.step,
            peer=sending.peer,
            detail=sending.detail,
            took_ms=took_ms,
            sign=sending.sign.value,
            fingerprint=job.fingerprint,
        )
    )


def _make_answered_event(
    job: Job, sending: Sending, took_ms: int
) -> events.Answered:
    arrived_at = job.call.arrived_at
    first_s = (job.first_event_at or arrived_at) - arrived_at
    return events.Answered(
        req=job.call.req_id,
        peer=sending.peer,
        detail=sending.detail,
        took_ms=took_ms,
        first_ms=round(first_s * MS),
        longest_ms=round(job.longest_pause_s * MS),
    )
