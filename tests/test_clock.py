"""A clock that counts the time for which the machine was suspended."""

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
#: Packages that run at the users', and the calls of clocks that they leave to
#: the one module.
PACKAGES = ('connection', 'entry', 'platform', 'process', 'relay', 'request')
CLOCKS = re.compile(r'\btime\.(monotonic|time|perf_counter|clock_gettime)\b')
#: Longer than any bound of the settings, in seconds.
PAUSE_S = 30.0


class Machine:
    """A machine that can be suspended: its steady clock stands still then."""

    def __init__(self):
        self.asleep_s = 0.0

    def read(self):
        """Return the time that counts suspension."""
        return time.monotonic() + self.asleep_s

    def run(self, main):
        """Run a program on an event loop that has this machine's clock."""
        return anyio.run(
            main,
            backend_options={
                'loop_factory': lambda: BoottimeEventLoop(self.read)
            },
        )


class PauseTest(unittest.TestCase):
    """What has run out at the first step after a pause of the machine."""

    def setUp(self):
        self.machine = Machine()

    def pause(self):
        self.machine.asleep_s += PAUSE_S

    def test_proof(self):
        """A key may have been taken away meanwhile: none is served.

        On the steady clock the proof was as fresh as before.
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
        """Whoever waits past its deadline is told at once."""

        async def main():
            with anyio.move_on_after(PAUSE_S / 2) as scope:
                self.pause()
                await anyio.sleep(PAUSE_S / 2)
            return scope.cancelled_caught

        self.assertTrue(self.machine.run(main))

    def test_list_of_targets(self):
        """It is as old as it is: whoever asks for it hears so."""

        async def main():
            state = EntryState(SETTINGS, 'entry-1#a', Random(1), None)
            listing = TargetListUpdater(state, Pool(state.spawn))
            news = (TargetUpdate('t0', make_listed(0, 1)),)
            listing.apply(StoreUpdate(targets=news, as_of=anyio.current_time()))
            self.pause()
            return state.get_list_age_s(anyio.current_time())

        self.assertGreaterEqual(self.machine.run(main), PAUSE_S)


class LoopTest(unittest.TestCase):
    """The time of the loop."""

    def test_clock_that_goes_back(self):
        """Time goes on from where it was, and timers with it."""
        times = iter([10.0, 11.0, 5.0, 6.0, 6.5])
        loop = BoottimeEventLoop(times.__next__)
        found = [loop.time() for _ in range(4)]
        loop.close()
        self.assertEqual(found, [11.0, 11.0, 12.0, 12.5])

    def test_the_clock_of_this_system(self):
        self.assertGreaterEqual(read_clock(), time.monotonic() - 1)


class WatchTest(unittest.TestCase):
    """Pauses that are told."""

    def test_pause_is_found_once(self):
        machine = Machine()
        watch = SuspensionDetector(time.monotonic, machine.read)
        machine.asleep_s += PAUSE_S
        found = [round(watch.measure()) for _ in range(3)]
        self.assertEqual(found, [round(PAUSE_S), 0, 0])


class OneClockTest(unittest.TestCase):
    """No other module reads a clock of its own."""

    def test_product(self):
        found = [
            path.name
            for package in PACKAGES
            for path in (PRODUCT / package).rglob('*.py')
            if CLOCKS.search(path.read_text())
        ]
        self.assertEqual(found, [])
