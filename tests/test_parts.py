"""Unit tests of the core's parts: load, queue, limits, reservations, lease."""

import unittest
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from trestledock.process import (
    Lease,
    LoadReport,
    Timing,
    rank_by_key,
)
from trestledock.process._failure_detection import Liveness
from trestledock.process._limits import Limits
from trestledock.process._load import EngineLoad, SentWork
from trestledock.process._queue import FairQueue, QueuedRequest
from trestledock.process._reservations import (
    BLOCK_SIZE,
    ReservationIds,
    ReservationWatch,
    WatchedBlock,
)
from trestledock.relay import RetryBudget, RetryLimits
from trestledock.request import (
    CircuitBreaker,
    Kind,
    Request,
    draw_backoff,
)
from trestledock.version import (
    LeaseBody,
    Op,
    Term,
    find_failing_term,
    matches,
)

REPORT = LoadReport(0, (0, 0, 4000, 0, 0), 9000, 10_000, 1000.0, 0.01)


def make_request(team, number, deadline=100.0):
    return Request(f'{team}{number}', team, Kind.generate, deadline)


class Load(unittest.TestCase):
    def test_own_work_is_exact_and_other_work_is_processed(self):
        load = EngineLoad()
        load.record_report(REPORT, 10)
        self.assertAlmostEqual(load.predict_wait(2, 10), 4)
        self.assertAlmostEqual(load.predict_wait(1, 10), 0)
        self.assertAlmostEqual(load.predict_wait(2, 12), 2)
        load.add(('r', 1), SentWork(500, 1, 600, 12, 12))
        self.assertAlmostEqual(load.predict_wait(2, 12), 2.5)
        self.assertEqual(load.predict_free_tokens(), 8400)
        load.mark_prefilled(('r', 1), 12.5)
        self.assertAlmostEqual(load.predict_wait(1, 12.5), 0)

    def test_older_report_is_ignored(self):
        load = EngineLoad()
        load.record_report(REPORT, 10)
        late = LoadReport(5, (9000,), 0, 10_000, 1000.0, 0.01)
        load.record_report(late, 11)
        self.assertIs(load.report, REPORT)


class Queue(unittest.TestCase):
    @given(st.integers(1, 5), st.integers(1, 5))
    def test_shares_follow_weights(self, one, other):
        queue = FairQueue()
        weights = {'a': one, 'b': other}
        for team, weight in weights.items():
            for number in range(200):
                req = make_request(team, number)
                queue.push(QueuedRequest(req, 1, weight))
        served = []
        for _ in range(100):
            waiting = next(queue.iter_in_order())
            queue.charge(waiting)
            queue.mark_finished(waiting.req.req_id)
            served.append(waiting.req.team)
        expected = 100 * one / (one + other)
        self.assertAlmostEqual(served.count('a'), expected, delta=6)

    def test_idle_team_accumulates_no_credit(self):
        queue = FairQueue()
        for number in range(50):
            waiting = QueuedRequest(make_request('busy', number), 1, 1)
            queue.push(waiting)
            queue.charge(waiting)
            queue.mark_finished(waiting.req.req_id)
        queue.push(QueuedRequest(make_request('busy', 99), 1, 1))
        queue.push(QueuedRequest(make_request('idle', 1), 1, 1))
        behind = queue.virtual_times['busy'] - queue.virtual_times['idle']
        self.assertLessEqual(behind, 1)

    def test_least_slack_first_in_a_team(self):
        queue = FairQueue()
        queue.push(QueuedRequest(make_request('a', 1, deadline=50), 1, 1))
        queue.push(QueuedRequest(make_request('a', 2, deadline=10), 1, 1))
        self.assertEqual(next(queue.iter_in_order()).req.req_id, 'a2')


class LimitShares(unittest.TestCase):
    @given(st.lists(st.floats(0.1, 50), min_size=2, max_size=8))
    def test_shares_add_up_to_the_limit(self, demands):
        total = 0
        for index, demand in enumerate(demands):
            limits = Limits()
            limits.record_demand('t', demand * 10, 0)
            others = [*demands[:index], *demands[index + 1 :]]
            total += limits.get_share('t', 6, others, 0)
        self.assertAlmostEqual(total, 6, places=3)

    def test_equal_shares_without_a_peers_demand(self):
        self.assertEqual(Limits().get_share('t', 6, [1.0, None], 0), 2)

    def test_bucket_returns_the_wait(self):
        limits = Limits()
        self.assertEqual(limits.spend('t', 10, 1, 0), 0)
        self.assertAlmostEqual(limits.spend('t', 4, 1, 1), 3)
        self.assertEqual(limits.spend('t', 4, 1, 5), 0)


class Reservations(unittest.TestCase):
    def test_watcher_cancels_every_id_until_confirmed(self):
        ids = ReservationIds('owner#1')
        block = ids.get_block('engine')
        used = ids.allocate_id(block)
        watch = ReservationWatch()
        watch.add_block(WatchedBlock('owner#1', 'engine', block.first), '')
        watch.queue_owner_cancels('owner#1')
        self.assertIn(used, watch.to_cancel['engine'])
        self.assertEqual(len(watch.to_cancel['engine']), BLOCK_SIZE)
        watch.confirm_cancels('engine', (used,))
        self.assertNotIn(used, watch.to_cancel['engine'])
        watch.confirm_cancels('engine', tuple(watch.to_cancel['engine']))
        self.assertEqual(watch.to_cancel, {})

    def test_ids_are_unique_and_blocks_retire(self):
        ids = ReservationIds('owner#1')
        seen = set()
        for _ in range(BLOCK_SIZE * 2):
            hold = ids.allocate_id(ids.get_block('engine'))
            self.assertNotIn(hold, seen)
            seen.add(hold)
            ids.release(hold)
        self.assertEqual(len(ids.pop_done()), 2)

    def test_no_old_block_after_a_pause(self):
        ids = ReservationIds('owner#1')
        before = ids.get_block('engine')
        ids.close_blocks()
        self.assertIsNot(ids.get_block('engine'), before)


class Leases(unittest.TestCase):
    def setUp(self):
        self.lease = Lease('me', Timing())

    def acquire(self, asked_at, read_at):
        self.lease.record_request('r1', asked_at)
        self.lease.observe(5, 'r1', LeaseBody('me', 10), read_at)

    def test_counted_from_before_the_request(self):
        self.acquire(asked_at=0, read_at=6)
        self.assertTrue(self.lease.is_held(7.9))
        self.assertFalse(self.lease.is_held(8.1))

    def test_paused_holder_sees_expiry(self):
        self.acquire(asked_at=0, read_at=1)
        self.assertFalse(self.lease.may_send_orders(60))
        self.assertEqual(self.lease.get_order_deadline(), 8)

    def test_successor_waits_for_orders_in_flight(self):
        self.lease.observe(3, 'x', LeaseBody('other', 10), 0)
        self.assertFalse(self.lease.should_request(11, 0))
        self.assertTrue(self.lease.should_request(12.1, 0))
        self.acquire(asked_at=12.1, read_at=12.5)
        self.assertFalse(self.lease.may_send_orders(13))
        self.assertTrue(self.lease.may_send_orders(16))

    def test_older_record_is_ignored(self):
        self.acquire(asked_at=0, read_at=1)
        self.lease.observe(4, 'x', LeaseBody('other', 10), 2)
        self.assertEqual(self.lease.holder, 'me')


class SmallParts(unittest.TestCase):
    def test_merged_ages_never_decrease(self):
        one, other = Liveness(), Liveness()
        one.record_heard('a', 10)
        members = ('a', 'b')
        other.merge(members, one.encode(members, 12), 12)
        self.assertGreaterEqual(other.get_age('a', 12), 2)
        self.assertLess(other.get_age('a', 12), 2.6)
        self.assertEqual(other.get_age('b', 12), float('inf'))

    def test_rendezvous_moves_only_keys_of_removed_names(self):
        names = ['a', 'b', 'c', 'd']
        for number in range(100):
            before = rank_by_key(str(number), names)[0]
            after = rank_by_key(str(number), names[:-1])[0]
            if before != 'd':
                self.assertEqual(before, after)

    def test_selector_operators(self):
        labels = {'hardware': 'h100'}
        self.assertTrue(matches((Term('hardware', Op.in_, ('h100',)),), labels))
        self.assertTrue(matches((Term('zone', Op.not_in, ('x',)),), labels))
        self.assertTrue(matches((Term('zone', Op.absent),), labels))
        failing = find_failing_term((Term('zone', Op.present),), labels)
        self.assertEqual(failing, Term('zone', Op.present))

    def test_retry_bounds(self):
        budget = RetryBudget(RetryLimits(ratio=0, slack=2))
        self.assertTrue(budget.try_spend(0, instances=1))
        self.assertFalse(budget.try_spend(0, instances=1))
        rng = Random(1)
        self.assertLessEqual(max(draw_backoff(9, rng) for _ in range(99)), 1)

    def test_breaker_allows_one_probe(self):
        breaker = CircuitBreaker()
        for _ in range(3):
            breaker.fail(0)
        self.assertFalse(breaker.allows(1))
        self.assertTrue(breaker.allows(2))
        breaker.start(2)
        self.assertFalse(breaker.allows(2))
        breaker.fail(2)
        self.assertFalse(breaker.allows(5))
        self.assertTrue(breaker.allows(6))
        breaker.succeed()
        self.assertTrue(breaker.allows(2))
