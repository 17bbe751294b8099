"""Recently answered requests."""

import unittest

from trestledock.relay._proven import (
    MOST_ANSWERED,
    MOST_EXCUSED,
    PROVEN_S,
    Proven,
)


class ProvenTest(unittest.TestCase):
    """What an answer excuses, for how long, and how many are kept."""

    def test_answer_excuses_some_ends(self):
        proven = Proven()
        proven.note_answered('f', 0)
        found = [proven.excuses('f', 1) for _ in range(MOST_EXCUSED + 1)]
        self.assertEqual(found, [*[True for _ in found[1:]], False])
        proven.note_answered('f', 2)
        self.assertTrue(proven.excuses('f', 3))

    def test_not_for_ever_and_not_for_others(self):
        proven = Proven()
        proven.note_answered('f', 0)
        self.assertFalse(proven.excuses('f', PROVEN_S + 1))
        self.assertFalse(proven.excuses('g', 0))

    def test_oldest_answers_are_forgotten(self):
        proven = Proven()
        for number in range(MOST_ANSWERED + 1):
            proven.note_answered(f'f{number}', 0)
            proven.note_answered('often', 0)
        self.assertTrue(proven.excuses('often', 0))
        self.assertFalse(proven.excuses('f0', 0))
