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
from trestledock.entry._neighbours import Neighbours
from trestledock.entry._peers import Peers
from trestledock.entry._rows import Change
from trestledock.entry._state import EntryState
from trestledock.entry._word_codec import BadWord, read_word, write_word
from trestledock.entry._words import Beat, Flights, Fresh, Word
from trestledock.relay import BEAT_S, Candidate, Flight

#: How long changes are collected before they are sent, in seconds.
GATHER_S = 0.004
#: Minimum period of the full state, in seconds: within the near group, and to
#: other data centres.
WHOLE_S = 0.5
FAR_S = 3.0
#: Maximum number of full-state messages that an entry receives in a second,
#: from the near group and from other data centres: the period grows with the
#: number of entries.
MOST_WHOLE = 20
MOST_FAR = 13
#: Polling interval for datagrams, in seconds: where heartbeats count or an
#: answer is awaited, and otherwise. Choosing a target polls as well.
LOOK_S = 0.02
LOOK_MANY_S = 0.1
#: For how long after a question more are expected, in seconds.
ATTENTIVE_S = 1.0
#: Maximum number of in-flight requests, or of other rows, in one datagram.
MAX_FLIGHTS = 100
MAX_ROWS = 100

#: Handles a message; true if it changes the load of targets.
Handler = Callable[[Any, Address], bool]


class Gossip:
    """Exchange of datagrams with the other entries.

    The callbacks in `on_met` get the address of each new entry, those in
    `on_told` the addresses that the full state was just sent to.
    """

    def __init__(self, state: EntryState) -> None:
        """Start without peers."""
        self.state = state
        own = split_address(state.settings.peers)
        self.neighbours = Neighbours(own, state.settings.data_centre)
        self.peers = Peers(state.settings.data_centre)
        self.handlers: dict[type[Word], Handler] = {
            Flights: self._take_flights,
            Beat: self._take_beat,
            Fresh: self._take_fresh,
        }
        self.on_met: list[Callable[[Address], None]] = []
        self.on_told: list[Callable[[Sequence[Address]], None]] = []
        self.sequence = 0
        self._datagrams: Datagrams | None = None
        self._attentive_until = float('-inf')
        self._is_end_told = False
        self._told_far: dict[str, set[str]] = {}

    def meet(self, addresses: Mapping[str, str]) -> None:
        """Add the addresses of other entries by name, and contact new ones."""
        found = map(split_address, addresses.values())
        new = self.neighbours.meet(found, anyio.current_time())
        self._tell_whole(new, self._get_far_s())

    def get_candidates(self, now: float) -> list[Candidate]:
        """Return the entries that may read the store, including this one."""
        own = Candidate(self.state.member, self.state.get_offered_age_s(now))
        return [own, *self.peers.get_candidates(now)]

    async def run(self) -> None:
        """Send and receive until cancelled."""
        self._datagrams = Datagrams(self.neighbours.own)
        self.state.catch_up = self.catch_up
        self.state.tell_own = self.tell_own
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._listen)
                group.start_soon(self._tell_changes)
                group.start_soon(self._tell_all)
                group.start_soon(self._beat)
        finally:
            self._datagrams.close()
            self._datagrams = None

    def send(self, word: Word, where: Sequence[Address]) -> None:
        """Send a message to some addresses, without guaranteed delivery."""
        if self._datagrams is None or not where:
            return
        raw = write_word(word, anyio.current_time())
        name = type(word).__name__
        METRICS.count_words('sent', name, len(raw), len(where))
        self._datagrams.send(raw, where)

    def send_rows(
        self,
        make_word: Callable[[str, tuple[Any, ...]], Word],
        rows: Sequence[Any],
        where: Sequence[Address],
    ) -> None:
        """Send rows in as many messages as they need."""
        for start in range(0, len(rows), MAX_ROWS):
            part = tuple(rows[start : start + MAX_ROWS])
            self.send(make_word(self.state.member, part), where)

    def catch_up(self) -> None:
        """Handle all datagrams that have arrived."""
        if self._datagrams is None:
            return
        is_news = False
        for raw, sender in self._datagrams.receive():
            is_news = self.take(raw, sender) or is_news
        if is_news:
            self.state.notify()

    async def wait_for(self, event: anyio.Event) -> None:
        """Wait for an event that a message sets."""
        while not event.is_set():
            with anyio.move_on_after(LOOK_S):
                await event.wait()
            self.catch_up()

    def take(self, raw: bytes, sender: Address) -> bool:
        """Handle a datagram; return whether it changes the load of targets.

        An invalid datagram changes nothing.
        """
        now = anyio.current_time()
        try:
            word = read_word(raw, now)
        except BadWord as exc:
            emit(events.DatagramDropped(repr(exc)))
            return False
        METRICS.count_words('heard', type(word).__name__, len(raw), 1)
        return bool(self.handlers[type(word)](word, sender))

    def tell_fresh(self) -> None:
        """Announce that this entry has just read the store."""
        if not self.state.leaving:
            age_s = self.state.get_offered_age_s(anyio.current_time())
            self.send(Fresh(self.state.member, age_s), self._get_near())

    def tell_own(self) -> None:
        """Send the own in-flight requests that changed since the last time."""
        changes = list(self.state.board.take_changes().items())
        if changes:
            again_s = self._get_whole_s()
            self._tell(changes, self._get_near(), whole=False, again_s=again_s)
            self._tell_changes_far(changes)

    def be_attentive(self) -> None:
        """Poll more often for a while, as other entries wait for answers."""
        self._attentive_until = anyio.current_time() + ATTENTIVE_S

    def _take_flights(self, word: Flights, sender: Address) -> bool:
        now = anyio.current_time()
        self.neighbours.note(sender, word.data_centre, now)
        is_new = self.peers.hear(word, sender, now)
        self.state.many_entries = self.peers.are_many
        self._note_heard(word, now)
        if is_new:
            self._welcome(word.sender, sender)
        return self.state.board.hear(
            word.sender, word.sequence, word.changes, whole=word.whole
        )

    def _take_beat(self, word: Beat, _: Address) -> bool:
        self._note_heard(word, anyio.current_time())
        return False

    def _take_fresh(self, word: Fresh, _: Address) -> bool:
        now = anyio.current_time()
        self.peers.note_fresh(word.sender, word.news_age_s, now)
        return False

    def _note_heard(self, word: Flights | Beat, now: float) -> None:
        self.state.note_heard(
            word.data_centre, word.sender, now, leaving=word.leaving
        )

    def _welcome(self, name: str, address: Address) -> None:
        """Register a new peer, replacing an earlier process at its address.

        It gets the full state at once: otherwise it would know nothing of this
        entry until the next period.
        """
        emit(events.PeerMet(name))
        for before in self.peers.get_others_at(name):
            self._drop(before)
        is_near = self.peers.is_near(name)
        again_s = self._get_whole_s() if is_near else self._get_far_s()
        self._tell_whole([address], again_s)
        for tell in self.on_met:
            tell(address)

    def _tell_whole(self, where: Sequence[Address], again_s: float) -> None:
        own = list(self.state.board.own.items())[:MAX_FLIGHTS]
        self._tell(own, where, whole=True, again_s=again_s)

    async def _listen(self) -> None:
        while True:
            self.catch_up()
            await anyio.sleep(self._get_look_s())

    def _get_look_s(self) -> float:
        hurried = anyio.current_time() < self._attentive_until
        if hurried or not self.state.many_entries:
            return LOOK_S
        return LOOK_MANY_S

    async def _beat(self) -> None:
        """Send heartbeats to other data centres, and check for theirs.

        With many entries messages between data centres are too rare to detect
        silence by.
        """
        place = self.state.settings.data_centre
        while True:
            await anyio.sleep(BEAT_S)
            if self.state.many_entries:
                continue
            beat = Beat(self.state.member, place, self.state.leaving)
            self.send(beat, self.neighbours.get_elsewhere())
            self.catch_up()
            self.state.check_reach(anyio.current_time())

    async def _tell_changes(self) -> None:
        while True:
            await self.state.wait_for_own_change()
            await anyio.sleep(GATHER_S)
            self.tell_own()
            self._tell_end()

    def _tell_changes_far(self, changes: Sequence[Change]) -> None:
        """Send changes to the data centres of the targets that they concern.

        With many entries that is rare: only long prompts go to other data
        centres. An ended request names no target, so its end goes where its
        start was sent.
        """
        far = self.neighbours.get_far(many=self.state.many_entries)
        for flight_id, flight in changes:
            before = self._told_far.pop(flight_id, set())
            places = self._get_places(flight) if flight else set()
            there = places & far.keys()
            if there:
                self._told_far[flight_id] = there
            for place in before | there:
                self._tell(
                    [(flight_id, flight)],
                    far[place],
                    whole=False,
                    again_s=self._get_far_s(),
                )

    def _tell_end(self) -> None:
        """Announce at once that this entry is draining."""
        if self.state.leaving and not self._is_end_told:
            self._is_end_told = True
            self._tell_whole(self.neighbours.get_all(), self._get_far_s())

    async def _tell_all(self) -> None:
        far_at = float('-inf')
        while True:
            now = anyio.current_time()
            self._tell_whole(self._get_near(), self._get_whole_s())
            self._note_told(self._get_near())
            if now >= far_at:
                self._tell_far()
                far_at = now + self._get_far_s()
            await anyio.sleep(self._get_whole_s())
            self.catch_up()
            self._drop_silent(anyio.current_time())

    def _tell_far(self) -> None:
        """Send other data centres the in-flight requests at their targets."""
        own = list(self.state.board.own.items())[:MAX_FLIGHTS]
        far = self.neighbours.get_far(many=self.state.many_entries)
        for place, where in far.items():
            flights = [
                change for change in own if place in self._get_places(change[1])
            ]
            self._tell(flights, where, whole=True, again_s=self._get_far_s())
            self._note_told(where)

    def _note_told(self, where: Sequence[Address]) -> None:
        for tell in self.on_told:
            tell(where)

    def _get_whole_s(self) -> float:
        return max(WHOLE_S, len(self._get_near()) / MOST_WHOLE)

    def _get_far_s(self) -> float:
        return max(FAR_S, len(self.neighbours.places) / MOST_FAR)

    def _drop_silent(self, now: float) -> None:
        for name in self.peers.get_silent(now):
            self._drop(name)

    def _drop(self, name: str) -> None:
        peer = self.peers.known.pop(name)
        if peer.leaving:
            self.neighbours.note_left(peer.address)
        self.state.board.drop_sender(name)
        emit(events.PeerLost(name))

    def _get_near(self) -> list[Address]:
        return self.neighbours.get_near(many=self.state.many_entries)

    def _get_places(self, flight: Flight) -> set[str]:
        """Return the data centres of the targets that a request occupies."""
        listed = self.state.fleet.targets
        return {
            listed[name].data_centre
            for name in (flight.target, *flight.helpers)
            if name in listed
        }

    def _tell(
        self,
        changes: Iterable[Change],
        where: Sequence[Address],
        *,
        whole: bool,
        again_s: float,
    ) -> None:
        self.sequence += 1
        age_s = self.state.get_offered_age_s(anyio.current_time())
        word = Flights(
            sender=self.state.member,
            sequence=self.sequence,
            whole=whole,
            data_centre=self.state.settings.data_centre,
            leaving=self.state.leaving,
            news_age_s=age_s,
            again_s=again_s,
            changes=tuple(changes),
        )
        self.send(word, where)
