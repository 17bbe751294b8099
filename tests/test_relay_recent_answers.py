"""Recently answered requests."""

import unittest

from trestledock.relay._recent_answers import (
    ANSWER_TTL_S,
    MAX_ANSWERS,
    MAX_EXCUSED,
    RecentAnswers,
)


class RecentAnswersTest(unittest.TestCase):
    """What an answer excuses, for how long, and how many are kept."""

    def test_answer_excuses_some_crashes(self):
        answers = RecentAnswers()
        answers.record_answer('f', 0)
        excused = [answers.excuses('f', 1) for _ in range(MAX_EXCUSED + 1)]
        self.assertEqual(excused, [*[True for _ in excused[1:]], False])
        answers.record_answer('f', 2)
        self.assertTrue(answers.excuses('f', 3))

    def test_expiry_and_other_requests(self):
        answers = RecentAnswers()
        answers.record_answer('f', 0)
        self.assertFalse(answers.excuses('f', ANSWER_TTL_S + 1))
        self.assertFalse(answers.excuses('g', 0))

    def test_oldest_answers_are_dropped(self):
        answers = RecentAnswers()
        for number in range(MAX_ANSWERS + 1):
            answers.record_answer(f'f{number}', 0)
            answers.record_answer('often', 0)
        self.assertTrue(answers.excuses('often', 0))
        self.assertFalse(answers.excuses('f0', 0))
