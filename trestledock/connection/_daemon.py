"""
Daemon
======

An entry instance as a process: the hub, its links and its web server, from
the settings to the graceful end.
"""

import logging
import signal
import uuid
from random import Random
from typing import Awaitable, Callable

import anyio
import httpx
from hypercorn.asyncio import serve
from hypercorn.config import Config

from trestledock.clock import read_unix_ms
from trestledock.connection._caller import CallerApp
from trestledock.connection._hub import Hub
from trestledock.connection._lifespan import WithoutLifespan
from trestledock.connection._metrics import Metrics
from trestledock.connection._peer import PeerLink
from trestledock.connection._platform import PlatformLink
from trestledock.connection._polling import Poller
from trestledock.connection._settings import Settings
from trestledock.connection._target import TargetLink
from trestledock.process import (
    AppendRecord,
    CallService,
    CancelReservations,
    GiveOrder,
    Identity,
    Node,
    ResumeStream,
    Shutdown,
    StartJob,
    SendToPeer,
)

#: How often the end of the drain is looked for, in seconds.
DRAIN_LOOK_S = 0.1
#: Connections to targets that one instance may have open.
MAX_CONNECTIONS = 2000

log = logging.getLogger('trestledock')


def make_incarnation() -> str:
    """Return a name for this start; names sort by time."""
    return f'{round(read_unix_ms()):012x}{uuid.uuid4().hex[:6]}'


async def run_until_signal(settings: Settings) -> None:
    """Run an instance until SIGTERM or SIGINT; later signals do nothing."""
    kinds = (signal.SIGTERM, signal.SIGINT)
    with anyio.open_signal_receiver(*kinds) as signals:

        async def wait_for_signal() -> None:  # noqa: WPS430
            await anext(aiter(signals))

        await run_instance(settings, wait_for_signal)


async def run_instance(
    settings: Settings,
    wait_for_stop: Callable[[], Awaitable[None]],
) -> None:
    """Serve until `wait_for_stop` returns and nothing is in flight."""
    identity = Identity(
        settings.instance,
        make_incarnation(),
        settings.data_centre,
    )
    node = Node(
        identity,
        Random(identity.member),
        settings.timing,
        address=settings.address,
    )
    async with anyio.create_task_group() as group:
        hub = Hub(node, settings, Metrics(), group)
        ended = anyio.Event()
        group.start_soon(_run_links, hub)
        group.start_soon(_wait_for_end, hub, wait_for_stop, ended)
        log.info('started', extra={'member': identity.member})
        await _serve_apart(hub, ended)
        group.cancel_scope.cancel()
    log.info('ended', extra={'member': identity.member})


async def _run_links(hub: Hub) -> None:
    limits = httpx.Limits(max_connections=MAX_CONNECTIONS)
    base_url = hub.settings.platform
    async with (
        httpx.AsyncClient(limits=limits) as client,
        httpx.AsyncClient(base_url=base_url) as platform_client,
        anyio.create_task_group() as group,
    ):
        platform = PlatformLink(hub, platform_client)
        target = TargetLink(hub, client)
        hub.links.update(
            {
                AppendRecord: platform.append,
                CallService: target.call,
                CancelReservations: target.cancel,
                GiveOrder: target.order,
                ResumeStream: target.resume,
                StartJob: target.start_job,
                SendToPeer: PeerLink(hub, client).send,
            }
        )
        group.start_soon(hub.run)
        group.start_soon(platform.run)
        group.start_soon(Poller(hub, client).run)


async def _serve_apart(hub: Hub, ended: anyio.Event) -> None:
    """Serve in a task of its own, since the server cancels its own task."""
    async with anyio.create_task_group() as group:
        group.start_soon(_serve, hub, ended)


async def _serve(hub: Hub, ended: anyio.Event) -> None:
    """Serve until the end; the server sends what it has begun to send."""
    config = Config()
    config.bind = [hub.settings.listen]
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = hub.settings.handover_s
    await serve(
        WithoutLifespan(CallerApp(hub).make_app()),
        config,
        shutdown_trigger=ended.wait,
    )


async def _wait_for_end(
    hub: Hub,
    wait_for_stop: Callable[[], Awaitable[None]],
    ended: anyio.Event,
) -> None:
    """Drain once the instance shall stop.

    Unready first, so that the balancer turns away; requests are accepted
    until it surely has.  Then everything in flight is finished.
    """
    await wait_for_stop()
    hub.node.unready = True
    log.info('draining')
    await anyio.sleep(hub.settings.notice_s)
    await hub.tell(Shutdown())
    await _wait_until_drained(hub)
    ended.set()


async def _wait_until_drained(hub: Hub) -> None:
    while hub.node.state.requests or hub.exchanges:
        await anyio.sleep(DRAIN_LOOK_S)
    with anyio.move_on_after(hub.settings.handover_s):
        while not hub.node.is_drained():
            await anyio.sleep(DRAIN_LOOK_S)
