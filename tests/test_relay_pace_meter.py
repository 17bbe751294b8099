"""The pace of engines from the passes of their streams.

Each test names what lengthens pauses of an engine that is not slow.
"""

import unittest

from tests.engines import SMALL_ENGINE as ENGINE
from tests.engines import TARGETS
from trestledock.relay import (
    Flight,
    Health,
    LoadTable,
    MeasuredPass,
    PaceMeter,
    Phase,
    Placer,
    StreamMeter,
    is_pure_decode,
)

TARGET = TARGETS[0]


def measure(ratios, *, is_slow=False, step_s=1.0):
    """Return the pace after one pass for each ratio."""
    meter, pace = PaceMeter(), None
    for number, ratio in enumerate(ratios):
        began_at = number * step_s
        one_pass = MeasuredPass(began_at, began_at + step_s, ratio)
        pace = meter.add('t', one_pass, is_slow=is_slow)
    return pace


class PaceMeterTest(unittest.TestCase):
    """Several passes of an engine."""

    def test_too_few_passes(self):
        self.assertIsNone(measure([2, 2, 2]))

    def test_lowest_of_the_last_passes(self):
        self.assertEqual(measure([1, 2.4, 2, 9, 2.1]), 2)

    def test_one_long_pause(self):
        """A stall of the engine or the network, or an unknown prefill."""
        self.assertEqual(measure([1, 1, 40, 1]), 1)

    def test_slightly_slow(self):
        """An engine below 1.3 is nominal; one that was slow is from 1.15."""
        self.assertEqual(measure((1.25, 1.25, 1.25, 1.25)), 1)
        self.assertEqual(measure((1.25, 1.25, 1.25, 1.25), is_slow=True), 1.3)
        self.assertEqual(measure((1.1, 1.1, 1.1, 1.1), is_slow=True), 1)

    def test_old_passes_expire(self):
        self.assertIsNone(measure((2, 2, 2, 2), step_s=3.0))

    def test_streams_of_the_same_passes(self):
        """Four streams measure one stall; the least delayed one is right."""
        meter = PaceMeter()
        for ratio in (9, 8, 7, 6):
            self.assertIsNone(meter.add('t', MeasuredPass(0, 1, ratio)))
        for start in (1, 2, 3):
            pace = meter.add('t', MeasuredPass(start, start + 1, 7))
        self.assertEqual(pace, 6)


class StreamMeterTest(unittest.TestCase):
    """The passes of one stream that count."""

    def confirm(self, *ratios):
        meter = StreamMeter()
        passes = [
            ratio and MeasuredPass(number, number + 1, ratio)
            for number, ratio in enumerate(ratios)
        ]
        confirmed = [meter.add(one_pass) for one_pass in passes]
        return [one_pass.ratio for one_pass in confirmed if one_pass]

    def test_last_event(self):
        """It may come before the end of its pass, as if that were quick."""
        self.assertEqual(self.confirm(1.9, 2, 1.2), [1.9, 2])

    def test_delayed_events(self):
        """Two passes of nominal length, whose events arrive together."""
        self.assertEqual(self.confirm(1.8, 0.2, 1.8, 0.2, 1, 1), [1])

    def test_pauses_that_tell_nothing(self):
        self.assertEqual(self.confirm(2, None, None, 3, 2), [2, 3])


class PureDecodeTest(unittest.TestCase):
    """Passes that only decode, as far as the load table tells."""

    def is_pure(self, *flights, began_at=1.0):
        load_table = LoadTable()
        for flight in flights:
            load_table.put(flight)
        load = Placer(load_table, Health()).estimator.estimate(
            ENGINE, TARGET, now=1.05
        )
        return is_pure_decode(load, began_at)

    def make_flight(self, phase=Phase.decode, since=0.0, **fields):
        fields.setdefault('target', TARGET.incarnation)
        return Flight(
            flight_id=f'{since}{fields}',
            prompt_tokens=5_000,
            output_tokens=700,
            phase=phase,
            since=since,
            **fields,
        )

    def test_decode_only(self):
        """A stream that joined at the pass before may look a little newer."""
        flights = [self.make_flight(since=since) for since in (0, 1, 1.01)]
        self.assertTrue(self.is_pure(*flights))

    def test_prefill(self):
        """Of another prompt, also of a helper's chunk."""
        self.assertFalse(self.is_pure(self.make_flight(Phase.prefill)))
        helped = self.make_flight(
            Phase.prefill, target='other', helpers=(TARGET.incarnation,)
        )
        self.assertFalse(self.is_pure(helped))

    def test_prefill_that_has_ended(self):
        """Its first event comes at the end of the pass that prefilled it."""
        self.assertFalse(self.is_pure(self.make_flight(since=1.05)))

    def test_group_of_engines(self):
        giant = self.make_flight(reservations=(('other', 2_000),))
        self.assertFalse(self.is_pure(giant))
