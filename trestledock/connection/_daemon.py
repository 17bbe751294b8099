"""
Instance daemon
===============

Runs an entry instance as a process: the hub, its links and its web server, from
start to graceful shutdown.
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
from trestledock.connection._target import (
    MAX_CONNECTIONS,
    TargetLink,
    make_target_client,
)
from trestledock.process import (
    AppendRecord,
    CallService,
    CancelReservations,
    GiveOrder,
    Identity,
    Node,
    ResumeStream,
    SendToPeer,
    Shutdown,
    StartJob,
)

#: How often the daemon checks whether it is drained, in seconds.
DRAIN_POLL_INTERVAL_S = 0.1

log = logging.getLogger('trestledock')


def make_incarnation() -> str:
    """Return a name for this run of the process; names sort by start time."""
    return f'{round(read_unix_ms()):012x}{uuid.uuid4().hex[:6]}'


async def run_until_signal(settings: Settings) -> None:
    """Run an instance until SIGTERM or SIGINT; ignore further signals."""
    stop_signals = (signal.SIGTERM, signal.SIGINT)
    with anyio.open_signal_receiver(*stop_signals) as signals:

        async def wait_for_signal() -> None:  # noqa: WPS430
            await anext(aiter(signals))

        await run_instance(settings, wait_for_signal)


async def run_instance(
    settings: Settings,
    wait_for_stop: Callable[[], Awaitable[None]],
) -> None:
    """Serve until `wait_for_stop` returns and no requests are in flight."""
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
        stopped = anyio.Event()
        group.start_soon(_run_links, hub)
        group.start_soon(_drain_on_stop, hub, wait_for_stop, stopped)
        log.info('started', extra={'member': identity.member})
        await _serve_in_task_group(hub, stopped)
        group.cancel_scope.cancel()
    log.info('ended', extra={'member': identity.member})


async def _run_links(hub: Hub) -> None:
    limits = httpx.Limits(max_connections=MAX_CONNECTIONS)
    base_url = hub.settings.platform
    async with (
        httpx.AsyncClient(limits=limits) as client,
        make_target_client() as target_client,
        httpx.AsyncClient(base_url=base_url) as platform_client,
        anyio.create_task_group() as group,
    ):
        platform = PlatformLink(hub, platform_client)
        target = TargetLink(hub, target_client)
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
        group.start_soon(Poller(hub, target_client).run)


async def _serve_in_task_group(hub: Hub, stopped: anyio.Event) -> None:
    """Serve in a separate task, because the server cancels its own task."""
    async with anyio.create_task_group() as group:
        group.start_soon(_serve, hub, stopped)


async def _serve(hub: Hub, stopped: anyio.Event) -> None:
    """Serve until `stopped`; the server then completes started responses."""
    config = Config()
    config.bind = [hub.settings.listen]
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = hub.settings.handover_s
    await serve(
        WithoutLifespan(CallerApp(hub).make_app()),
        config,
        shutdown_trigger=stopped.wait,
    )


async def _drain_on_stop(
    hub: Hub,
    wait_for_stop: Callable[[], Awaitable[None]],
    stopped: anyio.Event,
) -> None:
    """Drain the instance when it is asked to stop.

    The instance first reports that it is not ready, and accepts requests until
    the load balancer has certainly noticed.  Then all requests in flight are
    completed.
    """
    await wait_for_stop()
    hub.node.unready = True
    log.info('draining')
    await anyio.sleep(hub.settings.notice_s)
    await hub.send(Shutdown())
    await _wait_until_drained(hub)
    stopped.set()


async def _wait_until_drained(hub: Hub) -> None:
    while hub.node.state.requests or hub.exchanges:
        await anyio.sleep(DRAIN_POLL_INTERVAL_S)
    with anyio.move_on_after(hub.settings.handover_s):
        while not hub.node.is_drained():
            await anyio.sleep(DRAIN_POLL_INTERVAL_S)
