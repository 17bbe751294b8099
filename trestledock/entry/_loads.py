"""
Loads of other data centres
===========================

Queries entries of other data centres for the loads of their targets when a
prompt needs it, and answers their queries.
"""

from typing import Any, Mapping, Sequence
from urllib.parse import urlencode

import anyio

from trestledock.entry import _events as events
from trestledock.entry._checks import read_list
from trestledock.entry._datagrams import Address
from trestledock.entry._gossip import Gossip
from trestledock.entry._logger import emit
from trestledock.entry._peer_calls import CALL_ERRORS, call_peer
from trestledock.entry._flight_codec import decode_change, encode_change
from trestledock.entry._reply_timers import fail_if_silent
from trestledock.entry._state import EntryState
from trestledock.relay import Flight, RemoteLoad, summarize_load, encode_json

LOAD_PATH = '/load'
#: The data centre of the querying entry, which knows the flights of its own
#: entries.
DATA_CENTRE_FIELD = 'from'
#: The timeout of a query, in seconds: some twenty round trips between data
#: centres, and a hundredth of what the prompts that need it wait.
TIMEOUT_S = 0.06
#: How many data centres are queried, drawn at random each time: the better of
#: two is nearly as good as the best of all, for half of the queries where there
#: are four others.
MAX_QUERIED = 2
#: How long a data centre that did not answer is not queried, in seconds: each
#: waiting prompt would query it ten times a second while it is cut off.
RETRY_INTERVAL_S = 1.0
LONG_AGO = float('-inf')


class LoadExchange:
    """Queries the loads of other data centres, and answers queries."""

    def __init__(self, state: EntryState, gossip: Gossip) -> None:
        """Store the state and the gossip that knows the other entries."""
        self.state = state
        self.gossip = gossip
        self._query_done: anyio.Event | None = None
        self._silent_at: dict[str, float] = {}
        state.refresh_loads = self.refresh

    async def refresh(self) -> None:
        """Query the loads of other data centres.

        Prompts that need them at the same time share the answers.
        """
        if self._query_done:
            await self._query_done.wait()
            return
        self._query_done = anyio.Event()
        try:
            async with anyio.create_task_group() as group:
                for data_centre, addresses in self._choose_peers().items():
                    group.start_soon(self._query, data_centre, addresses)
        finally:
            self._query_done.set()
            self._query_done = None

    def make_load(self, data_centre: str) -> bytes:
        """Return the answer to a query: the loads of the local targets.

        Flights of the querying data centre's entries are left out, as they are
        known there.
        """
        self.state.receive_messages()
        now = anyio.current_time()
        local = self.state.settings.data_centre
        targets = {
            target.incarnation
            for target in self.state.fleet.targets.values()
            if target.data_centre == local
        }
        left_out = {
            name
            for name, peer in self.gossip.peers.known.items()
            if peer.data_centre == data_centre
        }
        flights = self.state.load_table.get_flights_except(left_out)
        rows = [
            encode_change(flight.flight_id, flight, now)
            for flight in summarize_load(flights, targets, now)
        ]
        return encode_json({'flights': rows})

    def _choose_peers(self) -> Mapping[str, Sequence[Address]]:
        """Return entries to query in some data centres that answer.

        Evacuated data centres have no targets to use.
        """
        now = anyio.current_time()
        remote = self.gossip.addresses.get_remote_by_data_centre(
            many=self.state.many_entries
        )
        answering = [
            data_centre
            for data_centre in remote
            if data_centre not in self.state.fleet.evacuations.names
            and now - self._silent_at.get(data_centre, LONG_AGO)
            >= RETRY_INTERVAL_S
        ]
        self.state.rng.shuffle(answering)
        return {name: remote[name] for name in answering[:MAX_QUERIED]}

    async def _query(
        self, data_centre: str, addresses: Sequence[Address]
    ) -> None:
        query = urlencode({DATA_CENTRE_FIELD: self.state.settings.data_centre})
        address = self.state.rng.choice(addresses)
        asked_at = anyio.current_time()
        try:
            with fail_if_silent(TIMEOUT_S):
                answer = await call_peer(address, f'{LOAD_PATH}?{query}')
            flights = _read_flights(answer, anyio.current_time())
        except CALL_ERRORS as exc:
            self._silent_at[data_centre] = asked_at
            emit(events.LoadLost(data_centre, repr(exc)))
            return
        self._silent_at.pop(data_centre, None)
        self.state.remote_loads[data_centre] = RemoteLoad(asked_at, flights)
        self.state.load_table.set_remote_load(data_centre, flights)


def _read_flights(answer: Mapping[str, Any], now: float) -> tuple[Flight, ...]:
    """Return the flights of an answer; raise if it is invalid."""
    changes = [decode_change(row, now) for row in read_list(answer['flights'])]
    return tuple([flight for _, flight in changes if flight])
