"""
Pools of connections
====================

Idle connections by incarnation of a target.  Each idle connection is watched:
one that closes or gets bytes that belong to no request is thrown away at once.
"""

from collections import defaultdict
from dataclasses import dataclass
from typing import Any, Callable

import anyio

from trestledock.entry._wire import Wire, WireError
from trestledock.relay import ListedTarget, FailureKind

#: How long a connection may be idle where the target does not say, in seconds.
IDLE_S = 4.0
#: How long before a target's own timeout a connection is dropped, in seconds.
IDLE_MARGIN_S = 0.6

#: How long a connection has to stay open to show that its target lives, in
#: seconds, and how many are tried: a target resets those that are too many.
SETTLE_S = 0.03
LOOKS = 3

Spawn = Callable[..., Any]


@dataclass
class _Idle:
    """An idle connection with its watcher and the end of its life."""

    wire: Wire
    until: float
    watcher: anyio.CancelScope
    watched: anyio.Event

    async def stop_watching(self) -> None:
        """Return once nobody else reads from the connection."""
        self.watcher.cancel()
        await self.watched.wait()


class Pool:
    """The connections of one process to its targets."""

    def __init__(self, spawn: Spawn) -> None:
        """Keep the way to watch idle connections in the background."""
        self._spawn = spawn
        self._idle: dict[str, list[_Idle]] = defaultdict(list)

    async def acquire(self, target: ListedTarget) -> Wire:
        """Return an idle connection or a new one."""
        waiting = self._idle[target.incarnation]
        while waiting:
            idle = waiting.pop()
            await idle.stop_watching()
            if not idle.wire.broken and idle.until > anyio.current_time():
                return idle.wire
            await idle.wire.close()
        return await Wire.connect(target.address)

    async def check_connection(self, target: ListedTarget) -> FailureKind:
        """Connect to a target once more; return what is seen of it.

        A process that ends closes its sockets one after the other, so what it
        still accepts is watched for a moment.  A connection that stays open is
        kept for the next request.
        """
        for _ in range(LOOKS):
            try:
                wire = await Wire.connect(target.address)
            except WireError as exc:
                return exc.failure_kind
            if await self._is_settled(wire):
                self._keep(target, wire, IDLE_S)
                return FailureKind.none
        return FailureKind.closed

    async def release(
        self, target: ListedTarget, wire: Wire, idle_s: float
    ) -> None:
        """Take a connection back after an answer.

        It is closed where `idle_s` is zero, or where something is left on it.
        """
        if idle_s <= 0 or not wire.recycle():
            await wire.close()
            return
        self._keep(target, wire, idle_s)

    def close_idle(self, incarnation: str) -> None:
        """Close the idle connections to an incarnation that has gone."""
        for idle in self._idle.pop(incarnation, []):
            idle.watcher.cancel()
            self._spawn(idle.wire.close)

    def _keep(self, target: ListedTarget, wire: Wire, idle_s: float) -> None:
        until = anyio.current_time() + idle_s
        idle = _Idle(wire, until, anyio.CancelScope(), anyio.Event())
        self._idle[target.incarnation].append(idle)
        self._spawn(self._watch, target.incarnation, idle)

    async def _is_settled(self, wire: Wire) -> bool:
        """Whether a connection stays open for a moment; else it is closed."""
        settled = False
        try:
            with anyio.move_on_after(SETTLE_S) as scope:
                await wire.wait_for_unexpected_data()
            settled = scope.cancelled_caught
        finally:
            if not settled:
                await wire.close()
        return settled

    async def _watch(self, incarnation: str, idle: _Idle) -> None:
        left_s = max(0, idle.until - anyio.current_time())
        try:
            with idle.watcher, anyio.move_on_after(left_s):
                await idle.wire.wait_for_unexpected_data()
        finally:
            idle.watched.set()
        waiting = self._idle.get(incarnation, [])
        if idle in waiting:
            waiting.remove(idle)
            await idle.wire.close()


def get_idle_s(keep_alive: str, connection: str) -> float:
    """Return how long a connection may be kept, by an answer's headers.

    >>> get_idle_s('timeout=5', ''), get_idle_s('', 'close')
    (4.4, 0)
    """
    if 'close' in connection.lower():
        return 0
    for part in keep_alive.replace(',', ' ').split():
        name, _, number = part.partition('=')
        if name.lower() == 'timeout' and number.isdigit():
            return int(number) - IDLE_MARGIN_S
    return IDLE_S
