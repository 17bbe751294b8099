"""A target that asks an entry for a back-off gets it."""

import unittest

import anyio

from tests.engines import SMALL_ENGINE
from tests.limiting import MAX_REQUESTS_IN_BACKOFF, run_fleet
from tests.relaying import make_route
from tests.test_notice_property import restart_target

ROUTE = make_route()
#: The prompt and answer of a request to an engine, in tokens.
SIZES = (('trestledock-token-counts', '1500,20'),)
#: Requests a second at each entry, and the duration of the load, in seconds.
RATE = 8
LOAD_S = 14
#: How long requests are rejected, and the back-off asked for, in seconds.
REJECT_S = 9
BACKOFF = '3'


def ask_while_some_reject(numbers, headers=(), backoff=BACKOFF, **fields):
    """Return the most requests within one back-off, and the outcomes."""

    async def scenario(fleet):
        demands = []
        rejecting = [fleet.targets[number] for number in numbers]

        async def ask():
            demands.append(await fleet.ask_for(LOAD_S, RATE, headers))

        async with anyio.create_task_group() as group:
            group.start_soon(ask)
            await anyio.sleep(2)
            for target in rejecting:
                target.reject_all(backoff)
            await anyio.sleep(REJECT_S)
            for target in rejecting:
                target.reject_all('')
        most = max(target.get_max_in_backoff() for target in rejecting)
        return most, demands[0]

    return run_fleet(scenario, [ROUTE], **fields)


class BackoffTest(unittest.TestCase):
    """The requests at targets that reject all requests for a while."""

    # Guards against requests to a plain target within its back-off.
    def test_back_off_of_a_plain_target(self):
        most, demand = ask_while_some_reject([0])
        self.assertLessEqual(most, MAX_REQUESTS_IN_BACKOFF)
        self.assertEqual(demand.count(200), len(demand.statuses))

    # Guards against the same for prompts that are packed on local engines.
    def test_back_off_of_engines(self):
        most, demand = ask_while_some_reject([0, 3], SIZES, engine=SMALL_ENGINE)
        self.assertLessEqual(most, MAX_REQUESTS_IN_BACKOFF)
        # Six entries are rejected twice each; the retries use up their budget.
        self.assertGreater(demand.count(200), len(demand.statuses) * 0.99)
        self.assertEqual(
            demand.count(503) + demand.count(200), len(demand.statuses)
        )

    # Guards against a Retry-After that is parsed for some numbers only.
    def test_any_length(self):
        for backoff in ('0.7', '1.5', '6'):
            most, _ = ask_while_some_reject([0], backoff=backoff)
            self.assertLessEqual(most, MAX_REQUESTS_IN_BACKOFF, backoff)

    # Guards against callers that wait in vain while all targets back off.
    def test_all_back_off(self):
        most, demand = ask_while_some_reject(range(5))
        self.assertLessEqual(most, MAX_REQUESTS_IN_BACKOFF)
        self.assertLess(max(demand.took_s), 2)
        self.assertEqual(
            demand.count(503) + demand.count(200), len(demand.statuses)
        )


class AllBackOffTest(unittest.TestCase):
    """The outcomes of requests while all targets back off, and afterwards."""

    def play(self, backoff):
        """Have both targets back off once; return what came after the start."""

        async def scenario(fleet):
            for target in fleet.targets:
                target.reject_all(backoff)
            await fleet.ask_for(0.5, 40)
            for target in fleet.targets:
                target.reject_all('')
            started_at = anyio.current_time()
            over_at = max(
                backoff.until
                for target in fleet.targets
                for backoff in target.backoffs
            )
            demand = await fleet.ask_for(0.5, RATE)
            arrivals = [
                (arrival.at, arrival.entry)
                for target in fleet.targets
                for arrival in target.arrivals
                if arrival.at >= started_at
            ]
            return demand, sorted(arrivals), over_at - started_at

        return run_fleet(scenario, [ROUTE], targets=2)

    # Guards against a Retry-After that ends within the back-off.
    def test_refused_at_once_until_the_back_off_is_over(self):
        demand, _, left_s = self.play('30')
        self.assertEqual(set(demand.statuses), {503})
        self.assertLess(max(demand.took_s), 0.01)
        # The last request came half a second after the first.
        self.assertGreater(min(demand.retry_after_s), left_s - 1)

    # Guards against callers that all return at the same time.
    def test_callers_return_at_different_times(self):
        demand, _, left_s = self.play('30')
        span_s = max(demand.retry_after_s) - min(demand.retry_after_s)
        self.assertGreater(span_s, left_s * 0.3)

    def test_served_after_a_short_back_off(self):
        demand, _, _ = self.play('0.4')
        self.assertEqual(set(demand.statuses), {200})

    # Guards against all waiting requests of all entries arriving at once.
    def test_one_at_a_time_after_the_back_off(self):
        _, arrivals, _ = self.play('0.4')
        first_at = arrivals[0][0]
        soon = [name for at, name in arrivals if at < first_at + 0.02]
        # One request of each entry at each target until it has answered.
        self.assertLessEqual(len(soon), 2 * len(set(soon)))
        self.assertGreater(arrivals[-1][0] - first_at, 0.05)


class LastCheckTest(unittest.TestCase):
    """Requests placed before the back-off and not yet written."""

    # Guards against a placed request that is written after the rejection.
    def test_placed_before_the_back_off_goes_elsewhere(self):
        async def scenario(fleet):
            entry = fleet.entries[0]
            target = fleet.targets[0]
            target.reject_all('30')
            outcomes = []

            async def ask(number):
                outcomes.append(await entry.ask(f'x{number}'))

            async with anyio.create_task_group() as group:
                group.start_soon(ask, 0)
                await anyio.sleep(0.002)
                entry.connect_slowly(1)
                for number in range(1, 20):
                    group.start_soon(ask, number)
            return len(target.arrivals), {
                outcome.status for outcome in outcomes
            }

        result = run_fleet(scenario, [ROUTE], targets=2, entries=1)
        self.assertEqual(result, (1, {200}))


class RestartTest(unittest.TestCase):
    """Targets that restart under their ids before their back-off is over."""

    def play(self, backoff, restarted=(0,), wait_s=5, **fields):
        """Have targets back off and restart; return what came afterwards."""

        async def scenario(fleet):
            targets = [fleet.targets[number] for number in restarted]
            for target in targets:
                target.reject_all(backoff)
            await fleet.ask_for(5, 12)
            for target in targets:
                target.reject_all('')
            for number in restarted:
                restart_target(fleet, number)
            demand = await fleet.ask_for(wait_s, 12)
            before = targets[0].count(0, anyio.current_time())
            await fleet.ask_for(1, 12)
            most = max(target.get_max_in_backoff() for target in targets)
            after = targets[0].count(0, anyio.current_time()) - before
            return most, demand, after

        return run_fleet(scenario, [ROUTE], entries=2, **fields)

    # Guards against 32 requests in a back-off, where at most 2 are right.
    def test_one_of_three_restarts(self):
        """The others serve what it would have got; then it serves again."""
        most, demand, after = self.play('4', targets=3, seed=33294)
        self.assertLessEqual(most, MAX_REQUESTS_IN_BACKOFF)
        self.assertEqual(set(demand.statuses), {200})
        self.assertGreater(after, 2)

    # Guards against callers that wait for a target that will not take them.
    def test_all_restart(self):
        most, demand, _ = self.play('30', (0, 1), targets=2)
        self.assertLessEqual(most, MAX_REQUESTS_IN_BACKOFF)
        self.assertEqual(set(demand.statuses), {503})
        self.assertLess(max(demand.took_s), 0.01)


class SharedNoticeTest(unittest.TestCase):
    """Entries that learn of the back-off from another entry."""

    def play(self, rejecting, targets):
        """Have some targets reject all; return how many entries were asked."""

        async def scenario(fleet):
            for target in fleet.targets[:rejecting]:
                target.reject_all('30')
            demand = await fleet.ask_for(6, RATE)
            asked = {backoff.entry for backoff in fleet.targets[0].backoffs}
            return len(asked), demand

        return run_fleet(scenario, [ROUTE], entries=12, targets=targets)

    # Guards against one rejected request for each entry.
    def test_avoided_by_entries_with_notice(self):
        asked, demand = self.play(1, 5)
        self.assertLessEqual(asked, 2)
        self.assertEqual(set(demand.statuses), {200})

    # Guards against a back-off of one entry that keeps all requests away.
    def test_used_while_too_few_others_are_left(self):
        asked, _ = self.play(2, 3)
        self.assertGreater(asked, 6)
