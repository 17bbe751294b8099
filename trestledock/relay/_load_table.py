"""
Load table
==========

The requests in flight at every target: exact for this instance, and as last
reported for all others.  Each request belongs to the instance that sent it.
Other instances hold a copy until they drop that instance, because it no longer
sends messages.
"""

from collections import defaultdict
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Container, Iterable, Iterator


class Phase(str, Enum):
    """Whether an engine prefills a request's prompt or decodes its answer.

    The values are sent to other instances.
    """

    prefill = 'r'
    decode = 'w'


@dataclass(frozen=True)
class Flight:
    """A request in flight at a target.

    `since` is when its phase began, on the clock of this process.  `helpers`
    prefill equal chunks of the prompt beside the target; `reservations` are the
    tokens reserved at other targets (`tickets` in the log).  `pause_s` is the
    longest pause between events that the caller accepts as timely, and
    `event_timeout_s` the pause at which it leaves.  The first token is late
    after `due_at`, the caller has left at `abandoned_at`, and `worth` is lost
    if the request fails.  `rank` is that of a request of a service with
    different ranks, 0 first.
    """

    flight_id: str
    target: str
    prompt_tokens: int
    output_tokens: int
    phase: Phase
    since: float
    pause_s: float = 0
    worth: float = 1
    due_at: float = float('inf')
    helpers: tuple[str, ...] = ()
    reservations: tuple[tuple[str, int], ...] = ()
    abandoned_at: float = float('inf')
    event_timeout_s: float = float('inf')
    rank: int | None = None

    @property
    def chunk_count(self) -> int:
        """The number of equal chunks into which the prompt is split."""
        return len(self.helpers) + 1

    @property
    def engaged_targets(self) -> tuple[str, ...]:
        """The targets that work on the request or hold part of its memory.

        After prefill, helpers without a reservation are free again.
        """
        if self.phase is Phase.prefill:
            return (self.target, *self.helpers)
        return (self.target, *(name for name, _ in self.reservations))

    def get_held_tokens(self, target: str) -> int:
        """Return the KV tokens that the request occupies at a target."""
        reserved = dict(self.reservations)
        if target != self.target:
            return reserved.get(target, 0)
        reserved_elsewhere = sum(
            tokens for name, tokens in self.reservations if name != target
        )
        total = self.prompt_tokens + self.output_tokens
        return max(total - reserved_elsewhere, 0)


@dataclass
class _Sender:
    """The requests of one instance, and the sequence of its newest message."""

    sequence: int = -1
    flights: dict[str, Flight] = field(default_factory=dict)


#: The key of this instance among the senders.
OWN = ''


class LoadTable:
    """Flights by target, of this instance and of its peers.

    >>> table = LoadTable()
    >>> table.put(Flight('a', 't1', 100, 10, Phase.prefill, since=0))
    >>> [flight.flight_id for flight in table.get_flights('t1')]
    ['a']
    """

    def __init__(self) -> None:
        """Create a table without any request."""
        self._senders: dict[str, _Sender] = {OWN: _Sender()}
        self._by_target: dict[str, dict[str, Flight]] = defaultdict(dict)
        self._remote: dict[str, dict[str, list[Flight]]] = {}
        self.changed: dict[str, Flight | None] = {}

    @property
    def own(self) -> dict[str, Flight]:
        """The requests of this instance by id."""
        return self._senders[OWN].flights

    def put(self, flight: Flight) -> None:
        """Add or replace a request of this instance."""
        self._set(OWN, flight)
        self.changed[flight.flight_id] = flight

    def start_decode(self, flight_id: str, now: float) -> None:
        """Record that the first part of an answer has arrived."""
        flight = self.own.get(flight_id)
        if flight and flight.phase is Phase.prefill:
            self.put(replace(flight, phase=Phase.decode, since=now))

    def remove(self, flight_id: str) -> None:
        """Remove a request of this instance."""
        if flight_id in self.own:
            self._unset(OWN, flight_id)
            self.changed[flight_id] = None

    def pop_changes(self) -> dict[str, Flight | None]:
        """Return and reset the changes to this instance's own requests."""
        changed = self.changed
        self.changed = {}
        return changed

    def is_newer(self, sender: str, sequence: int) -> bool:
        """Return whether a message is newer than all others of a peer."""
        peer = self._senders.get(sender)
        return peer is None or sequence > peer.sequence

    def apply_update(
        self,
        sender: str,
        sequence: int,
        changes: Iterable[tuple[str, Flight | None]],
        *,
        whole: bool,
    ) -> bool:
        """Fold a peer's update; a whole one replaces all its earlier requests.

        Return whether any request may have changed.
        """
        peer = self._senders.setdefault(sender, _Sender())
        if sequence <= peer.sequence:
            return False
        peer.sequence = sequence
        had_any = bool(peer.flights)
        if whole:
            for flight_id in tuple(peer.flights):
                self._unset(sender, flight_id)
        for flight_id, flight in changes:
            if flight:
                self._set(sender, flight)
            else:
                self._unset(sender, flight_id)
        return had_any or bool(peer.flights)

    def drop_sender(self, sender: str) -> None:
        """Remove all requests of a peer that no longer sends messages."""
        if sender in self._senders:
            for flight_id in tuple(self._senders[sender].flights):
                self._unset(sender, flight_id)
            self._senders.pop(sender)

    def count_peers(self) -> int:
        """Return the number of peers with requests in the table."""
        return len(self._senders) - 1

    def get_flights(self, target: str) -> Iterator[Flight]:
        """Return all requests in flight at a target."""
        remote = [
            flight
            for by_target in self._remote.values()
            for flight in by_target.get(target, ())
        ]
        return iter((*self._by_target.get(target, {}).values(), *remote))

    def get_colocated(self, flight: Flight) -> list[Flight]:
        """Return all requests at the targets of a request, itself included."""
        return [
            neighbour
            for name in flight.engaged_targets
            for neighbour in self.get_flights(name)
        ]

    def set_remote_load(
        self, data_centre: str, flights: Iterable[Flight]
    ) -> None:
        """Replace the load that was reported for a remote data centre.

        The reported requests never include those of peers that send messages to
        this instance directly.
        """
        by_target: dict[str, list[Flight]] = defaultdict(list)
        for flight in flights:
            by_target[flight.target].append(flight)
        self._remote[data_centre] = by_target

    def get_flights_except(self, senders: Container[str]) -> Iterator[Flight]:
        """Yield all requests in the table but those of the given peers."""
        for sender, peer in self._senders.items():
            if sender not in senders:
                yield from peer.flights.values()

    def _set(self, sender: str, flight: Flight) -> None:
        self._unset(sender, flight.flight_id)
        self._senders[sender].flights[flight.flight_id] = flight
        for target in flight.engaged_targets:
            self._by_target[target][sender + flight.flight_id] = flight

    def _unset(self, sender: str, flight_id: str) -> None:
        flight = self._senders[sender].flights.pop(flight_id, None)
        if flight is None:
            return
        for target in flight.engaged_targets:
            self._by_target[target].pop(sender + flight_id, None)
