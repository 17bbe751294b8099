"""
Following the store
===================

Keeps configuration, targets and peers up to date: decides when to read the
store, and whom to ask who has read it.  A version is applied whole and never
goes back.
"""

import anyio

from trestledock.entry import _events as events
from trestledock.entry._dialect import Directory, StoreUpdate
from trestledock.entry._target_list import TargetListUpdater
from trestledock.entry._logger import emit
from trestledock.entry._update_exchange import UpdateExchange
from trestledock.entry._pool import Pool
from trestledock.entry._store_reader import DirectoryError, StoreReader
from trestledock.entry._state import EntryState
from trestledock.relay import (
    ReaderCandidate,
    ReadSchedule,
    choose_reader,
    get_own_read_delay_s,
    get_read_retry_s,
)

#: How long the fetch of news from the reader may take, in seconds, and how long
#: at least where an own read is due soon: some hundred times the way there.
FETCH_S = 1.0
FETCH_LEAST_S = 0.25
#: After how many vain fetches in a row an entry is not asked for a while, and
#: for how long, in seconds: one may fail where many ask at once, and the others
#: take less than that to find another reader.
UNFIT_TRIES = 2
UNFIT_S = 1.5
#: How often the list of peers is read, in seconds.  Each entry announces
#: itself before its first read, so that of two the later one sees the other
#: and tells it; reading again only makes good what nobody expects.
PEERS_S = 120.0
#: How long to wait after the first list of peers could not be read, in seconds.
PEERS_RETRY_S = 1.0
#: How many neighbours an entry asks that starts after a restore of the store:
#: some of them may have started just now, too, and know no more.
MOST_CONSULTED = 3
#: How long it waits for their answers to its greeting first, in seconds: some
#: tens of times the way there and back.
GREETING_S = 0.06
#: What pauses are multiplied by at random, so that entries don't keep step.
JITTER = (0.9, 1.1)


class Follower:
    """Keeps one entry's knowledge up to date."""

    def __init__(
        self,
        state: EntryState,
        directory: Directory,
        pool: Pool,
        exchange: UpdateExchange,
    ) -> None:
        """Keep what is read and where it goes."""
        self.state = state
        self.listing = TargetListUpdater(state, pool)
        self.reading = StoreReader(state, directory, self.listing, exchange)
        self.gossip = exchange.gossip
        self.exchange = exchange
        self._reader = ''
        self._vain = 0
        self._unfit: dict[str, float] = {}
        self._pace = ReadSchedule(state.settings.settle_s)

    async def run(self) -> None:
        """Follow until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._follow)
            group.start_soon(self._follow_peers)
            group.start_soon(self.listing.run)

    def is_reader(self) -> bool:
        """Whether this entry reads the store for itself and for others."""
        return self._reader == self.state.member

    async def consult(self) -> None:
        """Ask neighbours for what a store may lack that was just restored.

        They may know a newer configuration, and targets that have left; and
        what they have proven of the store before counts for this entry, too.
        """
        await anyio.sleep(GREETING_S)
        for name in self.gossip.peers.get_near()[:MOST_CONSULTED]:
            await self.exchange.query_reader(name)
            await self._fetch(name, with_past=True)

    async def _follow(self) -> None:
        while True:
            now = anyio.current_time()
            reader = choose_reader(self._get_candidates(now), self._pace)
            self._note_reader(reader)
            if reader == self.state.member:
                await self.reading.read()
                await self._sleep(self._get_pause_s(now))
            else:
                await self._ask(reader)

    async def _ask(self, reader: str) -> None:
        """Learn from the reader; read the store where that does not help."""
        await self.exchange.query_reader(reader)
        if self.exchange.renew_proof(reader):
            await self._fetch(reader)
        if self._is_own_read_due(anyio.current_time()):
            await self.reading.read()
        await self._sleep(self._get_ask_pause_s(anyio.current_time()))

    async def _fetch(self, reader: str, *, with_past: bool = False) -> None:
        now = anyio.current_time()
        news = await self.exchange.fetch(
            reader, self._get_fetch_s(now), with_past=with_past
        )
        if news and self._apply_passed_on(news):
            self._vain = 0
            self._take_list(news)
            self.state.isolation.merge_records(news.quarantine, reader)
            self.exchange.renew_proof(reader)
            return
        self._vain += 1
        if self._vain >= UNFIT_TRIES:
            self._vain = 0
            self._unfit[reader] = now + UNFIT_S

    def _apply_passed_on(self, news: StoreUpdate) -> bool:
        """Apply another entry's configuration; return whether it made sense."""
        try:
            self.reading.apply(news)
        except DirectoryError as exc:
            emit(events.NewsLost(news.source, repr(exc)))
            return False
        return True

    def _get_fetch_s(self, now: float) -> float:
        """Return how long a fetch may take: an own read does not wait for it.

        A reader that stands still accepts the connection and says nothing.
        While the store is away, nobody else can tell.
        """
        if self.reading.is_lost():
            return FETCH_S
        return min(FETCH_S, max(FETCH_LEAST_S, self._get_own_read_in_s(now)))

    def _get_ask_pause_s(self, now: float) -> float:
        """Return when to ask again: at the latest when an own read is due."""
        due_in_s = self._get_own_read_in_s(now)
        pause_s = self._pace.ask_interval_s
        return min(pause_s, due_in_s) if due_in_s > 0 else pause_s

    def _take_list(self, news: StoreUpdate) -> None:
        """Take another entry's list if it is surely newer than the own one.

        What it knows of the past counts in any case.
        """
        now = anyio.current_time()
        self.state.record_reported_epoch(news.epoch, now, news.source)
        self.listing.apply_removals(news)
        if news.as_of > self.state.fleet.watch.latest_at:
            self.listing.apply(news)
            self.exchange.record_list_source(news)

    def _is_own_read_due(self, now: float) -> bool:
        if now - self.reading.failed_at < self._get_retry_s(now):
            return False
        return self._get_own_read_in_s(now) <= 0

    def _get_own_read_in_s(self, now: float) -> float:
        age_s = self.state.get_store_age_s(now)
        names = self._get_names(now)
        return get_own_read_delay_s(self.state.member, names, age_s, self._pace)

    def _note_reader(self, reader: str) -> None:
        if reader != self._reader:
            self._reader = reader
            emit(events.ReaderChosen(reader))

    def _get_pause_s(self, now: float) -> float:
        if self._get_own_read_in_s(now) <= 0:
            return self._get_retry_s(now)
        return self._pace.read_interval_s

    def _get_retry_s(self, now: float) -> float:
        return get_read_retry_s(self.state.member, self._get_names(now))

    def _get_names(self, now: float) -> list[str]:
        self._end_unfit(now)
        known = [self.state.member, *self.gossip.peers.get_near()]
        return [name for name in known if name not in self._unfit]

    def _get_candidates(self, now: float) -> list[ReaderCandidate]:
        """Return who may read for this entry, and can be asked."""
        self._end_unfit(now)
        known = self.gossip.get_candidates(now)
        return [one for one in known if one.name not in self._unfit]

    def _end_unfit(self, now: float) -> None:
        over = [one for one, until in self._unfit.items() if now >= until]
        for name in over:
            self._unfit.pop(name)

    async def _sleep(self, wait_s: float) -> None:
        await anyio.sleep(wait_s * self.state.rng.uniform(*JITTER))

    async def _follow_peers(self) -> None:
        for step in (self.reading.announce, self.reading.update_peers):
            while not await step():
                await self._sleep(PEERS_RETRY_S)
        if not self.state.restores.is_complete(anyio.current_time()):
            await self.consult()
        while True:
            await self._sleep(PEERS_S)
            await self.reading.update_peers()
