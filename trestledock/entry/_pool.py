"""
Connection pool
===============

Idle connections to targets, by incarnation.  Each idle connection is watched,
and discarded as soon as it closes or receives bytes that belong to no request.
"""

from collections import defaultdict
from dataclasses import dataclass
from typing import Any, Callable, Protocol

import anyio

from trestledock.entry._wire import Wire, WireError
from trestledock.relay import ListedTarget, FailureKind

#: How long a connection is kept idle unless the target says, in seconds.
IDLE_S = 4.0
#: How long before the target's own timeout a connection is closed, in seconds.
IDLE_MARGIN_S = 0.6

#: How long a new connection must stay open to show that its target runs, in
#: seconds, and how many are tried: a target resets connections above its limit.
CHECK_OPEN_S = 0.03
MAX_CHECKS = 3

Spawn = Callable[..., Any]


class TargetConnector(Protocol):
    """How connections to targets are opened."""

    async def connect(self, target: ListedTarget) -> Wire:
        """Return a new connection; a `WireError` means nothing was sent."""

    async def check_elsewhere(self, target: ListedTarget) -> FailureKind:
        """Return how another entry fails to connect, if one can tell."""

    def may_reuse(self, target: ListedTarget) -> bool:
        """Return whether idle connections to a target may still work."""


class DirectConnector:
    """Opens connections over the own link only."""

    async def connect(self, target: ListedTarget) -> Wire:
        """Return a new connection; a `WireError` means nothing was sent."""
        return await Wire.connect(target.address)

    async def check_elsewhere(self, target: ListedTarget) -> FailureKind:
        """Return that nobody else can tell."""
        return FailureKind.no_link

    def may_reuse(self, target: ListedTarget) -> bool:
        """Return that idle connections may be used."""
        return True


DIRECT_CONNECTOR = DirectConnector()


@dataclass
class _Idle:
    """An idle connection with its watcher and its expiry time."""

    wire: Wire
    expires_at: float
    watcher: anyio.CancelScope
    watch_ended: anyio.Event

    async def stop_watching(self) -> None:
        """Stop the watcher, and wait until it no longer reads."""
        self.watcher.cancel()
        await self.watch_ended.wait()


class Pool:
    """The connections of one process to its targets."""

    def __init__(
        self, spawn: Spawn, connector: TargetConnector = DIRECT_CONNECTOR
    ) -> None:
        """Store the function that starts background tasks."""
        self._spawn = spawn
        self._connector = connector
        self._idle: dict[str, list[_Idle]] = defaultdict(list)

    async def acquire(self, target: ListedTarget, name: str) -> Wire:
        """Return an idle connection or a new one for an exchange of a name.

        A connection that has carried the name is left: an answer with it may be
        a late copy of the earlier one.
        """
        while idle := self._take_idle(target.incarnation, name):
            await idle.stop_watching()
            is_alive = idle.expires_at > anyio.current_time()
            if is_alive and not idle.wire.broken:
                if self._connector.may_reuse(target):
                    return idle.wire
            await idle.wire.close()
        return await self._connector.connect(target)

    def has_idle(self, target: ListedTarget, name: str) -> bool:
        """Return whether an idle connection may carry an exchange of a name."""
        return any(
            idle.wire.names.may_begin(name)
            for idle in self._idle.get(target.incarnation, ())
        )

    async def check_connection(self, target: ListedTarget) -> FailureKind:
        """Connect to a target again; return the kind of failure, if any.

        A process that exits closes its sockets one after the other, so an
        accepted connection is watched for a moment.  A connection that stays
        open is kept for the next request.
        """
        for _ in range(MAX_CHECKS):
            try:
                wire = await self._connector.connect(target)
            except WireError as exc:
                return await self._confirm_failure(target, exc.failure_kind)
            if await self._stays_open(wire):
                await self._keep(target, wire, IDLE_S)
                return FailureKind.none
        return FailureKind.closed

    async def release(
        self, target: ListedTarget, wire: Wire, idle_s: float
    ) -> None:
        """Return a connection to the pool after an answer.

        It is closed if `idle_s` is zero or it can't be reused, for example for
        unread bytes.
        """
        if idle_s <= 0 or not wire.recycle():
            await wire.close()
            return
        self._store(target, wire, idle_s)

    def close_idle(self, incarnation: str) -> None:
        """Close the idle connections to an incarnation."""
        for idle in self._idle.pop(incarnation, []):
            idle.watcher.cancel()
            self._spawn(idle.wire.close)

    async def _keep(
        self, target: ListedTarget, wire: Wire, idle_s: float
    ) -> None:
        """Keep a connection that was not used; a tunnel is closed."""
        if wire.is_tunnel:
            await wire.close()
            return
        self._store(target, wire, idle_s)

    async def _confirm_failure(
        self, target: ListedTarget, failure_kind: FailureKind
    ) -> FailureKind:
        """Return the failure of a connection, unless only the link failed.

        A closed port that another entry finds open is no crash of the target.
        """
        if failure_kind is not FailureKind.refused:
            return failure_kind
        elsewhere = await self._connector.check_elsewhere(target)
        if elsewhere is FailureKind.none:
            return FailureKind.unreachable
        return failure_kind

    def _take_idle(self, incarnation: str, name: str) -> _Idle | None:
        """Take the connection used last that may carry a name, if any."""
        idle_wires = self._idle.get(incarnation, [])
        for idle in reversed(idle_wires):
            if idle.wire.names.may_begin(name):
                idle_wires.remove(idle)
                return idle
        return None

    def _store(self, target: ListedTarget, wire: Wire, idle_s: float) -> None:
        expires_at = anyio.current_time() + idle_s
        idle = _Idle(wire, expires_at, anyio.CancelScope(), anyio.Event())
        self._idle[target.incarnation].append(idle)
        self._spawn(self._watch, target.incarnation, idle)

    async def _stays_open(self, wire: Wire) -> bool:
        """Return whether a connection stays open; close it if it does not."""
        stayed_open = False
        try:
            with anyio.move_on_after(CHECK_OPEN_S) as scope:
                await wire.wait_for_unexpected_data()
            stayed_open = scope.cancelled_caught
        finally:
            if not stayed_open:
                await wire.close()
        return stayed_open

    async def _watch(self, incarnation: str, idle: _Idle) -> None:
        remaining_s = max(0, idle.expires_at - anyio.current_time())
        try:
            with idle.watcher, anyio.move_on_after(remaining_s):
                await idle.wire.wait_for_unexpected_data()
        finally:
            idle.watch_ended.set()
        idle_wires = self._idle.get(incarnation, [])
        if idle in idle_wires:
            idle_wires.remove(idle)
            await idle.wire.close()


def get_idle_s(keep_alive: str, connection: str) -> float:
    """Return how long a connection may idle, from an answer's headers.

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
