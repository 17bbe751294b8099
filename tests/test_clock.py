"""The clock counts the time for which the machine was suspended."""

import re
import time
import unittest
from pathlib import Path
from random import Random

import anyio

from tests.relaying import SETTINGS, make_listed
from trestledock.clock import SuspensionDetector, BoottimeEventLoop, read_clock
from trestledock.entry import StoreUpdate, TargetUpdate
from trestledock.entry._target_list import TargetListUpdater
from trestledock.entry._pool import Pool
from trestledock.entry._state import EntryState
from trestledock.relay import Catalog

PRODUCT = Path(__file__).parent.parent / 'trestledock'
#: Packages that run at users' machines, and the clock calls that only one
#: module makes.
PACKAGES = ('connection', 'entry', 'platform', 'process', 'relay', 'request')
CLOCKS = re.compile(r'\btime\.(monotonic|time|perf_counter|clock_gettime)\b')
#: Longer than any bound in the settings, in seconds.
PAUSE_S = 30.0


class Machine:
    """Machine whose monotonic clock stops while it is suspended."""

    def __init__(self):
        self.asleep_s = 0.0

    def read(self):
        """Return the time including suspension."""
        return time.monotonic() + self.asleep_s

    def run(self, main):
        """Run a program on an event loop with this machine's clock."""
        return anyio.run(
            main,
            backend_options={
                'loop_factory': lambda: BoottimeEventLoop(self.read)
            },
        )


class PauseTest(unittest.TestCase):
    """What has expired at the first step after a suspension."""

    def setUp(self):
        self.machine = Machine()

    def pause(self):
        self.machine.asleep_s += PAUSE_S

    def test_proof(self):
        """A key may have been revoked meanwhile, so none is served.

        By the monotonic clock the proof would be as recent as before.
        """

        async def main():
            state = EntryState(SETTINGS, 'entry-1#a', Random(1), None)
            state.catalog = Catalog(1, {}, {}, None)
            state.fleet.put(make_listed(0, 1))
            state.proof.renew(anyio.current_time())
            before = state.is_ready(anyio.current_time())
            self.pause()
            now = anyio.current_time()
            return before, state.is_ready(now), state.proof.is_fresh(now)

        self.assertEqual(self.machine.run(main), (True, False, False))

    def test_deadline(self):
        """A task that waits past its deadline times out at once."""

        async def main():
            with anyio.move_on_after(PAUSE_S / 2) as scope:
                self.pause()
                await anyio.sleep(PAUSE_S / 2)
            return scope.cancelled_caught

        self.assertTrue(self.machine.run(main))

    def test_list_of_targets(self):
        """The reported age of the list includes the suspension."""

        async def main():
            state = EntryState(SETTINGS, 'entry-1#a', Random(1), None)
            listing = TargetListUpdater(state, Pool(state.spawn))
            updates = (TargetUpdate('t0', make_listed(0, 1)),)
            listing.apply(
                StoreUpdate(targets=updates, as_of=anyio.current_time())
            )
            self.pause()
            return state.get_list_age_s(anyio.current_time())

        self.assertGreaterEqual(self.machine.run(main), PAUSE_S)


class LoopTest(unittest.TestCase):
    """The time of the event loop."""

    def test_clock_goes_back(self):
        """Time and timers continue from the last value."""
        times = iter([10.0, 11.0, 5.0, 6.0, 6.5])
        loop = BoottimeEventLoop(times.__next__)
        found = [loop.time() for _ in range(4)]
        loop.close()
        self.assertEqual(found, [11.0, 11.0, 12.0, 12.5])

    def test_system_clock(self):
        self.assertGreaterEqual(read_clock(), time.monotonic() - 1)


class WatchTest(unittest.TestCase):
    """Detection of pauses."""

    def test_pause_is_found_once(self):
        machine = Machine()
        watch = SuspensionDetector(time.monotonic, machine.read)
        machine.asleep_s += PAUSE_S
        found = [round(watch.measure()) for _ in range(3)]
        self.assertEqual(found, [round(PAUSE_S), 0, 0])


class OneClockTest(unittest.TestCase):
    """No other module reads a clock directly."""

    def test_product(self):
        found = [
            path.name
            for package in PACKAGES
            for path in (PRODUCT / package).rglob('*.py')
            if CLOCKS.search(path.read_text())
        ]
        self.assertEqual(found, [])
