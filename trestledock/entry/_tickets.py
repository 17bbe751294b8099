"""
Memory reserved at engines
==========================

Tickets for prompts that need the memory of several engines: all or nothing,
renewed while the request lives, given back on every path.  The lease of a
ticket is short, so that the tickets of a process that died lapse by
themselves.
"""

import anyio

from trestledock.entry import _events as events
from trestledock.entry._dialect import Dialect, ControlRequest
from trestledock.entry._job import Job
from trestledock.entry._logger import emit
from trestledock.entry._notices import record_order_notices
from trestledock.entry._pool import Pool
from trestledock.entry._state import EntryState
from trestledock.entry._wire import Head, Wire, WireError
from trestledock.relay import ListedTarget, Placement

#: The lease of a ticket, in seconds: below the time after which memory that
#: nobody uses counts as leaked (4 s).
HOLD_S = 3.5
#: How often a ticket is renewed, in seconds.
RENEW_INTERVAL_S = 1.2
#: How long an order may take, in seconds.
ORDER_S = 0.6
#: How long a connection that took an order is kept, in seconds.
ORDER_IDLE_S = 1.0
#: How often a ticket is given back before its lease has to end it.
RELEASE_TRIES = 3
OK = 200
#: Statuses after which a ticket is given back: another target that has the
#: address by now (421) holds none.
DONE = frozenset((OK, 421))
#: What stands for the status where no answer came.
NO_ANSWER = 0


class Tickets:
    """Reserves and gives back memory for one entry process."""

    def __init__(self, state: EntryState, pool: Pool, dialect: Dialect) -> None:
        """Keep the connections and the platform's formats."""
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
        held: dict[str, str],
    ) -> bool:
        """Fill `held` with tickets by target; False where one is missing.

        What is held must be released by the caller, also after a failure.
        """
        if not placement.reservations:
            return True
        by_name = {one.incarnation: one for one in placement.helpers}
        async with anyio.create_task_group() as group:
            for name, tokens in placement.reservations:
                self._count += 1
                ticket = f'{job.call.req_id}-{self._count}'
                group.start_soon(
                    self._reserve_one, by_name[name], ticket, tokens, held
                )
        if len(held) == len(placement.reservations):
            return True
        asked = len(placement.reservations)
        emit(events.MemoryRefused(job.call.req_id, len(held), asked))
        return False

    def release(self, held: dict[str, str]) -> None:
        """Give tickets back in the background."""
        for ticket in tuple(held.values()):
            scope = self._renewals.pop(ticket, None)
            if scope:
                scope.cancel()
            holder = self._holders.pop(ticket, None)
            if holder:
                self.state.spawn(self._release_one, holder, ticket)

    async def _reserve_one(
        self,
        holder: ListedTarget,
        ticket: str,
        tokens: int,
        held: dict[str, str],
    ) -> None:
        order = self.dialect.make_reserve(ticket, tokens, HOLD_S, holder)
        # From here on the memory may be set aside, whatever is answered.
        self._holders[ticket] = holder
        held[holder.incarnation] = ticket
        status = await self._order(holder, order)
        if status == OK:
            scope = anyio.CancelScope()
            self._renewals[ticket] = scope
            self.state.spawn(self._renew, scope, holder, ticket, tokens)
            return
        held.pop(holder.incarnation)
        self._holders.pop(ticket, None)
        if status == NO_ANSWER:
            self.state.spawn(self._release_one, holder, ticket)

    async def _renew(
        self,
        scope: anyio.CancelScope,
        holder: ListedTarget,
        ticket: str,
        tokens: int,
    ) -> None:
        """Renew a ticket until the scope ends, or the target's incarnation.

        The next incarnation knows nothing of the ticket, and a renewal would
        set memory aside there for nobody.
        """
        with scope:
            while True:
                await anyio.sleep(RENEW_INTERVAL_S)
                if self.state.fleet.is_superseded(holder):
                    return
                order = self.dialect.make_reserve(
                    ticket, tokens, HOLD_S, holder
                )
                await self._order(holder, order)

    async def _release_one(self, holder: ListedTarget, ticket: str) -> None:
        for _ in range(RELEASE_TRIES):
            order = self.dialect.make_release(ticket, holder)
            if await self._order(holder, order) in DONE:
                return

    async def _order(self, holder: ListedTarget, order: ControlRequest) -> int:
        """Give an order; return its status, zero where none came."""
        try:
            with anyio.fail_after(ORDER_S):
                head = await self._exchange(holder, order)
        except (WireError, TimeoutError) as exc:
            emit(events.OrderLost(holder.incarnation, repr(exc)))
            return NO_ANSWER
        return head.status

    async def _exchange(
        self, holder: ListedTarget, order: ControlRequest
    ) -> Head:
        wire = await self.pool.acquire(holder)
        idle_s: float = 0
        asked_at = anyio.current_time()
        try:
            await wire.send(
                order.method,
                order.path,
                order.headers,
                order.body,
                self.state.spawn,
            )
            head = await self._read_answer(holder, wire, asked_at)
            idle_s = ORDER_IDLE_S
        finally:
            await self.pool.release(holder, wire, idle_s)
        return head

    async def _read_answer(
        self, holder: ListedTarget, wire: Wire, asked_at: float
    ) -> Head:
        head = await wire.read_head()
        answer = self.dialect.read_head(head)
        record_order_notices(self.state, holder, head.status, answer, asked_at)
        await wire.read_body()
        return head
