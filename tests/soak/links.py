"""
Links
=====

A loopback proxy for one way of the system.  It forwards bytes, and can delay
them, hold them back in one or both directions, refuse new connections, reset
the open ones, or let just the open ones fall silent.
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

from tests.soak.serving import ENDS, READ_BYTES, reset


class Cut(Flag):
    """Directions in which nothing passes."""

    none = 0
    up = 1
    down = 2
    both = 3


@dataclass(eq=False)
class _Pair:
    """An open connection through a link."""

    near: SocketStream
    far: SocketStream
    silent: bool = False
    resets: anyio.Event = field(default_factory=anyio.Event)


@dataclass(eq=False)
class Link:
    """A port that forwards to `address`."""

    address: str
    host: str = '127.0.0.1'
    port: int = 0
    cut: Cut = Cut.none
    delay_s: float = 0
    closed: anyio.Event = field(default_factory=anyio.Event)
    pairs: set[_Pair] = field(default_factory=set)
    healed: anyio.Event = field(default_factory=anyio.Event)

    @property
    def listed(self) -> str:
        """The address that others are told."""
        return f'{self.host}:{self.port}'

    async def open(self, group: TaskGroup) -> None:
        """Listen on a free port from now on."""
        listener = await anyio.create_tcp_listener(
            local_host=self.host, local_port=0
        )
        self.port = listener.extra(SocketAttribute.local_port)
        group.start_soon(self._serve, listener)

    def close(self) -> None:
        """Refuse connections from now on, and reset the open ones."""
        self.closed.set()
        self.reset_all()

    def set_cut(self, cut: Cut) -> None:
        """Hold back what goes in some directions, or let it go on."""
        self.cut = cut
        self.healed.set()
        self.healed = anyio.Event()

    def reset_all(self) -> None:
        """Reset the open connections on both sides."""
        for pair in tuple(self.pairs):
            pair.resets.set()

    def silence_open(self) -> None:
        """Let the open connections fall silent for good."""
        for pair in self.pairs:
            pair.silent = True

    async def _serve(self, listener: SocketListener) -> None:
        """Listen until the link is closed; what is open then goes on."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._listen, listener, group)
            await self.closed.wait()
            await listener.aclose()

    async def _listen(self, listener: SocketListener, group: TaskGroup) -> None:
        try:
            await listener.serve(self._forward, group)
        except* anyio.ClosedResourceError:
            self.closed.set()

    async def _forward(self, near: SocketStream) -> None:
        host, _, port = self.address.rpartition(':')
        try:
            far = await anyio.connect_tcp(host, int(port))
        except OSError:
            reset(near)
            await near.aclose()
            return
        pair = _Pair(near, far)
        self.pairs.add(pair)
        async with near, far, anyio.create_task_group() as group:
            group.start_soon(self._pump, group, pair, near, far, Cut.up)
            group.start_soon(self._pump, group, pair, far, near, Cut.down)
            await pair.resets.wait()
            reset(near)
            reset(far)
            group.cancel_scope.cancel()
        self.pairs.discard(pair)

    async def _pump(
        self,
        group: TaskGroup,
        pair: _Pair,
        source: SocketStream,
        sink: SocketStream,
        direction: Cut,
    ) -> None:
        try:
            while True:
                raw = await source.receive(READ_BYTES)
                if self.delay_s:
                    await anyio.sleep(self.delay_s)
                while pair.silent or direction in self.cut:
                    await self.healed.wait()
                await sink.send(raw)
        except anyio.EndOfStream:
            pass
        except ENDS:
            reset(pair.near)
            reset(pair.far)
        # An end passes a link that is cut as little as bytes do.
        while pair.silent or direction in self.cut:
            await self.healed.wait()
        group.cancel_scope.cancel()
