"""
Faulty network links
====================

A TCP proxy on loopback for one network path.  It can delay bytes, hold them
back in one or both directions, refuse new connections, reset the open ones, or
stall only the open ones.
"""

from dataclasses import dataclass, field
from enum import Flag

import anyio
from anyio.abc import (
    SocketAttribute,
    SocketListener,
    SocketStream,
    TaskGroup,
)

from tests.soak.serving import CONNECTION_ERRORS, READ_BYTES, reset


class Blocked(Flag):
    """Directions in which the link holds bytes back."""

    none = 0
    up = 1
    down = 2
    both = 3


@dataclass(eq=False)
class _Connection:
    """An open connection through a link, as a pair of streams."""

    client: SocketStream
    server: SocketStream
    silenced: bool = False
    reset_requested: anyio.Event = field(default_factory=anyio.Event)


@dataclass(eq=False)
class Link:
    """A listening port that forwards to `address`."""

    address: str
    host: str = '127.0.0.1'
    port: int = 0
    blocked: Blocked = Blocked.none
    delay_s: float = 0
    closed: anyio.Event = field(default_factory=anyio.Event)
    connections: set[_Connection] = field(default_factory=set)
    unblocked: anyio.Event = field(default_factory=anyio.Event)

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

    def close(self) -> None:
        """Refuse connections from now on, and reset the open ones."""
        self.closed.set()
        self.reset_all()

    def set_blocked(self, blocked: Blocked) -> None:
        """Set the directions in which bytes are held back; `none` resumes."""
        self.blocked = blocked
        self.unblocked.set()
        self.unblocked = anyio.Event()

    def reset_all(self) -> None:
        """Reset the open connections on both sides."""
        for connection in tuple(self.connections):
            connection.reset_requested.set()

    def silence_open(self) -> None:
        """Stall the open connections permanently."""
        for connection in self.connections:
            connection.silenced = True

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
        host, _, port = self.address.rpartition(':')
        try:
            server = await anyio.connect_tcp(host, int(port))
        except OSError:
            reset(client)
            await client.aclose()
            return
        connection = _Connection(client, server)
        self.connections.add(connection)
        async with client, server, anyio.create_task_group() as group:
            group.start_soon(
                self._pump, group, connection, client, server, Blocked.up
            )
            group.start_soon(
                self._pump, group, connection, server, client, Blocked.down
            )
            await connection.reset_requested.wait()
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
                while connection.silenced or direction in self.blocked:
                    await self.unblocked.wait()
                await sink.send(raw)
        except anyio.EndOfStream:
            pass
        except CONNECTION_ERRORS:
            reset(connection.client)
            reset(connection.server)
        # A blocked direction holds back the end of a stream as well as bytes.
        while connection.silenced or direction in self.blocked:
            await self.unblocked.wait()
        group.cancel_scope.cancel()
