"""
News from other entries
=======================

One entry reads the store, the others ask it.  A question is a datagram with
the time at which it was sent; the answer returns that time with the age of the
reader's proof, so that a delayed answer, or one that waited while the process
stood still, proves no more than it should.  What has changed is fetched by
HTTP.
"""

import json
from types import MappingProxyType
from typing import Any, Callable, Mapping
from urllib.parse import urlencode

import anyio
from trestledock.entry import _events as events
from trestledock.entry._checks import (
    read_number,
    read_count,
    read_bool,
    read_list,
    read_optional_count,
    read_text,
    read_int,
)
from trestledock.entry._datagrams import Address
from trestledock.entry._dialect import RetainedTarget, StoreUpdate, TargetUpdate
from trestledock.entry._gossip import Gossip
from trestledock.entry._logger import emit
from trestledock.entry._peer_calls import BAD_ANSWER, call_peer
from trestledock.entry._state import MAX_AGE_S, NO_VERSION, EntryState
from trestledock.entry._messages import Question, Reply
from trestledock.relay import (
    UNKNOWN_BIRTH,
    RemovedTarget,
    ListedTarget,
    QuarantineRecord,
    Standing,
)

#: The fields of a target as they are passed on, with what reads them.
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
#: How long an answer to a question is waited for, in seconds.
ANSWER_S = 0.1
NEWS_PATH = '/news'
VERSION_FIELD = 'version'
#: Asks for the targets that have left, too.
PAST_FIELD = 'past'
#: Whose list the own one is, and at which revision, where it is nobody's.
NOBODY = ('', -1)


class UpdateExchange:
    """Asks the reader for news, and answers those who ask."""

    def __init__(self, state: EntryState, gossip: Gossip) -> None:
        """Take part in the gossip."""
        self.state = state
        self.gossip = gossip
        self._reply: Reply | None = None
        self._taken = NOBODY
        self._answered = anyio.Event()
        gossip.handlers[Question] = self._answer
        gossip.handlers[Reply] = self._take_reply

    async def query_reader(self, reader: str) -> None:
        """Ask an entry how fresh it is, and wait a little for its answer."""
        peer = self.gossip.peers.known.get(reader)
        if peer is None:
            return
        self._answered = anyio.Event()
        question = Question(self.state.member, anyio.current_time())
        self.gossip.send(question, [peer.address])
        with anyio.move_on_after(ANSWER_S):
            await self.gossip.wait_for(self._answered)

    def renew_proof(self, reader: str) -> bool:
        """Renew what the reader's last answer proves.

        Return whether it knows something newer that must be fetched first.  A
        reader that has been cut off from the store knows older things, which
        are left alone.
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
        listed_at = reply.asked_at - reply.list_age_s
        if listed_at <= self.state.fleet.watch.read_at:
            return is_behind
        if self._taken != (reader, reply.revision):
            return True
        latest_at = now - reply.list_age_s
        self.state.record_list(listed_at, now, reader, latest_at)
        return is_behind

    async def fetch(
        self,
        reader: str,
        limit_s: float,
        *,
        with_past: bool = False,
    ) -> StoreUpdate | None:
        """Fetch what the reader knows; None where it can't be had in time.

        With its past it tells of the targets that have left, too.
        """
        peer = self.gossip.peers.known.get(reader)
        if peer is None:
            return None
        asked_at = anyio.current_time()
        try:
            with anyio.fail_after(limit_s):
                plain = await self._get(
                    peer.address, {PAST_FIELD: 1} if with_past else {}
                )
            now = anyio.current_time()
            return _read_news(plain, asked_at, now, reader)
        except BAD_ANSWER as exc:
            emit(events.NewsLost(reader, repr(exc)))
            return None

    def record_list_source(self, news: StoreUpdate) -> None:
        """Note that the own list is that of an entry, at its revision."""
        self._taken = (news.source, news.revision)

    def clear_list_source(self) -> None:
        """Note that the own list is nobody else's any more."""
        self._taken = NOBODY

    def encode_update(
        self, version: int = NO_VERSION, *, with_past: bool = False
    ) -> bytes:
        """Return what this entry knows, for one that has a version.

        The document is left out where that is the own one: lists change with
        each target, and tens of kilobytes a second would fill slow links where
        many ask.
        """
        now = anyio.current_time()
        fleet = self.state.fleet
        held = [
            {'listed': encode_target(listed), 'left_s': until - now}
            for listed, until in fleet.get_retained()
        ]
        quarantine = [
            _write_quarantined(one)
            for one in self.state.isolation.quarantine.get_records(now)
        ]
        plain = {
            'list_age_s': min(self.state.get_list_age_s(now), MAX_AGE_S),
            'revision': self.state.revision,
            'settled': fleet.watch.is_synchronized(now),
            'document': self._get_document(version),
            'targets': [encode_target(one) for one in fleet.get_listed()],
            'held': held,
            'quarantine': quarantine,
            'epoch': self.state.restores.epoch,
        }
        if with_past:
            plain['gone'] = [
                (one.target_id, *one.order) for one in fleet.get_removed()
            ]
            plain['leaving'] = sorted(fleet.draining)
        return json.dumps(plain, separators=(',', ':')).encode()

    def _get_document(self, version: int) -> str:
        return '' if version == self.state.version else self.state.document

    def _answer(self, question: Question, sender: Address) -> bool:
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
        )
        self.gossip.send(reply, [sender])
        return False

    def _take_reply(self, reply: Reply, _: Address) -> bool:
        self._reply = reply
        self._answered.set()
        return False

    async def _get(
        self, address: Address, asked: Mapping[str, int]
    ) -> dict[str, Any]:
        query = urlencode({VERSION_FIELD: self.state.version, **asked})
        return await call_peer(address, f'{NEWS_PATH}?{query}')


def encode_target(listed: ListedTarget) -> dict[str, Any]:
    """Return a target as it is passed on."""
    return {name: getattr(listed, name) for name in TARGET_FIELDS}


def decode_target(plain: Mapping[str, Any]) -> ListedTarget:
    """Return a target that was passed on, or raise where it makes no sense.

    Older versions of the program tell no birth.
    """
    told = {'born': UNKNOWN_BIRTH, **plain}
    found = {name: check(told[name]) for name, check in TARGET_FIELDS.items()}
    return ListedTarget(**found)


def _read_held(plain: Mapping[str, Any]) -> RetainedTarget:
    return RetainedTarget(
        decode_target(plain['listed']), read_number(plain['left_s'])
    )


def _read_gone(plain: Any) -> RemovedTarget:
    target_id, born, sequence = read_list(plain)
    return RemovedTarget(
        read_text(target_id), (read_int(born), read_int(sequence))
    )


def _write_quarantined(one: QuarantineRecord) -> dict[str, Any]:
    return {
        'fingerprint': one.fingerprint,
        'ends': one.incarnations,
        'age_s': one.age_s,
        'trials': one.probes,
        'cleared': one.cleared,
    }


def _read_quarantined(plain: Mapping[str, Any]) -> QuarantineRecord:
    return QuarantineRecord(
        read_text(plain['fingerprint']),
        tuple(map(read_text, read_list(plain['ends']))),
        read_number(plain['age_s']),
        read_count(plain['trials']),
        tuple(map(read_text, read_list(plain['cleared']))),
    )


def _read_news(
    plain: dict[str, Any],
    asked_at: float,
    now: float,
    reader: str,
) -> StoreUpdate:
    """Return what an entry knows, or raise where it makes no sense.

    An older one says nothing of held targets, of requests, nor of epochs.
    """
    listed = map(decode_target, read_list(plain['targets']))
    age_s = read_number(plain['list_age_s'])
    quarantined = read_list(plain.get('quarantine', []))
    return StoreUpdate(
        document=read_text(plain['document']),
        targets=tuple([TargetUpdate(one.target_id, one) for one in listed]),
        held=tuple(map(_read_held, read_list(plain.get('held', [])))),
        as_of=asked_at - age_s,
        latest_at=now - age_s,
        whole=True,
        settled=read_bool(plain.get('settled', False)),
        source=reader,
        revision=read_int(plain['revision']),
        quarantine=tuple(map(_read_quarantined, quarantined)),
        epoch=read_optional_count(plain.get('epoch')),
        gone=tuple(map(_read_gone, read_list(plain.get('gone', [])))),
        leaving=tuple(map(read_text, read_list(plain.get('leaving', [])))),
    )
