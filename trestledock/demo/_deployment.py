"""
Demo deployments
================

Starts all parts of a small deployment on the loopback interface, in one
process: the stand-in platform and, in each data centre (three in the examples),
one instance, a plain service and engines on two types of hardware.
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
HARDWARE_SPECS = (
    ('h100', EngineSpec(rate=60_000, itl_s=0.01, capacity_tokens=120_000)),
    ('a100', EngineSpec(rate=30_000, itl_s=0.015, capacity_tokens=90_000)),
)
READY_POLL_INTERVAL_S = 0.1
ENTRY_ROLE = 'entry'


@dataclass
class Deployment:
    """A running deployment of a configuration; setting `stop` ends it.

    `path` is the configuration file, `entries` are the URLs of the instances.
    """

    path: Path
    entries: list[str] = field(default_factory=list)
    stop: anyio.Event = field(default_factory=anyio.Event)

    @property
    def configuration(self) -> Configuration:
        """The configuration read from `path`."""
        return check_configuration(self.path.read_text()).unwrap()

    async def start(self, group: TaskGroup) -> None:
        """Start all parts, publish the configuration, and wait until ready."""
        platform = f'{LOOPBACK}:{get_free_port()}'
        group.start_soon(self._run_server, PlatformServer().run, platform)
        async with httpx.AsyncClient(base_url=f'http://{platform}') as client:
            await self._start_instances(group, client, platform)
            await self._publish()
        await self._wait_until_ready()

    async def _run_server(
        self,
        run: Callable[..., Awaitable[None]],
        *args: Any,
    ) -> None:
        """Run a server; ignore its errors once the deployment stops."""
        try:
            await run(*args, self.stop.wait)
        except Exception:
            if not self.stop.is_set():
                raise

    async def _start_instances(
        self,
        group: TaskGroup,
        client: httpx.AsyncClient,
        platform: str,
    ) -> None:
        for number, data_centre in enumerate(self.configuration.data_centres):
            address = f'{LOOPBACK}:{get_free_port()}'
            settings = Settings(
                instance=f'entry-{number}',
                data_centre=data_centre,
                listen=address,
                platform=f'http://{platform}',
                notice_s=0,
                handover_s=1,
            )
            group.start_soon(self._run_server, run_instance, settings)
            self.entries.append(f'http://{address}')
            await _wait_until_reachable(
                client, f'http://{platform}/v1/instances'
            )
            await _register(
                client, settings.instance, address, ENTRY_ROLE, data_centre, ''
            )
            await self._start_targets(group, client, data_centre)

    async def _start_targets(
        self,
        group: TaskGroup,
        client: httpx.AsyncClient,
        data_centre: str,
    ) -> None:
        for pool in self.configuration.pools:
            role = pool.select[0].of[0]
            if pool.kind is TargetKind.service:
                address = f'{LOOPBACK}:{get_free_port()}'
                group.start_soon(self._run_server, ServiceServer().run, address)
                name = f'{role}-{data_centre}'
                await _register(client, name, address, role, data_centre, '')
                continue
            models = frozenset(str(model) for model in pool.models)
            for hardware, spec in HARDWARE_SPECS:
                address = f'{LOOPBACK}:{get_free_port()}'
                engine = make_engine(models, spec)
                group.start_soon(self._run_server, engine.run, address)
                name = f'{role}-{hardware}-{data_centre}'
                await _register(
                    client, name, address, role, data_centre, hardware
                )

    async def _publish(self) -> None:
        url = f'{self.entries[0]}/admin/publish'
        async with httpx.AsyncClient(timeout=None) as client:
            await _wait_until_reachable(client, f'{self.entries[0]}/healthz')
            response = await client.post(url, content=self.path.read_bytes())
            response.raise_for_status()

    async def _wait_until_ready(self) -> None:
        """Wait until every instance has an epoch and knows its engines."""
        async with httpx.AsyncClient() as client:
            for entry in self.entries:
                ready = False
                while not ready:
                    await anyio.sleep(READY_POLL_INTERVAL_S)
                    fleet = (await client.get(f'{entry}/admin/fleet')).json()
                    engines = [
                        target
                        for target in fleet['targets']
                        if target['models']
                    ]
                    ready = bool(fleet['epoch']) and len(engines) > 1


def get_free_port() -> int:
    """Return a TCP port of the loopback address that is free now."""
    with socket.socket() as listener:
        listener.bind((LOOPBACK, 0))
        return listener.getsockname()[1]


async def _wait_until_reachable(client: httpx.AsyncClient, url: str) -> None:
    while True:
        try:
            await client.get(url)
        except httpx.TransportError:
            await anyio.sleep(READY_POLL_INTERVAL_S)
        else:
            return


async def _register(
    client: httpx.AsyncClient,
    name: str,
    address: str,
    role: str,
    data_centre: str,
    hardware: str,
) -> None:
    labels = {'role': role, 'data_centre': data_centre, 'hardware': hardware}
    body = {'address': address, 'labels': labels, 'incarnation': ''}
    await client.put(f'/v1/instances/{name}', json=body)
