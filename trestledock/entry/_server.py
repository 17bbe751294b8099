"""
Web server of an entry
======================

The listeners, and the handling of connections at shutdown.
"""

import asyncio
from contextlib import suppress
from dataclasses import dataclass, field

import anyio
from hypercorn.asyncio import run as hypercorn_run
from hypercorn.asyncio import serve
from hypercorn.asyncio.tcp_server import TCPServer
from hypercorn.config import Config
from hypercorn.events import Event, RawData

from trestledock.entry import _events as events
from trestledock.entry._app import EntryApp
from trestledock.entry._close_framing import ReplyOpen, set_reset
from trestledock.entry._logger import emit
from trestledock.entry._state import EntryState
from trestledock.entry._unread import UnreadAnswers

#: The keep-alive of callers' connections, as a multiple of the configured idle
#: time.
IDLE_FACTOR = 2.0
#: How long the server library waits for the last connection, in seconds.
FOREVER_S = float('inf')
#: Requests after which a connection is closed; in practice no limit.
MAX_REQUESTS = 1_000_000
#: The largest incomplete head of a request, in bytes.
MAX_HEAD_BYTES = 65_536
#: The largest number of connections waiting to be accepted.
BACKLOG = 1024
#: How long idle connections are kept after the request to stop, in seconds:
#: longer than the first request on a newly accepted connection takes to arrive.
LINGER_S = 0.5


@dataclass(frozen=True)
class Server:
    """The events of the web server: `stop` requests it to stop.

    `ended` is set once no connection is left.
    """

    stop: anyio.Event = field(default_factory=anyio.Event)
    ended: anyio.Event = field(default_factory=anyio.Event)


class EntryConfig(Config):
    """The configuration of the web server, with the unread answers."""

    unread: UnreadAnswers


class LingeringConnection(TCPServer):
    """A connection that waits for a request on its way before it is closed.

    On a stop the library closes idle connections at once, including new ones
    whose first request has not been read.  Here a request that arrives in time
    ends the wait and is answered; then the connection is closed.

    What its caller doesn't read is bounded.  A reply that ends by closing ends
    with a reset until the system has all of it.
    """

    config: EntryConfig

    async def run(self) -> None:
        """Serve the connection until it ends."""
        self.has_open_reply = False
        self.ending: asyncio.Task[None] | None = None
        unread = self.config.unread
        self.caller = unread.add(self.writer.transport)
        try:
            await super().run()
        finally:
            unread.remove(self.caller)

    async def protocol_send(self, event: Event) -> None:
        """Count what is written, and write it."""
        if isinstance(event, RawData):
            self.config.unread.record_write(self.caller, len(event.data))
        if isinstance(event, ReplyOpen):
            await self._record_reply(event)
            return
        await super().protocol_send(event)

    async def _record_reply(self, event: ReplyOpen) -> None:
        if event.is_open == self.has_open_reply or self.writer.is_closing():
            return
        self.has_open_reply = event.is_open
        if event.is_open:
            set_reset(self.writer.transport, resets=True)
        else:
            self.ending = asyncio.create_task(self._end_reply())

    async def _end_reply(self) -> None:
        """Close properly once the system has the whole reply."""
        self.writer.transport.set_write_buffer_limits(high=0)
        with suppress(ConnectionError):
            await self.writer.drain()
            set_reset(self.writer.transport, resets=False)
        await TCPServer._close(self)

    async def _close(self) -> None:
        if self.ending:
            # The application is cancelled once it has sent its whole reply.
            with suppress(asyncio.CancelledError):
                await asyncio.shield(self.ending)
            return
        if self.has_open_reply:
            self.writer.transport.abort()
        await super()._close()

    async def _idle_timeout(self) -> None:
        with anyio.move_on_after(self.config.keep_alive_timeout):
            await self.context.terminated.wait()
            await anyio.sleep(LINGER_S)
        await asyncio.shield(self._initiate_server_close())


# The library has no setting for the connection class.
hypercorn_run.TCPServer = LingeringConnection  # type: ignore[misc]


async def listen(
    state: EntryState,
    app: EntryApp,
    server: Server,
) -> None:
    """Serve the application until the server is asked to stop."""
    config = EntryConfig()
    config.unread = state.buffers.unread
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
    # `_drain` in `_daemon` limits the wait.
    config.graceful_timeout = FOREVER_S
    state.spawn(_follow_limits, state, config)
    state.keep_running(state.buffers.unread.run)
    async with anyio.create_task_group() as group:
        group.start_soon(_serve, app, config, server)


async def _serve(app: EntryApp, config: Config, server: Server) -> None:
    wait_for_stop = server.stop.wait
    try:
        await serve(app, config, shutdown_trigger=wait_for_stop)  # type: ignore
    except asyncio.InvalidStateError:
        # The library reads the result of its own cancelled wait.
        emit(events.Failed('server end'))
    server.ended.set()


async def _follow_limits(state: EntryState, config: Config) -> None:
    """Keep idle connections for longer than callers reuse them."""
    config.keep_alive_timeout = 60
    while True:
        if state.catalog:
            idle_s = state.catalog.limits.idle_s * IDLE_FACTOR
            config.keep_alive_timeout = max(idle_s, config.keep_alive_timeout)
        await anyio.sleep(1)
