"""What recent answers say of crashes."""

import unittest

from trestledock.relay._recent_answers import (
    ANSWER_TTL_S,
    MAX_ANSWERS,
    RecentAnswers,
)


class RecentAnswersTest(unittest.TestCase):
    """Which crashes an answer excuses, and how many answers are kept."""

    # Guards against crashes that an earlier answer excuses: a part that was
    # sound for hours may crash targets with new weights.
    def test_earlier_crashes_only(self):
        answers = RecentAnswers()
        answers.record_answer('f', 5)
        excused = [answers.excuses('f', at) for at in (4, 5, 6)]
        self.assertEqual(excused, [True, False, False])

    def test_latest_begin_counts(self):
        """A long answer may end after one that began later."""
        answers = RecentAnswers()
        answers.record_answer('f', 5)
        answers.record_answer('f', 3)
        self.assertTrue(answers.excuses('f', 4))

    def test_expiry_and_other_requests(self):
        answers = RecentAnswers()
        answers.record_answer('f', 0)
        self.assertTrue(answers.is_recent('f', ANSWER_TTL_S))
        self.assertFalse(answers.is_recent('f', ANSWER_TTL_S + 1))
        self.assertFalse(answers.is_recent('g', 0))
        self.assertFalse(answers.excuses('g', -1))

    def test_oldest_answers_are_dropped(self):
        answers = RecentAnswers()
        for number in range(MAX_ANSWERS + 1):
            answers.record_answer(f'f{number}', 0)
            answers.record_answer('often', 0)
        self.assertTrue(answers.is_recent('often', 0))
        self.assertFalse(answers.is_recent('f0', 0))
