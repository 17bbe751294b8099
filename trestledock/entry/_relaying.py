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
from trestledock.entry._admission import admit, check_again, is_quarantined
from trestledock.entry._dialect import Dialect
from trestledock.entry._job import STATUSES, Job, Refusal
from trestledock.entry._logger import emit
from trestledock.entry._reply import CutReply, Reply
from trestledock.entry._selecting import select
from trestledock.entry._sending import Sender
from trestledock.entry._state import MAX_AGE_S, EntryState
from trestledock.entry._wire import Headers
from trestledock.relay import (
    PLACEMENT_RETRY_S,
    Call,
    AttemptOutcome,
    Placement,
    RelayAttempt,
    get_worth,
)

#: When to come back after a refusal, in seconds and at least, before jitter.
COME_BACK_S = 0.25
#: The most that is added to it by chance, in seconds.
COME_BACK_JITTER_S = 0.25
#: The pause before what was not sent is tried again, in seconds.
TRY_AGAIN_S = 0.1
#: Refusals in whose place a target's own failure is told: it is the truer word.
FAILURES = frozenset((Refusal.failed, Refusal.timeout))
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
        self._note_admitted(job)
        if is_quarantined(self.state, job):
            job.is_trial = await self.state.isolation.may_probe(job.fingerprint)
        with anyio.CancelScope(deadline=job.deadline) as scope:
            with self.state.track_unanswered(reply, scope):
                await self._run(job, reply)
        if scope.cancelled_caught:
            over = anyio.current_time() >= job.deadline
            reason = Refusal.timeout if over else Refusal.failed
            await self._give_up(job, reply, reason)

    async def turn_away(self, call: Call, reply: Reply) -> None:
        """Refuse a call that comes too late to be relayed."""
        await self._refuse(call, reply, Refusal.not_run)

    async def _run(self, job: Job, reply: Reply) -> None:
        """Send to one target after the other until one has answered."""
        while True:
            placement = await select(self.state, job)
            refusal = check_again(self.state, job)
            if refusal or isinstance(placement, Refusal):
                await self._give_up(job, reply, _pick(refusal, placement))
                return
            sending = await self._send(job, placement, reply)
            if sending.outcome is AttemptOutcome.answered:
                return
            if is_quarantined(self.state, job):
                await self._give_up(job, reply, Refusal.quarantined)
                return
            if not await self._may_repeat(job):
                await self._give_up(job, reply, Refusal.failed)
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
        began_at = anyio.current_time()
        sending = await self.sender.send(job, placement, reply)
        job.history = job.history.add(sending)
        job.writing = False
        if sending.outcome is AttemptOutcome.answered:
            self.state.isolation.record_answered(job.fingerprint)
        _avoid(job, placement, sending)
        took_ms = round((anyio.current_time() - began_at) * MS)
        _note_ending(job, sending, took_ms)
        return sending

    async def _may_repeat(self, job: Job) -> bool:
        """Whether to go on elsewhere; an answer that has begun waits for it."""
        if (
            job.begun
            and job.history.attempts[-1].outcome is AttemptOutcome.not_sent
        ):
            return await self._may_try_again(job)
        if not job.history.may_repeat(job.route):
            return False
        if job.history.attempts[-1].outcome is AttemptOutcome.not_sent:
            return True
        while not self._spend(job):
            if not job.begun or anyio.current_time() >= job.timing.abandoned_at:
                return False
            await self.state.wait_for_change(PLACEMENT_RETRY_S)
        return True

    async def _may_try_again(self, job: Job) -> bool:
        """Whether what was not sent is tried again, however often that was.

        An answer that has begun has nothing to lose by it; a moment's pause
        keeps targets that refuse connections from using up its time.
        """
        if not job.history.may_run_again(job.route):
            return False
        await anyio.sleep(TRY_AGAIN_S)
        return anyio.current_time() < job.timing.abandoned_at

    def _spend(self, job: Job) -> bool:
        if job.has_repeat:
            job.has_repeat = False
            return True
        return self.state.budgets.spend_retry(job.service, anyio.current_time())

    async def _give_up(self, job: Job, reply: Reply, reason: Refusal) -> None:
        """End a request that no target answered."""
        if reply.started:
            emit(events.Cut(job.call.req_id, reason.value))
            raise CutReply(reason.value)
        refusal = _get_refusal(job, reason)
        if refusal is Refusal.quarantined:
            isolation = self.state.isolation
            job.come_back_s = isolation.get_retry_after_s(job.fingerprint)
        if job.fallback and refusal in FAILURES:
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
                proof_age_ms=round(min(age_s, MAX_AGE_S) * MS),
                version=self.state.version,
                sendings=len(job.history.attempts) if job else 0,
            ),
        )
        come_back_s = max(COME_BACK_S, job.come_back_s if job else 0)
        headers = self._make_headers(reason, come_back_s)
        await reply.start(STATUSES[reason], headers)
        await reply.finish()

    def _make_headers(self, reason: Refusal, come_back_s: float) -> Headers:
        headers: Headers = ((b'content-length', b'0'),)
        if STATUSES[reason] != HTTPStatus.SERVICE_UNAVAILABLE:
            return headers
        jitter_s = self.state.rng.uniform(0, COME_BACK_JITTER_S)
        after = f'{come_back_s + jitter_s:.2f}'
        return (*headers, (b'retry-after', after.encode()))

    def _note_admitted(self, job: Job) -> None:
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


def _pick(refusal: Refusal | None, placement: Placement | Refusal) -> Refusal:
    """Return the refusal that came of checking or else of selecting."""
    if refusal is None and isinstance(placement, Refusal):
        return placement
    return refusal or Refusal.no_target


def _get_refusal(job: Job, reason: Refusal) -> Refusal:
    """Return the refusal that says no more than what is known to be true."""
    if job.may_have_run:
        return Refusal.timeout if reason is Refusal.timeout else Refusal.failed
    if reason is Refusal.timeout:
        return Refusal.not_run_in_time
    return Refusal.not_run if reason is Refusal.failed else reason


def _avoid(job: Job, placement: Placement, sending: RelayAttempt) -> None:
    """Remember which targets the next sending should keep away from.

    Who is at fault in a rejection is noted where the answer is read; silence
    may be anybody's who was involved.
    """
    if sending.outcome is AttemptOutcome.rejected:
        return
    job.tried.add(placement.target.incarnation)
    if sending.outcome is AttemptOutcome.lost:
        job.tried.update(one.incarnation for one in placement.helpers)


def _note_ending(job: Job, sending: RelayAttempt, took_ms: int) -> None:
    req = job.call.req_id
    if sending.outcome is AttemptOutcome.answered:
        emit(_make_answered(job, sending, took_ms))
        return
    emit(
        events.SendingEnded(
            req=req,
            ending=sending.outcome.value,
            step=sending.step,
            peer=sending.peer,
            detail=sending.detail,
            took_ms=took_ms,
            sign=sending.failure_kind.value,
            fingerprint=job.fingerprint,
        )
    )


def _make_answered(
    job: Job, sending: RelayAttempt, took_ms: int
) -> events.Answered:
    arrived_at = job.call.arrived_at
    first_s = (job.first_event_at or arrived_at) - arrived_at
    return events.Answered(
        req=job.call.req_id,
        peer=sending.peer,
        detail=sending.detail,
        took_ms=took_ms,
        first_ms=round(first_s * MS),
        longest_ms=round(job.longest_s * MS),
    )
