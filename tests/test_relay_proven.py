"""Recently answered requests."""

import unittest

from trestledock.relay._proven import (
    MOST_ANSWERED,
    MOST_EXCUSED,
    PROVEN_S,
    Proven,
)


class RecentAnswersTest(unittest.TestCase):
    """What an answer excuses, for how long, and how many are kept."""

    def test_answer_excuses_some_crashes(self):
        answers = Proven()
        answers.note_answered('f', 0)
        excused = [answers.excuses('f', 1) for _ in range(MOST_EXCUSED + 1)]
        self.assertEqual(excused, [*[True for _ in excused[1:]], False])
        answers.note_answered('f', 2)
        self.assertTrue(answers.excuses('f', 3))

    def test_expiry_and_other_requests(self):
        answers = Proven()
        answers.note_answered('f', 0)
        self.assertFalse(answers.excuses('f', PROVEN_S + 1))
        self.assertFalse(answers.excuses('g', 0))

    def test_oldest_answers_are_dropped(self):
        answers = Proven()
        for number in range(MOST_ANSWERED + 1):
            answers.note_answered(f'f{number}', 0)
            answers.note_answered('often', 0)
        self.assertTrue(answers.excuses('often', 0))
        self.assertFalse(answers.excuses('f0', 0))
