"""
Reply timers
============

Timeouts for replies from others that a delay of this process doesn't use up.
While the process is busy, paused or suspended, replies wait to be read and
connections to be noticed. So a wait is counted in steps, and time in which a
step could not end doesn't count: the other side wasn't silent, it wasn't heard.
"""

import asyncio
import math
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Iterator

import anyio

#: How many steps a wait has.
STEPS = 4
#: How late a step must end for a delay of this process, in seconds.
MIN_DELAY_S = 0.02
#: How many delays are forgiven during a wait.
MAX_DELAYS = 3
#: The time to read what has arrived during a delay, in seconds.
LOOK_S = 0.05


@dataclass
class Patience:
    """How long a reply is still waited for, in seconds.

    `limit_s` is never exceeded, and only some delays are forgiven: a process
    that is always late gives up, too. Several waits may share it, such as those
    for the parts of a reply.

    >>> patience = Patience(0.2)
    >>> patience.spend(0.05, late_s=0.3)
    >>> round(patience.left_s, 3)
    0.15
    """

    left_s: float
    limit_s: float = math.inf
    delays: int = 0
    step_s: float = field(init=False)

    def __post_init__(self) -> None:
        """Set the length of the steps."""
        self.step_s = self.left_s / STEPS

    def limit(self, limit_s: float) -> None:
        """Set how long may be waited at most, with all delays."""
        self.limit_s = min(self.limit_s, limit_s)
        self.left_s = min(self.left_s, self.limit_s)

    def spend(self, step_s: float, late_s: float) -> None:
        """Count a step that ended late by some time."""
        self.limit_s -= step_s + late_s
        is_late = late_s >= MIN_DELAY_S
        self.delays += is_late
        if is_late and self.delays <= MAX_DELAYS:
            self.left_s = max(self.left_s - step_s, LOOK_S)
        else:
            self.left_s -= step_s + late_s
        self.left_s = min(self.left_s, self.limit_s)


@dataclass
class _Timer:
    """Cancels a scope when a reply is overdue."""

    scope: anyio.CancelScope
    patience: Patience
    step_s: float = 0
    began_at: float = 0
    handle: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begin the next step."""
        self.step_s = min(self.patience.step_s, self.patience.left_s)
        self.began_at = anyio.current_time()
        loop = asyncio.get_running_loop()
        due_at = self.began_at + self.step_s
        self.handle = loop.call_at(due_at, self._end_step)

    def stop(self) -> None:
        """End the wait, as a reply has come or nobody waits any more."""
        if self.handle:
            self.handle.cancel()
            self._spend(min(self.step_s, self._get_passed_s()))

    def _end_step(self) -> None:
        self.handle = None
        self._spend(self.step_s)
        if self.patience.left_s > 0:
            self.start()
        else:
            self.scope.cancel()

    def _spend(self, step_s: float) -> None:
        late_s = max(0, self._get_passed_s() - step_s)
        self.patience.spend(step_s, late_s)

    def _get_passed_s(self) -> float:
        return anyio.current_time() - self.began_at


@contextmanager
def wait_with(patience: Patience) -> Iterator[anyio.CancelScope]:
    """Wait for a reply, or a part of it; end the block once it is overdue."""
    with anyio.CancelScope() as scope:
        if math.isinf(patience.left_s):
            yield scope
            return
        timer = _Timer(scope, patience)
        timer.start()
        try:
            yield scope
        finally:
            timer.stop()


@contextmanager
def move_on_if_silent(
    wait_s: float, limit_s: float = math.inf
) -> Iterator[anyio.CancelScope]:
    """Wait for a reply; end the block once it is overdue.

    Delays of this process make the wait longer, up to `limit_s`.
    """
    with wait_with(Patience(wait_s, limit_s)) as scope:
        yield scope


@contextmanager
def fail_if_silent(wait_s: float) -> Iterator[None]:
    """Wait for a reply; raise `TimeoutError` once it is overdue."""
    with move_on_if_silent(wait_s) as scope:
        yield
    if scope.cancelled_caught:
        raise TimeoutError
