"""
Store follower
==============

Keeps configuration, targets and peers up to date: decides when to read the
store, and which entry to ask that has read it. A version is applied as a whole,
and an older one never replaces a newer one.
"""

import anyio

from trestledock.entry import _events as events
from trestledock.entry._dialect import Directory, StoreUpdate
from trestledock.entry._evacuations import apply_evacuations
from trestledock.entry._target_list import TargetListUpdater
from trestledock.entry._logger import emit
from trestledock.entry._update_exchange import UpdateExchange
from trestledock.entry._pool import Pool
from trestledock.entry._store_reader import DirectoryError, StoreReader
from trestledock.entry._state import EntryState
from trestledock.relay import (
    REWRITE_WAIT_S,
    ReaderCandidate,
    ReadSchedule,
    choose_reader,
    get_own_read_delay_s,
    get_read_retry_s,
)

#: Timeout for fetching an update from the reader, in seconds, and its minimum
#: if an own read is due soon: some hundred times the network latency.
FETCH_TIMEOUT_S = 1.0
MIN_FETCH_TIMEOUT_S = 0.25
#: The number of failed fetches in a row after which an entry is not asked for
#: some time, and that time in seconds: a single fetch may fail while many
#: entries ask at once, and the others find another reader in less time.
MAX_FETCH_FAILURES = 2
EXCLUSION_S = 1.5
#: Interval of reading the list of peers, in seconds. Each entry announces
#: itself before its first read, so that of two the later one sees the other and
#: contacts it; later reads only cover unexpected cases.
PEERS_INTERVAL_S = 120.0
#: Delay before the first list of peers is read again after a failure, in
#: seconds.
PEERS_RETRY_S = 1.0
#: Maximum number of near peers asked by an entry that starts after a restore of
#: the store: some of them may also have just started, and know no more.
MAX_CONSULTED = 3
#: How long an entry that starts after a restore waits for answers to its first
#: messages, in seconds: some tens of round trips.
GREETING_S = 0.06
#: Range of the random factor for pauses, so that entries don't synchronize.
JITTER = (0.9, 1.1)


class Follower:
    """Keeps the configuration, targets and peers of one entry up to date."""

    def __init__(
        self,
        state: EntryState,
        directory: Directory,
        pool: Pool,
        exchange: UpdateExchange,
    ) -> None:
        """Take the source of updates and the state they are applied to."""
        self.state = state
        self.target_list = TargetListUpdater(state, pool)
        self.store_reader = StoreReader(
            state, directory, self.target_list, exchange
        )
        self.gossip = exchange.gossip
        self.exchange = exchange
        self._reader = ''
        self._fetch_failures = 0
        self._excluded_until: dict[str, float] = {}
        self._schedule = ReadSchedule(state.settings.settle_s)

    async def run(self) -> None:
        """Follow the store until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._follow)
            group.start_soon(self._follow_peers)
            group.start_soon(self.target_list.run)

    def is_reader(self) -> bool:
        """Whether this entry reads the store for itself and for others."""
        return self._reader == self.state.member

    async def consult(self) -> None:
        """Ask near peers for what a restored store may lack.

        They may have a newer configuration, and know of removed targets. What
        they proved by the store before the restore also counts for this entry.
        """
        await anyio.sleep(GREETING_S)
        for name in self.gossip.peers.get_most_informed()[:MAX_CONSULTED]:
            await self.exchange.query_reader(name)
            await self._fetch(name, with_removed=True)

    async def _complete_peers(self) -> None:
        """Read the peers again once a restored store has all of them.

        An entry that may not know all others holds no quotas at cold targets.
        """
        if self.state.settings.cold_bounds:
            await anyio.sleep(REWRITE_WAIT_S)
            await self.store_reader.update_peers()

    async def _follow(self) -> None:
        while True:
            now = anyio.current_time()
            reader = choose_reader(self._get_candidates(now), self._schedule)
            self._set_reader(reader)
            if reader == self.state.member:
                await self.store_reader.read()
                await self._sleep(self._get_pause_s(now))
            else:
                await self._ask(reader)

    async def _ask(self, reader: str) -> None:
        """Get updates from the reader; read the store if that fails."""
        await self.exchange.query_reader(reader)
        if self.exchange.renew_proof(reader):
            await self._fetch(reader)
        if self._is_own_read_due(anyio.current_time()):
            await self.store_reader.read()
        await self._sleep(self._get_ask_pause_s(anyio.current_time()))

    async def _fetch(self, reader: str, *, with_removed: bool = False) -> None:
        now = anyio.current_time()
        update = await self.exchange.fetch(
            reader, self._get_fetch_timeout_s(now), with_removed=with_removed
        )
        if update:
            self._apply_evacuations(update)
        if update and self._apply_configuration(update):
            self._fetch_failures = 0
            self._apply_list(update)
            self.state.isolation.merge_records(update.quarantine, reader)
            self.exchange.renew_proof(reader)
            return
        self._fetch_failures += 1
        if self._fetch_failures >= MAX_FETCH_FAILURES:
            self._fetch_failures = 0
            self._excluded_until[reader] = now + EXCLUSION_S

    def _apply_configuration(self, update: StoreUpdate) -> bool:
        """Apply another entry's configuration; return whether it was valid."""
        try:
            self.store_reader.apply(update)
        except DirectoryError as exc:
            emit(events.NewsLost(update.source, repr(exc)))
            return False
        return True

    def _apply_evacuations(self, update: StoreUpdate) -> None:
        """Apply another entry's evacuations, unless it is an older version."""
        found = update.evacuations
        if found and apply_evacuations(self.state, found, update.source):
            self.exchange.record_evacuation_source(update)

    def _get_fetch_timeout_s(self, now: float) -> float:
        """Return the timeout of a fetch, so that it does not delay an own read.

        A reader whose process is stopped accepts the connection without ever
        answering. While the store is unavailable other entries are the only
        source.
        """
        if self.store_reader.is_unavailable():
            return FETCH_TIMEOUT_S
        return min(
            FETCH_TIMEOUT_S,
            max(MIN_FETCH_TIMEOUT_S, self._get_own_read_in_s(now)),
        )

    def _get_ask_pause_s(self, now: float) -> float:
        """Return the time until the next question or, if sooner, own read."""
        due_in_s = self._get_own_read_in_s(now)
        pause_s = self._schedule.ask_interval_s
        return min(pause_s, due_in_s) if due_in_s > 0 else pause_s

    def _apply_list(self, update: StoreUpdate) -> None:
        """Apply another entry's list if it is certainly newer than the own one.

        Its knowledge of removed targets applies in any case.
        """
        now = anyio.current_time()
        self.state.record_reported_epoch(update.epoch, now, update.source)
        self.target_list.apply_removals(update)
        if update.as_of > self.state.fleet.watch.latest_at:
            self.target_list.apply(update)
            self.exchange.record_list_source(update)

    def _is_own_read_due(self, now: float) -> bool:
        if now - self.store_reader.failed_at < self._get_retry_s(now):
            return False
        return self._get_own_read_in_s(now) <= 0

    def _get_own_read_in_s(self, now: float) -> float:
        age_s = self.state.get_store_age_s(now)
        names = self._get_names(now)
        return get_own_read_delay_s(
            self.state.member, names, age_s, self._schedule
        )

    def _set_reader(self, reader: str) -> None:
        if reader != self._reader:
            self._reader = reader
            emit(events.ReaderChosen(reader))

    def _get_pause_s(self, now: float) -> float:
        if self._get_own_read_in_s(now) <= 0:
            return self._get_retry_s(now)
        return self._schedule.read_interval_s

    def _get_retry_s(self, now: float) -> float:
        return get_read_retry_s(self.state.member, self._get_names(now))

    def _get_names(self, now: float) -> list[str]:
        self._end_exclusions(now)
        known = [self.state.member, *self.gossip.peers.get_near()]
        return [name for name in known if name not in self._excluded_until]

    def _get_candidates(self, now: float) -> list[ReaderCandidate]:
        """Return who may read for this entry, and can be asked."""
        self._end_exclusions(now)
        known = self.gossip.get_candidates(now)
        return [
            candidate
            for candidate in known
            if candidate.name not in self._excluded_until
        ]

    def _end_exclusions(self, now: float) -> None:
        expired = [
            name for name, until in self._excluded_until.items() if now >= until
        ]
        for name in expired:
            self._excluded_until.pop(name)

    async def _sleep(self, wait_s: float) -> None:
        await anyio.sleep(wait_s * self.state.rng.uniform(*JITTER))

    async def _follow_peers(self) -> None:
        for step in (
            self.store_reader.announce,
            self.store_reader.update_peers,
        ):
            while not await step():
                await self._sleep(PEERS_RETRY_S)
        if not self.state.restores.is_complete(anyio.current_time()):
            await self.consult()
            await self._complete_peers()
        while True:
            await self._sleep(PEERS_INTERVAL_S)
            await self.store_reader.update_peers()
