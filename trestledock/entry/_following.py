"""
Following the store
===================

Reads configuration, targets and peers from the platform's store and puts them
in force.  A version is applied whole and never goes back.
"""

import logging
from typing import Awaitable, Callable

import anyio

from trestledock.entry._dialect import Directory, News
from trestledock.entry._gossip import Gossip
from trestledock.entry._pool import Pool
from trestledock.entry._state import EntryState
from trestledock.entry._wire import WireError

#: How often the store is read, in seconds: bounds are about two.
READ_S = 0.6
#: How long to wait after a read that failed, in seconds.
FAILED_S = 0.3
#: How long one read may take, in seconds.
TIMEOUT_S = 1.5
#: How often the list of peers is read, in seconds.
PEERS_S = 5.0
#: How often lapsed entries are looked at, in seconds.
EXPIRE_S = 0.2

log = logging.getLogger('trestledock.relay')


class DirectoryError(Exception):
    """The store did not answer as it should, at a step."""


#: What a read may raise when the store is away.
EXPECTED = (WireError, DirectoryError, TimeoutError)


class Follower:
    """Keeps one entry's knowledge up to date."""

    def __init__(
        self,
        state: EntryState,
        directory: Directory,
        pool: Pool,
        gossip: Gossip,
    ) -> None:
        """Keep what is read and where it goes."""
        self.state = state
        self.directory = directory
        self.pool = pool
        self.gossip = gossip
        self._lost: set[str] = set()

    async def run(self) -> None:
        """Follow until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._repeat, self._read_catalog, READ_S)
            group.start_soon(self._repeat, self._read_targets, READ_S)
            group.start_soon(self._repeat, self._meet_peers, PEERS_S)
            group.start_soon(self._expire)

    async def _repeat(
        self,
        read: Callable[[], Awaitable[None]],
        interval_s: float,
    ) -> None:
        while True:
            wait_s = interval_s
            try:
                with anyio.fail_after(TIMEOUT_S):
                    await read()
            except EXPECTED as exc:
                self._note_lost(read.__name__, exc)
                wait_s = FAILED_S
            except Exception:
                log.exception('read_failed', extra={'step': read.__name__})
                wait_s = FAILED_S
            else:
                self._note_regained(read.__name__)
            jitter = self.state.rng.uniform(0.9, 1.1)
            await anyio.sleep(wait_s * jitter)

    async def _read_catalog(self) -> None:
        asked_at = anyio.current_time()
        self._apply(await self.directory.read_catalog())
        self.state.proof.renew(asked_at)

    async def _read_targets(self) -> None:
        asked_at = anyio.current_time()
        try:
            news = await self.directory.read_targets()
        except (WireError, DirectoryError):
            self.state.fleet.note_trouble(anyio.current_time())
            raise
        self.state.fleet.note_read(asked_at, anyio.current_time())
        self._apply(news)

    async def _meet_peers(self) -> None:
        settings = self.state.settings
        known = await self.directory.read_peers()
        if known.get(settings.instance) != settings.peers:
            await self.directory.announce(settings.instance, settings.peers)
        known.pop(settings.instance, None)
        self.gossip.meet(known)

    def _apply(self, news: News) -> None:
        catalog = news.catalog
        current = self.state.catalog
        if catalog and (current is None or catalog.version > current.version):
            self.state.catalog = catalog
            log.info('version_applied', extra={'version': catalog.version})
        if news.targets or news.whole:
            self._apply_targets(news)

    def _apply_targets(self, news: News) -> None:
        now = anyio.current_time()
        fleet = self.state.fleet
        if news.whole:
            listed = {
                one.target_id: one.listed for one in news.targets if one.listed
            }
            self._forget(fleet.keep_only(listed, now))
        for one in news.targets:
            if one.listed is None:
                gone = fleet.drop(one.target_id, now)
                self._forget([one.target_id] if gone else [])
            elif fleet.put(one.listed):
                log.info(
                    'target_listed',
                    extra={
                        'peer': one.target_id,
                        'standing': one.listed.standing.value,
                    },
                )
                self.state.notify()

    async def _expire(self) -> None:
        while True:
            await anyio.sleep(EXPIRE_S)
            self._forget(self.state.fleet.expire(anyio.current_time()))

    def _forget(self, gone: list[str]) -> None:
        for target_id in gone:
            log.info('target_gone', extra={'peer': target_id})
            self.pool.drop(target_id)
            self.state.health.targets.pop(target_id, None)
        if gone:
            self.state.notify()

    def _note_lost(self, step: str, exc: Exception) -> None:
        if step not in self._lost:
            self._lost.add(step)
            log.warning('store_lost', extra={'step': step, 'detail': repr(exc)})

    def _note_regained(self, step: str) -> None:
        if step in self._lost:
            self._lost.discard(step)
            log.info('store_regained', extra={'step': step})
