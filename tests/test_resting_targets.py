"""A target that turns an entry away and wants rest from it gets that rest."""

import unittest

import anyio

from tests.engines import SMALL_ENGINE
from tests.limiting import MAX_REQUESTS_IN_BACKOFF, run_fleet
from tests.relaying import make_route

ROUTE = make_route()
#: Prompt and answer of a request to an engine, in tokens.
SIZES = (('trestledock-token-counts', '1500,20'),)
#: Requests a second at each entry, and for how long they come, in seconds.
RATE = 8
ASK_S = 14
#: For how long all are turned away, in seconds, and the rest that is asked for.
SHED_S = 9
REST = '3'


def ask_while_some_shed(numbers, headers=(), rest=REST, **fields):
    """Return the most that one got within a rest, and what callers got."""

    async def scenario(fleet):
        demands = []
        shedding = [fleet.targets[number] for number in numbers]

        async def ask():
            demands.append(await fleet.ask_for(ASK_S, RATE, headers))

        async with anyio.create_task_group() as group:
            group.start_soon(ask)
            await anyio.sleep(2)
            for target in shedding:
                target.shed(rest)
            await anyio.sleep(SHED_S)
            for target in shedding:
                target.shed('')
        most = max(target.get_most_in_rest() for target in shedding)
        return most, demands[0]

    return run_fleet(scenario, [ROUTE], **fields)


class AskedForRestTest(unittest.TestCase):
    """What a target gets that turns requests away for a while."""

    # Guards against requests to a plain target within the rest it asked for.
    def test_plain_target_has_its_rest(self):
        most, demand = ask_while_some_shed([0])
        self.assertLessEqual(most, MAX_REQUESTS_IN_BACKOFF)
        self.assertEqual(demand.count(200), len(demand.statuses))

    # Guards against the same where prompts are packed on the nearest engines.
    def test_engines_have_their_rest(self):
        most, demand = ask_while_some_shed([0, 3], SIZES, engine=SMALL_ENGINE)
        self.assertLessEqual(most, MAX_REQUESTS_IN_BACKOFF)
        # Six entries are turned away twice each: the repeats cost their budget.
        self.assertGreater(demand.count(200), len(demand.statuses) * 0.99)
        self.assertEqual(
            demand.count(503) + demand.count(200), len(demand.statuses)
        )

    # Guards against a rest that only some numbers of seconds are read as.
    def test_any_length(self):
        for rest in ('0.7', '1.5', '6'):
            most, _ = ask_while_some_shed([0], rest=rest)
            self.assertLessEqual(most, MAX_REQUESTS_IN_BACKOFF, rest)

    # Guards against callers that wait in vain while all targets rest.
    def test_all_rest(self):
        most, demand = ask_while_some_shed(range(5))
        self.assertLessEqual(most, MAX_REQUESTS_IN_BACKOFF)
        self.assertLess(max(demand.took_s), 2)
        self.assertEqual(
            demand.count(503) + demand.count(200), len(demand.statuses)
        )


class AllRestTest(unittest.TestCase):
    """What callers get while all targets rest, and after it."""

    def play(self, rest):
        """Have both targets rest once; return what came after that."""

        async def scenario(fleet):
            for target in fleet.targets:
                target.shed(rest)
            await fleet.ask_for(0.5, 40)
            for target in fleet.targets:
                target.shed('')
            began_at = anyio.current_time()
            over_at = max(
                one.until for target in fleet.targets for one in target.rests
            )
            demand = await fleet.ask_for(0.5, RATE)
            arrivals = [
                (one.at, one.entry)
                for target in fleet.targets
                for one in target.arrivals
                if one.at >= began_at
            ]
            return demand, sorted(arrivals), over_at - began_at

        return run_fleet(scenario, [ROUTE], targets=2)

    # Guards against a Retry-After that ends within the rest.
    def test_refused_at_once_until_the_rest_is_over(self):
        demand, _, left_s = self.play('30')
        self.assertEqual(set(demand.statuses), {503})
        self.assertLess(max(demand.took_s), 0.01)
        # The last one asked half a second after the first.
        self.assertGreater(min(demand.come_back_s), left_s - 1)

    # Guards against callers that all come back at the same moment.
    def test_callers_come_back_at_different_moments(self):
        demand, _, left_s = self.play('30')
        span_s = max(demand.come_back_s) - min(demand.come_back_s)
        self.assertGreater(span_s, left_s * 0.3)

    def test_served_after_a_rest_that_is_short(self):
        demand, _, _ = self.play('0.4')
        self.assertEqual(set(demand.statuses), {200})

    # Guards against all entries, and all that waits, coming at once.
    def test_one_at_a_time_after_the_rest(self):
        _, arrivals, _ = self.play('0.4')
        first_at = arrivals[0][0]
        soon = [name for at, name in arrivals if at < first_at + 0.02]
        # One request from an entry to each target until that has answered.
        self.assertLessEqual(len(soon), 2 * len(set(soon)))
        self.assertGreater(arrivals[-1][0] - first_at, 0.05)


class LastLookTest(unittest.TestCase):
    """What was chosen before the rest and is not written yet."""

    # Guards against a choice that is written after the refusal came.
    def test_chosen_before_the_rest_goes_elsewhere(self):
        async def scenario(fleet):
            entry = fleet.entries[0]
            target = fleet.targets[0]
            target.shed('30')
            found = []

            async def ask(number):
                found.append(await entry.ask(f'x{number}'))

            async with anyio.create_task_group() as group:
                group.start_soon(ask, 0)
                await anyio.sleep(0.002)
                entry.connect_slowly(1)
                for number in range(1, 20):
                    group.start_soon(ask, number)
            return len(target.arrivals), {one.status for one in found}

        found = run_fleet(scenario, [ROUTE], targets=2, entries=1)
        self.assertEqual(found, (1, {200}))


class ToldTest(unittest.TestCase):
    """Entries that were not asked for rest themselves."""

    def play(self, shedding, targets):
        """Have some turn all away at once; return by whom that was learnt."""

        async def scenario(fleet):
            for target in fleet.targets[:shedding]:
                target.shed('30')
            demand = await fleet.ask_for(6, RATE)
            asked = {one.entry for one in fleet.targets[0].rests}
            return len(asked), demand

        return run_fleet(scenario, [ROUTE], entries=12, targets=targets)

    # Guards against as many refusals as there are entries.
    def test_spared_by_those_that_were_told(self):
        asked, demand = self.play(1, 5)
        self.assertLessEqual(asked, 2)
        self.assertEqual(set(demand.statuses), {200})

    # Guards against a rest from one entry that keeps all callers away.
    def test_used_on_where_too_few_others_are_left(self):
        asked, _ = self.play(2, 3)
        self.assertGreater(asked, 6)
