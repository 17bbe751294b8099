"""
Unread answers
==============

Bounds what is held for callers that don't read. Answers that the kernel doesn't
accept wait in the buffers of the connections, so that targets are read
meanwhile; connections whose callers read nothing for long are closed.
"""

import asyncio
from dataclasses import dataclass, field

import anyio

from trestledock.entry import _events as events
from trestledock.entry._logger import emit

MS = 1000
#: What one connection buffers before its writer waits. A stream of 15 s has
#: some 100 KB, so that its target is read to the end whatever the caller does.
CONNECTION_BYTES = 1_048_576
#: A writer that waits goes on after this many bytes were read: the smaller, the
#: less a slow caller must read before its target is read again.
RESUME_BYTES = 16_384
#: What all connections buffer together.
ENTRY_BYTES = 16_777_216
#: How long a caller with an unread answer may read nothing, in seconds. One
#: with a small window that reads a few KB a second takes new bytes every few
#: seconds.
STALL_S = 30.0
#: The interval of the checks for such callers, in seconds.
CHECK_INTERVAL_S = 1.0


@dataclass(eq=False)
class CallerConnection:
    """What was written to a caller's connection, and when it took some."""

    transport: asyncio.WriteTransport
    taken_at: float
    written: int = 0
    taken: int = 0

    @property
    def unread(self) -> int:
        """The bytes that wait for the caller."""
        return self.transport.get_write_buffer_size()

    def update(self, now: float) -> int:
        """Record whether the caller has taken bytes; return those that wait."""
        unread = self.unread
        taken = self.written - unread
        if not unread or taken > self.taken:
            self.taken = taken
            self.taken_at = now
        return unread


@dataclass
class UnreadAnswers:
    """The unread bytes of all callers' connections of an entry.

    `count` is at least their number: what was written since it was last summed
    up counts as unread.
    """

    limit: int = ENTRY_BYTES
    stall_s: float = STALL_S
    count: int = 0
    connections: set[CallerConnection] = field(default_factory=set)

    def add(self, transport: asyncio.WriteTransport) -> CallerConnection:
        """Bound the buffer of a new connection, and watch it."""
        transport.set_write_buffer_limits(
            high=CONNECTION_BYTES, low=CONNECTION_BYTES - RESUME_BYTES
        )
        connection = CallerConnection(transport, anyio.current_time())
        self.connections.add(connection)
        return connection

    def remove(self, connection: CallerConnection) -> None:
        """Stop watching a connection that has ended."""
        self.connections.discard(connection)

    def record_write(self, connection: CallerConnection, size: int) -> None:
        """Count bytes that are about to be written; make room for them."""
        connection.written += size
        self.count += size
        if self.count > self.limit:
            self._make_room(size)

    def get_total(self) -> int:
        """Return the number of unread bytes."""
        return sum(connection.unread for connection in self.connections)

    def close_stalled(self) -> None:
        """Close the connections whose callers have read nothing for long."""
        now = anyio.current_time()
        for connection in tuple(self.connections):
            unread = connection.update(now)
            if unread and now - connection.taken_at >= self.stall_s:
                _close(connection, now, 'stalled')

    async def run(self) -> None:
        """Close stalled connections while the process lives."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            self.close_stalled()

    def _make_room(self, size: int) -> None:
        """Close connections until `size` bytes more fit.

        Those that have read nothing for longest come first, so a slow caller
        that reads keeps its answer.
        """
        now = anyio.current_time()
        waiting = [
            connection
            for connection in self.connections
            if connection.update(now)
        ]
        self.count = self.get_total() + size
        waiting.sort(key=_get_taken_at, reverse=True)
        while waiting and self.count > self.limit:
            connection = waiting.pop()
            self.count -= connection.unread
            _close(connection, now, 'room')


def _get_taken_at(connection: CallerConnection) -> float:
    return connection.taken_at


def _close(connection: CallerConnection, now: float, reason: str) -> None:
    """Close a connection without waiting for its caller to read."""
    emit(
        events.CallerCut(
            reason=reason,
            unread_bytes=connection.unread,
            unread_ms=round((now - connection.taken_at) * MS),
        )
    )
    connection.transport.abort()
