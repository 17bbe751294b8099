"""A data centre that is cut off, as its instances and its targets tell."""

import unittest

from trestledock.relay import Health, Reachability

CUT_AT = 10.0


class ReachTest(unittest.TestCase):
    """What the silence of instances says."""

    def make(self, names=('a', 'b')):
        reach = Reachability()
        for tick in range(int(CUT_AT * 5) + 1):
            for name in names:
                reach.record_message('far', name, tick / 5)
        return reach

    def test_cut(self):
        """A cut is known half a second after the last word."""
        reach = self.make()
        self.assertEqual(reach.get_silent(CUT_AT + 0.4), set())
        self.assertEqual(reach.get_silent(CUT_AT + 0.6), {'far'})

    def test_one_instance_ended(self):
        """Others of the data centre still speak: nothing is cut."""
        reach = self.make()
        reach.record_message('far', 'b', CUT_AT + 0.6)
        self.assertEqual(reach.get_silent(CUT_AT + 0.7), set())

    def test_all_replaced_long_ago(self):
        """Instances that were taken away are not expected to speak."""
        self.assertEqual(self.make().get_silent(CUT_AT + 9), set())

    def test_never_heard(self):
        """Of a data centre without instances nothing can be said."""
        self.assertEqual(Reachability().get_silent(CUT_AT), set())

    def test_own_pause_is_no_silence(self):
        """A process that stood still has not yet heard what was said."""
        reach = self.make()
        for now in (CUT_AT - 0.2, CUT_AT):
            self.assertEqual(reach.check(now), set())
        self.assertEqual(reach.check(CUT_AT + 1), set())
        self.assertEqual(reach.check(CUT_AT + 1.2), {'far'})


class SuspicionTest(unittest.TestCase):
    """What is done with the targets there."""

    def test_left_at_once(self):
        """All targets are left alone, those not tried yet included."""
        health = Health()
        self.assertTrue(health.record_silent_data_centre('far', CUT_AT))
        self.assertFalse(health.record_silent_data_centre('far', CUT_AT + 0.2))
        self.assertTrue(health.is_suspect('t7', CUT_AT + 0.3, 'far'))
        self.assertFalse(health.is_suspect('t1', CUT_AT + 0.3, 'near'))

    def test_back_with_the_first_word(self):
        """Nothing is left of it once an instance speaks again."""
        health = Health()
        health.record_silent_data_centre('far', CUT_AT)
        health.record_message('far')
        self.assertFalse(health.is_suspect('t7', CUT_AT + 0.1, 'far'))

    def test_words_alone_do_not_clear_silent_targets(self):
        """Targets that let requests time out stay suspect."""
        health = Health()
        health.record_silence('t1', CUT_AT, 'far')
        health.record_silence('t2', CUT_AT, 'far')
        health.record_message('far')
        self.assertTrue(health.is_suspect('t7', CUT_AT + 0.1, 'far'))

    def test_left_while_silent(self):
        """Instances that are still silent say that nothing has changed."""
        health = Health()
        health.record_silent_data_centre('far', CUT_AT)
        self.assertTrue(health.is_suspect('t1', CUT_AT + 6, 'far'))

    def test_one_request_at_a_time_finds_out(self):
        """After a suspicion has lapsed, not all that waits tries at once."""
        health = Health()
        health.record_silence('t1', CUT_AT, 'far')
        health.record_silence('t2', CUT_AT, 'far')
        now = CUT_AT + 1.1
        self.assertFalse(health.is_suspect('t3', now, 'far'))
        health.record_sent('far', now)
        self.assertTrue(health.is_suspect('t4', now + 0.1, 'far'))
        health.record_silence('t3', now + 0.2, 'far')
        self.assertTrue(health.is_suspect('t4', now + 1.5, 'far'))
        self.assertFalse(health.is_suspect('t4', now + 2.5, 'far'))
        health.record_sent('far', now + 2.5)
        health.record_success('t4', now + 2.55, 'far')
        self.assertFalse(health.is_suspect('t3', now + 2.6, 'far'))

    def test_long_prompts_wait_for_an_answer(self):
        """What would be lost with any of its parts doesn't find out."""
        health = Health()
        health.record_silence('t1', CUT_AT, 'far')
        health.record_silence('t2', CUT_AT, 'far')
        now = CUT_AT + 1.1
        self.assertTrue(health.is_suspect('t3', now, 'far', small=False))
        health.record_success('t3', now, 'far')
        self.assertFalse(health.is_suspect('t3', now, 'far', small=False))
