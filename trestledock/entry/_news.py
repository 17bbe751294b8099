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
from typing import Any

import anyio
from cattrs import Converter
from cattrs.errors import BaseValidationError

from trestledock.entry import _events as events
from trestledock.entry._dialect import HeldTarget, News, TargetNews
from trestledock.entry._gossip import Address, Gossip
from trestledock.entry._logger import emit
from trestledock.entry._state import MOST_AGE_S, NO_VERSION, EntryState
from trestledock.entry._wire import Wire, WireError
from trestledock.relay import Listed

#: How long an answer to a question is waited for, in seconds.
ANSWER_S = 0.1
OK = 200
NEWS_PATH = '/news'
VERSION_FIELD = 'version'
#: Whose list the own one is, and at which revision, where it is nobody's.
NOBODY = ('', -1)

CONVERTER = Converter()
#: What a fetch raises that fails, or brings what makes no sense.
BAD_NEWS = (
    WireError,
    TimeoutError,
    ValueError,
    KeyError,
    TypeError,
    BaseValidationError,
)


class NewsExchange:
    """Asks the reader for news, and answers those who ask."""

    def __init__(self, state: EntryState, gossip: Gossip) -> None:
        """Take part in the gossip."""
        self.state = state
        self.gossip = gossip
        self._replies: dict[str, dict[str, Any]] = {}
        self._taken = NOBODY
        self._answered = anyio.Event()
        gossip.handlers['ask'] = self._answer
        gossip.handlers['reply'] = self._take_reply

    async def ask(self, reader: str) -> None:
        """Ask an entry how fresh it is, and wait a little for its answer."""
        peer = self.gossip.peers.get(reader)
        if peer is None:
            return
        self._answered = anyio.Event()
        message = {'kind': 'ask', 'asked_at': anyio.current_time()}
        await self.gossip.send(message, peer.address)
        with anyio.move_on_after(ANSWER_S):
            await self._answered.wait()

    def take_proof(self, reader: str) -> bool:
        """Renew what the reader's last answer proves.

        Return whether it knows something newer that must be fetched first.  A
        reader that has been cut off from the store knows older things, which
        are left alone.
        """
        reply = self._replies.get(reader)
        if reply is None:
            return False
        is_behind = reply['version'] > self.state.version
        if not is_behind:
            self.state.proof.renew(reply['asked_at'] - reply['proof_age_s'])
        listed_at = reply['asked_at'] - reply['list_age_s']
        if listed_at <= self.state.fleet.watch.read_at:
            return is_behind
        if self._taken != (reader, reply['revision']):
            return True
        now = anyio.current_time()
        latest_at = now - reply['list_age_s']
        self.state.note_list(listed_at, now, reader, latest_at)
        return is_behind

    async def fetch(self, reader: str, limit_s: float) -> News | None:
        """Fetch what the reader knows; None where it can't be had in time."""
        peer = self.gossip.peers.get(reader)
        if peer is None:
            return None
        asked_at = anyio.current_time()
        try:
            with anyio.fail_after(limit_s):
                plain = await self._get(peer.address)
            now = anyio.current_time()
            return _read_news(plain, asked_at, now, reader)
        except BAD_NEWS as exc:
            emit(events.NewsLost(reader, repr(exc)))
            return None

    def note_taken(self, news: News) -> None:
        """Note that the own list is that of an entry, at its revision."""
        self._taken = (news.source, news.revision)

    def forget_taken(self) -> None:
        """Note that the own list is nobody else's any more."""
        self._taken = NOBODY

    def make_news(self, version: int = NO_VERSION) -> bytes:
        """Return what this entry knows, for one that has a version.

        The document is left out where that is the own one: lists change with
        each target, and tens of kilobytes a second would fill slow links where
        many ask.
        """
        now = anyio.current_time()
        fleet = self.state.fleet
        held = [
            HeldTarget(listed, until - now)
            for listed, until in fleet.get_held()
        ]
        plain = {
            'list_age_s': min(self.state.get_list_age_s(now), MOST_AGE_S),
            'revision': fleet.revision,
            'settled': fleet.watch.is_settled(now),
            'document': self._get_document(version),
            'targets': CONVERTER.unstructure(list(fleet.get_listed())),
            'held': CONVERTER.unstructure(held),
        }
        return json.dumps(plain, separators=(',', ':')).encode()

    def _get_document(self, version: int) -> str:
        return '' if version == self.state.version else self.state.document

    def _answer(self, message: dict[str, Any], sender: Address) -> None:
        now = anyio.current_time()
        reply = {
            'kind': 'reply',
            'asked_at': message['asked_at'],
            'proof_age_s': min(self.state.proof.get_age_s(now), MOST_AGE_S),
            'list_age_s': min(self.state.get_list_age_s(now), MOST_AGE_S),
            'version': self.state.version,
            'revision': self.state.fleet.revision,
        }
        self.state.spawn(self.gossip.send, reply, sender)

    def _take_reply(self, message: dict[str, Any], sender: Address) -> None:
        self._replies = {message['from']: message}
        self._answered.set()

    async def _get(self, address: Address) -> dict[str, Any]:
        host, port = address
        path = f'{NEWS_PATH}?{VERSION_FIELD}={self.state.version}'
        wire = await Wire.connect(f'{host}:{port}')
        try:
            headers = ((b'host', host.encode()),)
            await wire.send('GET', path, headers, b'')
            head = await wire.read_head()
            body = await wire.read_body()
        finally:
            await wire.close()
        if head.status != OK:
            raise ValueError(f'status {head.status}')
        plain: dict[str, Any] = json.loads(body)
        return plain


def _read_news(
    plain: dict[str, Any],
    asked_at: float,
    now: float,
    reader: str,
) -> News:
    """Return what an entry knows; an older one says nothing of held targets."""
    listed = CONVERTER.structure(plain['targets'], tuple[Listed, ...])
    held = CONVERTER.structure(plain.get('held', ()), tuple[HeldTarget, ...])
    return News(
        document=plain['document'],
        targets=tuple(TargetNews(one.target_id, one) for one in listed),
        held=held,
        as_of=asked_at - plain['list_age_s'],
        latest_at=now - plain['list_age_s'],
        whole=True,
        settled=plain.get('settled', False),
        source=reader,
        revision=plain['revision'],
    )
