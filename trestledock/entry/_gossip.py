"""
Gossip between entries
======================

Sends the requests that this entry has in flight to the other entries (each
change at once, the full state periodically) with the age of its copy of the
store, and receives theirs. The next message makes up for a lost datagram.
Incoming datagrams are read periodically and before each choice of a target.
"""

from typing import Any, Callable, Iterable, Mapping, Sequence

import anyio

from trestledock.entry import _events as events
from trestledock.entry._datagrams import Address, Datagrams, split_address
from trestledock.entry._logger import emit
from trestledock.entry._metrics import METRICS
from trestledock.entry._known_entries import KnownEntries
from trestledock.entry._peer_addresses import PeerAddresses
from trestledock.entry._peers import Peers
from trestledock.entry._flight_codec import Change
from trestledock.entry._state import EntryState
from trestledock.entry._message_codec import (
    InvalidMessage,
    decode_message,
    encode_message,
)
from trestledock.entry._messages import Beat, Flights, Fresh, Message
from trestledock.relay import (
    ENCODE_ERRORS,
    BEAT_INTERVAL_S,
    ReaderCandidate,
    Flight,
    Member,
    WaitingRow,
)

#: How long changes are collected before they are sent, in seconds.
BATCH_S = 0.004
#: Minimum interval of full states, in seconds: to near entries, and to those of
#: other data centres if there are many.
FULL_STATE_INTERVAL_S = 0.5
REMOTE_INTERVAL_S = 3.0
#: Maximum number of full states that an entry receives in a second, from near
#: entries and from those of other data centres: the intervals grow with the
#: number of entries.
MAX_FULL_STATES_PER_S = 20
MAX_REMOTE_STATES_PER_S = 13
#: Polling interval for datagrams, in seconds: while heartbeats are checked or
#: answers are awaited, and otherwise. The choice of a target polls as well.
POLL_INTERVAL_S = 0.02
SLOW_POLL_INTERVAL_S = 0.1
#: How long polling is fast after a question, in seconds, as more may follow.
FAST_POLL_S = 1.0
#: Maximum number of in-flight requests, or of other rows, in one datagram.
MAX_FLIGHTS = 100
MAX_ROWS = 100

#: Handles a message; true if it changes the load of targets.
Handler = Callable[[Any, Address], bool]


class Gossip:
    """Exchange of datagrams with the other entries.

    The callbacks in `on_new_peer` get the address of each new entry, those in
    `on_full_state_sent` the addresses that the full state was just sent to.
    """

    def __init__(self, state: EntryState) -> None:
        """Start without peers."""
        self.state = state
        own = split_address(state.settings.peers)
        self.addresses = PeerAddresses(own, state.settings.data_centre)
        self.peers = Peers(state.settings.data_centre)
        member = Member(state.settings.peers, state.settings.data_centre)
        self.known_entries = KnownEntries(member, self.addresses)
        self.handlers: dict[type[Message], Handler] = {
            Flights: self._handle_flights,
            Beat: self._handle_beat,
            Fresh: self._handle_fresh,
        }
        self.on_new_peer: list[Callable[[Address], None]] = []
        self.on_full_state_sent: list[Callable[[Sequence[Address]], None]] = []
        self.sequence = 0
        self._datagrams: Datagrams | None = None
        self._fast_poll_until = float('-inf')
        self._is_drain_announced = False
        self._remote_by_flight: dict[str, set[str]] = {}
        self._sent_rows: tuple[WaitingRow, ...] = ()

    def add_addresses(self, addresses: Mapping[str, str]) -> None:
        """Add the addresses of other entries by name, and contact new ones."""
        parsed = map(split_address, addresses.values())
        new = self.addresses.add_addresses(parsed, anyio.current_time())
        self._send_full_state(new, self._get_remote_interval_s())

    def get_candidates(self, now: float) -> list[ReaderCandidate]:
        """Return the entries that may read the store, including this one."""
        own = ReaderCandidate(
            self.state.member, self.state.get_advertised_age_s(now)
        )
        return [own, *self.peers.get_candidates(now)]

    async def run(self) -> None:
        """Send and receive until cancelled."""
        self._datagrams = Datagrams(self.addresses.own)
        self.state.receive_messages = self.receive_messages
        self.state.send_own_changes = self.send_own_changes
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._poll)
                group.start_soon(self._send_changes)
                group.start_soon(self._send_periodically)
                group.start_soon(self._exchange_heartbeats)
        finally:
            self._datagrams.close()
            self._datagrams = None

    def send(self, message: Message, addresses: Sequence[Address]) -> None:
        """Send a message to some addresses, without guaranteed delivery."""
        if self._datagrams is None or not addresses:
            return
        name = type(message).__name__
        try:
            raw = encode_message(message, anyio.current_time())
        except ENCODE_ERRORS as exc:
            emit(events.DatagramDropped(f'{name}: {exc!r}'))
            return
        METRICS.count_messages('sent', name, len(raw), len(addresses))
        self._datagrams.send(raw, addresses)

    def send_rows(
        self,
        make_message: Callable[[str, tuple[Any, ...]], Message],
        rows: Sequence[Any],
        addresses: Sequence[Address],
    ) -> None:
        """Send rows in as many messages as they need."""
        for start in range(0, len(rows), MAX_ROWS):
            part = tuple(rows[start : start + MAX_ROWS])
            self.send(make_message(self.state.member, part), addresses)

    def receive_messages(self) -> None:
        """Handle all datagrams that have arrived."""
        if self._datagrams is None:
            return
        is_changed = False
        for raw, sender in self._datagrams.receive():
            is_changed = self.handle_datagram(raw, sender) or is_changed
        if is_changed:
            self.state.notify()

    async def wait_for(self, event: anyio.Event) -> None:
        """Wait for an event that a message sets."""
        while not event.is_set():
            with anyio.move_on_after(POLL_INTERVAL_S):
                await event.wait()
            self.receive_messages()

    def handle_datagram(self, raw: bytes, sender: Address) -> bool:
        """Handle a datagram; return whether it changes the load of targets.

        An invalid datagram changes nothing.
        """
        now = anyio.current_time()
        try:
            message = decode_message(raw, now)
        except InvalidMessage as exc:
            emit(events.DatagramDropped(repr(exc)))
            return False
        METRICS.count_messages('heard', type(message).__name__, len(raw), 1)
        return bool(self.handlers[type(message)](message, sender))

    def announce_read(self) -> None:
        """Announce that this entry has just read the store."""
        if not self.state.draining:
            age_s = self.state.get_advertised_age_s(anyio.current_time())
            self.send(
                Fresh(self.state.member, age_s),
                self._get_full_state_receivers(),
            )

    def send_own_changes(self) -> None:
        """Send the own requests that changed since the last time."""
        changes = list(self.state.load_table.pop_changes().items())
        rows = self.state.wait_queue.room.get_rows(anyio.current_time())
        if changes or rows != self._sent_rows:
            self._sent_rows = rows
            again_s = self._get_full_state_interval_s()
            self._send_flights(
                changes,
                self._get_full_state_receivers(),
                whole=False,
                again_s=again_s,
            )
            self._send_remote_changes(changes)

    def poll_more_often(self) -> None:
        """Poll more often for a while, as other entries wait for answers."""
        self._fast_poll_until = anyio.current_time() + FAST_POLL_S

    def _handle_flights(self, message: Flights, sender: Address) -> bool:
        now = anyio.current_time()
        self.addresses.record_address(sender, message.data_centre, now)
        is_new = self.peers.update(message, sender, now)
        self.state.many_entries = self.peers.are_many
        self._record_sender(message, now)
        if is_new:
            self._add_peer(message.sender, sender)
        rows_differ = self._apply_rows(message, now)
        return rows_differ | self.state.load_table.apply_update(
            message.sender,
            message.sequence,
            message.changes,
            whole=message.whole,
        )

    def _apply_rows(self, message: Flights, now: float) -> bool:
        """Replace an entry's rows; return whether waiting requests differ."""
        if not self.state.load_table.is_newer(message.sender, message.sequence):
            return False
        if message.whole:
            self.state.usage.put(message.sender, message.served, now)
        return self.state.peer_waiting.put(message.sender, message.waiting)

    def _handle_beat(self, message: Beat, _: Address) -> bool:
        self._record_sender(message, anyio.current_time())
        return False

    def _handle_fresh(self, message: Fresh, _: Address) -> bool:
        now = anyio.current_time()
        self.peers.record_read(message.sender, message.store_age_s, now)
        return False

    def _record_sender(self, message: Flights | Beat, now: float) -> None:
        self.state.record_remote_entry(
            message.data_centre, message.sender, now, draining=message.leaving
        )

    def _add_peer(self, name: str, address: Address) -> None:
        """Register a new peer, replacing an earlier process at its address.

        It gets the full state at once: otherwise it would know nothing of this
        entry until the next period.
        """
        emit(events.PeerMet(name))
        for predecessor in self.peers.get_previous_at(name):
            self._drop(predecessor)
        is_near = self.peers.is_near(name)
        again_s = (
            self._get_full_state_interval_s()
            if is_near
            else self._get_remote_interval_s()
        )
        self._send_full_state([address], again_s)
        for callback in self.on_new_peer:
            callback(address)

    def _send_full_state(
        self, addresses: Sequence[Address], again_s: float
    ) -> None:
        own = list(self.state.load_table.own.items())[:MAX_FLIGHTS]
        self._send_flights(own, addresses, whole=True, again_s=again_s)

    async def _poll(self) -> None:
        while True:
            self.receive_messages()
            await anyio.sleep(self._get_poll_interval_s())

    def _get_poll_interval_s(self) -> float:
        is_fast = anyio.current_time() < self._fast_poll_until
        if is_fast or not self.state.many_entries:
            return POLL_INTERVAL_S
        return SLOW_POLL_INTERVAL_S

    async def _exchange_heartbeats(self) -> None:
        """Send heartbeats to other data centres, and check for theirs.

        With many entries messages between data centres are too rare to detect
        silence by.
        """
        data_centre = self.state.settings.data_centre
        while True:
            await anyio.sleep(BEAT_INTERVAL_S)
            if self.state.many_entries:
                continue
            beat = Beat(self.state.member, data_centre, self.state.draining)
            self.send(beat, self.addresses.get_remote())
            self.receive_messages()
            self.state.check_reachability(anyio.current_time())

    async def _send_changes(self) -> None:
        while True:
            await self.state.wait_for_own_change()
            await anyio.sleep(BATCH_S)
            self.send_own_changes()
            self._announce_drain()

    def _send_remote_changes(self, changes: Sequence[Change]) -> None:
        """Send changes to the data centres of the targets that they concern.

        With many entries that is rare: only long prompts go to other data
        centres. An ended request names no target, so its end goes where its
        start was sent.
        """
        remote = self.addresses.get_remote_by_data_centre(
            many=self.state.many_entries
        )
        for flight_id, flight in changes:
            previous = self._remote_by_flight.pop(flight_id, set())
            data_centres = self._get_data_centres(flight) if flight else set()
            current = data_centres & remote.keys()
            if current:
                self._remote_by_flight[flight_id] = current
            for data_centre in previous | current:
                self._send_flights(
                    [(flight_id, flight)],
                    remote[data_centre],
                    whole=False,
                    again_s=self._get_remote_interval_s(),
                )

    def _announce_drain(self) -> None:
        """Announce at once that this entry is draining."""
        if self.state.draining and not self._is_drain_announced:
            self._is_drain_announced = True
            self._send_full_state(
                self.addresses.get_all(), self._get_remote_interval_s()
            )

    async def _send_periodically(self) -> None:
        next_remote_at = float('-inf')
        while True:
            now = anyio.current_time()
            self._send_full_state(
                self._get_full_state_receivers(),
                self._get_full_state_interval_s(),
            )
            self._notify_full_state_sent(self._get_full_state_receivers())
            if now >= next_remote_at:
                self._send_remote_states()
                next_remote_at = now + self._get_remote_interval_s()
            await anyio.sleep(self._get_full_state_interval_s())
            self.receive_messages()
            self._drop_silent(anyio.current_time())

    def _send_remote_states(self) -> None:
        """Send other data centres the in-flight requests at their targets."""
        own = list(self.state.load_table.own.items())[:MAX_FLIGHTS]
        remote = self.addresses.get_remote_by_data_centre(
            many=self.state.many_entries
        )
        for data_centre, addresses in remote.items():
            changes = [
                change
                for change in own
                if data_centre in self._get_data_centres(change[1])
            ]
            self._send_flights(
                changes,
                addresses,
                whole=True,
                again_s=self._get_remote_interval_s(),
            )
            self._notify_full_state_sent(addresses)

    def _notify_full_state_sent(self, addresses: Sequence[Address]) -> None:
        for callback in self.on_full_state_sent:
            callback(addresses)

    def _get_full_state_interval_s(self) -> float:
        return max(
            FULL_STATE_INTERVAL_S,
            len(self._get_full_state_receivers()) / MAX_FULL_STATES_PER_S,
        )

    def _get_remote_interval_s(self) -> float:
        return max(
            REMOTE_INTERVAL_S,
            len(self.addresses.data_centres) / MAX_REMOTE_STATES_PER_S,
        )

    def _drop_silent(self, now: float) -> None:
        for name in self.peers.get_silent(now):
            self._drop(name)

    def _drop(self, name: str) -> None:
        peer = self.peers.known.pop(name)
        if peer.draining:
            self.addresses.record_shutdown(peer.address)
        self.state.load_table.drop_sender(name)
        self.state.peer_waiting.drop(name)
        self.state.usage.drop(name)
        emit(events.PeerLost(name))

    def _get_full_state_receivers(self) -> list[Address]:
        return self.addresses.get_full_state_receivers(
            many=self.state.many_entries
        )

    def _get_data_centres(self, flight: Flight) -> set[str]:
        """Return the data centres of the targets that a request occupies."""
        targets = self.state.fleet.targets
        return {
            targets[name].data_centre
            for name in (flight.target, *flight.helpers)
            if name in targets
        }

    def _send_flights(
        self,
        changes: Iterable[Change],
        addresses: Sequence[Address],
        *,
        whole: bool,
        again_s: float,
    ) -> None:
        self.sequence += 1
        now = anyio.current_time()
        age_s = self.state.get_advertised_age_s(now)
        message = Flights(
            sender=self.state.member,
            sequence=self.sequence,
            whole=whole,
            data_centre=self.state.settings.data_centre,
            leaving=self.state.draining,
            store_age_s=age_s,
            again_s=again_s,
            offers_tunnels=self.state.offers_tunnels(now),
            changes=tuple(changes),
            waiting=self.state.wait_queue.room.get_rows(now),
            served=self.state.usage.get_own_rows(now) if whole else (),
        )
        self.send(message, addresses)
