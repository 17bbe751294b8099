"""
Sending to one target
=====================

One sending of a request: the flight is put on the board, memory is reserved
where the prompt needs it, the request is written and its answer received.
Whatever happens, nothing of it stays behind.
"""

import anyio

from trestledock.entry import _events as events
from trestledock.entry._admission import check_again
from trestledock.entry._answering import Answering
from trestledock.entry._dialect import Dialect, ForwardingContext
from trestledock.entry._job import Job, Refusal
from trestledock.entry._logger import emit
from trestledock.entry._pool import Pool
from trestledock.entry._notices import log_send_against_notices
from trestledock.entry._reply import Reply
from trestledock.entry._selecting import make_flight
from trestledock.entry._state import MAX_AGE_S, EntryState
from trestledock.entry._tickets import Tickets
from trestledock.entry._wire import Wire, WireError
from trestledock.relay import (
    CLAIM_DELAY_S,
    AttemptOutcome,
    Flight,
    Placement,
    RelayAttempt,
    FailureKind,
    find_prior_claim,
    needs_claim,
)

MS = 1000


class Sender:
    """Sends requests for one entry process."""

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
        self.answering = Answering(state, dialect)

    async def send(
        self,
        job: Job,
        placement: Placement,
        reply: Reply,
    ) -> RelayAttempt:
        """Send a request to a target and pass its answer on."""
        now = anyio.current_time()
        flight = make_flight(job, placement, now)
        self._note_placed(job, placement, now)
        if not job.history.attempts:
            self.state.budgets.record_request(job.service, now)
        held: dict[str, str] = {}
        known = self._get_known(flight, placement)
        self.state.board.put(flight)
        self.state.record_sent(flight.target, now)
        self.state.notify_own()
        try:
            prior = await self._claim(flight, known)
            if not prior:
                return await self._reserve(job, placement, reply, held)
        finally:
            self._clean_up(flight.flight_id, held)
        return RelayAttempt(
            AttemptOutcome.not_sent, 'claim', flight.target, prior.flight_id
        )

    async def _reserve(
        self,
        job: Job,
        placement: Placement,
        reply: Reply,
        held: dict[str, str],
    ) -> RelayAttempt:
        if await self.tickets.reserve(job, placement, held):
            return await self._exchange(job, placement, reply, held)
        return RelayAttempt(
            AttemptOutcome.not_sent, 'reserve', placement.target.incarnation
        )

    def _get_known(
        self, flight: Flight, placement: Placement
    ) -> set[str] | None:
        """Return what a claim reckons with; None for what needs no claim."""
        claims = self.state.placer.policy.claims
        if not claims or not needs_claim(placement, flight.worth):
            return None
        return {one.flight_id for one in self.state.board.get_colocated(flight)}

    async def _claim(
        self, flight: Flight, known: set[str] | None
    ) -> Flight | None:
        """Have others know of a long prompt before it is sent.

        Return what goes before it at an engine, if anything does.
        """
        if known is None:
            return None
        self.state.send_own_changes()
        await anyio.sleep(CLAIM_DELAY_S)
        self.state.receive_messages()
        return find_prior_claim(
            flight, self.state.board.get_colocated(flight), known
        )

    def _clean_up(self, flight_id: str, held: dict[str, str]) -> None:
        self.state.board.remove(flight_id)
        self.state.notify_own()
        self.tickets.release(held)

    async def _exchange(
        self,
        job: Job,
        placement: Placement,
        reply: Reply,
        held: dict[str, str],
    ) -> RelayAttempt:
        peer = placement.target.incarnation
        try:
            wire = await self.pool.acquire(placement.target)
        except WireError as exc:
            self.state.record_silence(peer, anyio.current_time())
            return RelayAttempt(
                AttemptOutcome.not_sent,
                exc.step,
                peer,
                exc.detail,
                exc.failure_kind,
            )
        obstacle = self._find_obstacle(job, placement) or self._find_restrained(
            job, placement
        )
        if obstacle:
            await wire.close()
            return obstacle
        return await self._talk(job, placement, reply, held, wire)

    def _find_obstacle(
        self, job: Job, placement: Placement
    ) -> RelayAttempt | None:
        """Return why nothing may be written, as it is known by now.

        Reserving memory and connecting take up to a second, in which a key may
        be taken away, a route may move to another service, or a target may
        leave.
        """
        refusal = check_again(self.state, job)
        if refusal:
            return RelayAttempt(AttemptOutcome.not_sent, refusal.value, 'self')
        if placement.target.service != job.service:
            return RelayAttempt(
                AttemptOutcome.not_sent, 'moved', placement.target.incarnation
            )
        for one in placement.engaged_targets:
            if not self.state.fleet.is_usable(one.incarnation):
                return RelayAttempt(
                    AttemptOutcome.not_sent, 'left', one.incarnation
                )
        return None

    def _find_restrained(
        self, job: Job, placement: Placement
    ) -> RelayAttempt | None:
        """Take the request's part of what its targets take a second.

        Return why nothing may be written, where nothing is left of it: others
        may have been faster, or a target may have asked for less, or for rest,
        meanwhile.
        """
        now = anyio.current_time()
        engaged = placement.engaged_targets
        restrained = self.state.throttle.acquire(engaged, now)
        if restrained:
            resting = self.state.throttle.is_backing_off(restrained, now)
            step = Refusal.resting if resting else Refusal.limited
            return RelayAttempt(
                AttemptOutcome.not_sent, step.value, restrained.incarnation
            )
        if any(map(self.state.throttle.is_restrained, engaged)):
            self.state.turns.record_served(job.turn, now)
        return None

    async def _talk(
        self,
        job: Job,
        placement: Placement,
        reply: Reply,
        held: dict[str, str],
        wire: Wire,
    ) -> RelayAttempt:
        """Write the request and take the answer on an open connection."""
        peer = placement.target.incarnation
        idle_s: float = 0
        asked_at = anyio.current_time()
        log_send_against_notices(self.state, job.call.req_id, placement)
        try:
            await self._write(job, placement, held, wire)
            sending, idle_s = await self.answering.receive(
                job, placement, wire, reply, asked_at
            )
        except WireError as exc:
            self.state.health.record_failure(peer, anyio.current_time())
            # Connections that go silent do so together, while new ones work.
            self.pool.close_idle(peer)
            await self._find_out(job, placement, exc.failure_kind)
            return RelayAttempt(
                AttemptOutcome.lost,
                exc.step,
                peer,
                exc.detail,
                exc.failure_kind,
            )
        finally:
            await self.pool.release(placement.target, wire, idle_s)
        return sending

    async def _find_out(
        self, job: Job, placement: Placement, sign: FailureKind
    ) -> None:
        """Have it found out whether a target has ended under a request.

        Once the answer has begun, those that helped to read it are done.  A
        caller that leaves, or a deadline, would leave an end uncounted.
        """
        helpers = () if job.begun else placement.helpers
        with anyio.CancelScope(shield=True):
            await self.state.isolation.investigate_failure(
                job.fingerprint, sign, (placement.target, *helpers)
            )

    async def _write(
        self,
        job: Job,
        placement: Placement,
        held: dict[str, str],
        wire: Wire,
    ) -> None:
        left_s = job.deadline - anyio.current_time()
        passing = ForwardingContext(
            placement=placement,
            team=job.team.team,
            left_s=left_s,
            resume_after=job.resume_after,
            tickets=held,
            priority=job.priority,
        )
        job.writing = True
        await wire.send(
            job.call.method,
            f'{job.call.path}{job.call.query}',
            self.dialect.make_headers(job.call, passing),
            job.call.body.raw,
            self.state.spawn,
        )

    def _get_list_age_s(self, now: float) -> float:
        return min(self.state.get_list_age_s(now), MAX_AGE_S)

    def _note_placed(self, job: Job, placement: Placement, now: float) -> None:
        size = job.call.size
        emit(
            events.Placed(
                req=job.call.req_id,
                peer=placement.target.incarnation,
                helpers=tuple(one.incarnation for one in placement.helpers),
                tickets=len(placement.reservations),
                prompt_tokens=size.prompt_tokens if size else 0,
                predicted_ms=round(placement.first_token_s * MS),
                cost=round(placement.cost, 2),
                waited_ms=round((now - job.call.arrived_at) * MS),
                candidates=placement.candidates,
                list_age_ms=round(self._get_list_age_s(now) * MS),
            ),
        )
