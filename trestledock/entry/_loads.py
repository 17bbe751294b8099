"""
Loads of other data centres
===========================

Asks entries of other data centres, when a prompt needs it, what the targets
there have to do, and answers those that ask.
"""

import json
from typing import Any, Mapping, Sequence
from urllib.parse import urlencode

import anyio

from trestledock.entry import _events as events
from trestledock.entry._checks import read_list
from trestledock.entry._datagrams import Address
from trestledock.entry._gossip import Gossip
from trestledock.entry._logger import emit
from trestledock.entry._peer_calls import BAD_ANSWER, call_peer
from trestledock.entry._flight_codec import decode_change, encode_change
from trestledock.entry._state import EntryState
from trestledock.relay import Flight, RemoteLoad, summarize_load

LOAD_PATH = '/load'
#: The data centre of who asks, whose own flights it knows.
PLACE_FIELD = 'from'
#: How long an answer is waited for, in seconds: some twenty times the way there
#: and back between data centres, and a hundredth of what the prompts wait for
#: that ask.
LIMIT_S = 0.06
#: How many data centres are asked, drawn anew each time: the better one of two
#: is nearly as good as the best of all, for half of the questions where there
#: are four others.
MOST_ASKED = 2
#: For how long a data centre that did not answer is left alone, in seconds:
#: each prompt that waits would ask it ten times a second while it is cut off.
LEFT_ALONE_S = 1.0
LONG_AGO = float('-inf')


class LoadExchange:
    """Asks other data centres for their loads, and answers those that ask."""

    def __init__(self, state: EntryState, gossip: Gossip) -> None:
        """Ask whom the gossip knows, and answer by what it has told."""
        self.state = state
        self.gossip = gossip
        self._asking: anyio.Event | None = None
        self._silent_at: dict[str, float] = {}
        state.refresh_loads = self.refresh

    async def refresh(self) -> None:
        """Know the loads of the other data centres, those that answer.

        Several prompts that need them at the same moment share the answers.
        """
        if self._asking:
            await self._asking.wait()
            return
        self._asking = anyio.Event()
        try:
            async with anyio.create_task_group() as group:
                for place, where in self._get_far().items():
                    group.start_soon(self._ask, place, where)
        finally:
            self._asking.set()
            self._asking = None

    def make_load(self, asker: str) -> bytes:
        """Return what the own data centre's targets have to do.

        What entries of the asking data centre have here is known there.
        """
        self.state.receive_messages()
        now = anyio.current_time()
        own = self.state.settings.data_centre
        targets = {
            one.incarnation
            for one in self.state.fleet.targets.values()
            if one.data_centre == own
        }
        known = {
            name
            for name, peer in self.gossip.peers.known.items()
            if peer.data_centre == asker
        }
        flights = self.state.board.get_flights_except(known)
        rows = [
            encode_change(one.flight_id, one, now)
            for one in summarize_load(flights, targets, now)
        ]
        return json.dumps({'flights': rows}, separators=(',', ':')).encode()

    def _get_far(self) -> Mapping[str, Sequence[Address]]:
        """Return whom to ask: entries of some data centres that answer."""
        now = anyio.current_time()
        far = self.gossip.addresses.get_far(many=self.state.many_entries)
        answering = [
            place
            for place in far
            if now - self._silent_at.get(place, LONG_AGO) >= LEFT_ALONE_S
        ]
        self.state.rng.shuffle(answering)
        return {place: far[place] for place in answering[:MOST_ASKED]}

    async def _ask(self, place: str, where: Sequence[Address]) -> None:
        query = urlencode({PLACE_FIELD: self.state.settings.data_centre})
        address = self.state.rng.choice(where)
        asked_at = anyio.current_time()
        try:
            with anyio.fail_after(LIMIT_S):
                plain = await call_peer(address, f'{LOAD_PATH}?{query}')
            flights = _read_flights(plain, anyio.current_time())
        except BAD_ANSWER as exc:
            self._silent_at[place] = asked_at
            emit(events.LoadLost(place, repr(exc)))
            return
        self._silent_at.pop(place, None)
        self.state.remote_loads[place] = RemoteLoad(asked_at, flights)
        self.state.board.set_remote_load(place, flights)


def _read_flights(plain: Mapping[str, Any], now: float) -> tuple[Flight, ...]:
    """Return the flights of an answer, or raise where it makes no sense."""
    changes = [decode_change(row, now) for row in read_list(plain['flights'])]
    return tuple([flight for _, flight in changes if flight])
