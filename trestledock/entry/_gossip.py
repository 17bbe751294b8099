"""
Gossip between entries
======================

Tells the other entries what this one has in flight (each change at once,
everything now and then) and how fresh what it knows of the store is, and takes
what they tell.  A lost datagram is made good by the next one.  What comes in is
looked at now and then, and before each choice of a target.
"""

from typing import Any, Callable, Iterable, Mapping, Sequence

import anyio

from trestledock.entry import _events as events
from trestledock.entry._datagrams import Address, Datagrams, split_address
from trestledock.entry._logger import emit
from trestledock.entry._metrics import METRICS
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
from trestledock.relay import BEAT_INTERVAL_S, ReaderCandidate, Flight

#: How long changes are gathered, in seconds.
GATHER_S = 0.004
#: How often everything is told, in seconds, at least.
WHOLE_S = 0.5
FAR_S = 3.0
#: So many words a second that tell everything come to an entry at most, from
#: near and from far: the more entries, the more rarely each tells it.
MOST_WHOLE = 20
MOST_FAR = 13
#: How often is looked for words, in seconds: where beats are listened for or
#: somebody waits for answers, and where not.  Choices of targets look anyway.
LOOK_S = 0.02
LOOK_MANY_S = 0.1
#: For how long after a question more of them are expected, in seconds.
ATTENTIVE_S = 1.0
#: Flights, or other rows, in one datagram.
MAX_FLIGHTS = 100
MAX_ROWS = 100

#: Takes a word; true where it changes what targets have to do.
Handler = Callable[[Any, Address], bool]


class Gossip:
    """The exchange of datagrams with the other entries.

    What is in `on_new_peer` is called with the address of each entry that is
    new, what is in `on_full_state_sent` with the addresses that were just told
    everything.
    """

    def __init__(self, state: EntryState) -> None:
        """Begin without peers."""
        self.state = state
        own = split_address(state.settings.peers)
        self.addresses = PeerAddresses(own, state.settings.data_centre)
        self.peers = Peers(state.settings.data_centre)
        self.handlers: dict[type[Message], Handler] = {
            Flights: self._take_flights,
            Beat: self._take_beat,
            Fresh: self._take_fresh,
        }
        self.on_new_peer: list[Callable[[Address], None]] = []
        self.on_full_state_sent: list[Callable[[Sequence[Address]], None]] = []
        self.sequence = 0
        self._datagrams: Datagrams | None = None
        self._attentive_until = float('-inf')
        self._is_end_told = False
        self._told_far: dict[str, set[str]] = {}

    def add_addresses(self, addresses: Mapping[str, str]) -> None:
        """Take the addresses of the other entries by name, and greet them."""
        found = map(split_address, addresses.values())
        new = self.addresses.add_addresses(found, anyio.current_time())
        self._tell_whole(new, self._get_far_s())

    def get_candidates(self, now: float) -> list[ReaderCandidate]:
        """Return the entries that may read the store, this one included."""
        own = ReaderCandidate(
            self.state.member, self.state.get_advertised_age_s(now)
        )
        return [own, *self.peers.get_candidates(now)]

    async def run(self) -> None:
        """Talk and listen until cancelled."""
        self._datagrams = Datagrams(self.addresses.own)
        self.state.receive_messages = self.receive_messages
        self.state.send_own_changes = self.send_own_changes
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._listen)
                group.start_soon(self._tell_changes)
                group.start_soon(self._tell_all)
                group.start_soon(self._beat)
        finally:
            self._datagrams.close()
            self._datagrams = None

    def send(self, word: Message, where: Sequence[Address]) -> None:
        """Send a word to some addresses; it may be lost."""
        if self._datagrams is None or not where:
            return
        raw = encode_message(word, anyio.current_time())
        name = type(word).__name__
        METRICS.count_messages('sent', name, len(raw), len(where))
        self._datagrams.send(raw, where)

    def send_rows(
        self,
        make_word: Callable[[str, tuple[Any, ...]], Message],
        rows: Sequence[Any],
        where: Sequence[Address],
    ) -> None:
        """Send rows in as many words as they need."""
        for start in range(0, len(rows), MAX_ROWS):
            part = tuple(rows[start : start + MAX_ROWS])
            self.send(make_word(self.state.member, part), where)

    def receive_messages(self) -> None:
        """Take all words that have come in."""
        if self._datagrams is None:
            return
        is_news = False
        for raw, sender in self._datagrams.receive():
            is_news = self.handle_datagram(raw, sender) or is_news
        if is_news:
            self.state.notify()

    async def wait_for(self, event: anyio.Event) -> None:
        """Wait for an event that a word brings."""
        while not event.is_set():
            with anyio.move_on_after(LOOK_S):
                await event.wait()
            self.receive_messages()

    def handle_datagram(self, raw: bytes, sender: Address) -> bool:
        """Take a word; return whether it changes what targets have to do.

        One that makes no sense changes nothing.
        """
        now = anyio.current_time()
        try:
            word = decode_message(raw, now)
        except InvalidMessage as exc:
            emit(events.DatagramDropped(repr(exc)))
            return False
        METRICS.count_messages('heard', type(word).__name__, len(raw), 1)
        return bool(self.handlers[type(word)](word, sender))

    def announce_read(self) -> None:
        """Have the others know that the store was just read here."""
        if not self.state.draining:
            age_s = self.state.get_advertised_age_s(anyio.current_time())
            self.send(Fresh(self.state.member, age_s), self._get_near())

    def send_own_changes(self) -> None:
        """Tell what has changed of the own flights since the last time."""
        changes = list(self.state.board.pop_changes().items())
        if changes:
            again_s = self._get_whole_s()
            self._tell(changes, self._get_near(), whole=False, again_s=again_s)
            self._tell_changes_far(changes)

    def poll_more_often(self) -> None:
        """Look for words more often for a while: others wait for answers."""
        self._attentive_until = anyio.current_time() + ATTENTIVE_S

    def _take_flights(self, word: Flights, sender: Address) -> bool:
        now = anyio.current_time()
        self.addresses.record_address(sender, word.data_centre, now)
        is_new = self.peers.update(word, sender, now)
        self.state.many_entries = self.peers.are_many
        self._note_heard(word, now)
        if is_new:
            self._welcome(word.sender, sender)
        return self.state.board.apply_update(
            word.sender, word.sequence, word.changes, whole=word.whole
        )

    def _take_beat(self, word: Beat, _: Address) -> bool:
        self._note_heard(word, anyio.current_time())
        return False

    def _take_fresh(self, word: Fresh, _: Address) -> bool:
        now = anyio.current_time()
        self.peers.record_read(word.sender, word.news_age_s, now)
        return False

    def _note_heard(self, word: Flights | Beat, now: float) -> None:
        self.state.record_remote_entry(
            word.data_centre, word.sender, now, leaving=word.leaving
        )

    def _welcome(self, name: str, address: Address) -> None:
        """Take a new peer in the place of the one that ran there before.

        It is told everything at once: else it would know nothing of this one
        for as long as everything is told only now and then.
        """
        emit(events.PeerMet(name))
        for before in self.peers.get_previous_at(name):
            self._drop(before)
        is_near = self.peers.is_near(name)
        again_s = self._get_whole_s() if is_near else self._get_far_s()
        self._tell_whole([address], again_s)
        for tell in self.on_new_peer:
            tell(address)

    def _tell_whole(self, where: Sequence[Address], again_s: float) -> None:
        own = list(self.state.board.own.items())[:MAX_FLIGHTS]
        self._tell(own, where, whole=True, again_s=again_s)

    async def _listen(self) -> None:
        while True:
            self.receive_messages()
            await anyio.sleep(self._get_look_s())

    def _get_look_s(self) -> float:
        hurried = anyio.current_time() < self._attentive_until
        if hurried or not self.state.many_entries:
            return LOOK_S
        return LOOK_MANY_S

    async def _beat(self) -> None:
        """Let other data centres hear this entry, and listen for them.

        With many entries the others speak too rarely to be listened for.
        """
        place = self.state.settings.data_centre
        while True:
            await anyio.sleep(BEAT_INTERVAL_S)
            if self.state.many_entries:
                continue
            beat = Beat(self.state.member, place, self.state.draining)
            self.send(beat, self.addresses.get_remote())
            self.receive_messages()
            self.state.check_reachability(anyio.current_time())

    async def _tell_changes(self) -> None:
        while True:
            await self.state.wait_for_own_change()
            await anyio.sleep(GATHER_S)
            self.send_own_changes()
            self._tell_end()

    def _tell_changes_far(self, changes: Sequence[Change]) -> None:
        """Tell other data centres at once of what goes to their targets.

        That is rare where there are many entries: only long prompts go there.
        An end names no target, so it is told where its beginning was.
        """
        far = self.addresses.get_far(many=self.state.many_entries)
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
        """Tell at once that this entry is ending."""
        if self.state.draining and not self._is_end_told:
            self._is_end_told = True
            self._tell_whole(self.addresses.get_all(), self._get_far_s())

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
            self.receive_messages()
            self._drop_silent(anyio.current_time())

    def _tell_far(self) -> None:
        """Tell the other data centres of the flights at their targets."""
        own = list(self.state.board.own.items())[:MAX_FLIGHTS]
        far = self.addresses.get_far(many=self.state.many_entries)
        for place, where in far.items():
            flights = [one for one in own if place in self._get_places(one[1])]
            self._tell(flights, where, whole=True, again_s=self._get_far_s())
            self._note_told(where)

    def _note_told(self, where: Sequence[Address]) -> None:
        for tell in self.on_full_state_sent:
            tell(where)

    def _get_whole_s(self) -> float:
        return max(WHOLE_S, len(self._get_near()) / MOST_WHOLE)

    def _get_far_s(self) -> float:
        return max(FAR_S, len(self.addresses.data_centres) / MOST_FAR)

    def _drop_silent(self, now: float) -> None:
        for name in self.peers.get_silent(now):
            self._drop(name)

    def _drop(self, name: str) -> None:
        peer = self.peers.known.pop(name)
        if peer.leaving:
            self.addresses.record_shutdown(peer.address)
        self.state.board.drop_sender(name)
        emit(events.PeerLost(name))

    def _get_near(self) -> list[Address]:
        return self.addresses.get_near(many=self.state.many_entries)

    def _get_places(self, flight: Flight) -> set[str]:
        """Return the data centres of the targets that a flight is at."""
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
        age_s = self.state.get_advertised_age_s(anyio.current_time())
        word = Flights(
            sender=self.state.member,
            sequence=self.sequence,
            whole=whole,
            data_centre=self.state.settings.data_centre,
            leaving=self.state.draining,
            news_age_s=age_s,
            again_s=again_s,
            changes=tuple(changes),
        )
        self.send(word, where)
