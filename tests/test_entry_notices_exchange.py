"""Entries share targets' limits while they start, stop and are cut off."""

import unittest
from math import inf

import anyio

from tests.limiting import (
    LIMIT_EFFECT_S,
    WINDOW_S,
    NOTICE_LATENCY_S,
    get_allowed,
    run_fleet,
)
from tests.relaying import make_route
from trestledock.relay import RateLimit

ROUTE = make_route()
#: Time within which a reachable entry must know the notices in force, in
#: seconds.
SOON_S = 0.3


def get_limits(fleet, number=0):
    """Return the limit of a target as each entry knows it."""
    name = fleet.targets[number].get_listed().incarnation
    found = [
        entry.state.notices.get(RateLimit, name) for entry in fleet.entries
    ]
    return [limit and limit.per_s for limit in found]


async def count_bytes(fleet, for_s=4):
    """Return the bytes of messages between entries without any requests."""
    before = fleet.word_bytes
    await anyio.sleep(for_s)
    return fleet.word_bytes - before


class LimitSharingTest(unittest.TestCase):
    """How a limit reaches all entries."""

    def test_limit_reaches_all_entries(self):
        async def scenario(fleet):
            target = fleet.targets[0]
            found = []
            for per_s in (2, 9, None):
                target.set_rate_limit(per_s)
                # One entry sends requests and shares the limits it receives.
                await fleet.ask_for(3, 8, entries=[0])
                await anyio.sleep(SOON_S)
                found.append(get_limits(fleet))
            return found

        found = run_fleet(scenario, [ROUTE], targets=1)
        self.assertEqual([set(limits) for limits in found], [{2}, {9}, {None}])

    def test_new_entry_knows_limit_before_it_sends(self):
        async def scenario(fleet):
            fleet.targets[0].set_rate_limit(1)
            await fleet.ask_for(1, 8, entries=[0])
            fleet.entries[3].kill()
            again = fleet.start(3)
            fleet.group.start_soon(again.live)
            await anyio.sleep(SOON_S)
            return get_limits(fleet)[3]

        self.assertEqual(run_fleet(scenario, [ROUTE], targets=1), 1)

    def test_lost_messages_are_repeated(self):
        async def scenario(fleet):
            fleet.targets[0].set_rate_limit(1)
            fleet.cut = {5}
            await fleet.ask_for(1, 8, entries=[0])
            before = get_limits(fleet)[5]
            fleet.cut = set()
            await anyio.sleep(1)
            return before, get_limits(fleet)[5]

        self.assertEqual(run_fleet(scenario, [ROUTE], targets=1), (None, 1))

    def test_small_changes_wait_for_full_state(self):
        """Otherwise each answer would cause a message to every entry."""

        async def scenario(fleet):
            target = fleet.targets[0]
            target.set_rate_limit(40)
            await fleet.ask_for(1, 20, entries=[0])
            before = fleet.messages
            await anyio.sleep(2)
            idle = fleet.messages - before
            before = fleet.messages
            for step in range(40):
                target.set_rate_limit(40 + step % 2)
                await fleet.ask_for(0.05, 40, entries=[0])
            busy = fleet.messages - before
            return busy, idle, fleet.asked

        busy, idle, asked = run_fleet(scenario, [ROUTE], targets=1)
        # Each request causes two messages to each of the five others.
        self.assertLess(busy, idle + asked * 2 * 5 + 5)

    def test_received_limits_are_not_forwarded(self):
        """Otherwise each entry would get each limit from every other one."""

        async def scenario(fleet):
            without = await count_bytes(fleet)
            for target in fleet.targets:
                target.set_rate_limit(1)
            await fleet.ask_for(6, 8, entries=[0])
            return await count_bytes(fleet), without

        with_limits, without = run_fleet(scenario, [ROUTE], targets=20)
        # Full states of six entries, and the limits known to one of them.
        self.assertLess(with_limits, without * 2)


class LimitRespectedTest(unittest.TestCase):
    """What a target receives while entries are cut off, die and start."""

    def check(self, disturb, per_s=1, targets=2, rate=8, for_s=20):
        async def scenario(fleet):
            target = fleet.targets[0]
            target.set_rate_limit(per_s)
            demands = []

            async def ask():
                demands.append(await fleet.ask_for(for_s, rate))

            async with anyio.create_task_group() as group:
                group.start_soon(ask)
                await anyio.sleep(5)
                await disturb(fleet)
            since = target.rate_limited_at + LIMIT_EFFECT_S
            most = target.get_max(target.count, since, inf)
            used = target.count(since, since + for_s - LIMIT_EFFECT_S)
            return most, used / (for_s - LIMIT_EFFECT_S) / per_s

        most, used = run_fleet(scenario, [ROUTE], targets=targets)
        self.assertLessEqual(most, get_allowed(per_s))
        return used

    def test_without_faults(self):
        async def disturb(fleet):
            """Change nothing."""

        self.assertGreater(self.check(disturb), 0.5)

    def test_network_partition(self):
        async def disturb(fleet):
            fleet.cut = {0, 1, 2}
            await anyio.sleep(8)
            fleet.cut = set()

        for per_s in (1, 10):
            used = self.check(disturb, per_s, targets=1, rate=16)
            self.assertGreater(used, 0.5)

    def test_entries_restart(self):
        async def disturb(fleet):
            for number in (0, 3):
                await fleet.restart(number, 2)

        self.check(disturb)

    def test_paused_entries(self):
        async def disturb(fleet):
            for entry in fleet.entries[:3]:
                await entry.stand_still_for(2.5)

        self.check(disturb)

    def test_dead_entries_leave_most_of_the_limit(self):
        """The shares of two of six entries are unused, the rest is used."""

        async def disturb(fleet):
            for entry in fleet.entries[:2]:
                entry.kill()

        self.assertGreater(self.check(disturb, per_s=2), 0.4)


class CallerTest(unittest.TestCase):
    """What callers get under a limit, and after it."""

    def test_withdrawn_limit_ends_within_seconds(self):
        async def scenario(fleet):
            target = fleet.targets[0]
            target.set_rate_limit(1)
            await fleet.ask_for(6, 8)
            target.set_rate_limit(None)
            lifted_at = anyio.current_time()
            await fleet.ask_for(6, 8)
            return [arrival.at - lifted_at for arrival in target.arrivals]

        offsets_s = run_fleet(scenario, [ROUTE])
        before = sum(-3 < offset_s < 0 for offset_s in offsets_s)
        after = sum(3 < offset_s < 6 for offset_s in offsets_s)
        self.assertGreater(after, before * 3)

    def test_limit_is_checked_before_sending(self):
        """The limit is checked again after the choice of a target."""

        async def scenario(fleet):
            entry = fleet.entries[0]
            target = fleet.targets[1]
            entry.connect_slowly(1)
            async with anyio.create_task_group() as group:
                for number in range(20):
                    group.start_soon(entry.ask, f'x{number}')
                target.set_rate_limit(1)
                await fleet.ask_for(0.3, 20, entries=[1])
            told_at = target.limit_told_at[fleet.entries[1].name]
            return sum(
                arrival.entry == entry.name
                and arrival.at > told_at + NOTICE_LATENCY_S
                for arrival in target.arrivals
            )

        sent = run_fleet(scenario, [ROUTE], targets=2, entries=2)
        self.assertLessEqual(sent, 2)

    def test_immediate_refusal_with_retry_after(self):
        """The limit of the only target determines both."""

        async def scenario(fleet):
            fleet.targets[0].set_rate_limit(0.5)
            await fleet.ask_for(2, 8)
            return await fleet.ask_for(10, 8)

        demand = run_fleet(scenario, [ROUTE], targets=1, entries=2)
        self.assertEqual(set(demand.statuses), {200, 503})
        self.assertLess(max(demand.took_s), 1)
        self.assertGreater(min(demand.retry_after_s), 0.2)
        self.assertLess(max(demand.retry_after_s), WINDOW_S)
