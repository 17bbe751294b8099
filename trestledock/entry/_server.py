"""
Web server of an entry
======================

The listeners, and what becomes of connections when the process ends.
"""

import asyncio
from dataclasses import dataclass, field

import anyio
from hypercorn.asyncio import run as hypercorn_run
from hypercorn.asyncio import serve
from hypercorn.asyncio.tcp_server import TCPServer
from hypercorn.config import Config

from trestledock.entry import _events as events
from trestledock.entry._app import EntryApp
from trestledock.entry._logger import emit
from trestledock.entry._state import EntryState

#: How long an idle connection of a caller is kept beyond the configured time.
IDLE_FACTOR = 2.0
#: How long the server itself waits for the last connection.
FOREVER_S = float('inf')
#: Requests on one connection before it is closed; none in practice.
MAX_REQUESTS = 1_000_000
#: Bytes of a request's head that may be incomplete.
MAX_HEAD_BYTES = 65_536
#: Connections that may wait to be accepted.
BACKLOG = 1024
#: How long idle connections are kept once the server was asked to stop, in
#: seconds: above the time that the first request of a connection that was just
#: taken is on its way.
LINGER_S = 0.5


@dataclass(frozen=True)
class Server:
    """The web server: asked to `stop`, it has `ended` with no connection."""

    stop: anyio.Event = field(default_factory=anyio.Event)
    ended: anyio.Event = field(default_factory=anyio.Event)


class LingeringConnection(TCPServer):
    """A connection that waits for what is on its way before it is closed.

    The library closes idle connections in the moment at which it is asked to
    stop, new ones whose first request has not been read included.  A request
    that comes in time ends the wait and is answered; the connection is closed
    after that.
    """

    async def _idle_timeout(self) -> None:
        with anyio.move_on_after(self.config.keep_alive_timeout):
            await self.context.terminated.wait()
            await anyio.sleep(LINGER_S)
        await asyncio.shield(self._initiate_server_close())


# The library has no setting for it.
hypercorn_run.TCPServer = LingeringConnection  # type: ignore[misc]


async def listen(
    state: EntryState,
    app: EntryApp,
    server: Server,
) -> None:
    """Serve the application until the server was asked to stop."""
    config = Config()
    settings = state.settings
    config.bind = [settings.callers, settings.ready, settings.peers]
    if settings.metrics:
        config.bind.append(settings.metrics)
    config.accesslog = None
    config.errorlog = None
    config.include_date_header = False
    config.include_server_header = False
    config.keep_alive_max_requests = MAX_REQUESTS
    config.h11_max_incomplete_size = MAX_HEAD_BYTES
    config.backlog = BACKLOG
    # `_drain` says when it is over.
    config.graceful_timeout = FOREVER_S
    state.spawn(_follow_limits, state, config)
    async with anyio.create_task_group() as group:
        group.start_soon(_serve, app, config, server)


async def _serve(app: EntryApp, config: Config, server: Server) -> None:
    wait_for_stop = server.stop.wait
    try:
        await serve(app, config, shutdown_trigger=wait_for_stop)  # type: ignore
    except asyncio.InvalidStateError:
        # The server asks for the result of its own cancelled wait.
        emit(events.Failed('server end'))
    server.ended.set()


async def _follow_limits(state: EntryState, config: Config) -> None:
    """Keep idle connections longer than callers reuse them."""
    config.keep_alive_timeout = 60
    while True:
        if state.catalog:
            idle_s = state.catalog.limits.idle_s * IDLE_FACTOR
            config.keep_alive_timeout = max(idle_s, config.keep_alive_timeout)
        await anyio.sleep(1)
