"""
Gossip between entries
======================

Datagrams between the entries: what each has in flight (each change at once,
everything now and then), and how fresh what it knows of the store is.  A lost
datagram is made good by the next one.
"""

import json
from collections import defaultdict
from dataclasses import dataclass
from itertools import count
from typing import Any, Callable, Mapping, Sequence

import anyio
from anyio.abc import UDPSocket

from trestledock.entry import _events as events
from trestledock.entry._logger import emit
from trestledock.entry._rows import read_change, write_change
from trestledock.entry._state import EntryState
from trestledock.relay import BEAT_S, Candidate, Flight

#: How long changes are gathered, in seconds.
GATHER_S = 0.004
#: How often everything is told, in seconds.
WHOLE_S = 0.5
#: Up to so many other entries are all told at once.  With more of them, those
#: of other data centres hear only every so many whole messages, and only of
#: flights at their own targets: what all tell all grows with the square of the
#: entries.
MOST_TOLD_ALL = 16
FAR_TURNS = 6
#: What stands for the data centre of an entry that was not heard yet.
UNKNOWN = ''
#: How long a peer may be silent before its flights are forgotten, in seconds:
#: above three whole messages, and two of them to other data centres.
PATIENCE_S = 1.7
FAR_PATIENCE_S = 6.5
#: How long a peer may be silent and still be asked for news, in seconds.
LIVE_S = 1.1
#: Flights in one datagram.
MAX_FLIGHTS = 100
MS = 1000

#: What a message that makes no sense raises.
BAD_MESSAGE = (ValueError, KeyError, IndexError, TypeError)

Address = tuple[str, int]
Handler = Callable[[dict[str, Any], Address], Any]


@dataclass
class Peer:
    """One entry, with the age of its news when it was last heard."""

    address: Address
    heard_at: float
    news_age_s: float
    data_centre: str = ''


class Gossip:
    """The exchange of datagrams with the other entries."""

    def __init__(self, state: EntryState) -> None:
        """Begin without peers."""
        self.state = state
        self.own_address = split_address(state.settings.peers)
        self.addresses: dict[Address, str] = {}
        self.peers: dict[str, Peer] = {}
        self.handlers: dict[str, Handler] = {
            'flights': self._take_flights,
            'beat': self._take_beat,
        }
        self.sequence = 0
        self._udp: UDPSocket | None = None
        self._sending = anyio.Lock()

    def meet(self, addresses: Mapping[str, str]) -> None:
        """Take the addresses of the other entries by name."""
        for address in addresses.values():
            self.addresses.setdefault(split_address(address), UNKNOWN)
        self.addresses.pop(self.own_address, None)

    def get_candidates(self, now: float) -> list[Candidate]:
        """Return the entries that may read the store for this one.

        They are heard, this one included; where there are many, each data
        centre has a reader of its own.
        """
        return [
            Candidate(self.state.member, self.state.get_offered_age_s(now)),
            *(
                Candidate(name, peer.news_age_s)
                for name, peer in self.peers.items()
                if now - peer.heard_at < LIVE_S and self._is_near(peer)
            ),
        ]

    async def run(self) -> None:
        """Talk and listen until cancelled."""
        host, port = self.own_address
        async with await anyio.create_udp_socket(
            local_host=host, local_port=port
        ) as udp:
            self._udp = udp
            async with anyio.create_task_group() as group:
                group.start_soon(self._listen, udp)
                group.start_soon(self._tell_changes)
                group.start_soon(self._tell_all)
                group.start_soon(self._beat)

    async def send(self, message: dict[str, Any], *where: Address) -> None:
        """Send a message to some addresses; it may be lost."""
        if self._udp is None:
            return
        message['from'] = self.state.member
        raw = json.dumps(message, separators=(',', ':')).encode()
        async with self._sending:
            for address in where:
                await self._send_one(self._udp, raw, address)

    async def _send_one(
        self,
        udp: UDPSocket,
        raw: bytes,
        address: Address,
    ) -> None:
        try:
            await udp.sendto(raw, *address)
        except OSError as exc:
            emit(events.DatagramDropped(repr(exc)))

    async def _listen(self, udp: UDPSocket) -> None:
        async for raw, sender in udp:
            try:
                message = json.loads(raw)
                self.handlers[message['kind']](message, (sender[0], sender[1]))
            except BAD_MESSAGE as exc:
                emit(events.DatagramDropped(repr(exc)))

    def _take_flights(self, message: dict[str, Any], sender: Address) -> None:
        now = anyio.current_time()
        name = message['from']
        if name not in self.peers:
            emit(events.PeerMet(name))
        place = message['data_centre']
        self.addresses[sender] = place
        leaving = message.get('leaving', False)
        self.state.note_heard(place, name, now, leaving=leaving)
        age_s = message['news_age_ms'] / MS
        self.peers[name] = Peer(sender, now, age_s, place)
        self.state.many_entries = len(self.peers) > MOST_TOLD_ALL
        changes = [read_change(one, now) for one in message['flights']]
        self.state.board.hear(
            name, message['sequence'], changes, whole=message['whole']
        )
        self.state.notify()

    def _take_beat(self, message: dict[str, Any], _: Address) -> None:
        now = anyio.current_time()
        self.state.note_heard(
            message['data_centre'],
            message['from'],
            now,
            leaving=message.get('leaving', False),
        )

    async def _beat(self) -> None:
        """Let other data centres hear this entry, and listen for them.

        With many entries the others speak too rarely to be listened for.
        """
        place = self.state.settings.data_centre
        while True:
            await anyio.sleep(BEAT_S)
            if self.state.many_entries:
                continue
            elsewhere = [
                address
                for address, known in self.addresses.items()
                if known != place
            ]
            beat = {
                'kind': 'beat',
                'data_centre': place,
                'leaving': self.state.leaving,
            }
            await self.send(beat, *elsewhere)
            self.state.check_reach(anyio.current_time())

    async def _tell_changes(self) -> None:
        while True:
            await self.state.wait_for_own_change()
            await anyio.sleep(GATHER_S)
            changes = list(self.state.board.take_changes().items())
            if changes:
                await self._tell(changes, self._get_near(), whole=False)

    async def _tell_all(self) -> None:
        for turn in count():
            own = list(self.state.board.own.items())[:MAX_FLIGHTS]
            await self._tell(own, self._get_near(), whole=True)
            if turn % FAR_TURNS == 0:
                await self._tell_far(own)
            await anyio.sleep(WHOLE_S)
            self._drop_silent(anyio.current_time())

    async def _tell_far(self, own: list[tuple[str, Flight]]) -> None:
        """Tell the other data centres of the flights at their targets."""
        for place, where in self._get_far().items():
            flights = [
                (flight_id, flight)
                for flight_id, flight in own
                if place in self._get_places(flight)
            ]
            await self._tell(flights, where, whole=True)

    def _drop_silent(self, now: float) -> None:
        silent = [
            name
            for name, peer in self.peers.items()
            if now - peer.heard_at > self._get_patience_s(peer)
        ]
        for name in silent:
            self.peers.pop(name)
            self.state.board.drop_sender(name)
            emit(events.PeerLost(name))

    def _get_patience_s(self, peer: Peer) -> float:
        return PATIENCE_S if self._is_near(peer) else FAR_PATIENCE_S

    def _is_near(self, peer: Peer) -> bool:
        own = self.state.settings.data_centre
        return not self.state.many_entries or peer.data_centre == own

    def _get_near(self) -> list[Address]:
        """Return the addresses that are told at once: all, if not many."""
        if not self.state.many_entries:
            return list(self.addresses)
        near = (self.state.settings.data_centre, UNKNOWN)
        return [
            address
            for address, place in self.addresses.items()
            if place in near
        ]

    def _get_far(self) -> dict[str, list[Address]]:
        """Return the other addresses by data centre: none, if not many."""
        far: dict[str, list[Address]] = defaultdict(list)
        near = set(self._get_near())
        for address, place in self.addresses.items():
            if address not in near:
                far[place].append(address)
        return far

    def _get_places(self, flight: Flight) -> set[str]:
        """Return the data centres of the targets that a flight is at."""
        listed = self.state.fleet.targets
        return {
            listed[name].data_centre
            for name in (flight.target, *flight.helpers)
            if name in listed
        }

    async def _tell(
        self,
        flights: Sequence[tuple[str, Flight | None]],
        where: Sequence[Address],
        *,
        whole: bool,
    ) -> None:
        now = anyio.current_time()
        self.sequence += 1
        age_s = self.state.get_offered_age_s(now)
        message = {
            'kind': 'flights',
            'sequence': self.sequence,
            'whole': whole,
            'data_centre': self.state.settings.data_centre,
            'leaving': self.state.leaving,
            'news_age_ms': round(age_s * MS),
            'flights': [write_change(*one, now) for one in flights],
        }
        await self.send(message, *where)


def split_address(address: str) -> Address:
    """Return the parts of `IP:PORT`."""
    host, _, port = address.rpartition(':')
    return host, int(port)
