"""
Clock of a process
==================

The one clock by which ages, leases, bounds and deadlines are counted: it goes
on while the machine is suspended, as the steady clock does not.  On an event
loop that runs on it every timer and every `anyio.current_time()` counts that
time, so what has run out meanwhile has run out at the first step after it.
"""

import asyncio
import time
from dataclasses import dataclass, field
from typing import Any, Awaitable, Callable

import anyio

MS = 1000
#: A growth of what the steady clock has missed below this is no pause of the
#: machine, in seconds: the two clocks are read one after the other.
LEAST_PAUSE_S = 0.05


def has_boottime_clock() -> bool:
    """Whether this system has a clock that goes on while it is suspended."""
    return hasattr(time, 'CLOCK_BOOTTIME')


def read_clock() -> float:
    """Return the seconds since the system's start, those suspended included.

    A system without such a clock has its steady one read.
    """
    if has_boottime_clock():
        return time.clock_gettime(time.CLOCK_BOOTTIME)
    return time.monotonic()


def read_unix_ms() -> float:
    """Return the time of day in milliseconds; it may jump either way."""
    return time.time() * MS


class BoottimeEventLoop(asyncio.SelectorEventLoop):
    """An event loop whose time counts what the machine was suspended for.

    Its time never goes back, and goes on from where it was if the clock does.
    What is due on waking runs with the first timer or event that ends the wait.
    """

    def __init__(self, read: Callable[[], float] = read_clock) -> None:
        """Begin with the clock as it is."""
        super().__init__()
        self._read = read
        self._newest = read()
        self._set_back_s: float = 0

    def time(self) -> float:
        """Return the time of the loop in seconds."""
        now = self._read() + self._set_back_s
        if now < self._newest:
            self._set_back_s += self._newest - now
            return self._newest
        self._newest = now
        return now


def run(main: Callable[..., Awaitable[Any]], *args: Any) -> Any:
    """Run a program on a loop whose time counts suspension."""
    options = {'loop_factory': BoottimeEventLoop}
    return anyio.run(main, *args, backend_options=options)


@dataclass
class SuspensionDetector:
    """Finds pauses of the machine: what the steady clock has missed since.

    >>> steady, counting = iter([5.0, 6.0, 6.1]), iter([7.0, 8.0, 38.1])
    >>> watch = SuspensionDetector(steady.__next__, counting.__next__)
    >>> watch.measure(), round(watch.measure())
    (0, 30)
    """

    read_steady: Callable[[], float] = time.monotonic
    read: Callable[[], float] = read_clock
    missed_s: float = field(init=False)

    def __post_init__(self) -> None:
        """Begin with what was missed before."""
        self.missed_s = self._get_missed_s()

    def measure(self) -> float:
        """Return how long the machine was suspended since, in seconds."""
        before, self.missed_s = self.missed_s, self._get_missed_s()
        pause_s = self.missed_s - before
        return pause_s if pause_s > LEAST_PAUSE_S else 0

    def _get_missed_s(self) -> float:
        steady = self.read_steady()
        return self.read() - steady
