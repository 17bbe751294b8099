"""Detection of a data centre that is cut off."""

import unittest

from trestledock.relay import Health, Reachability

CUT_AT = 10.0


class ReachabilityTest(unittest.TestCase):
    """Silence of a data centre's instances."""

    def make(self, names=('a', 'b')):
        reach = Reachability()
        for tick in range(int(CUT_AT * 5) + 1):
            for name in names:
                reach.record_message('far', name, tick / 5)
        return reach

    def test_cut(self):
        """A cut is detected half a second after the last message."""
        reach = self.make()
        self.assertEqual(reach.get_silent(CUT_AT + 0.4), set())
        self.assertEqual(reach.get_silent(CUT_AT + 0.6), {'far'})

    def test_one_instance_ended(self):
        """Other instances of the data centre still send messages."""
        reach = self.make()
        reach.record_message('far', 'b', CUT_AT + 0.6)
        self.assertEqual(reach.get_silent(CUT_AT + 0.7), set())

    def test_all_removed_long_ago(self):
        """Instances that were removed are not expected to send messages."""
        self.assertEqual(self.make().get_silent(CUT_AT + 9), set())

    def test_no_instances(self):
        """Nothing is known of a data centre without instances."""
        self.assertEqual(Reachability().get_silent(CUT_AT), set())

    def test_stall_is_no_silence(self):
        """A process that was stalled has unread messages."""
        reach = self.make()
        for now in (CUT_AT - 0.2, CUT_AT):
            self.assertEqual(reach.check(now), set())
        self.assertEqual(reach.check(CUT_AT + 1), set())
        self.assertEqual(reach.check(CUT_AT + 1.2), {'far'})


class SuspicionTest(unittest.TestCase):
    """Avoidance of the targets there."""

    def test_avoided_at_once(self):
        """All targets are avoided, including those not tried yet."""
        health = Health()
        self.assertTrue(health.record_silent_data_centre('far', CUT_AT))
        self.assertFalse(health.record_silent_data_centre('far', CUT_AT + 0.2))
        self.assertTrue(health.is_suspect('t7', CUT_AT + 0.3, 'far'))
        self.assertFalse(health.is_suspect('t1', CUT_AT + 0.3, 'near'))

    def test_message_ends_suspicion(self):
        """The suspicion ends with the first message of an instance."""
        health = Health()
        health.record_silent_data_centre('far', CUT_AT)
        health.record_message('far')
        self.assertFalse(health.is_suspect('t7', CUT_AT + 0.1, 'far'))

    def test_message_does_not_clear_silent_targets(self):
        """Targets whose requests timed out stay suspect."""
        health = Health()
        health.record_silence('t1', CUT_AT, 'far')
        health.record_silence('t2', CUT_AT, 'far')
        health.record_message('far')
        self.assertTrue(health.is_suspect('t7', CUT_AT + 0.1, 'far'))

    def test_avoided_while_silent(self):
        """The suspicion lasts while the instances are silent."""
        health = Health()
        health.record_silent_data_centre('far', CUT_AT)
        self.assertTrue(health.is_suspect('t1', CUT_AT + 6, 'far'))

    def test_one_probe_at_a_time(self):
        """After a suspicion has lapsed, only one request at a time probes."""
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

    def test_long_prompts_do_not_probe(self):
        """A prompt that is lost with any of its chunks does not probe."""
        health = Health()
        health.record_silence('t1', CUT_AT, 'far')
        health.record_silence('t2', CUT_AT, 'far')
        now = CUT_AT + 1.1
        self.assertTrue(health.is_suspect('t3', now, 'far', small=False))
        health.record_success('t3', now, 'far')
        self.assertFalse(health.is_suspect('t3', now, 'far', small=False))
