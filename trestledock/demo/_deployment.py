"""
Demo deployments
================

A small deployment of everything in one process on loopback: the platform,
mixed engines, a plain service in each data centre, and three instances.
"""

import socket
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Awaitable, Callable

import anyio
import httpx
from anyio.abc import TaskGroup

from trestledock.connection import Settings, run_instance
from trestledock.standin import (
    EngineSpec,
    PlatformServer,
    ServiceServer,
    make_engine,
)
from trestledock.version import Configuration, TargetKind, check_configuration

LOOPBACK = '127.0.0.1'
#: Newer and older hardware, scaled down so that the demo takes seconds.
SPECS = (
    ('h100', EngineSpec(rate=60_000, itl_s=0.01, capacity_tokens=120_000)),
    ('a100', EngineSpec(rate=30_000, itl_s=0.015, capacity_tokens=90_000)),
)
READY_LOOK_S = 0.1
ENTRY = 'entry'


@dataclass
class Deployment:
    """A running deployment of a configuration."""

    path: Path
    entries: list[str] = field(default_factory=list)
    stop: anyio.Event = field(default_factory=anyio.Event)

    @property
    def cfg(self) -> Configuration:
        """The configuration that is published."""
        return check_configuration(self.path.read_text()).unwrap()

    async def start(self, group: TaskGroup) -> None:
        """Start every part and publish the configuration."""
        platform = f'{LOOPBACK}:{get_free_port()}'
        group.start_soon(self._run_part, PlatformServer().run, platform)
        async with httpx.AsyncClient(base_url=f'http://{platform}') as client:
            await self._start_parts(group, client, platform)
            await self._publish()
        await self._wait_until_ready()

    async def _run_part(
        self,
        run: Callable[..., Awaitable[None]],
        *args: Any,
    ) -> None:
        """Run a part; how its web server ends once all stop is no matter."""
        try:
            await run(*args, self.stop.wait)
        except Exception:
            if not self.stop.is_set():
                raise

    async def _start_parts(
        self,
        group: TaskGroup,
        client: httpx.AsyncClient,
        platform: str,
    ) -> None:
        for number, site in enumerate(self.cfg.data_centres):
            address = f'{LOOPBACK}:{get_free_port()}'
            settings = Settings(
                instance=f'entry-{number}',
                data_centre=site,
                listen=address,
                platform=f'http://{platform}',
                notice_s=0,
                handover_s=1,
            )
            group.start_soon(self._run_part, run_instance, settings)
            self.entries.append(f'http://{address}')
            await _wait_for(client, f'http://{platform}/v1/instances')
            await _list(client, settings.instance, address, ENTRY, site, '')
            await self._start_targets(group, client, site)

    async def _start_targets(
        self,
        group: TaskGroup,
        client: httpx.AsyncClient,
        site: str,
    ) -> None:
        for pool in self.cfg.pools:
            role = pool.select[0].of[0]
            if pool.kind is TargetKind.service:
                address = f'{LOOPBACK}:{get_free_port()}'
                group.start_soon(self._run_part, ServiceServer().run, address)
                name = f'{role}-{site}'
                await _list(client, name, address, role, site, '')
                continue
            models = frozenset(str(model) for model in pool.models)
            for hardware, spec in SPECS:
                address = f'{LOOPBACK}:{get_free_port()}'
                engine = make_engine(models, spec)
                group.start_soon(self._run_part, engine.run, address)
                name = f'{role}-{hardware}-{site}'
                await _list(client, name, address, role, site, hardware)

    async def _publish(self) -> None:
        url = f'{self.entries[0]}/admin/publish'
        async with httpx.AsyncClient(timeout=None) as client:
            await _wait_for(client, f'{self.entries[0]}/healthz')
            answer = await client.post(url, content=self.path.read_bytes())
            answer.raise_for_status()

    async def _wait_until_ready(self) -> None:
        """Wait until every instance is ready and in its epoch."""
        async with httpx.AsyncClient() as client:
            for entry in self.entries:
                ready = False
                while not ready:
                    await anyio.sleep(READY_LOOK_S)
                    fleet = (await client.get(f'{entry}/admin/fleet')).json()
                    engines = [one for one in fleet['targets'] if one['models']]
                    ready = bool(fleet['epoch']) and len(engines) > 1


def get_free_port() -> int:
    """Return a port that is free now."""
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return probe.getsockname()[1]


async def _wait_for(client: httpx.AsyncClient, url: str) -> None:
    while True:
        try:
            await client.get(url)
        except httpx.TransportError:
            await anyio.sleep(READY_LOOK_S)
        else:
            return


async def _list(
    client: httpx.AsyncClient,
    name: str,
    address: str,
    role: str,
    site: str,
    hardware: str,
) -> None:
    labels = {'role': role, 'data_centre': site, 'hardware': hardware}
    body = {'address': address, 'labels': labels, 'incarnation': ''}
    await client.put(f'/v1/instances/{name}', json=body)
