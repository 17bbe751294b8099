"""A target that says in its answers that it leaves gets nothing new."""

import unittest
from dataclasses import replace
from math import inf

import anyio

from tests.engines import SMALL_ENGINE
from tests.limiting import DRAIN_S, run_fleet
from tests.relaying import make_route

ROUTE = make_route()
#: Prompt and answer of a request to an engine, in tokens.
SIZES = (('trestledock-token-counts', '1500,20'),)
#: A prompt that engines read in parts.
LONG = (
    ('trestledock-token-counts', '133000,20'),
    ('trestledock-request-deadline', '15000'),
)
#: Requests a second at each entry, and for how long they come, in seconds.
RATE = 8
ASK_S = 12


def ask_while_some_leave(numbers, headers=(), **fields):
    """Return how late the last request reached one, and what callers got."""

    async def scenario(fleet):
        demands = []

        async def ask():
            demands.append(await fleet.ask_for(ASK_S, RATE, headers))

        async with anyio.create_task_group() as group:
            group.start_soon(ask)
            await anyio.sleep(2)
            for number in numbers:
                fleet.targets[number].leave()
        return max(one.get_late_s() for one in fleet.targets), demands[0]

    return run_fleet(scenario, [ROUTE], **fields)


class SaidInAnswersTest(unittest.TestCase):
    """The list says that it is ready, as the store may be away."""

    # Guards against requests to a target that told this entry that it leaves.
    def test_plain_target_that_leaves_gets_nothing_late(self):
        late_s, demand = ask_while_some_leave([0])
        self.assertLessEqual(late_s, DRAIN_S)
        self.assertEqual(demand.count(200), len(demand.statuses))

    # Guards against the same where prompts are packed on the nearest engines.
    def test_engines_that_leave_get_nothing_late(self):
        late_s, demand = ask_while_some_leave(
            [0, 3], SIZES, engine=SMALL_ENGINE
        )
        self.assertLessEqual(late_s, DRAIN_S)
        self.assertEqual(demand.count(200), len(demand.statuses))


def count_after(target, instant):
    """Return how many requests reached a target after an instant."""
    return target.count(instant, inf)


#: A word is everywhere so soon, in seconds, and what the entry that heard it
#: says again, if that was lost.
SOON_S = 0.05
AGAIN_S = 1.0


class ToldTest(unittest.TestCase):
    """Entries that no answer told."""

    # Guards against each entry being told by an answer of its own.
    def test_one_answer_suffices_for_all_entries(self):
        async def scenario(fleet):
            target = fleet.targets[0]
            target.leave()
            async with anyio.create_task_group() as group:
                group.start_soon(fleet.ask_for, 1, RATE, (), [0])
                while not target.left_told:
                    await anyio.sleep(SOON_S)
                group.cancel_scope.cancel()
            told_at = max(target.left_told.values()) + SOON_S
            await fleet.ask_for(ASK_S, RATE)
            return len(target.left_told), count_after(target, told_at)

        self.assertEqual(run_fleet(scenario, [ROUTE]), (1, 0))

    # Guards against a word that is lost on its way to another entry.
    def test_lost_word_is_told_again(self):
        async def scenario(fleet):
            target = fleet.targets[2]
            fleet.cut = {5}
            target.leave()
            await fleet.ask_for(1, RATE, entries=[2])
            self.assertEqual(len(target.left_told), 1)
            fleet.cut = set()
            await anyio.sleep(AGAIN_S)
            again_at = anyio.current_time()
            await fleet.ask_for(3, RATE, entries=[5])
            return len(target.left_told), count_after(target, again_at)

        self.assertEqual(run_fleet(scenario, [ROUTE]), (1, 0))

    # Guards against a lost word between entries: one is cut off meanwhile.
    def test_entry_that_was_cut_off_hears_it_on_return(self):
        async def scenario(fleet):
            target = fleet.targets[2]
            fleet.cut = {5}
            target.leave()
            await fleet.ask_for(1, RATE, entries=[2])
            await anyio.sleep(6)
            fleet.cut = set()
            await anyio.sleep(AGAIN_S)
            back_at = anyio.current_time()
            await fleet.ask_for(3, RATE, entries=[5])
            return count_after(target, back_at)

        self.assertEqual(run_fleet(scenario, [ROUTE]), 0)

    # Guards against an entry that starts and knows only the list.
    def test_entry_that_starts_hears_it_from_its_neighbours(self):
        async def scenario(fleet):
            target = fleet.targets[0]
            target.leave()
            await fleet.ask_for(1, RATE, entries=[0])
            fleet.entries[3].kill()
            fleet.group.start_soon(fleet.start(3).live)
            await anyio.sleep(SOON_S)
            started_at = anyio.current_time()
            await fleet.ask_for(3, RATE, entries=[3])
            return count_after(target, started_at)

        self.assertEqual(run_fleet(scenario, [ROUTE]), 0)


class HeldAgainstOthersTest(unittest.TestCase):
    """What may not take the word back, and what ends it."""

    def ask_after(self, make_record):
        """Return what comes once a record was listed behind the word."""

        async def scenario(fleet):
            target = fleet.targets[0]
            target.leave()
            await fleet.ask_for(1, RATE)
            for entry in fleet.entries:
                entry.state.fleet.put(make_record(target))
            # A start answers for itself.
            target.leaves = ''
            target.born = make_record(target).born
            listed_at = anyio.current_time()
            await fleet.ask_for(4, RATE)
            return count_after(target, listed_at)

        return run_fleet(scenario, [ROUTE])

    # Guards against a list that is read later and says something older.
    def test_record_that_says_ready_takes_nothing_back(self):
        def make_later(target):
            return replace(target.get_listed(), sequence=9)

        self.assertEqual(self.ask_after(make_later), 0)

    # Guards against a word that outlives the start that said it.
    def test_next_start_under_the_id_serves(self):
        def make_next(target):
            return replace(target.get_listed(), born=2)

        self.assertGreater(self.ask_after(make_next), 0)

    # Guards against an answer without the word that overtook one with it.
    def test_answer_without_the_word_takes_nothing_back(self):
        async def scenario(fleet):
            target = fleet.targets[0]
            target.leave()
            await fleet.ask_for(1, RATE, entries=[0])
            target.leaves = ''
            told_at = anyio.current_time()
            await fleet.ask_for(4, RATE)
            return count_after(target, told_at)

        self.assertEqual(run_fleet(scenario, [ROUTE]), 0)


class AllLeaveTest(unittest.TestCase):
    """All targets of a service leave, and no other one is known yet."""

    # Guards against callers that wait for nobody, and come back at once.
    def test_refused_at_once_with_when_to_come_back(self):
        async def scenario(fleet):
            for target in fleet.targets:
                target.leave()
            await fleet.ask_for(2, RATE)
            return await fleet.ask_for(2, RATE)

        demand = run_fleet(scenario, [ROUTE], targets=2)
        self.assertEqual(set(demand.statuses), {503})
        self.assertLess(max(demand.took_s), 0.01)
        self.assertGreaterEqual(min(demand.come_back_s), 1)

    def test_successor_serves_as_soon_as_it_is_listed(self):
        async def scenario(fleet):
            fleet.targets[0].leave()
            await fleet.ask_for(2, RATE)
            successor = fleet.add_target()
            for entry in fleet.entries:
                entry.state.fleet.put(successor.get_listed())
            return await fleet.ask_for(2, RATE)

        demand = run_fleet(scenario, [ROUTE], targets=1)
        self.assertEqual(set(demand.statuses), {200})


class LastLookTest(unittest.TestCase):
    """What was chosen before the word and is not written yet."""

    # Guards against a choice that is written after the word came.
    def test_chosen_before_the_word_goes_elsewhere(self):
        async def scenario(fleet):
            entry = fleet.entries[0]
            target = fleet.targets[1]
            entry.connect_slowly(1)
            found = []

            async def ask(number):
                found.append(await entry.ask(f'x{number}'))

            async with anyio.create_task_group() as group:
                for number in range(20):
                    group.start_soon(ask, number)
                target.leave()
                await fleet.ask_for(0.3, 20, entries=[1])
            sent = [one for one in target.arrivals if one.entry == entry.name]
            return len(sent), {one.status for one in found}

        found = run_fleet(scenario, [ROUTE], targets=2, entries=2)
        self.assertEqual(found, (0, {200}))

    # Guards against parts of prompts that a leaving engine reads for another.
    def test_helper_that_leaves_reads_no_new_part(self):
        """A helper answers nobody; its own short answers tell of it."""

        async def scenario(fleet):
            leaving = [fleet.targets[number] for number in (0, 3)]
            for target in leaving:
                target.leave()
            await fleet.ask_for(1, RATE, SIZES)
            told = [one for one in leaving if one.left_told]
            told_at = anyio.current_time()
            await fleet.ask_for(6, 1, LONG)
            parts = sum(count_after(one, told_at) for one in fleet.targets)
            late = sum(count_after(one, told_at) for one in told)
            return len(told), parts, late

        told, parts, late = run_fleet(scenario, [ROUTE], engine=SMALL_ENGINE)
        self.assertGreater(told, 0)
        self.assertGreater(parts, 40)
        self.assertEqual(late, 0)
