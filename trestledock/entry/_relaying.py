"""
Relaying
========

The life of a relayed request: admitted, placed, sent, and answered, repeated
elsewhere or given up.  Whatever happens, the caller gets one final answer
within its time, and nothing stays behind at a target.
"""

import logging
from typing import Any

import anyio

from trestledock.entry._admission import admit, check_again
from trestledock.entry._answering import Answering
from trestledock.entry._dialect import Dialect, Passing
from trestledock.entry._job import STATUSES, Job, Refusal
from trestledock.entry._pool import Pool
from trestledock.entry._reply import CutReply, Reply
from trestledock.entry._selecting import make_flight, select
from trestledock.entry._state import EntryState
from trestledock.entry._tickets import Tickets
from trestledock.entry._wire import WireError
from trestledock.relay import Call, Ending, Placement, Sending

#: When to come back after a refusal, in seconds, before jitter.
COME_BACK_S = 0.25
#: The most that is added to it by chance, in seconds.
COME_BACK_JITTER_S = 0.25
#: How long after its deadline a request may at most be held, in seconds.
DEADLINE_SLACK_S = 0.0

log = logging.getLogger('trestledock.relay')


class Relayer:
    """Relays calls for one entry process."""

    def __init__(
        self,
        state: EntryState,
        pool: Pool,
        dialect: Dialect,
        tickets: Tickets,
    ) -> None:
        """Keep the state, the connections and the platform's formats."""
        self.state = state
        self.pool = pool
        self.dialect = dialect
        self.tickets = tickets
        self.answering = Answering(state, pool, dialect)

    async def relay(self, call: Call, reply: Reply) -> None:
        """Give a call its final answer, or raise `CutReply`."""
        job = admit(self.state, call, anyio.current_time())
        if isinstance(job, Refusal):
            await self._refuse(call, reply, job)
            return
        note(job, 'admitted', service=job.service, team=job.team)
        with anyio.CancelScope(deadline=job.deadline + DEADLINE_SLACK_S) as scope:
            await self._run(job, reply)
        if scope.cancelled_caught:
            await self._give_up(job, reply, Refusal.timeout)

    async def _run(self, job: Job, reply: Reply) -> None:
        while True:
            placement = await select(self.state, job)
            now = anyio.current_time()
            refusal = check_again(self.state, job, now)
            if refusal or isinstance(placement, Refusal):
                reason = refusal or placement
                await self._give_up(job, reply, reason)  # type: ignore[arg-type]
                return
            sending = await self._send(job, placement, reply)
            job.history = job.history.add(sending)
            job.writing = False
            _avoid(job, placement, sending)
            if sending.ending is Ending.answered:
                note(job, 'answered', peer=sending.peer, detail=sending.detail)
                return
            note(
                job,
                'sending_ended',
                ending=sending.ending.value,
                step=sending.step,
                peer=sending.peer,
                detail=sending.detail,
            )
            if not self._may_repeat(job, now=anyio.current_time()):
                await self._give_up(job, reply, Refusal.failed)
                return

    def _may_repeat(self, job: Job, now: float) -> bool:
        if not job.history.may_repeat(job.route):
            return False
        if job.history.sendings[-1].ending is Ending.not_sent:
            return True
        window = self.state.get_window(job.service)
        return window.spend(now, self.state.board.count_peers() + 1)

    async def _send(
        self,
        job: Job,
        placement: Placement,
        reply: Reply,
    ) -> Sending:
        now = anyio.current_time()
        target = placement.target
        flight = make_flight(job, placement, now)
        self.state.board.put(flight)
        self.state.notify()
        if not job.history.sendings:
            self.state.get_window(job.service).earn(now)
        note(
            job,
            'placed',
            peer=target.target_id,
            helpers=[one.target_id for one in placement.helpers],
            tickets=len(placement.tickets),
            first_ms=round(placement.first_s * 1000),
            cost=round(placement.cost, 2),
            waited_ms=round((now - job.call.arrived_at) * 1000),
            size=job.call.size.prompt_tokens if job.call.size else 0,
        )
        held = await self.tickets.reserve(job, placement)
        try:
            if held is None:
                return Sending(Ending.not_sent, 'reserve', target.target_id)
            return await self._exchange(job, placement, reply, held)
        finally:
            self.state.board.remove(flight.flight_id)
            self.state.notify()
            self.tickets.release(held or {})

    async def _exchange(
        self,
        job: Job,
        placement: Placement,
        reply: Reply,
        held: dict[str, str],
    ) -> Sending:
        target = placement.target
        try:
            wire = await self.pool.take(target)
        except WireError as exc:
            now = anyio.current_time()
            self.state.note_silence(target.target_id, now)
            return Sending(
                Ending.not_sent, exc.step, target.target_id, exc.detail
            )
        try:
            left_s = job.deadline - anyio.current_time()
            passing = Passing(
                placement, job.team, left_s, job.resume_after, held
            )
            refusal = check_again(self.state, job, anyio.current_time())
            if refusal:
                return Sending(Ending.not_sent, refusal.value, 'self')
            job.writing = True
            await wire.send(
                job.call.method,
                job.call.path + job.call.query,
                self.dialect.make_headers(job.call, passing),
                job.call.body,
                self.state.spawn,
            )
            sending, idle_s = await self.answering.receive(
                job, placement, wire, reply
            )
        except WireError as exc:
            await wire.close()
            self.state.health.note_failure(
                target.target_id, anyio.current_time()
            )
            return Sending(Ending.lost, exc.step, target.target_id, exc.detail)
        except BaseException:
            await wire.close()
            raise
        await self.pool.give(target, wire, idle_s)
        return sending

    async def _give_up(self, job: Job, reply: Reply, reason: Refusal) -> None:
        """End a request that no target answered."""
        if reply.started:
            note(job, 'cut', reason=reason.value)
            raise CutReply(reason.value)
        if job.fallback and reason is Refusal.failed:
            note(job, 'failure_passed_on', status=job.fallback.head.status)
            headers = self.dialect.make_reply_headers(job.fallback.head)
            await reply.start(job.fallback.head.status, headers)
            await reply.finish(job.fallback.body)
            return
        await self._refuse(job.call, reply, _get_refusal(job, reason))

    async def _refuse(self, call: Call, reply: Reply, reason: Refusal) -> None:
        status = STATUSES[reason]
        headers: list[tuple[bytes, bytes]] = [(b'content-length', b'0')]
        if status == 503:
            jitter_s = self.state.rng.uniform(0, COME_BACK_JITTER_S)
            after = f'{COME_BACK_S + jitter_s:.2f}'
            headers.append((b'retry-after', after.encode()))
        log.info(
            'refused',
            extra={
                'req': call.req_id,
                'reason': reason.value,
                'status': status,
                'proof_age_s': round(
                    self.state.proof.get_age_s(anyio.current_time()), 2
                ),
            },
        )
        await reply.start(status, tuple(headers))
        await reply.finish()


def _get_refusal(job: Job, reason: Refusal) -> Refusal:
    """Return the refusal that says no more than what is known to be true."""
    if job.may_have_run:
        return Refusal.timeout if reason is Refusal.timeout else Refusal.failed
    if reason is Refusal.timeout:
        return Refusal.not_run_in_time
    return Refusal.not_run if reason is Refusal.failed else reason


def _avoid(job: Job, placement: Placement, sending: Sending) -> None:
    """Remember which targets the next sending should keep away from.

    A rejection may name the helper at fault, which is noted where the answer
    is read; silence may be anybody's who was involved.
    """
    if sending.ending is Ending.rejected and placement.helpers:
        return
    job.tried.add(placement.target.target_id)
    if sending.ending is Ending.lost:
        job.tried.update(one.target_id for one in placement.helpers)


def note(job: Job, event: str, **fields: Any) -> None:
    """Log one decision on a request."""
    log.info(event, extra={'req': job.call.req_id, **fields})
