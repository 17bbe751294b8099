"""The simulated engine: what its passes do, and when they end."""

import unittest

from trestledock.bench._engine_simulation import (
    DecodingRequest,
    PassEngine,
    PrefillChunk,
)
from trestledock.relay import EngineModel, get_prefill_s

ENGINE = EngineModel(8, 232_000, 0.001, 200_000, stride=40)


def play(engine, max_passes=1_000):
    """Run an engine until it is idle; return its results and their instants."""
    now, results = 0.0, []
    while engine.has_work() and len(results) < max_passes:
        now += engine.begin_pass()
        results.append((now, engine.end_pass()))
    return results


class PassTest(unittest.TestCase):
    """Results and durations of passes."""

    def test_prefill_alone(self):
        """A prompt alone on an engine is prefilled at the rate of the model."""
        engine = PassEngine(ENGINE)
        prefill_s = get_prefill_s(ENGINE, 100_000)
        engine.add_chunk(PrefillChunk('r', 100_000, prefill_s))
        results = play(engine)
        self.assertEqual(results[-1][1].prefilled, ('r',))
        steps_s = ENGINE.step_s * -(-100_000 // 2048)
        self.assertAlmostEqual(results[-1][0], prefill_s + steps_s)

    def test_prefill_beside_decoding(self):
        """A decoding request pauses for the prefill time of the pass."""
        engine = PassEngine(ENGINE)
        engine.decoding['w'] = DecodingRequest('w', 1_000, 9)
        engine.add_chunk(PrefillChunk('r', 60_000, 0.3))
        now, result = play(engine, 1)[0]
        self.assertEqual((result.events, result.prefilled), (('w',), ('r',)))
        self.assertAlmostEqual(now, 0.3 + 40 * 0.001)

    def test_helpers_first(self):
        """Helper chunks precede other prompts, the newest first."""
        engine = PassEngine(ENGINE)
        for name, is_helper in (('own', False), ('h1', True), ('h2', True)):
            engine.add_chunk(PrefillChunk(name, 2048, 0.01, is_helper))
        order = [
            name for _, result in play(engine) for name in result.prefilled
        ]
        self.assertEqual(order, ['h2', 'h1', 'own'])

    def test_one_event_a_pass(self):
        """A request results with its last event."""
        engine = PassEngine(ENGINE)
        engine.decoding['w'] = DecodingRequest('w', 1_000, 3)
        events = [name for _, result in play(engine) for name in result.events]
        self.assertEqual(events, ['w', 'w', 'w'])

    def test_dropped(self):
        """Nothing remains of an abandoned request."""
        engine = PassEngine(ENGINE)
        engine.decoding['w'] = DecodingRequest('w', 1_000, 3)
        engine.add_chunk(PrefillChunk('w', 100, 0.1))
        engine.remove_request('w')
        self.assertFalse(engine.has_work())
