"""
Links of an entry
=================

Feeds the outcomes of this entry's connections to targets into the health of its
links, logs what follows from them, and drops what a lost link has made this
entry believe of targets.
"""

from typing import Any, Callable, Iterable, Iterator

import anyio

from trestledock.entry import _events as events
from trestledock.entry._logger import emit
from trestledock.entry._wire import Wire, WireError
from trestledock.relay import (
    FailureKind,
    Fleet,
    Health,
    LinkHealth,
    ListedTarget,
    Scope,
    get_scopes,
)

#: Failures for which a link may be the cause.
LINK_FAILURES = frozenset(
    (
        FailureKind.closed,
        FailureKind.silent,
        FailureKind.refused,
        FailureKind.unreachable,
    )
)
#: The maximum number of crashed targets that are kept, the newest ones.
MAX_CRASHED = 1_000
MS = 1000


def _has_none() -> bool:
    """Default for ways around, without other entries."""
    return False


def _ignore(_: str) -> None:
    """Default for entries that did not get through, without other entries."""


class Links:
    """The links of one entry process to the targets.

    `has_way_around` tells whether another entry offers connections to targets,
    `record_unreached` that one did not get through to them; `doubted` is set
    when a link becomes doubtful.
    """

    def __init__(self, fleet: Fleet, target_health: Health) -> None:
        """Start without any failure."""
        self.health = LinkHealth()
        self.has_way_around: Callable[[], bool] = _has_none
        self.record_unreached: Callable[[str], None] = _ignore
        self.doubted = anyio.Event()
        self._fleet = fleet
        self._target_health = target_health
        self._doubted_at: dict[Scope, float] = {}
        self._crashed: dict[str, None] = {}

    def is_doubted(self, target: ListedTarget) -> bool:
        """Return whether the link to a target may be lost."""
        return self.health.is_doubted(target, anyio.current_time())

    def are_all_doubted(self, now: float) -> bool:
        """Return whether the links to all targets may be lost."""
        return self.health.are_all_doubted(now)

    def is_isolated(self) -> bool:
        """Return whether no target can be reached, also not through others.

        Another entry that offers tunnels is taken to reach the targets.
        """
        now = anyio.current_time()
        return self.health.is_cut_off(now) and not self.has_way_around()

    def record_crashed(self, incarnation: str) -> None:
        """Record that a target has crashed: its failures have this cause."""
        self._crashed[incarnation] = None
        if len(self._crashed) > MAX_CRASHED:
            self._crashed.pop(next(iter(self._crashed)))
        self.health.forget_failures(incarnation)

    def has_crashed(self, incarnation: str) -> bool:
        """Return whether a target is known to have crashed lately."""
        return incarnation in self._crashed

    def record_failure(
        self, target: ListedTarget, failure: WireError, *, is_new: bool
    ) -> None:
        """Record that a connection to a target failed."""
        if failure.failure_kind not in LINK_FAILURES:
            return
        if self.has_crashed(target.incarnation):
            return
        now = anyio.current_time()
        self.health.record_failure(target, now, is_new=is_new)
        self._log_doubted(target, now)

    def record_broken(
        self, target: ListedTarget, wire: Wire, failure: WireError
    ) -> None:
        """Record that a connection failed after a request was written.

        A failure of a tunnel says nothing of the link; without an answer, the
        other entry may have lost its own. A target that was given up early may
        only be busy. Behind a lost link, the failure of a direct connection
        says nothing of the target.
        """
        if wire.is_tunnel:
            if wire.framing is None:
                self.record_unreached(wire.via)
            return
        if not failure.is_early:
            self.record_failure(target, failure, is_new=wire.is_new)
        if self.health.is_lost(target):
            self._forget_suspicions((target,))

    def record_answer(self, target: ListedTarget, wire: Wire) -> None:
        """Record the head of an answer on a connection."""
        if wire.is_tunnel:
            self.record_reached(target, wire.via)
            return
        self._crashed.pop(target.incarnation, None)
        is_new = wire.is_new
        wire.is_new = False
        self.health.record_success(target, is_new=is_new)
        if is_new:
            self._end_doubts(target)

    def record_tunnel_answer(self, target: ListedTarget) -> None:
        """Record that a target answers another entry over an own link."""
        self.health.record_success(target, is_new=True)
        self._end_doubts(target)

    def record_tunnel_lost(self, target: ListedTarget) -> None:
        """Record that a target ended a tunnel with a request unanswered."""
        failure = WireError('tunnel', 'no answer', FailureKind.closed)
        self.record_failure(target, failure, is_new=True)

    def count_doubted(self, now: float) -> int:
        """Return the number of scopes whose link may be lost."""
        return len(self.health.get_doubted(now))

    def get_targets(self, scope: Scope) -> list[ListedTarget]:
        """Return the listed targets of a scope."""
        return [
            target
            for target in self._fleet.targets.values()
            if scope in get_scopes(target)
        ]

    def record_reached(self, target: ListedTarget, via: str) -> None:
        """Record that a target has answered through the entry `via`."""
        now = anyio.current_time()
        lost = self.health.record_reached(target, now)
        if not lost:
            return
        widest = lost[0]
        emit(
            events.LinksLost(
                **self._get_fields(widest, now),
                peer=target.incarnation,
                via=via,
            )
        )
        self._forget_suspicions(self.get_targets(widest))

    def _log_doubted(self, target: ListedTarget, now: float) -> None:
        """Log the widest scope of a target that has become doubtful."""
        for known in self._doubted_at.keys() - self.health.scopes.keys():
            self._doubted_at.pop(known)
        for scope in self._get_doubted_scopes(target, now):
            if scope not in self._doubted_at:
                emit(events.LinksDoubted(**self._get_fields(scope, now)))
                self._doubted_at[scope] = now
                self.doubted.set()
                self.doubted = anyio.Event()
            return

    def _get_fields(self, scope: Scope, now: float) -> dict[str, Any]:
        """Return the fields of a log line about a scope."""
        links = self.health.scopes[scope]
        return {
            'scope': scope.kind.value,
            'scope_name': scope.name,
            'failed': len(links.failures),
            'since_ms': round((now - links.since) * MS),
        }

    def _get_doubted_scopes(
        self, target: ListedTarget, now: float
    ) -> Iterator[Scope]:
        for scope in get_scopes(target):
            if self.health.scopes[scope].is_doubted(now):
                yield scope

    def _end_doubts(self, target: ListedTarget) -> None:
        """Log the links that are back, and drop what came of their loss."""
        now = anyio.current_time()
        for scope in get_scopes(target):
            doubted_at = self._doubted_at.pop(scope, None)
            if doubted_at is None:
                continue
            emit(
                events.LinksRegained(
                    scope=scope.kind.value,
                    scope_name=scope.name,
                    peer=target.incarnation,
                    after_ms=round((now - doubted_at) * MS),
                )
            )
            self._forget_suspicions(self.get_targets(scope))

    def _forget_suspicions(self, targets: Iterable[ListedTarget]) -> None:
        for target in targets:
            self._target_health.forget(target.incarnation, target.data_centre)
