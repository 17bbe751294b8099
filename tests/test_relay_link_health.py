"""Links to targets: when failures are the fault of the link."""

import unittest

from trestledock.relay import (
    ALL_TARGETS,
    LinkHealth,
    ListedTarget,
    Scope,
    ScopeKind,
)


def make_target(name, service='svc', data_centre='dc-a'):
    return ListedTarget(name, service, '127.0.0.1:1', data_centre)


A1 = make_target('a1')
A2 = make_target('a2')
B1 = make_target('b1', data_centre='dc-b')
BOOK_1 = make_target('book-1', 'book', 'dc-b')
BOOK_2 = make_target('book-2', 'book', 'dc-c')
DC_A = Scope(ScopeKind.data_centre, 'dc-a')


class DoubtTest(unittest.TestCase):
    """Failures that make a link doubtful."""

    def setUp(self):
        self.links = LinkHealth()

    def fail_new(self, *targets, now=0.0):
        for target in targets:
            self.links.record_failure(target, now, is_new=True)

    # Guards against requests that try one target after another for as long as
    # an entry has no link to any of them.
    def test_two_targets_doubt_the_links_to_all(self):
        self.fail_new(A1, B1)
        self.assertTrue(self.links.are_all_doubted(0.5))
        self.assertTrue(self.links.is_doubted(BOOK_2, 0.5))

    # Guards against a crash of one target that is taken for a lost link.
    def test_one_target_says_nothing_of_others(self):
        self.fail_new(A1, A1)
        self.assertFalse(self.links.is_doubted(A2, 0))
        self.assertTrue(self.links.is_doubted(A1, 0))

    def test_one_failure_of_one_target_is_no_doubt(self):
        self.fail_new(A1)
        self.assertFalse(self.links.is_doubted(A1, 0))

    # Guards against crashes of some targets that are taken for lost links,
    # while others answer.
    def test_a_success_in_between_refutes(self):
        self.fail_new(A1)
        self.links.record_success(B1, is_new=True)
        self.fail_new(A2)
        self.assertFalse(self.links.are_all_doubted(0))

    # Guards against a cut of one data centre, or of one service, that is not
    # noticed since other targets answer.
    def test_partial_cuts(self):
        self.fail_new(A1, A2, BOOK_1, BOOK_2)
        self.links.record_success(B1, is_new=True)
        self.assertFalse(self.links.are_all_doubted(0))
        self.assertTrue(self.links.is_doubted(make_target('a3'), 0))
        self.assertTrue(
            self.links.is_doubted(make_target('book-3', 'book', 'dc-d'), 0)
        )
        self.assertFalse(self.links.is_doubted(B1, 0))

    # Guards against a cut that leaves open connections alive, whose answers
    # hide that new connections fail.
    def test_open_connections_refute_no_new_ones(self):
        self.fail_new(A1, B1)
        self.links.record_success(A2, is_new=False)
        self.assertTrue(self.links.are_all_doubted(0))

    def test_open_connections_refute_open_ones(self):
        for target in (A1, B1):
            self.links.record_failure(target, 0, is_new=False)
        self.assertTrue(self.links.are_all_doubted(0))
        self.links.record_success(A2, is_new=False)
        self.assertFalse(self.links.are_all_doubted(0))

    def test_old_failures_say_nothing(self):
        self.fail_new(A1)
        self.fail_new(B1, now=6)
        self.assertFalse(self.links.are_all_doubted(6))
        self.assertEqual(self.links.get_doubted(20), [])
        self.assertEqual(self.links.scopes, {})


class LossTest(unittest.TestCase):
    """Links that are proved to be lost, and their return."""

    def setUp(self):
        self.links = LinkHealth()
        for target in (A1, A2, B1):
            self.links.record_failure(target, 0, is_new=True)

    def test_lost_where_another_instance_reaches_the_target(self):
        lost = self.links.record_reached(A1, 0.5)
        self.assertEqual(lost[0], ALL_TARGETS)
        self.assertTrue(self.links.is_lost(BOOK_1))

    # Guards against targets that are all down and are taken for a lost link.
    def test_not_lost_without_the_word_of_another(self):
        self.assertFalse(self.links.is_lost(A1))

    # Guards against a proof that rests on a target which has recovered since.
    def test_old_failure_proves_nothing(self):
        self.assertEqual(self.links.record_reached(A1, 1.5), [])

    def test_target_that_has_not_failed_proves_nothing(self):
        self.assertEqual(self.links.record_reached(BOOK_1, 0.5), [])

    def test_a_lost_link_stays_lost_without_traffic(self):
        self.links.record_reached(A1, 0.5)
        self.assertTrue(self.links.is_doubted(BOOK_1, 60))

    # Guards against a lost link that is used again only target by target.
    def test_one_answer_over_the_link_ends_the_loss(self):
        self.links.record_reached(A1, 0.5)
        regained = self.links.record_success(A1, is_new=True)
        self.assertIn(ALL_TARGETS, regained)
        self.assertIn(DC_A, regained)
        self.assertFalse(self.links.is_doubted(A2, 1))

    def test_the_link_to_another_data_centre_stays_lost(self):
        self.links.record_reached(A1, 0.5)
        self.links.record_success(B1, is_new=True)
        self.assertTrue(self.links.is_lost(A2))
        self.assertFalse(self.links.is_lost(B1))
