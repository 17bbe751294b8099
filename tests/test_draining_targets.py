"""A target whose answers say that it drains gets no new requests."""

import unittest
from dataclasses import replace
from math import inf

import anyio

from tests.engines import SMALL_ENGINE
from tests.limiting import DRAIN_S, run_fleet
from tests.relaying import make_route

ROUTE = make_route()
#: The prompt and answer of a request to an engine, in tokens.
SIZES = (('trestledock-token-counts', '1500,20'),)
#: A prompt that engines prefill in chunks.
LONG = (
    ('trestledock-token-counts', '133000,20'),
    ('trestledock-request-deadline', '15000'),
)
#: Requests a second at each entry, and the duration of the load, in seconds.
RATE = 8
LOAD_S = 12


def ask_while_some_drain(numbers, headers=(), **fields):
    """Return the age of the notice at the last request, and the outcomes."""

    async def scenario(fleet):
        demands = []

        async def ask():
            demands.append(await fleet.ask_for(LOAD_S, RATE, headers))

        async with anyio.create_task_group() as group:
            group.start_soon(ask)
            await anyio.sleep(2)
            for number in numbers:
                fleet.targets[number].drain()
        return max(target.get_late_s() for target in fleet.targets), demands[0]

    return run_fleet(scenario, [ROUTE], **fields)


class DrainInAnswersTest(unittest.TestCase):
    """The list still has the target as ready, as in a store outage."""

    # Guards against requests to a target after its drain notice to this entry.
    def test_draining_plain_target_gets_no_late_requests(self):
        late_s, demand = ask_while_some_drain([0])
        self.assertLessEqual(late_s, DRAIN_S)
        self.assertEqual(demand.count(200), len(demand.statuses))

    # Guards against the same for prompts that are packed on local engines.
    def test_draining_engines_get_no_late_requests(self):
        late_s, demand = ask_while_some_drain(
            [0, 3], SIZES, engine=SMALL_ENGINE
        )
        self.assertLessEqual(late_s, DRAIN_S)
        self.assertEqual(demand.count(200), len(demand.statuses))


def count_after(target, time):
    """Return how many requests reached a target after a time."""
    return target.count(time, inf)


#: The time in which a notice reaches all entries, in seconds, and the time in
#: which it is sent again, in case a message was lost.
SOON_S = 0.05
AGAIN_S = 1.0


class SharedNoticeTest(unittest.TestCase):
    """Entries that learn of the drain from another entry."""

    # Guards against each entry needing an answer of its own.
    def test_one_answer_suffices_for_all_entries(self):
        async def scenario(fleet):
            target = fleet.targets[0]
            target.drain()
            async with anyio.create_task_group() as group:
                group.start_soon(fleet.ask_for, 1, RATE, (), [0])
                while not target.drain_told_at:
                    await anyio.sleep(SOON_S)
                group.cancel_scope.cancel()
            told_at = max(target.drain_told_at.values()) + SOON_S
            await fleet.ask_for(LOAD_S, RATE)
            return len(target.drain_told_at), count_after(target, told_at)

        self.assertEqual(run_fleet(scenario, [ROUTE]), (1, 0))

    # Guards against a notice that is lost on its way to another entry.
    def test_lost_message_is_sent_again(self):
        async def scenario(fleet):
            target = fleet.targets[2]
            fleet.cut = {5}
            target.drain()
            await fleet.ask_for(1, RATE, entries=[2])
            self.assertEqual(len(target.drain_told_at), 1)
            fleet.cut = set()
            await anyio.sleep(AGAIN_S)
            again_at = anyio.current_time()
            await fleet.ask_for(3, RATE, entries=[5])
            return len(target.drain_told_at), count_after(target, again_at)

        self.assertEqual(run_fleet(scenario, [ROUTE]), (1, 0))

    # Guards against a lost notice for an entry that is cut off meanwhile.
    def test_entry_that_was_cut_off_is_told_on_return(self):
        async def scenario(fleet):
            target = fleet.targets[2]
            fleet.cut = {5}
            target.drain()
            await fleet.ask_for(1, RATE, entries=[2])
            await anyio.sleep(6)
            fleet.cut = set()
            await anyio.sleep(AGAIN_S)
            back_at = anyio.current_time()
            await fleet.ask_for(3, RATE, entries=[5])
            return count_after(target, back_at)

        self.assertEqual(run_fleet(scenario, [ROUTE]), 0)

    # Guards against a new entry that knows only the list.
    def test_new_entry_is_told_by_other_entries(self):
        async def scenario(fleet):
            target = fleet.targets[0]
            target.drain()
            await fleet.ask_for(1, RATE, entries=[0])
            fleet.entries[3].kill()
            fleet.group.start_soon(fleet.start(3).live)
            await anyio.sleep(SOON_S)
            started_at = anyio.current_time()
            await fleet.ask_for(3, RATE, entries=[3])
            return count_after(target, started_at)

        self.assertEqual(run_fleet(scenario, [ROUTE]), 0)


class NoticeValidityTest(unittest.TestCase):
    """The drain notice holds until the next incarnation."""

    def ask_after(self, make_record):
        """Return how many requests follow a record newer than the notice."""

        async def scenario(fleet):
            target = fleet.targets[0]
            target.drain()
            await fleet.ask_for(1, RATE)
            for entry in fleet.entries:
                entry.state.fleet.put(make_record(target))
            # A new incarnation gives its own answers.
            target.leaves = ''
            target.born = make_record(target).born
            listed_at = anyio.current_time()
            await fleet.ask_for(4, RATE)
            return count_after(target, listed_at)

        return run_fleet(scenario, [ROUTE])

    # Guards against a list that is read later but has an older state.
    def test_ready_record_does_not_revoke_the_notice(self):
        def make_later(target):
            return replace(target.get_listed(), sequence=9)

        self.assertEqual(self.ask_after(make_later), 0)

    # Guards against a notice that outlives the incarnation that gave it.
    def test_next_incarnation_of_the_id_serves(self):
        def make_next(target):
            return replace(target.get_listed(), born=2)

        self.assertGreater(self.ask_after(make_next), 0)

    # Guards against an answer without the notice that overtook one with it.
    def test_answer_without_the_notice_does_not_revoke_it(self):
        async def scenario(fleet):
            target = fleet.targets[0]
            target.drain()
            await fleet.ask_for(1, RATE, entries=[0])
            target.leaves = ''
            told_at = anyio.current_time()
            await fleet.ask_for(4, RATE)
            return count_after(target, told_at)

        self.assertEqual(run_fleet(scenario, [ROUTE]), 0)


class AllDrainTest(unittest.TestCase):
    """All targets of a service drain, and no replacement is known yet."""

    # Guards against callers that wait in vain, or retry at once.
    def test_refused_at_once_with_retry_after(self):
        async def scenario(fleet):
            for target in fleet.targets:
                target.drain()
            await fleet.ask_for(2, RATE)
            return await fleet.ask_for(2, RATE)

        demand = run_fleet(scenario, [ROUTE], targets=2)
        self.assertEqual(set(demand.statuses), {503})
        self.assertLess(max(demand.took_s), 0.01)
        self.assertGreaterEqual(min(demand.retry_after_s), 1)

    def test_successor_serves_as_soon_as_it_is_listed(self):
        async def scenario(fleet):
            fleet.targets[0].drain()
            await fleet.ask_for(2, RATE)
            successor = fleet.add_target()
            for entry in fleet.entries:
                entry.state.fleet.put(successor.get_listed())
            return await fleet.ask_for(2, RATE)

        demand = run_fleet(scenario, [ROUTE], targets=1)
        self.assertEqual(set(demand.statuses), {200})


class LastCheckTest(unittest.TestCase):
    """Requests placed before the notice and not yet written."""

    # Guards against a placed request that is written after the notice.
    def test_placed_before_the_notice_goes_elsewhere(self):
        async def scenario(fleet):
            entry = fleet.entries[0]
            target = fleet.targets[1]
            entry.connect_slowly(1)
            outcomes = []

            async def ask(number):
                outcomes.append(await entry.ask(f'x{number}'))

            async with anyio.create_task_group() as group:
                for number in range(20):
                    group.start_soon(ask, number)
                target.drain()
                await fleet.ask_for(0.3, 20, entries=[1])
            sent = [
                arrival
                for arrival in target.arrivals
                if arrival.entry == entry.name
            ]
            return len(sent), {outcome.status for outcome in outcomes}

        result = run_fleet(scenario, [ROUTE], targets=2, entries=2)
        self.assertEqual(result, (0, {200}))

    # Guards against chunks that a draining engine prefills for another one.
    def test_draining_helper_gets_no_new_chunk(self):
        """Helpers send no answer; answers to short prompts have the notice."""

        async def scenario(fleet):
            draining = [fleet.targets[number] for number in (0, 3)]
            for target in draining:
                target.drain()
            await fleet.ask_for(1, RATE, SIZES)
            notified = [target for target in draining if target.drain_told_at]
            told_at = anyio.current_time()
            await fleet.ask_for(6, 1, LONG)
            chunks = sum(
                count_after(target, told_at) for target in fleet.targets
            )
            late = sum(count_after(target, told_at) for target in notified)
            return len(notified), chunks, late

        notified, chunks, late = run_fleet(
            scenario, [ROUTE], engine=SMALL_ENGINE
        )
        self.assertGreater(notified, 0)
        self.assertGreater(chunks, 40)
        self.assertEqual(late, 0)
