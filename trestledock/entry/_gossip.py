"""
Gossip between entries
======================

Tells the other entries what this one has in flight, by datagrams: each change
at once (a few milliseconds are gathered), everything now and then.  A lost
datagram is made good by the next whole one.
"""

import json
import logging
from typing import Any

import anyio
from anyio.abc import UDPSocket

from trestledock.entry._state import EntryState
from trestledock.relay import Flight, Phase

#: How long changes are gathered, in seconds.
GATHER_S = 0.004
#: How often everything is told, in seconds.
WHOLE_S = 0.5
#: How long a peer may be silent before its flights are forgotten, in seconds.
PATIENCE_S = 2.0
#: Flights in one datagram.
MAX_FLIGHTS = 100
MS = 1000

log = logging.getLogger('trestledock.relay')


class Gossip:
    """The exchange of flights with the other entries."""

    def __init__(self, state: EntryState) -> None:
        """Begin without peers."""
        self.state = state
        self.peers: dict[str, tuple[str, int]] = {}
        self.sequence = 0
        self._udp: UDPSocket | None = None
        self._sending = anyio.Lock()

    def meet(self, addresses: dict[str, str]) -> None:
        """Take the addresses of the other entries by name."""
        for name, address in addresses.items():
            if name != self.state.member:
                self.peers[name] = _split(address)

    async def run(self) -> None:
        """Talk and listen until cancelled."""
        host, port = _split(self.state.settings.peers)
        async with await anyio.create_udp_socket(
            local_host=host, local_port=port
        ) as udp:
            self._udp = udp
            async with anyio.create_task_group() as group:
                group.start_soon(self._listen, udp)
                group.start_soon(self._tell_changes)
                group.start_soon(self._tell_all)

    async def _listen(self, udp: UDPSocket) -> None:
        async for raw, sender in udp:
            try:
                self._take(json.loads(raw), (sender[0], sender[1]))
            except (ValueError, KeyError, IndexError, TypeError) as exc:
                log.warning('bad_datagram', extra={'detail': repr(exc)})

    def _take(self, plain: dict[str, Any], sender: tuple[str, int]) -> None:
        now = anyio.current_time()
        name = plain['from']
        if name not in self.peers:
            log.info('peer_met', extra={'peer': name})
        self.peers[name] = sender
        changes = [_read_change(one, now) for one in plain['flights']]
        self.state.board.hear(
            name, plain['sequence'], changes, now, whole=plain['whole']
        )
        self.state.notify()

    async def _tell_changes(self) -> None:
        while True:
            await self.state.wait_for_change(WHOLE_S)
            await anyio.sleep(GATHER_S)
            changes = self.state.board.take_changes()
            if changes:
                await self._send(list(changes.items()), whole=False)

    async def _tell_all(self) -> None:
        while True:
            own = self.state.board.own
            await self._send(list(own.items())[:MAX_FLIGHTS], whole=True)
            await anyio.sleep(WHOLE_S)
            now = anyio.current_time()
            for name in self.state.board.drop_silent(now, PATIENCE_S):
                log.info('peer_lost', extra={'peer': name})

    async def _send(
        self,
        flights: list[tuple[str, Flight | None]],
        *,
        whole: bool,
    ) -> None:
        if self._udp is None:
            return
        now = anyio.current_time()
        self.sequence += 1
        message = {
            'from': self.state.member,
            'sequence': self.sequence,
            'whole': whole,
            'flights': [_write_change(*one, now) for one in flights],
        }
        raw = json.dumps(message, separators=(',', ':')).encode()
        async with self._sending:
            for host, port in tuple(self.peers.values()):
                await self._send_one(self._udp, raw, host, port)

    async def _send_one(
        self,
        udp: UDPSocket,
        raw: bytes,
        host: str,
        port: int,
    ) -> None:
        try:
            await udp.sendto(raw, host, port)
        except OSError as exc:
            log.warning('send_failed', extra={'detail': repr(exc)})


def _write_change(flight_id: str, flight: Flight | None, now: float) -> list[Any]:
    if flight is None:
        return [flight_id]
    return [
        flight_id,
        flight.target,
        flight.prompt_tokens,
        flight.output_tokens,
        flight.phase.value,
        round((now - flight.since) * MS),
        round(flight.pause_s * MS),
        round(flight.worth, 2),
        flight.helpers,
        flight.tickets,
    ]


def _read_change(row: list[Any], now: float) -> tuple[str, Flight | None]:
    if len(row) == 1:
        return row[0], None
    return row[0], Flight(
        flight_id=row[0],
        target=row[1],
        prompt_tokens=row[2],
        output_tokens=row[3],
        phase=Phase(row[4]),
        since=now - row[5] / MS,
        pause_s=row[6] / MS,
        worth=row[7],
        helpers=tuple(row[8]),
        tickets=tuple((name, tokens) for name, tokens in row[9]),
    )


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    return host, int(port)
