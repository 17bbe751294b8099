"""
Store updates from other entries
================================

One entry reads the store, and the others ask it how current its copy is. A
question is a datagram with its time of sending. The answer returns that time
with the age of the last proof that the reader's configuration is current, so
that an answer that is delayed, or that waits while the process is stopped,
proves no more than it should. Changes are then fetched over HTTP.
"""

from types import MappingProxyType
from typing import Any, Callable, Iterable, Mapping
from urllib.parse import urlencode

import anyio
from trestledock.entry import _events as events
from trestledock.entry._checks import (
    read_age_s,
    read_number,
    read_count,
    read_bool,
    read_list,
    read_optional_count,
    read_text,
    read_int,
)
from trestledock.entry._datagrams import Address
from trestledock.entry._dialect import (
    ColdTime,
    RetainedTarget,
    StoreUpdate,
    TargetUpdate,
)
from trestledock.entry._evacuation_codec import (
    EVACUATED_FIELD,
    decode_evacuations,
    encode_evacuations,
)
from trestledock.entry._gossip import Gossip
from trestledock.entry._logger import emit
from trestledock.entry._peer_calls import CALL_ERRORS, call_peer
from trestledock.entry._state import NO_VERSION, EntryState
from trestledock.entry._messages import Question, Reply
from trestledock.relay import (
    encode_json,
    MAX_AGE_S,
    UNKNOWN_BIRTH,
    ColdStart,
    RemovedTarget,
    ListedTarget,
    QuarantineRecord,
    Standing,
)

#: Fields of a target in updates between entries, with their decoders.
TARGET_FIELDS: Mapping[str, Callable[[Any], Any]] = MappingProxyType(
    {
        'target_id': read_text,
        'service': read_text,
        'address': read_text,
        'data_centre': read_text,
        'standing': Standing,
        'slots': read_int,
        'sequence': read_int,
        'born': read_int,
    }
)
#: Timeout for the answer to a question, in seconds.
ANSWER_TIMEOUT_S = 0.1
UPDATE_PATH = '/news'
VERSION_FIELD = 'version'
#: Optional field of a target: for how many milliseconds it stays cold.
COLD_FIELD = 'cold_ms'
NOTHING: Mapping[str, int] = MappingProxyType({})
MS = 1000
#: Exceptions that decoding an invalid row raises.
ROW_ERRORS = (ValueError, LookupError, TypeError)
#: Query parameter that also requests the removed targets.
REMOVED_FIELD = 'past'
#: Value of the source and revision of the own list if it is no copy.
NO_SOURCE = ('', -1)


class UpdateExchange:
    """Asks the reader for updates, and answers the questions of others."""

    def __init__(self, state: EntryState, gossip: Gossip) -> None:
        """Register the handlers with the gossip."""
        self.state = state
        self.gossip = gossip
        self._reply: Reply | None = None
        self._list_source = NO_SOURCE
        self._evacuation_source = NO_SOURCE
        self._answered = anyio.Event()
        gossip.handlers[Question] = self._handle_question
        gossip.handlers[Reply] = self._handle_reply

    async def query_reader(self, reader: str) -> None:
        """Ask an entry how current its copy is, and wait for its answer."""
        peer = self.gossip.peers.known.get(reader)
        if peer is None:
            return
        self._answered = anyio.Event()
        question = Question(self.state.member, anyio.current_time())
        self.gossip.send(question, [peer.address])
        with anyio.move_on_after(ANSWER_TIMEOUT_S):
            await self.gossip.wait_for(self._answered)

    def renew_proof(self, reader: str) -> bool:
        """Renew the proof of the configuration by the reader's last answer.

        Return whether the reader has something newer that must be fetched
        first. Older state, such as that of a reader which lost its connection
        to the store, is ignored.
        """
        reply = self._reply
        if reply is None or reply.sender != reader:
            return False
        now = anyio.current_time()
        self.state.record_reported_epoch(reply.epoch, now, reader)
        is_behind = reply.version > self.state.version
        if not is_behind:
            self.state.proof.renew(reply.asked_at - reply.proof_age_s)
            self.state.proof.record_read(reply.asked_at - reply.read_age_s)
        is_behind = self._are_evacuations_behind(reply, now) or is_behind
        listed_at = reply.asked_at - reply.list_age_s
        if listed_at <= self.state.fleet.watch.read_at:
            return is_behind
        if self._list_source != (reader, reply.revision):
            return True
        latest_at = now - reply.list_age_s
        self.state.record_list(listed_at, now, reader, latest_at)
        return is_behind

    async def fetch(
        self,
        reader: str,
        timeout_s: float,
        *,
        with_removed: bool = False,
    ) -> StoreUpdate | None:
        """Fetch the reader's state; return None on failure or timeout.

        `with_removed` also requests the removed targets.
        """
        peer = self.gossip.peers.known.get(reader)
        if peer is None:
            return None
        asked_at = anyio.current_time()
        try:
            with anyio.fail_after(timeout_s):
                fields = await self._get(
                    peer.address, {REMOVED_FIELD: 1} if with_removed else {}
                )
            now = anyio.current_time()
            return _decode_update(fields, asked_at, now, reader)
        except CALL_ERRORS as exc:
            emit(events.NewsLost(reader, repr(exc)))
            return None

    def record_list_source(self, update: StoreUpdate) -> None:
        """Record which entry's list, at which revision, the own one copies."""
        self._list_source = (update.source, update.revision)

    def clear_list_source(self) -> None:
        """Record that the own list no longer copies that of another entry."""
        self._list_source = NO_SOURCE

    def record_evacuation_source(self, update: StoreUpdate) -> None:
        """Record which entry's evacuations, and when, the own ones copy."""
        self._evacuation_source = (update.source, update.revision)

    def clear_evacuation_source(self) -> None:
        """Record that the own evacuations copy those of no other entry."""
        self._evacuation_source = NO_SOURCE

    def encode_update(
        self, version: int = NO_VERSION, *, with_removed: bool = False
    ) -> bytes:
        """Encode this entry's state for an entry that has some version.

        The configuration document is left out if the versions are equal: the
        list changes with each target, and with many requesters tens of
        kilobytes a second would fill slow links.
        """
        now = anyio.current_time()
        fleet = self.state.fleet
        retained = [
            {'listed': encode_target(listed), 'left_s': until - now}
            for listed, until in fleet.get_retained()
        ]
        quarantine = [
            _encode_quarantined(record)
            for record in self.state.isolation.quarantine.get_records(now)
        ]
        fields = {
            'list_age_s': min(self.state.get_list_age_s(now), MAX_AGE_S),
            'revision': self.state.revision,
            'settled': fleet.watch.is_synchronized(now),
            'document': self._get_document(version),
            'targets': [
                {**encode_target(listed), **self._encode_cold(listed, now)}
                for listed in fleet.get_listed()
            ],
            'held': retained,
            'quarantine': quarantine,
            'epoch': self.state.restores.epoch,
            EVACUATED_FIELD: encode_evacuations(fleet.evacuations, now),
        }
        if with_removed:
            fields['gone'] = [
                (target.target_id, *target.order)
                for target in fleet.get_removed()
            ]
            fields['leaving'] = sorted(fleet.draining)
        return encode_json(fields)

    def _are_evacuations_behind(self, reply: Reply, now: float) -> bool:
        """Return whether the reader's evacuations must be fetched.

        If the own ones are a copy of them, they are renewed by the reply.
        """
        evacuations = self.state.fleet.evacuations
        if reply.evacuated_age_s is None:
            return False
        as_of = reply.asked_at - reply.evacuated_age_s
        if as_of <= evacuations.as_of:
            return False
        if self._evacuation_source != (reply.sender, reply.revision):
            return True
        evacuations.renew(as_of, now - reply.evacuated_age_s)
        return False

    def _encode_cold(
        self, listed: ListedTarget, now: float
    ) -> Mapping[str, int]:
        """Encode for how long a target stays cold, if it may be cold at all."""
        if not self.state.may_be_cold(listed):
            return NOTHING
        cold = self.state.notices.get(ColdStart, listed.incarnation)
        left_s = cold.until - now if cold else 0
        return {COLD_FIELD: round(max(0, left_s) * MS)}

    def _get_document(self, version: int) -> str:
        return '' if version == self.state.version else self.state.document

    def _handle_question(self, question: Question, sender: Address) -> bool:
        self.gossip.poll_more_often()
        now = anyio.current_time()
        reply = Reply(
            sender=self.state.member,
            asked_at=question.asked_at,
            proof_age_s=min(self.state.proof.get_age_s(now), MAX_AGE_S),
            read_age_s=min(self.state.proof.get_read_age_s(now), MAX_AGE_S),
            list_age_s=min(self.state.get_list_age_s(now), MAX_AGE_S),
            version=self.state.version,
            revision=self.state.revision,
            epoch=self.state.restores.epoch,
            evacuated_age_s=self._get_evacuated_age_s(now),
        )
        self.gossip.send(reply, [sender])
        return False

    def _get_evacuated_age_s(self, now: float) -> float | None:
        evacuations = self.state.fleet.evacuations
        return evacuations.get_age_s(now) if evacuations.is_known else None

    def _handle_reply(self, reply: Reply, _: Address) -> bool:
        self._reply = reply
        self._answered.set()
        return False

    async def _get(
        self, address: Address, params: Mapping[str, int]
    ) -> dict[str, Any]:
        query = urlencode({VERSION_FIELD: self.state.version, **params})
        return await call_peer(address, f'{UPDATE_PATH}?{query}')


def encode_target(listed: ListedTarget) -> dict[str, Any]:
    """Encode a target for another entry."""
    return {name: getattr(listed, name) for name in TARGET_FIELDS}


def decode_target(encoded: Mapping[str, Any]) -> ListedTarget:
    """Decode a target from another entry, or raise if it is invalid.

    Older versions of the program send no time of birth.
    """
    fields = {'born': UNKNOWN_BIRTH, **encoded}
    decoded = {
        name: decode(fields[name]) for name, decode in TARGET_FIELDS.items()
    }
    return ListedTarget(**decoded)


def _decode_target_update(encoded: Mapping[str, Any]) -> TargetUpdate:
    """Decode a target and its cold time; an invalid time counts as none."""
    listed = decode_target(encoded)
    left_ms = encoded.get(COLD_FIELD)
    if left_ms is None:
        return TargetUpdate(listed.target_id, listed)
    try:
        cold = ColdTime(read_count(left_ms) / MS)
    except ValueError as exc:
        cold = ColdTime(invalid_text=repr(exc))
    return TargetUpdate(listed.target_id, listed, cold)


def _decode_retained(fields: Mapping[str, Any]) -> RetainedTarget:
    return RetainedTarget(
        decode_target(fields['listed']), read_number(fields['left_s'])
    )


def _decode_removed(row: Any) -> RemovedTarget:
    target_id, born, sequence = read_list(row)
    return RemovedTarget(
        read_text(target_id), (read_int(born), read_int(sequence))
    )


def _encode_quarantined(record: QuarantineRecord) -> dict[str, Any]:
    return {
        'fingerprint': record.name,
        'ends': record.incarnations,
        'age_s': record.age_s,
        'trials': record.probes,
        'cleared': record.cleared,
        'ages_s': record.ages_s,
    }


def _decode_quarantined(fields: Mapping[str, Any]) -> QuarantineRecord:
    return QuarantineRecord(
        read_text(fields['fingerprint']),
        tuple(map(read_text, read_list(fields['ends']))),
        read_age_s(fields['age_s']),
        read_count(fields['trials']),
        tuple(map(read_text, read_list(fields['cleared']))),
        tuple(map(read_age_s, read_list(fields.get('ages_s', [])))),
    )


def _decode_quarantine(
    rows: Iterable[Any], reader: str
) -> tuple[QuarantineRecord, ...]:
    """Decode quarantined requests, skipping invalid rows.

    Each row is about one request.  The rows of targets are different: a missing
    target counts as removed, so an invalid one refuses the whole update.
    """
    decoded = []
    errors = []
    for row in rows:
        try:
            decoded.append(_decode_quarantined(row))
        except ROW_ERRORS as exc:
            errors.append(repr(exc))
    if errors:
        detail = f'{len(errors)} rows of the quarantine: {errors[0]}'
        emit(events.RecordIgnored(reader, detail))
    return tuple(decoded)


def _decode_update(
    fields: dict[str, Any],
    asked_at: float,
    now: float,
    reader: str,
) -> StoreUpdate:
    """Decode another entry's state, or raise if it is invalid.

    Older versions send no retained targets, quarantined requests or epoch.
    """
    age_s = read_number(fields['list_age_s'])
    quarantined = read_list(fields.get('quarantine', []))
    return StoreUpdate(
        document=read_text(fields['document']),
        targets=tuple(map(_decode_target_update, read_list(fields['targets']))),
        retained=tuple(
            map(_decode_retained, read_list(fields.get('held', [])))
        ),
        as_of=asked_at - age_s,
        latest_at=now - age_s,
        is_complete=True,
        is_synchronized=read_bool(fields.get('settled', False)),
        source=reader,
        revision=read_int(fields['revision']),
        quarantine=_decode_quarantine(quarantined, reader),
        epoch=read_optional_count(fields.get('epoch')),
        removed=tuple(map(_decode_removed, read_list(fields.get('gone', [])))),
        draining=tuple(map(read_text, read_list(fields.get('leaving', [])))),
        evacuations=decode_evacuations(fields, asked_at, now, reader),
    )
