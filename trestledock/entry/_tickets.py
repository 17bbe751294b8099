"""
Memory reservations
===================

Reserves memory for prompts that need several engines: at all of them or at
none.  A reservation is identified by an id, renewed while the request is in
progress, and released on every path.  Its lease is short, so that the
reservations of a crashed process expire by themselves.
"""

from dataclasses import dataclass

import anyio

from trestledock.entry import _events as events
from trestledock.entry._cold_targets import record_cold_time
from trestledock.entry._dialect import Dialect, ControlRequest
from trestledock.entry._job import Job
from trestledock.entry._logger import emit
from trestledock.entry._notices import record_order_notices
from trestledock.entry._own_answer import OwnAnswerReader
from trestledock.entry._pool import Pool
from trestledock.entry._reply_timers import fail_if_silent
from trestledock.entry._state import EntryState
from trestledock.entry._wire import Head, Wire, WireError
from trestledock.relay import (
    MAX_NOTE_BYTES,
    NO_NAME,
    ListedTarget,
    Placement,
)

#: The lease of a reservation, in seconds: below the 4 s after which unused
#: memory counts as leaked.
LEASE_S = 3.5
#: The interval between renewals of a reservation, in seconds.
RENEW_INTERVAL_S = 1.2
#: The timeout of a control request, in seconds.
CONTROL_TIMEOUT_S = 0.6
#: How long a connection is kept idle after a control request, in seconds.
CONTROL_IDLE_S = 1.0
#: How often a release is tried before it is left to the lease.
RELEASE_TRIES = 3
OK = 200
#: Statuses that mean that a reservation is released.  At 421 another target has
#: the address by now, and holds no reservation.
RELEASED_STATUSES = frozenset((OK, 421))
#: The status of a control request without an answer.
NO_ANSWER = 0


@dataclass(frozen=True)
class _Order:
    """An order for a reservation, with its operation for the log."""

    operation: str
    reservation_id: str
    request: ControlRequest


class Tickets:
    """Reserves and releases engine memory for one entry process.

    Logs count reservations as `tickets`.
    """

    def __init__(self, state: EntryState, pool: Pool, dialect: Dialect) -> None:
        """Store the state, the connections and the platform's formats."""
        self.state = state
        self.pool = pool
        self.dialect = dialect
        self._renewals: dict[str, anyio.CancelScope] = {}
        self._holders: dict[str, ListedTarget] = {}
        self._count = 0

    async def reserve(
        self,
        job: Job,
        placement: Placement,
        reservation_ids: dict[str, str],
    ) -> bool:
        """Reserve memory at all helpers; return False if one refuses.

        The ids are added to `reservation_ids`, by target.  The caller must
        release them, also after a failure.
        """
        if not placement.reservations:
            return True
        helpers = {helper.incarnation: helper for helper in placement.helpers}
        async with anyio.create_task_group() as group:
            for incarnation, tokens in placement.reservations:
                self._count += 1
                reservation_id = f'{job.call.req_id}-{self._count}'
                group.start_soon(
                    self._reserve_one,
                    helpers[incarnation],
                    reservation_id,
                    tokens,
                    reservation_ids,
                )
        if len(reservation_ids) == len(placement.reservations):
            return True
        wanted = len(placement.reservations)
        emit(
            events.MemoryRefused(job.call.req_id, len(reservation_ids), wanted)
        )
        return False

    def release(self, reservation_ids: dict[str, str]) -> None:
        """Release reservations in the background."""
        for reservation_id in tuple(reservation_ids.values()):
            scope = self._renewals.pop(reservation_id, None)
            if scope:
                scope.cancel()
            holder = self._holders.pop(reservation_id, None)
            if holder:
                self.state.spawn(self._release_one, holder, reservation_id)

    async def _reserve_one(
        self,
        holder: ListedTarget,
        reservation_id: str,
        tokens: int,
        reservation_ids: dict[str, str],
    ) -> None:
        # The evacuation of its data centre may have begun since the placement.
        if self.state.fleet.is_evacuated(holder):
            return
        order = self._make_reserve('reserve', reservation_id, tokens, holder)
        # From here on the memory may be reserved, whatever the answer is.
        self._holders[reservation_id] = holder
        reservation_ids[holder.incarnation] = reservation_id
        status = await self._send_control(holder, order)
        if status == OK:
            scope = anyio.CancelScope()
            self._renewals[reservation_id] = scope
            self.state.spawn(self._renew, scope, holder, reservation_id, tokens)
            return
        reservation_ids.pop(holder.incarnation)
        self._holders.pop(reservation_id, None)
        if status == NO_ANSWER:
            self.state.spawn(self._release_one, holder, reservation_id)

    async def _renew(
        self,
        scope: anyio.CancelScope,
        holder: ListedTarget,
        reservation_id: str,
        tokens: int,
    ) -> None:
        """Renew a reservation until it is released or its target restarts.

        A new incarnation doesn't know the id, and a renewal would reserve
        memory there in vain.
        """
        with scope:
            while True:
                await anyio.sleep(RENEW_INTERVAL_S)
                if self.state.fleet.is_superseded(holder):
                    return
                order = self._make_reserve(
                    'renew', reservation_id, tokens, holder
                )
                await self._send_control(holder, order)

    async def _release_one(
        self, holder: ListedTarget, reservation_id: str
    ) -> None:
        for _ in range(RELEASE_TRIES):
            request = self.dialect.make_release(reservation_id, holder)
            order = _Order('release', reservation_id, request)
            if await self._send_control(holder, order) in RELEASED_STATUSES:
                return

    def _make_reserve(
        self,
        operation: str,
        reservation_id: str,
        tokens: int,
        holder: ListedTarget,
    ) -> _Order:
        request = self.dialect.make_reserve(
            reservation_id, tokens, LEASE_S, holder
        )
        return _Order(operation, reservation_id, request)

    async def _send_control(self, holder: ListedTarget, order: _Order) -> int:
        """Send a control request; return its status, zero without an answer."""
        try:
            with fail_if_silent(CONTROL_TIMEOUT_S):
                head = await self._exchange(holder, order)
        except (WireError, TimeoutError) as exc:
            emit(events.OrderLost(holder.incarnation, repr(exc)))
            return NO_ANSWER
        return head.status

    async def _exchange(self, holder: ListedTarget, order: _Order) -> Head:
        wire = await self.pool.acquire(holder, NO_NAME)
        idle_s: float = 0
        asked_at = anyio.current_time()
        try:
            await self._write(order.request, wire)
            head = await self._read_answer(holder, order, wire, asked_at)
            idle_s = CONTROL_IDLE_S
        finally:
            await self.pool.release(holder, wire, idle_s)
        emit(
            events.OrderAnswered(
                peer=holder.incarnation,
                operation=order.operation,
                reservation=order.reservation_id,
                status=head.status,
                conn=wire.number,
                exchange=wire.names.count,
            )
        )
        return head

    async def _write(self, request: ControlRequest, wire: Wire) -> None:
        wire.names.begin(NO_NAME)
        await wire.send(
            request.method,
            request.path,
            request.headers,
            request.body,
            self.state.spawn,
        )

    async def _read_answer(
        self,
        holder: ListedTarget,
        order: _Order,
        wire: Wire,
        asked_at: float,
    ) -> Head:
        reader = OwnAnswerReader(
            self.dialect, wire, holder.incarnation, order.reservation_id
        )
        head, answer = await reader.read_head()
        self.state.links.record_answer(holder, wire)
        record_order_notices(self.state, holder, head.status, answer, asked_at)
        if self.state.settings.cold_bounds and head.status == OK:
            cold = self.dialect.read_cold_time(head)
            record_cold_time(self.state, holder.incarnation, cold, asked_at)
        wire.limit_body(MAX_NOTE_BYTES)
        await wire.read_body()
        return head
