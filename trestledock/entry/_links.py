"""
Links of an entry
=================

Feeds the outcomes of this entry's connections to targets into the health of its
links, and logs what follows from them.
"""

import anyio

from trestledock.entry import _events as events
from trestledock.entry._logger import emit
from trestledock.entry._wire import Wire, WireError
from trestledock.relay import (
    FailureKind,
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
MS = 1000


class Links:
    """The links of one entry process to the targets."""

    def __init__(self) -> None:
        """Start without any failure."""
        self.health = LinkHealth()
        self._doubted_at: dict[Scope, float] = {}

    def record_failure(
        self, target: ListedTarget, failure: WireError, *, is_new: bool
    ) -> None:
        """Record that a connection to a target failed."""
        if failure.failure_kind not in LINK_FAILURES:
            return
        now = anyio.current_time()
        self.health.record_failure(target, now, is_new=is_new)
        self._log_doubted(target, now)

    def record_answer(self, target: ListedTarget, wire: Wire) -> None:
        """Record the head of an answer on a connection."""
        is_new = wire.is_new
        wire.is_new = False
        self.health.record_success(target, is_new=is_new)
        if is_new:
            self._log_regained(target)

    def count_doubted(self, now: float) -> int:
        """Return the number of scopes whose link may be lost."""
        return len(self.health.get_doubted(now))

    def _log_doubted(self, target: ListedTarget, now: float) -> None:
        """Log the widest scope of a target that has become doubtful."""
        for scope in get_scopes(target):
            links = self.health.scopes[scope]
            if not links.is_doubted(now):
                continue
            if scope not in self._doubted_at:
                emit(
                    events.LinksDoubted(
                        scope=scope.kind.value,
                        scope_name=scope.name,
                        failed=len(links.failures),
                        since_ms=round((now - links.since) * MS),
                    )
                )
                self._doubted_at[scope] = now
            return

    def _log_regained(self, target: ListedTarget) -> None:
        now = anyio.current_time()
        for scope in get_scopes(target):
            doubted_at = self._doubted_at.pop(scope, None)
            if doubted_at is not None:
                emit(
                    events.LinksRegained(
                        scope=scope.kind.value,
                        scope_name=scope.name,
                        peer=target.incarnation,
                        after_ms=round((now - doubted_at) * MS),
                    )
                )
