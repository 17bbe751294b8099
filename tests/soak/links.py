"""
Faulty network links
====================

A TCP proxy on loopback for one network path.  It can delay bytes, hold them
back in one or both directions, refuse new connections, reset the open ones, or
stall only the open ones.  A cut does so for the connections of one client only.
"""

from dataclasses import dataclass, field
from enum import Enum, Flag
from typing import Callable

import anyio
from anyio.abc import (
    SocketAttribute,
    SocketListener,
    SocketStream,
    TaskGroup,
)

from tests.soak.serving import CONNECTION_ERRORS, READ_BYTES, reset


#: How long the client's system tries to deliver bytes, in seconds: then it ends
#: the connection, and they are lost.
USER_TIMEOUT_S = 2.0
#: How often that is checked while bytes are held back, in seconds.
HELD_CHECK_S = 0.2


class Blocked(Flag):
    """Directions in which the link holds bytes back."""

    none = 0
    up = 1
    down = 2
    both = 3


class Cut(Enum):
    """How a link is cut for one client.

    `silent` holds back all bytes, `silent_up` and `silent_down` those of one
    direction. `reset` resets open and new connections, `new_reset` only new
    ones.
    """

    silent = Blocked.both
    silent_up = Blocked.up
    silent_down = Blocked.down
    reset = 'reset'
    new_reset = 'new_reset'

    @property
    def blocked(self) -> Blocked:
        """The directions in which bytes are held back."""
        return self.value if isinstance(self.value, Blocked) else Blocked.none


def _get_no_cut(_: str) -> None:
    """Default for the cuts, without any."""


@dataclass(eq=False)
class _Connection:
    """An open connection through a link, as a pair of streams."""

    host: str
    client: SocketStream
    server: SocketStream
    silenced: bool = False
    resets: bool = True
    reset_requested: anyio.Event = field(default_factory=anyio.Event)


@dataclass(eq=False)
class Link:
    """A listening port that forwards to `address`.

    `get_cut` returns how the link is cut for the client at an address, and
    `opened` counts the connections.
    """

    address: str
    host: str = '127.0.0.1'
    port: int = 0
    blocked: Blocked = Blocked.none
    delay_s: float = 0
    closed: anyio.Event = field(default_factory=anyio.Event)
    connections: set[_Connection] = field(default_factory=set)
    opened: int = 0
    unblocked: anyio.Event = field(default_factory=anyio.Event)
    get_cut: Callable[[str], Cut | None] = _get_no_cut

    @property
    def listen_address(self) -> str:
        """The address of the link itself, for settings and records."""
        return f'{self.host}:{self.port}'

    async def open(self, group: TaskGroup) -> None:
        """Start to listen on a free port."""
        listener = await anyio.create_tcp_listener(
            local_host=self.host, local_port=0
        )
        self.port = listener.extra(SocketAttribute.local_port)
        group.start_soon(self._serve, listener)

    def close(self, *, resets: bool = True) -> None:
        """Refuse connections from now on; reset or close the open ones."""
        self.closed.set()
        for connection in self.connections:
            connection.resets = resets
        self.reset_all()

    def set_blocked(self, blocked: Blocked) -> None:
        """Set the directions in which bytes are held back; `none` resumes."""
        self.blocked = blocked
        self._wake()

    def apply_cuts(self) -> None:
        """Apply cuts that have changed to the open connections."""
        for connection in tuple(self.connections):
            if self.get_cut(connection.host) is Cut.reset:
                connection.reset_requested.set()
        self._wake()

    def reset_all(self) -> None:
        """Reset the open connections on both sides."""
        for connection in tuple(self.connections):
            connection.reset_requested.set()

    def silence_open(self) -> None:
        """Stall the open connections permanently."""
        for connection in self.connections:
            connection.silenced = True

    def _wake(self) -> None:
        self.unblocked.set()
        self.unblocked = anyio.Event()

    def _holds_back(self, connection: _Connection, direction: Blocked) -> bool:
        if connection.silenced or direction in self.blocked:
            return True
        cut = self.get_cut(connection.host)
        return cut is not None and direction in cut.blocked

    async def _wait_until_open(
        self, connection: _Connection, direction: Blocked
    ) -> None:
        """Wait while bytes are held back; reset a connection cut for long."""
        began_at = anyio.current_time()
        while self._holds_back(connection, direction):
            with anyio.move_on_after(HELD_CHECK_S):
                await self.unblocked.wait()
            held_s = anyio.current_time() - began_at
            if self.get_cut(connection.host) and held_s > USER_TIMEOUT_S:
                connection.reset_requested.set()

    async def _serve(self, listener: SocketListener) -> None:
        """Listen until the link is closed."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._listen, listener, group)
            await self.closed.wait()
            await listener.aclose()

    async def _listen(self, listener: SocketListener, group: TaskGroup) -> None:
        try:
            await listener.serve(self._forward, group)
        except* anyio.ClosedResourceError:
            self.closed.set()

    async def _forward(self, client: SocketStream) -> None:
        client_host = client.extra(SocketAttribute.remote_address)[0]
        if self.get_cut(client_host) in {Cut.reset, Cut.new_reset}:
            reset(client)
            await client.aclose()
            return
        host, _, port = self.address.rpartition(':')
        try:
            server = await anyio.connect_tcp(host, int(port))
        except OSError:
            reset(client)
            await client.aclose()
            return
        self.opened += 1
        connection = _Connection(client_host, client, server)
        self.connections.add(connection)
        async with client, server, anyio.create_task_group() as group:
            group.start_soon(
                self._pump, group, connection, client, server, Blocked.up
            )
            group.start_soon(
                self._pump, group, connection, server, client, Blocked.down
            )
            await connection.reset_requested.wait()
            if connection.resets:
                reset(client)
                reset(server)
            group.cancel_scope.cancel()
        self.connections.discard(connection)

    async def _pump(
        self,
        group: TaskGroup,
        connection: _Connection,
        source: SocketStream,
        sink: SocketStream,
        direction: Blocked,
    ) -> None:
        try:
            while True:
                raw = await source.receive(READ_BYTES)
                if self.delay_s:
                    await anyio.sleep(self.delay_s)
                await self._wait_until_open(connection, direction)
                await sink.send(raw)
        except anyio.EndOfStream:
            pass
        except CONNECTION_ERRORS:
            reset(connection.client)
            reset(connection.server)
        # A blocked direction holds back the end of a stream as well as bytes.
        await self._wait_until_open(connection, direction)
        group.cancel_scope.cancel()
