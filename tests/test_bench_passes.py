"""Engines that work in passes."""

import unittest

from trestledock.bench._passes import Part, PassEngine, Writer
from trestledock.relay import EngineModel, get_prefill_s

ENGINE = EngineModel(8, 232_000, 0.001, 200_000, stride=40)


def play(engine, most=1_000):
    """Run an engine until it is idle; return the ends with their instants."""
    now, ends = 0.0, []
    while engine.has_work() and len(ends) < most:
        now += engine.begin()
        ends.append((now, engine.end()))
    return ends


class PassTest(unittest.TestCase):
    """What passes bring, and when."""

    def test_reading_alone(self):
        """A prompt that an engine has to itself is read at its rate."""
        engine = PassEngine(ENGINE)
        read_s = get_prefill_s(ENGINE, 100_000)
        engine.add_part(Part('r', 100_000, read_s))
        ends = play(engine)
        self.assertEqual(ends[-1][1].read, ('r',))
        steps_s = ENGINE.step_s * -(-100_000 // 2048)
        self.assertAlmostEqual(ends[-1][0], read_s + steps_s)

    def test_reading_beside_a_writer(self):
        """A writer pauses for as much as a pass reads."""
        engine = PassEngine(ENGINE)
        engine.writers['w'] = Writer('w', 1_000, 9)
        engine.add_part(Part('r', 60_000, 0.3))
        now, found = play(engine, 1)[0]
        self.assertEqual((found.events, found.read), (('w',), ('r',)))
        self.assertAlmostEqual(now, 0.3 + 40 * 0.001)

    def test_helpers_first(self):
        """A helper's part goes before own prompts, the newest first."""
        engine = PassEngine(ENGINE)
        for name, helping in (('own', False), ('h1', True), ('h2', True)):
            engine.add_part(Part(name, 2048, 0.01, helping))
        order = [name for _, found in play(engine) for name in found.read]
        self.assertEqual(order, ['h2', 'h1', 'own'])

    def test_one_event_a_pass(self):
        """A writer ends with its last event."""
        engine = PassEngine(ENGINE)
        engine.writers['w'] = Writer('w', 1_000, 3)
        events = [name for _, found in play(engine) for name in found.events]
        self.assertEqual(events, ['w', 'w', 'w'])

    def test_dropped(self):
        """Of a caller that has left nothing stays."""
        engine = PassEngine(ENGINE)
        engine.writers['w'] = Writer('w', 1_000, 3)
        engine.add_part(Part('w', 100, 0.1))
        engine.drop('w')
        self.assertFalse(engine.has_work())
