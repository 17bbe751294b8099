"""Requests that were answered lately."""

import unittest

from trestledock.relay._recent_answers import (
    MAX_ANSWERS,
    MAX_EXCUSED,
    ANSWER_TTL_S,
    RecentAnswers,
)


class ProvenTest(unittest.TestCase):
    """What an answer excuses, for how long, and how many are known."""

    def test_answer_excuses_some_ends(self):
        proven = RecentAnswers()
        proven.record_answer('f', 0)
        found = [proven.excuses('f', 1) for _ in range(MAX_EXCUSED + 1)]
        self.assertEqual(found, [*[True for _ in found[1:]], False])
        proven.record_answer('f', 2)
        self.assertTrue(proven.excuses('f', 3))

    def test_not_for_ever_and_not_for_others(self):
        proven = RecentAnswers()
        proven.record_answer('f', 0)
        self.assertFalse(proven.excuses('f', ANSWER_TTL_S + 1))
        self.assertFalse(proven.excuses('g', 0))

    def test_oldest_answers_are_forgotten(self):
        proven = RecentAnswers()
        for number in range(MAX_ANSWERS + 1):
            proven.record_answer(f'f{number}', 0)
            proven.record_answer('often', 0)
        self.assertTrue(proven.excuses('often', 0))
        self.assertFalse(proven.excuses('f0', 0))
