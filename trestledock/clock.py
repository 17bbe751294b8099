"""
Process clock
=============

The clock for all ages, leases, timeouts and deadlines.  Unlike the monotonic
clock, it keeps running while the machine is suspended.  With an event loop on
this clock, every timer and `anyio.current_time()` includes suspended time, so
whatever expired during a suspension is expired at the first step after it.
"""

import asyncio
import time
from dataclasses import dataclass, field
from typing import Any, Awaitable, Callable

import anyio

MS = 1000
#: The shortest difference, in seconds, that counts as a suspension.  The two
#: clocks are read one after the other, so smaller differences mean nothing.
MIN_SUSPENSION_S = 0.05


def has_boottime_clock() -> bool:
    """Return whether the system has a clock that includes suspended time."""
    return hasattr(time, 'CLOCK_BOOTTIME')


def read_clock() -> float:
    """Return the seconds since boot, including suspended time.

    Falls back to the monotonic clock on systems without such a clock.
    """
    if has_boottime_clock():
        return time.clock_gettime(time.CLOCK_BOOTTIME)
    return time.monotonic()


def read_unix_ms() -> float:
    """Return the Unix time in milliseconds; it may jump in either direction."""
    return time.time() * MS


class BoottimeEventLoop(asyncio.SelectorEventLoop):
    """Event loop whose time includes the time that the machine was suspended.

    Loop time never decreases: if the clock is set back, loop time continues
    from its last value.  Timers that expired during a suspension run with the
    first timer or event that ends the current wait.
    """

    def __init__(self, read: Callable[[], float] = read_clock) -> None:
        """Start from the current reading of the clock."""
        super().__init__()
        self._read = read
        self._last_time = read()
        self._offset_s: float = 0

    def time(self) -> float:
        """Return the loop time in seconds."""
        now = self._read() + self._offset_s
        if now < self._last_time:
            self._offset_s += self._last_time - now
            return self._last_time
        self._last_time = now
        return now


def run(main: Callable[..., Awaitable[Any]], *args: Any) -> Any:
    """Run `main` on an event loop whose time includes suspensions."""
    options = {'loop_factory': BoottimeEventLoop}
    return anyio.run(main, *args, backend_options=options)


@dataclass
class SuspensionDetector:
    """Detects suspensions of the machine.

    A suspension shows as growth of the difference between the boot-time clock
    and the monotonic clock.

    >>> monotonic, boottime = iter([5.0, 6.0, 6.1]), iter([7.0, 8.0, 38.1])
    >>> detector = SuspensionDetector(monotonic.__next__, boottime.__next__)
    >>> detector.measure(), round(detector.measure())
    (0, 30)
    """

    read_monotonic: Callable[[], float] = time.monotonic
    read_boottime: Callable[[], float] = read_clock
    suspended_s: float = field(init=False)

    def __post_init__(self) -> None:
        """Record the time suspended so far."""
        self.suspended_s = self._read_suspended_s()

    def measure(self) -> float:
        """Return the seconds suspended since the last call, or 0."""
        before, self.suspended_s = self.suspended_s, self._read_suspended_s()
        increase_s = self.suspended_s - before
        return increase_s if increase_s > MIN_SUSPENSION_S else 0

    def _read_suspended_s(self) -> float:
        monotonic = self.read_monotonic()
        return self.read_boottime() - monotonic
