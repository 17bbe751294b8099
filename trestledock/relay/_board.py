"""
Board of requests in flight
===========================

What every target is working on: the own requests exactly, those of the other
instances as they last told.  Each flight stands on the board of the instance
that sent it; peers hold copies, until whoever listens drops the sender.
"""

from collections import defaultdict
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Container, Iterable, Iterator


class Phase(str, Enum):
    """Whether a request's prompt is being read, or its answer written."""

    prefill = 'r'
    decode = 'w'


@dataclass(frozen=True)
class Flight:
    """One request at a target.

    `since` is when its phase began, on this process's clock.  `helpers` read
    equal parts of the prompt beside the target; `reservations` are the tokens
    that it holds at other targets.  `pause_s` is the longest pause that its
    caller takes as timely, `patience_s` the one at which it leaves; `due_at` is
    the instant at which its first token is late, `abandoned_at` that at which
    nobody waits for it any more, and `worth` what is lost with it.
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
    patience_s: float = float('inf')

    @property
    def chunk_count(self) -> int:
        """Into how many equal parts the prompt is cut for reading."""
        return len(self.helpers) + 1

    @property
    def engaged_targets(self) -> tuple[str, ...]:
        """The targets that have something to do for the request.

        Once the prompt has been read, helpers that hold none of it are free.
        """
        if self.phase is Phase.prefill:
            return (self.target, *self.helpers)
        return (self.target, *(name for name, _ in self.reservations))

    def get_held_tokens(self, target: str) -> int:
        """Return the KV tokens that the request takes at one target."""
        ticketed = dict(self.reservations)
        if target != self.target:
            return ticketed.get(target, 0)
        elsewhere = sum(
            tokens for name, tokens in self.reservations if name != target
        )
        total = self.prompt_tokens + self.output_tokens
        return max(total - elsewhere, 0)


@dataclass
class _Sender:
    """One instance's flights; `sequence` is that of its newest message."""

    sequence: int = -1
    flights: dict[str, Flight] = field(default_factory=dict)


OWN = ''


class LoadTable:
    """Flights by target, of this instance and of its peers.

    >>> board = LoadTable()
    >>> board.put(Flight('a', 't1', 100, 10, Phase.prefill, since=0))
    >>> [flight.flight_id for flight in board.get_flights('t1')]
    ['a']
    """

    def __init__(self) -> None:
        """Begin with nothing in flight."""
        self._senders: dict[str, _Sender] = {OWN: _Sender()}
        self._by_target: dict[str, dict[str, Flight]] = defaultdict(dict)
        self._elsewhere: dict[str, dict[str, list[Flight]]] = {}
        self.changed: dict[str, Flight | None] = {}

    @property
    def own(self) -> dict[str, Flight]:
        """The flights of this instance by id."""
        return self._senders[OWN].flights

    def put(self, flight: Flight) -> None:
        """Add or replace a flight of this instance."""
        self._set(OWN, flight)
        self.changed[flight.flight_id] = flight

    def start_decode(self, flight_id: str, now: float) -> None:
        """Note that the first part of an answer has come."""
        flight = self.own.get(flight_id)
        if flight and flight.phase is Phase.prefill:
            self.put(replace(flight, phase=Phase.decode, since=now))

    def remove(self, flight_id: str) -> None:
        """Drop a flight of this instance."""
        if flight_id in self.own:
            self._unset(OWN, flight_id)
            self.changed[flight_id] = None

    def pop_changes(self) -> dict[str, Flight | None]:
        """Return what changed among the own flights since the last call."""
        changed = self.changed
        self.changed = {}
        return changed

    def apply_update(
        self,
        sender: str,
        sequence: int,
        changes: Iterable[tuple[str, Flight | None]],
        *,
        whole: bool,
    ) -> bool:
        """Fold a peer's message; a whole one replaces all that it had.

        Return whether any flight may have changed.
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
        """Forget a peer that is no longer heard."""
        if sender in self._senders:
            for flight_id in tuple(self._senders[sender].flights):
                self._unset(sender, flight_id)
            self._senders.pop(sender)

    def count_peers(self) -> int:
        """Return how many peers are being heard."""
        return len(self._senders) - 1

    def get_flights(self, target: str) -> Iterator[Flight]:
        """Return everything that a target is working on."""
        told = [
            flight
            for by_target in self._elsewhere.values()
            for flight in by_target.get(target, ())
        ]
        return iter((*self._by_target.get(target, {}).values(), *told))

    def get_colocated(self, flight: Flight) -> list[Flight]:
        """Return what the targets of a flight have to do, itself included."""
        return [
            one
            for name in flight.engaged_targets
            for one in self.get_flights(name)
        ]

    def set_remote_load(
        self, data_centre: str, flights: Iterable[Flight]
    ) -> None:
        """Take what instances elsewhere have at the targets of a data centre.

        It replaces what was told before; nothing of it is from senders that
        this instance hears itself.
        """
        by_target: dict[str, list[Flight]] = defaultdict(list)
        for flight in flights:
            by_target[flight.target].append(flight)
        self._elsewhere[data_centre] = by_target

    def get_flights_except(self, senders: Container[str]) -> Iterator[Flight]:
        """Yield the flights of this instance and of all but some peers."""
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
