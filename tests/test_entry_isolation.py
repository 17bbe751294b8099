"""Which requests crashes are attributed to when an attempt fails."""

import unittest
from dataclasses import replace
from random import Random

import anyio

from tests.relaying import SETTINGS, make_listed
from tests.virtual_loop import run_virtually
from trestledock.entry._isolation import PROOF_INTERVAL_S
from trestledock.entry._runs import MIN_WRITING_S, Run
from trestledock.entry._state import EntryState
from trestledock.entry._survival import SurvivalChecks
from trestledock.relay import (
    Crash,
    ListedTarget,
    QuarantineRecord,
    FailureKind,
    Standing,
    Survival,
)
from trestledock.relay._blame import MOMENT_S
from trestledock.relay._unconfirmed_crashes import UNCONFIRMED_TTL_S
from trestledock.relay._quarantine import MAX_SUSPECTS
from trestledock.relay._recent_answers import ANSWER_TTL_S

TARGETS = tuple(make_listed(number, 80 + number) for number in range(6))


def run_isolation(scenario, seen=FailureKind.refused):
    """Run `scenario(isolation)`; each new connection yields `seen`."""

    async def reconnect(target):
        isolation.reconnected.append(target.incarnation)
        return seen

    async def main():
        await scenario(isolation)

    isolation = EntryState(SETTINGS, 'e#a', Random(1), None).isolation
    isolation.reconnected = []
    isolation.sent_crashes = []
    isolation.hooks.reconnect = reconnect
    isolation.hooks.send_crashes = isolation.sent_crashes.extend
    run_virtually(main)
    return isolation


class EvidenceTest(unittest.TestCase):
    """Which failed attempts count as crashes of targets."""

    def count(self, sign, seen):
        """Return the numbers of crashes and connections of three attempts."""

        async def scenario(isolation):
            for target in TARGETS[:3]:
                await isolation.investigate_failure('f', sign, [target])

        isolation = run_isolation(scenario, seen)
        return isolation.quarantine.count_crashes('f'), len(
            isolation.reconnected
        )

    def test_closed_and_connection_refused(self):
        self.assertEqual(
            self.count(FailureKind.closed, FailureKind.refused), (3, 3)
        )

    def test_closed_by_live_target(self):
        """Reset connections say nothing about the request."""
        self.assertEqual(
            self.count(FailureKind.closed, FailureKind.none), (0, 3)
        )

    def test_closed_by_unreachable_target(self):
        """The target may be cut off."""
        self.assertEqual(
            self.count(FailureKind.closed, FailureKind.unreachable), (0, 3)
        )

    def test_silence_and_invalid_bytes(self):
        """Neither leads to a new connection."""
        self.assertEqual(
            self.count(FailureKind.silent, FailureKind.refused), (0, 0)
        )
        self.assertEqual(
            self.count(FailureKind.garbled, FailureKind.refused), (0, 0)
        )

    def test_one_crash_per_attempt(self):
        """The engine of a prompt and its helpers may crash together."""

        async def scenario(isolation):
            await isolation.investigate_failure(
                'f', FailureKind.closed, TARGETS
            )

        isolation = run_isolation(scenario)
        self.assertEqual(isolation.quarantine.count_crashes('f'), 1)

    def test_crashed_helper(self):
        """A target may close its connection because its helper has crashed."""

        async def scenario(isolation):
            async def reconnect(target):
                is_first = target is TARGETS[0]
                return FailureKind.none if is_first else FailureKind.refused

            isolation.hooks.reconnect = reconnect
            await isolation.investigate_failure(
                'f', FailureKind.closed, TARGETS
            )

        isolation = run_isolation(scenario)
        self.assertEqual(
            isolation.sent_crashes, [Crash('f', TARGETS[1].incarnation)]
        )


def answer(isolation, name, *, is_success=True):
    """Record an answer of which all that is known is when it was sent."""
    now = anyio.current_time()
    isolation.record_answered(Run((name,), now, is_success=is_success))


class AnsweredTest(unittest.TestCase):
    """A request that many callers send is in flight at each crash."""

    async def crash(self, isolation, targets=TARGETS, pause_s=0):
        for target in targets:
            await isolation.investigate_failure(
                'f', FailureKind.closed, [target]
            )
            await anyio.sleep(pause_s)

    def test_answered_request_is_not_quarantined(self):
        """Many targets crash together, as in a power loss."""

        async def scenario(isolation):
            answer(isolation, 'f')
            await self.crash(isolation)

        isolation = run_isolation(scenario)
        self.assertFalse(isolation.quarantine.is_quarantined('f'))

    # Guards against crashes that are told to others after an answer.
    def test_crash_before_an_answer_is_not_sent(self):
        """Its investigation takes longer than the answer."""

        async def scenario(isolation):
            async def reconnect(_):
                await anyio.sleep(0.1)
                answer(isolation, 'f')
                return FailureKind.refused

            isolation.hooks.reconnect = reconnect
            await self.crash(isolation, TARGETS[:3])

        isolation = run_isolation(scenario)
        self.assertEqual(isolation.quarantine.count_crashes('f'), 0)
        self.assertEqual(isolation.sent_crashes, [])

    def test_answered_request_that_now_crashes_targets(self):
        """The targets may have been updated since it was answered."""

        async def scenario(isolation):
            answer(isolation, 'f')
            await self.crash(isolation, TARGETS[:5], MOMENT_S)

        isolation = run_isolation(scenario)
        self.assertTrue(isolation.quarantine.is_quarantined('f'))

    def test_answer_expires_as_evidence(self):
        async def scenario(isolation):
            answer(isolation, 'f')
            await anyio.sleep(ANSWER_TTL_S + 1)
            await self.crash(isolation, TARGETS[:3])

        isolation = run_isolation(scenario)
        self.assertTrue(isolation.quarantine.is_quarantined('f'))

    # Guards against a deadly request that is cleared by its own rejection.
    def test_failure_proves_nothing(self):
        async def scenario(isolation):
            await self.crash(isolation, TARGETS[:3])
            answer(isolation, 'f', is_success=False)

        isolation = run_isolation(scenario)
        self.assertTrue(isolation.quarantine.is_quarantined('f'))

    # Guards against the quarantine of a part whose answers take longer than
    # the pauses between unrelated crashes.
    def test_lasting_answer_proves_its_names(self):
        """It counts only while it goes on: its target may still crash."""
        seen = []

        async def scenario(isolation):
            with isolation.runs.track(('part:a', 'g')) as run:
                await self.crash_part(isolation)
                seen.append(isolation.is_quarantined(['part:a']))
                isolation.pop_unsaved()
                run.began_at = anyio.current_time()
                await anyio.sleep(MIN_WRITING_S / 2)
                seen.append(isolation.is_quarantined(['part:a']))
                await anyio.sleep(MIN_WRITING_S / 2 + PROOF_INTERVAL_S)
                seen.append(isolation.is_quarantined(['part:a']))
            await anyio.sleep(PROOF_INTERVAL_S)
            seen.append(isolation.is_quarantined(['part:a']))

            seen.append(isolation.unsaved)

        run_isolation(scenario)
        self.assertEqual(seen, [True, True, False, True, {'part:a'}])

    async def crash_part(self, isolation):
        for target in TARGETS[:5]:
            await isolation.investigate_failure(
                ['part:a'], FailureKind.closed, [target]
            )
            await anyio.sleep(MOMENT_S)


class ListedTest(unittest.TestCase):
    """Crashes that are found when another incarnation is listed."""

    def check(self, count, step, sign=FailureKind.closed, after_s=1.0):
        """One attempt fails, and a list is read after a while."""

        async def scenario(isolation):
            await isolation.investigate_failure('f', sign, [TARGETS[0]])
            await anyio.sleep(after_s)
            step(isolation)

        isolation = run_isolation(scenario, FailureKind.none)
        self.assertEqual(isolation.quarantine.count_crashes('f'), count)

    def test_restart_under_same_id(self):
        def step(isolation):
            isolation.record_replaced(TARGETS[0].incarnation)

        self.check(1, step)
        self.check(1, step, FailureKind.garbled)
        self.check(0, step, FailureKind.silent)
        self.check(0, step, after_s=UNCONFIRMED_TTL_S)

    def test_other_target_at_same_address(self):
        listed = ListedTarget(
            'new', 'svc', TARGETS[0].address, 'dc', Standing.ready, 8
        )
        self.check(1, lambda isolation: isolation.record_listed(listed))

    def test_own_record_changes(self):
        self.check(0, lambda isolation: isolation.record_listed(TARGETS[0]))


class SharingTest(unittest.TestCase):
    """What the other entries and the store are to know."""

    def test_witness_of_a_crash_saves_quarantine(self):
        async def scenario(isolation):
            await isolation.investigate_failure(
                'f', FailureKind.closed, [TARGETS[0]]
            )
            others = [
                (Crash(name, f'o{number}'), 0)
                for name in 'fg'
                for number in '123'
            ]
            isolation.merge_crashes(others, 'e#b')

        isolation = run_isolation(scenario)
        self.assertTrue(isolation.quarantine.is_quarantined('f'))
        self.assertTrue(isolation.quarantine.is_quarantined('g'))
        self.assertEqual(isolation.unsaved, {'f'})

    def test_records_from_store_are_not_saved(self):
        async def scenario(isolation):
            isolation.merge_records(
                [QuarantineRecord('f', ('a', 'b', 'c'))], 'store'
            )

        isolation = run_isolation(scenario)
        self.assertTrue(isolation.quarantine.is_quarantined('f'))
        self.assertFalse(isolation.unsaved)

    def test_answer_is_sent_to_entries_with_crashes(self):
        cleared = []

        async def scenario(isolation):
            isolation.hooks.send_cleared = lambda name, _: cleared.append(name)
            isolation.merge_crashes([(Crash('one', 'a'), 0)], 'e#b')
            isolation.merge_crashes([(Crash('two', x), 0) for x in 'ab'], 'e#b')
            isolation.merge_crashes(
                [(Crash('held', x), 0) for x in 'abc'], 'e#b'
            )
            for name in ('none', 'one', 'two', 'held'):
                answer(isolation, name)

        isolation = run_isolation(scenario)
        self.assertEqual(cleared, ['two', 'held'])
        self.assertEqual(isolation.unsaved, {'held'})

        async def main():
            return isolation.pop_unsaved()

        records = run_virtually(main)
        self.assertEqual(records[0].incarnations, ())
        self.assertEqual(records[0].cleared, ('a', 'b', 'c'))

    # Guards against memory that grows with each message about an answer.
    def test_flood_of_cleared_requests(self):
        async def scenario(isolation):
            for number in range(MAX_SUSPECTS * 2):
                isolation.merge_cleared(f'f{number}', ('a', 'b', 'c'), 'e#b')

        isolation = run_isolation(scenario)
        suspects = isolation.quarantine.suspects
        self.assertEqual(len(suspects), MAX_SUSPECTS)
        self.assertIn(f'f{MAX_SUSPECTS * 2 - 1}', suspects)

    def test_crash_reported_by_others_makes_target_suspect(self):
        """A target that is no longer listed leaves no state behind."""

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

    def test_crashes_do_not_make_data_centre_suspect(self):
        """Crashes during requests don't make other targets there suspect."""
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


class LastingRequestTest(unittest.TestCase):
    """Crashes of targets whose requests here had gone on for a while."""

    # Guards against a data centre that is suspected for crashes of targets,
    # since none of them counts against a request of this entry.
    def test_crash_without_suspects(self):
        async def main():
            state = EntryState(SETTINGS, 'e#a', Random(1), None)

            async def reconnect(_):
                return FailureKind.refused

            state.isolation.hooks.reconnect = reconnect
            now = anyio.current_time()
            for target in TARGETS:
                far = replace(target, data_centre='far')
                state.fleet.put(far)
                await state.isolation.investigate_failure(
                    (), FailureKind.closed, [far]
                )
                state.record_silence(far.incarnation, now)
            return (
                list(state.health.data_centres),
                state.health.is_suspect(TARGETS[0].incarnation, now),
                state.links.are_all_doubted(now),
            )

        self.assertEqual(run_virtually(main), ([], True, False))


class ProbeTest(unittest.TestCase):
    """Which entry may send a quarantined request to one target."""

    def run_probes(self, granted):
        """Return the results of two concurrent attempts, and of a later one."""
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

    def test_one_probe_after_a_while(self):
        self.assertEqual(self.run_probes(True), [False, False, True, False])

    def test_answered_elsewhere_during_claim(self):
        """A probe of another entry was answered during the claim."""
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

    def test_no_probe_without_store(self):
        self.assertEqual(self.run_probes(False), [False, False, False, False])


class KnownCrashTest(unittest.TestCase):
    """What is asked of a target that is known to have crashed."""

    # Guards against an answer that looks complete, since the crash of its
    # target counts against no request of this entry.
    def test_crash_without_suspects_ends_answers(self):
        """Another process may listen at its address by now."""

        async def main():
            state = EntryState(SETTINGS, 'e#a', Random(1), None)

            async def reconnect(_):
                return FailureKind.none

            state.isolation.hooks.reconnect = reconnect
            checks = SurvivalChecks(state)
            before = await checks._find(TARGETS[0])
            state.links.record_crashed(TARGETS[0].incarnation)
            return before, await checks._find(TARGETS[0])

        self.assertEqual(
            run_virtually(main), (Survival.survived, Survival.ended)
        )
