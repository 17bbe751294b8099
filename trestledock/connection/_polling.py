"""
Target polling
==============

Polls targets for load reports and cache events.  One instance of the data
centre polls a target often and forwards a digest in its heartbeats; the other
instances poll it rarely.
"""

from dataclasses import dataclass

import anyio
import httpx

from trestledock.connection._hub import Hub
from trestledock.process import (
    CacheEvent,
    CacheReported,
    LoadReport,
    LoadReported,
    Target,
    rank_by_key,
)
from trestledock.version import decode

#: How long a poll may take, in seconds.
POLL_TIMEOUT_S = 2.0
#: Statuses of plain services that don't support load reports.
NO_ROUTE_STATUSES = frozenset((404, 405, 501))
#: How often the poller checks which targets are due, in seconds.
DUE_CHECK_INTERVAL_S = 0.1


@dataclass(frozen=True)
class CacheEvents:
    """An engine's response to a request for cache events."""

    events: tuple[CacheEvent, ...]


class Poller:
    """Polls the targets of one instance."""

    def __init__(self, hub: Hub, client: httpx.AsyncClient) -> None:
        """Set the hub, and the client that owns the connections."""
        self.hub = hub
        self.client = client
        self.next_poll_at: dict[str, float] = {}
        self.next_cache_poll_at: dict[str, float] = {}

    async def run(self) -> None:
        """Poll every target when it is due, until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                for name in self._schedule_due():
                    group.start_soon(self.poll, name)
                await anyio.sleep(DUE_CHECK_INTERVAL_S)

    async def poll(self, name: str) -> None:
        """Read a target's load and cache events once."""
        target = self.hub.node.state.get_targets().get(name)
        if target is None:
            return
        started = anyio.current_time()
        try:
            report = await self._read_load(target.info.address)
            await self.hub.send(LoadReported(name, report))
            if report.capacity_tokens and self._is_cache_due(name, started):
                await self._read_cache(target)
        except (httpx.HTTPError, ValueError):
            return
        duration_s = anyio.current_time() - started
        self.hub.metrics.poll_seconds.observe(duration_s)

    async def _read_load(self, address: str) -> LoadReport:
        """Read a load report.

        A service without load reports is at least reachable.
        """
        response = await self._get(f'http://{address}/v1/load')
        if response.status_code in NO_ROUTE_STATUSES:
            return make_service_report({})
        response.raise_for_status()
        data = response.json()
        if 'capacity_tokens' in data:
            return decode(data, LoadReport)
        return make_service_report(data)

    def _is_cache_due(self, name: str, now: float) -> bool:
        if now < self.next_cache_poll_at.get(name, 0):
            return False
        self.next_cache_poll_at[name] = now + self.hub.settings.poll_cache_s
        return True

    async def _read_cache(self, target: Target) -> None:
        after = target.cache_sequence
        address = target.info.address
        response = await self._get(f'http://{address}/v1/cache?after={after}')
        response.raise_for_status()
        for event in decode(response.json(), CacheEvents).events:
            await self.hub.send(CacheReported(target.info.name, event))

    async def _get(self, url: str) -> httpx.Response:
        response = await self.client.get(url, timeout=POLL_TIMEOUT_S)
        size = len(response.content)
        self.hub.metrics.control_bytes.labels('target').inc(size)
        return response

    def _schedule_due(self) -> list[str]:
        """Return the targets to poll now, and schedule their next poll."""
        now = anyio.current_time()
        state = self.hub.node.state
        due = [
            name
            for name in state.fleet.targets
            if now >= self.next_poll_at.get(name, 0)
        ]
        for name in due:
            self.next_poll_at[name] = now + self._get_interval(name)
        return due

    def _get_interval(self, name: str) -> float:
        state = self.hub.node.state
        data_centre = state.identity.data_centre
        peers = state.fleet.get_live_peers(data_centre)
        members = {peer.info.member for peer in peers} | {state.member}
        is_main = rank_by_key(name, members)[0] == state.member
        state.fleet.targets[name].polled = is_main
        settings = self.hub.settings
        return settings.poll_load_s if is_main else settings.poll_others_s


def make_service_report(data: dict) -> LoadReport:
    """Return the report of a plain service, which only tells if it drains."""
    return LoadReport(
        age_s=0,
        queued=(),
        free_tokens=0,
        capacity_tokens=0,
        rate=1,
        itl_s=0,
        leaving=bool(data.get('leaving')),
    )
