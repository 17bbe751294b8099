"""What is put down to a request where a sending ends without its answer."""

import unittest
from random import Random

import anyio

from tests.relaying import SETTINGS, make_listed
from tests.virtual_loop import run_virtually
from trestledock.entry._state import EntryState
from trestledock.relay import (
    Crash,
    ListedTarget,
    QuarantineRecord,
    FailureKind,
    Standing,
)
from trestledock.relay._unconfirmed_crashes import UNCONFIRMED_TTL_S
from trestledock.relay._recent_answers import ANSWER_TTL_S

TARGETS = tuple(make_listed(number, 80 + number) for number in range(6))


def run_isolation(scenario, seen=FailureKind.refused):
    """Run `scenario(isolation)`, where each look at a target sees the same."""

    async def look(target):
        isolation.looks.append(target.incarnation)
        return seen

    async def main():
        await scenario(isolation)

    isolation = EntryState(SETTINGS, 'e#a', Random(1), None).isolation
    isolation.looks = []
    isolation.told = []
    isolation.hooks.reconnect = look
    isolation.hooks.send_crashes = isolation.told.extend
    run_virtually(main)
    return isolation


class SignTest(unittest.TestCase):
    """Which ends of a sending are ends of targets."""

    def count(self, sign, seen):
        """Return how many ends three sendings make, and looks."""

        async def scenario(isolation):
            for target in TARGETS[:3]:
                await isolation.investigate_failure('f', sign, [target])

        isolation = run_isolation(scenario, seen)
        return isolation.quarantine.count_crashes('f'), len(isolation.looks)

    def test_closed_and_nobody_listens(self):
        self.assertEqual(
            self.count(FailureKind.closed, FailureKind.refused), (3, 3)
        )

    def test_closed_by_one_that_lives(self):
        """Connections that are reset say nothing of the request."""
        self.assertEqual(
            self.count(FailureKind.closed, FailureKind.none), (0, 3)
        )

    def test_closed_by_one_that_is_not_reached(self):
        """It may be cut off."""
        self.assertEqual(
            self.count(FailureKind.closed, FailureKind.unreachable), (0, 3)
        )

    def test_silence_and_wrong_bytes(self):
        """Nobody is connected to for them."""
        self.assertEqual(
            self.count(FailureKind.silent, FailureKind.refused), (0, 0)
        )
        self.assertEqual(
            self.count(FailureKind.garbled, FailureKind.refused), (0, 0)
        )

    def test_one_end_a_sending(self):
        """Whoever reads a prompt and those that help may end together."""

        async def scenario(isolation):
            await isolation.investigate_failure(
                'f', FailureKind.closed, TARGETS
            )

        isolation = run_isolation(scenario)
        self.assertEqual(isolation.quarantine.count_crashes('f'), 1)

    def test_helper_that_ended(self):
        """A target may close since one that helped it has ended."""

        async def scenario(isolation):
            async def look(target):
                is_first = target is TARGETS[0]
                return FailureKind.none if is_first else FailureKind.refused

            isolation.hooks.reconnect = look
            await isolation.investigate_failure(
                'f', FailureKind.closed, TARGETS
            )

        isolation = run_isolation(scenario)
        self.assertEqual(isolation.told, [Crash('f', TARGETS[1].incarnation)])


class ProvenTest(unittest.TestCase):
    """What many callers ask for is at each target that ends."""

    def test_what_was_answered_is_not_blamed(self):
        async def scenario(isolation):
            isolation.record_answered('f')
            for target in TARGETS[:3]:
                await isolation.investigate_failure(
                    'f', FailureKind.closed, [target]
                )

        isolation = run_isolation(scenario)
        self.assertFalse(isolation.is_quarantined('f'))
        self.assertEqual(isolation.told, [])

    def test_what_has_become_deadly_is_known_soon(self):
        """Its targets may have another version since it was answered."""

        async def scenario(isolation):
            isolation.record_answered('f')
            for target in TARGETS:
                await isolation.investigate_failure(
                    'f', FailureKind.closed, [target]
                )

        self.assertTrue(run_isolation(scenario).is_quarantined('f'))

    def test_an_answer_does_not_speak_for_ever(self):
        async def scenario(isolation):
            isolation.record_answered('f')
            await anyio.sleep(ANSWER_TTL_S + 1)
            for target in TARGETS[:3]:
                await isolation.investigate_failure(
                    'f', FailureKind.closed, [target]
                )

        self.assertTrue(run_isolation(scenario).is_quarantined('f'))


class LaterTest(unittest.TestCase):
    """Ends that are known only as another start is listed."""

    def check(self, count, step, sign=FailureKind.closed, after_s=1.0):
        """One sending ends, and something is learnt after a while."""

        async def scenario(isolation):
            await isolation.investigate_failure('f', sign, [TARGETS[0]])
            await anyio.sleep(after_s)
            step(isolation)

        isolation = run_isolation(scenario, FailureKind.none)
        self.assertEqual(isolation.quarantine.count_crashes('f'), count)

    def test_started_again_under_its_id(self):
        def step(isolation):
            isolation.record_replaced(TARGETS[0].incarnation)

        self.check(1, step)
        self.check(1, step, FailureKind.garbled)
        self.check(0, step, FailureKind.silent)
        self.check(0, step, after_s=UNCONFIRMED_TTL_S)

    def test_another_has_its_address(self):
        listed = ListedTarget(
            'new', 'svc', TARGETS[0].address, 'dc', Standing.ready, 8
        )
        self.check(1, lambda isolation: isolation.record_listed(listed))

    def test_its_own_entry_changes(self):
        self.check(0, lambda isolation: isolation.record_listed(TARGETS[0]))


class TellingTest(unittest.TestCase):
    """What the others and the store are to know."""

    def test_store_is_told_by_whoever_has_seen_an_end(self):
        async def scenario(isolation):
            await isolation.investigate_failure(
                'f', FailureKind.closed, [TARGETS[0]]
            )
            others = [
                (Crash(name, f'o{one}'), 0) for name in 'fg' for one in '123'
            ]
            isolation.merge_crashes(others, 'e#b')

        isolation = run_isolation(scenario)
        self.assertTrue(isolation.is_quarantined('f'))
        self.assertTrue(isolation.is_quarantined('g'))
        self.assertEqual(isolation.unsaved, {'f'})

    def test_store_is_not_told_what_it_told(self):
        async def scenario(isolation):
            isolation.merge_records(
                [QuarantineRecord('f', ('a', 'b', 'c'))], 'store'
            )

        isolation = run_isolation(scenario)
        self.assertTrue(isolation.is_quarantined('f'))
        self.assertFalse(isolation.unsaved)

    def test_answer_is_told_where_others_may_count(self):
        told = []

        async def scenario(isolation):
            isolation.hooks.send_cleared = lambda name, _: told.append(name)
            isolation.merge_crashes([(Crash('one', 'a'), 0)], 'e#b')
            isolation.merge_crashes([(Crash('two', x), 0) for x in 'ab'], 'e#b')
            isolation.merge_crashes(
                [(Crash('held', x), 0) for x in 'abc'], 'e#b'
            )
            for name in ('none', 'one', 'two', 'held'):
                isolation.record_answered(name)

        isolation = run_isolation(scenario)
        self.assertEqual(told, ['two', 'held'])
        self.assertEqual(isolation.unsaved, {'held'})

        async def main():
            return isolation.pop_unsaved()

        records = run_virtually(main)
        self.assertEqual(records[0].incarnations, ())
        self.assertEqual(records[0].cleared, ('a', 'b', 'c'))

    def test_target_that_others_saw_ending_is_left_alone(self):
        """One that is not listed any more leaves nothing behind."""

        async def scenario(isolation):
            for number in range(2):
                isolation.fleet.put(make_listed(number, 80))
            isolation.merge_crashes([(Crash('f', 't9'), 0)], 'b')
            isolation.merge_crashes(
                [(Crash('f', 't0'), 0), (Crash('f', 't1'), 9)], 'b'
            )
            now = anyio.current_time()
            isolation.found = [
                isolation.health.is_suspect(name, now) for name in ('t0', 't1')
            ]

        isolation = run_isolation(scenario)
        self.assertEqual(isolation.found, [True, False])
        self.assertEqual(list(isolation.health.targets), ['t0'])

    def test_cut_off_target_says_nothing_of_its_data_centre(self):
        """Ends under requests don't make others there suspect."""
        found = []

        async def main():
            state = EntryState(SETTINGS, 'e#a', Random(1), None)
            for number in range(3):
                listed = ListedTarget(f't{number}', 'svc', 'a:1', 'far')
                state.fleet.put(listed)
                state.isolation.merge_crashes(
                    [(Crash('f', f't{number}'), 9)], 'b'
                )
                state.record_silence(f't{number}', anyio.current_time())
            found.extend(state.health.data_centres)

        run_virtually(main)
        self.assertEqual(found, [])


class TrialTest(unittest.TestCase):
    """Who may give a held request to one target."""

    def run_trials(self, granted):
        """Return who may, of two that ask at once, and again after that."""
        found = []

        async def claim(_):
            await anyio.sleep(0.1)
            return granted

        async def scenario(isolation):
            async def ask():
                found.append(await isolation.may_probe('f'))

            isolation.hooks.claim = claim
            isolation.merge_crashes([(Crash('f', x), 0) for x in 'abc'], 'e#b')
            await ask()
            await anyio.sleep(isolation.get_retry_after_s('f'))
            async with anyio.create_task_group() as group:
                group.start_soon(ask)
                group.start_soon(ask)
            await ask()

        run_isolation(scenario)
        return found

    def test_one_after_a_while(self):
        self.assertEqual(self.run_trials(True), [False, False, True, False])

    def test_answered_elsewhere_while_it_is_claimed(self):
        """A trial of another entry had its answer meanwhile."""
        found = []

        async def scenario(isolation):
            async def claim(_):
                isolation.merge_cleared('f', ('a', 'b', 'c'), 'e#b')
                return True

            isolation.hooks.claim = claim
            isolation.merge_crashes([(Crash('f', x), 0) for x in 'abc'], 'e#b')
            await anyio.sleep(isolation.get_retry_after_s('f'))
            found.append(await isolation.may_probe('f'))
            found.append(isolation.is_quarantined('f'))

        run_isolation(scenario)
        self.assertEqual(found, [False, False])

    def test_nobody_without_the_store(self):
        self.assertEqual(self.run_trials(False), [False, False, False, False])
