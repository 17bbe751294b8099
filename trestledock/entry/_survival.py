"""
Survival of targets
===================

A process that crashes closes its connections as one does that has answered. So
a target whose close alone has ended an answer is connected to again: nothing
listens at the address of a process that has ended.

One connection serves all answers of the target that had ended before, and the
next request uses it.
"""

from dataclasses import dataclass, field

import anyio

from trestledock.entry import _events as events
from trestledock.entry._connector import MAX_PEERS_TRIED
from trestledock.entry._logger import emit
from trestledock.entry._state import EntryState, has_crashed
from trestledock.entry._tunnels import OPEN_TIMEOUT_S
from trestledock.entry._reply_timers import move_on_if_silent
from trestledock.entry._wire import CONNECT_TIMEOUT_S
from trestledock.relay import FailureKind, ListedTarget, Survival

#: How long the end of an answer waits for a check, in seconds: until a closed
#: port is found, and other entries have found it closed, too.
WAIT_S = CONNECT_TIMEOUT_S + MAX_PEERS_TRIED * OPEN_TIMEOUT_S
#: How long before its deadline an answer waits no more, in seconds.
MARGIN_S = 0.05
MS = 1000


@dataclass
class _Check:
    """The newest check of a target, and how many answers wait for one."""

    lock: anyio.Lock = field(default_factory=anyio.Lock)
    began_at: float = float('-inf')
    survival: Survival = Survival.unknown
    waiting: int = 0


class SurvivalChecks:
    """Finds out for one entry process whether targets outlived answers."""

    def __init__(self, state: EntryState) -> None:
        """Store the state, whose isolation connects to targets."""
        self.state = state
        self._checks: dict[str, _Check] = {}

    async def check(self, target: ListedTarget, deadline: float) -> Survival:
        """Return whether a target outlived an answer that ends now."""
        ended_at = anyio.current_time()
        check = self._checks.setdefault(target.incarnation, _Check())
        check.waiting += 1
        left_s = deadline - MARGIN_S - ended_at
        survival = Survival.unknown
        try:
            with move_on_if_silent(min(WAIT_S, left_s), left_s) as scope:
                survival = await self._share(check, target, ended_at)
        finally:
            check.waiting -= 1
            if not check.waiting:
                self._checks.pop(target.incarnation)
        if scope.cancelled_caught:
            _log(target, survival, ended_at)
        return survival

    async def _share(
        self, check: _Check, target: ListedTarget, ended_at: float
    ) -> Survival:
        """Return what a check found that began after an answer's end."""
        async with check.lock:
            if check.began_at < ended_at:
                began_at = anyio.current_time()
                check.survival = await self._find(target)
                check.began_at = began_at
                _log(target, check.survival, began_at)
            return check.survival

    async def _find(self, target: ListedTarget) -> Survival:
        """Connect to a target.

        One that drains may have ended properly after its last answer.
        """
        if has_crashed(self.state, target.incarnation):
            return Survival.ended
        failure = await self.state.isolation.hooks.reconnect(target)
        if failure is FailureKind.none:
            return Survival.survived
        is_refused = failure is FailureKind.refused
        if is_refused and self.state.fleet.is_usable(target.incarnation):
            return Survival.ended
        return Survival.unknown


def _log(target: ListedTarget, survival: Survival, began_at: float) -> None:
    emit(
        events.SurvivalChecked(
            peer=target.incarnation,
            survival=survival.value,
            took_ms=round((anyio.current_time() - began_at) * MS),
        )
    )
