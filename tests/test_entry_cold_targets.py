"""Entries that learn that targets are cold, and what these then get.

Guards against a target that comes back without its caches, looks idle to all
entries at once, and crashes under their requests.
"""

import unittest
from dataclasses import replace
from math import inf
from random import Random

import anyio

from tests.limiting import run_fleet
from tests.relaying import SETTINGS, make_listed, make_route
from trestledock.entry import ColdTime, StoreUpdate, TargetUpdate
from trestledock.entry._cold_targets import (
    end_cold_starts,
    record_cold_return,
    record_cold_time,
)
from trestledock.entry._events import ColdWaited, Refused, SentToCold
from trestledock.entry._metrics import METRICS
from trestledock.entry._pool import Pool
from trestledock.entry._state import EntryState
from trestledock.entry._target_list import TargetListUpdater
from trestledock.relay import (
    Catalog,
    ColdBounds,
    ColdLimit,
    ColdService,
    ColdStart,
    Service,
)
from trestledock.relay._cold_starts import WINDOW_S

ROUTE = make_route()
COLD = ColdService(per_s=4, start_s=3)
BOUNDS = ColdBounds(over=1.5, slack=3)
MOST = ColdLimit(COLD, BOUNDS).max_per_s
COLD_FIELDS = {'cold': COLD, 'cold_bounds': BOUNDS}
#: A time in which a message has reached all entries, in seconds.
SOON_S = 0.3


def get_most(target, since, until=inf):
    """Return the most requests of any second in a period."""
    times = [
        arrival.at for arrival in target.arrivals if since <= arrival.at < until
    ]
    return max(
        (sum(at <= one < at + 1 for one in times) for at in times), default=0
    )


def count_events():
    """Return the requests sent to cold targets, waiting, and refused so far."""
    return (
        METRICS.counts[SentToCold].get((), 0),
        METRICS.counts[ColdWaited].get((), 0),
        METRICS.counts[Refused].get(('cold',), 0),
    )


def mark_cold(fleet, data_centre):
    """Have all entries learn that the targets of a data centre are cold."""
    now = anyio.current_time()
    for entry in fleet.entries:
        record_cold_return(entry.state, data_centre, now)
    return now


def find_cold(fleet, number=0):
    """Return which entries know that a target is cold."""
    name = fleet.targets[number].get_listed().incarnation
    return [
        entry.state.notices.get(ColdStart, name) is not None
        for entry in fleet.entries
    ]


class BoundTest(unittest.TestCase):
    """What a data centre's targets get when they come back cold."""

    def play(self, disturb, targets=5, rate=12, **fields):
        async def scenario(fleet):
            await fleet.ask_for(1, rate)
            async with anyio.create_task_group() as group:
                group.start_soon(disturb, fleet)
                await anyio.sleep(0.5)
                cold_at = mark_cold(fleet, 'dc-0')
                demand = await fleet.ask_for(5, rate)
            cold = [one for one in fleet.targets if one.data_centre == 'dc-0']
            until = cold_at + COLD.start_s + WINDOW_S
            most = [get_most(one, cold_at + 0.01, until) for one in cold]
            after = [one.count(until + 0.1, inf) for one in cold]
            return max(most), min(after), demand

        return run_fleet(
            scenario,
            [ROUTE],
            targets=targets,
            entries=9,
            **COLD_FIELDS,
            **fields,
        )

    def test_some_targets(self):
        """They get some requests, and the other targets get the rest."""

        async def nothing(fleet):
            """Change nothing."""

        most, after, demand = self.play(nothing)
        self.assertLessEqual(most, MOST)
        self.assertGreater(most, 1)
        self.assertGreater(after, MOST)
        self.assertEqual(set(demand.statuses), {200})

    def test_network_partition(self):
        """Both sides together keep the bound."""

        async def cut(fleet):
            fleet.cut = {0, 1, 2, 3}

        most, _, _ = self.play(cut, rate=30)
        self.assertLessEqual(most, MOST)

    def test_restarted_entries(self):
        """Guards against processes that send at once what others just sent."""

        async def restart(fleet):
            for number in (0, 3, 6):
                await fleet.restart(number, 0.3)

        most, _, _ = self.play(restart, rate=30)
        self.assertLessEqual(most, MOST)

    def test_only_cold_targets(self):
        """Requests wait for their turn, or are refused until the end."""

        async def nothing(fleet):
            """Change nothing."""

        before = count_events()
        most, _, demand = self.play(nothing, targets=1)
        self.assertLessEqual(most, MOST)
        self.assertEqual(set(demand.statuses), {200, 503})
        self.assertLess(max(demand.took_s), 3)
        # Half of the time left is a limit for waiting, so no one is refused
        # in the last second; callers return at different times after the end.
        self.assertGreater(min(demand.retry_after_s), 0.2)
        self.assertLess(max(demand.retry_after_s), 4 * 1.5 + 0.25)
        self.assertGreater(len(set(demand.retry_after_s)), 20)
        counted = zip(count_events(), before, strict=True)
        sent, waited, refused = (after - count for after, count in counted)
        self.assertGreater(sent, 10)
        self.assertGreater(waited, 10)
        self.assertEqual(refused, demand.count(503))

    def test_not_configured(self):
        """Guards against restraints that nobody asked for."""

        async def scenario(fleet):
            fleet.targets[0].cold_until = anyio.current_time() + 9
            mark_cold(fleet, 'dc-0')
            await fleet.ask_for(1, 12)
            return [
                entry.state.throttle.has_restraints for entry in fleet.entries
            ]

        for fields in ({}, {'cold': COLD}, {'cold_bounds': BOUNDS}):
            found = run_fleet(scenario, [ROUTE], targets=1, **fields)
            self.assertFalse(any(found))


class ExchangeTest(unittest.TestCase):
    """How a cold time reaches all entries."""

    def play(self, scenario):
        return run_fleet(scenario, [ROUTE], targets=1, **COLD_FIELDS)

    def test_answer_reaches_all(self):
        """One entry gets the answer, and all know; it ends for all."""

        async def scenario(fleet):
            fleet.targets[0].cold_until = anyio.current_time() + 2
            await fleet.ask_for(0.5, 8, entries=[0])
            await anyio.sleep(SOON_S)
            known = find_cold(fleet)
            await anyio.sleep(4)
            return known, find_cold(fleet)

        known, later = self.play(scenario)
        self.assertTrue(all(known))
        self.assertFalse(any(later))

    def test_lost_messages_are_repeated(self):
        async def scenario(fleet):
            fleet.targets[0].cold_until = anyio.current_time() + 4
            fleet.cut = {5}
            await fleet.ask_for(1, 8, entries=[0])
            before = find_cold(fleet)[5]
            fleet.cut = set()
            await anyio.sleep(1)
            return before, find_cold(fleet)[5]

        self.assertEqual(self.play(scenario), (False, True))

    def test_countdown_is_no_news(self):
        """Guards against a message to all entries with each answer."""

        async def scenario(fleet):
            fleet.targets[0].cold_until = anyio.current_time() + 9
            await fleet.ask_for(0.3, 20, entries=[0])
            sent = []
            for entry in fleet.entries:
                entry.state.send_notices = sent.append
            await fleet.ask_for(3, 20, entries=[0])
            return sent

        self.assertEqual(self.play(scenario), [])


class ListTest(unittest.TestCase):
    """What the records of a target say about its cold time."""

    def read(self, *lists, source='store', catalog=True):
        """Apply lists of records; return for how long `t1` is cold."""

        async def main():
            settings = replace(SETTINGS, cold_bounds=BOUNDS)
            state = EntryState(settings, 'entry-1#a', Random(1), None)
            self.sent = []
            state.send_notices = self.sent.append
            if catalog:
                service = Service('svc', cold=COLD)
                state.catalog = Catalog(1, {}, {'svc': service}, None)
            updater = TargetListUpdater(state, Pool(state.spawn))
            for records in lists:
                updater.apply(
                    StoreUpdate(
                        targets=records,
                        as_of=anyio.current_time(),
                        is_complete=True,
                        source=source,
                    )
                )
            self.state = state
            found = list(state.notices.get_all(ColdStart).items())
            now = anyio.current_time()
            return [(name, notice.until - now) for name, notice in found]

        return anyio.run(main)

    def check(self, found, left_s, name='t1@1'):
        self.assertEqual([cold[0] for cold in found], [name])
        self.assertAlmostEqual(found[0][1], left_s, places=1)

    def test_time_left(self):
        """Also in the first list; the others are told."""
        self.check(self.read([make_update(2)]), 2)
        self.assertEqual(self.sent, ['t1@1'])
        self.check(self.read([make_update(2)], catalog=False), 2)

    def test_passed_on_by_another_entry(self):
        """That one tells the others."""
        self.check(self.read([make_update(2)], source='entry-2#a'), 2)
        self.assertEqual(self.sent, [])

    def test_new_incarnation(self):
        """It has just started if its record doesn't say otherwise."""
        self.check(self.read([], [make_update()]), COLD.start_s)
        known = [make_update()]
        self.assertEqual(self.read(known, known), [])
        again = [make_update(born=2)]
        self.check(self.read(known, again), COLD.start_s, 't1@2')
        self.assertEqual(self.read(known, [make_update(0, born=2)]), [])

    def test_record_that_had_lapsed(self):
        """Guards against a fleet that counts as cold after an outage."""
        known = [make_update()]
        self.assertEqual(self.read(known, [], [make_update(sequence=2)]), [])

    def test_invalid_time(self):
        """It gives no cold time, but the target is listed."""
        for left_s in (-1, 1e9):
            self.assertEqual(self.read([make_update(left_s)]), [])
            self.assertIn('t1@1', self.state.fleet.targets)
            self.assertIn('cold', self.state.ignored_notices['t1@1'])

    def test_countdown_is_no_change_of_the_list(self):
        self.read([make_update(2)], [make_update(1.5, sequence=2)])
        self.assertEqual(self.state.fleet.revision, 1)

    def test_end(self):
        """Guards against cold times that cost each later request something."""
        self.read([make_update(2)])

        async def end(after_s):
            end_cold_starts(self.state, anyio.current_time() + after_s)
            return self.state.throttle.has_restraints

        self.assertTrue(anyio.run(end, 2.5))
        self.assertFalse(anyio.run(end, 3.1))

    def test_unknown_target(self):
        """Guards against notices of targets that are never listed."""
        self.read()

        async def record():
            record_cold_time(self.state, 't9', ColdTime(2), 0)

        anyio.run(record)
        self.assertEqual(self.state.notices.get_all(ColdStart), {})


def make_update(left_s=None, sequence=1, born=1):
    """Return the record of a target, with the time that it stays cold."""
    listed = replace(make_listed(1, 80), sequence=sequence, born=born)
    return TargetUpdate('t1', listed, ColdTime(left_s))
