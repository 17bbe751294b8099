"""
Attempts
========

One attempt to have a target run a request: the request enters the load table,
memory is reserved where the prompt needs it, the request is written and the
answer received.  The load table entry and the reservations are removed on every
path.
"""

import math
from dataclasses import replace

import anyio

from trestledock.entry import _events as events
from trestledock.entry._admission import recheck
from trestledock.entry._answering import AnswerReceiver
from trestledock.entry._dialect import Dialect, ForwardingContext
from trestledock.entry._evacuations import log_send_to_evacuated
from trestledock.entry._job import Job, Refusal
from trestledock.entry._logger import emit
from trestledock.entry._pool import Pool
from trestledock.entry._notices import log_send_against_notices
from trestledock.entry._ordering import record_usage
from trestledock.entry._reply import Reply
from trestledock.entry._selecting import make_flight
from trestledock.entry._state import EntryState
from trestledock.entry._tickets import Tickets
from trestledock.entry._wire import Wire, WireError
from trestledock.relay import (
    CLAIM_DELAY_S,
    MAX_AGE_S,
    AttemptOutcome,
    Flight,
    ListedTarget,
    Placement,
    RelayAttempt,
    FailureKind,
    find_prior_claim,
    needs_claim,
)

MS = 1000
#: How long after a rejection no connection is opened for the same request, in
#: seconds: as long as callers wait at least that are told to come back.
RETURN_PAUSE_S = 0.25


class Sender:
    """Sends the requests of one entry process."""

    def __init__(
        self,
        state: EntryState,
        pool: Pool,
        dialect: Dialect,
        tickets: Tickets,
    ) -> None:
        """Store the state, the connections and the platform's formats."""
        self.state = state
        self.pool = pool
        self.dialect = dialect
        self.tickets = tickets
        self.answer_receiver = AnswerReceiver(state, dialect)

    async def send(
        self,
        job: Job,
        placement: Placement,
        reply: Reply,
    ) -> RelayAttempt:
        """Send a request to a target and forward the answer."""
        now = anyio.current_time()
        flight = make_flight(job, placement, now)
        self._log_placed(job, placement, now)
        if self._returns_too_soon(job, placement.target, now):
            return RelayAttempt(
                AttemptOutcome.not_sent, 'returned', flight.target
            )
        if not job.history.attempts:
            self.state.budgets.record_request(job.service, now)
        reservation_ids: dict[str, str] = {}
        known = self._get_known_flights(flight, placement)
        self.state.load_table.put(flight)
        self.state.record_sent(flight.target, now)
        self.state.notify_own()
        try:
            prior = await self._claim(flight, known)
            if not prior:
                return await self._reserve(
                    job, placement, reply, reservation_ids
                )
        finally:
            self._clean_up(flight.flight_id, reservation_ids)
        return RelayAttempt(
            AttemptOutcome.not_sent, 'claim', flight.target, prior.flight_id
        )

    def _returns_too_soon(
        self, job: Job, target: ListedTarget, now: float
    ) -> bool:
        """Return whether only a new connection could carry a request again.

        A target that has just rejected it is full, and resets connections above
        its limit.
        """
        rejected_at = job.rejected_at.get(target.incarnation, -math.inf)
        if now - rejected_at >= RETURN_PAUSE_S:
            return False
        return not self.pool.has_idle(target, job.call.req_id)

    async def _reserve(
        self,
        job: Job,
        placement: Placement,
        reply: Reply,
        reservation_ids: dict[str, str],
    ) -> RelayAttempt:
        if await self.tickets.reserve(job, placement, reservation_ids):
            return await self._exchange(job, placement, reply, reservation_ids)
        return RelayAttempt(
            AttemptOutcome.not_sent, 'reserve', placement.target.incarnation
        )

    def _get_known_flights(
        self, flight: Flight, placement: Placement
    ) -> set[str] | None:
        """Return the flights known at placement; None if no claim is needed."""
        claims = self.state.placer.policy.claims
        if not claims or not needs_claim(placement, flight.worth):
            return None
        return {
            other.flight_id
            for other in self.state.load_table.get_colocated(flight)
        }

    async def _claim(
        self, flight: Flight, known: set[str] | None
    ) -> Flight | None:
        """Announce a long prompt to the other entries before it is sent.

        Return the flight that takes precedence at one of its engines, if any.
        """
        if known is None:
            return None
        self.state.send_own_changes()
        await anyio.sleep(CLAIM_DELAY_S)
        self.state.receive_messages()
        return find_prior_claim(
            flight, self.state.load_table.get_colocated(flight), known
        )

    def _clean_up(
        self, flight_id: str, reservation_ids: dict[str, str]
    ) -> None:
        self.state.load_table.remove(flight_id)
        self.state.notify_own()
        self.tickets.release(reservation_ids)

    async def _exchange(
        self,
        job: Job,
        placement: Placement,
        reply: Reply,
        reservation_ids: dict[str, str],
    ) -> RelayAttempt:
        peer = placement.target.incarnation
        try:
            wire = await self.pool.acquire(placement.target, job.call.req_id)
        except WireError as exc:
            if exc.failure_kind is not FailureKind.no_link:
                self.state.record_silence(peer, anyio.current_time())
            return RelayAttempt(
                AttemptOutcome.not_sent,
                exc.step,
                peer,
                exc.detail,
                exc.failure_kind,
            )
        obstacle = self._find_obstacle(job, placement) or self._consume_quota(
            job, placement
        )
        if obstacle:
            await wire.close()
            return obstacle
        return await self._write_and_receive(
            job, placement, reply, reservation_ids, wire
        )

    def _find_obstacle(
        self, job: Job, placement: Placement
    ) -> RelayAttempt | None:
        """Return the failed attempt if the request must not be written now.

        Reserving memory and connecting take up to a second, in which the key
        may be revoked, the route may move to another service, a target may
        start to drain, or its data centre may be evacuated.
        """
        refusal = recheck(self.state, job)
        if refusal:
            return RelayAttempt(AttemptOutcome.not_sent, refusal.value, 'self')
        if placement.target.service != job.service:
            return RelayAttempt(
                AttemptOutcome.not_sent, 'moved', placement.target.incarnation
            )
        for target in placement.engaged_targets:
            if not self.state.fleet.is_usable(target.incarnation):
                evacuated = self.state.fleet.is_evacuated(target)
                step = Refusal.evacuated.value if evacuated else 'left'
                return RelayAttempt(
                    AttemptOutcome.not_sent, step, target.incarnation
                )
        return None

    def _consume_quota(
        self, job: Job, placement: Placement
    ) -> RelayAttempt | None:
        """Take the request's share of the rate limits of its targets.

        Return the failed attempt if a limit is exhausted, or a target backs
        off or is cold: since the placement other requests may have used up the
        limit, or the target may have lowered it or asked for a back-off.
        """
        now = anyio.current_time()
        targets = placement.engaged_targets
        restrained = self.state.throttle.acquire(targets, now)
        if restrained:
            step = self._get_restraint(restrained, now)
            return RelayAttempt(
                AttemptOutcome.not_sent, step.value, restrained.incarnation
            )
        if any(map(self.state.throttle.is_restrained, targets)):
            self.state.wait_queue.record_served(job.waiting_request, now)
        record_usage(self.state, job, now, served=True)
        return None

    def _get_restraint(self, target: ListedTarget, now: float) -> Refusal:
        """Return why a target doesn't accept a request now."""
        if self.state.throttle.is_backing_off(target, now):
            return Refusal.backing_off
        if self.state.throttle.cold.can_send(target, now):
            return Refusal.limited
        return Refusal.cold

    async def _write_and_receive(
        self,
        job: Job,
        placement: Placement,
        reply: Reply,
        reservation_ids: dict[str, str],
        wire: Wire,
    ) -> RelayAttempt:
        """Write the request and receive the answer on an open connection."""
        peer = placement.target.incarnation
        idle_s: float = 0
        asked_at = anyio.current_time()
        if wire.is_tunnel:
            emit(
                events.SentThrough(
                    job.call.req_id, peer, wire.via, wire.tunnel_id
                )
            )
        log_send_against_notices(self.state, job.call.req_id, placement)
        log_send_to_evacuated(self.state, job.call.req_id, placement)
        try:
            with self.state.isolation.runs.track(job.names) as run:
                job.run = run
                await self._write(job, placement, reservation_ids, wire)
                attempt, idle_s = await self.answer_receiver.receive(
                    job, placement, wire, reply, asked_at
                )
        except WireError as exc:
            await wire.close()
            self.state.health.record_failure(peer, anyio.current_time())
            self.state.links.record_broken(placement.target, wire, exc)
            # Idle connections fall silent together, while new ones work.
            self.pool.close_idle(peer)
            await self._report_lost(job, placement, exc.failure_kind)
            attempt = RelayAttempt(
                AttemptOutcome.lost,
                exc.step,
                peer,
                exc.detail,
                exc.failure_kind,
            )
        finally:
            await self.pool.release(placement.target, wire, idle_s)
        return replace(
            attempt,
            framing=wire.framing,
            conn=wire.number,
            exchange=wire.names.count,
            is_named=wire.names.is_named,
        )

    async def _report_lost(
        self, job: Job, placement: Placement, failure_kind: FailureKind
    ) -> None:
        """Have the cause checked: a target may have crashed on the request.

        Helpers are done once the answer has begun, and the request is not to
        blame once it has gone on for a while.  The check is shielded:
        otherwise a disconnect of the caller, or the deadline, would leave a
        crash uncounted.
        """
        helpers = () if job.response_begun else placement.helpers
        has_lasted = job.run and job.run.has_lasted(anyio.current_time())
        with anyio.CancelScope(shield=True):
            await self.state.isolation.investigate_failure(
                () if has_lasted else job.names,
                failure_kind,
                (placement.target, *helpers),
            )

    async def _write(
        self,
        job: Job,
        placement: Placement,
        reservation_ids: dict[str, str],
        wire: Wire,
    ) -> None:
        remaining_s = job.deadline - anyio.current_time()
        context = ForwardingContext(
            placement=placement,
            team=job.team.team,
            left_s=remaining_s,
            resume_after=job.resume_after,
            reservation_ids=reservation_ids,
            priority=job.priority,
        )
        job.is_writing = True
        wire.names.begin(job.call.req_id)
        await wire.send(
            job.call.method,
            f'{job.call.path}{job.call.query}',
            self.dialect.make_headers(job.call, context),
            job.call.body.raw,
            self.state.spawn,
        )

    def _get_list_age_s(self, now: float) -> float:
        return min(self.state.get_list_age_s(now), MAX_AGE_S)

    def _log_placed(self, job: Job, placement: Placement, now: float) -> None:
        size = job.call.size
        emit(
            events.Placed(
                req=job.call.req_id,
                peer=placement.target.incarnation,
                helpers=tuple(
                    helper.incarnation for helper in placement.helpers
                ),
                tickets=len(placement.reservations),
                prompt_tokens=size.prompt_tokens if size else 0,
                predicted_ms=round(placement.first_token_s * MS),
                cost=round(placement.cost, 2),
                waited_ms=round((now - job.call.arrived_at) * MS),
                candidates=placement.candidates,
                list_age_ms=round(self._get_list_age_s(now) * MS),
            ),
        )
