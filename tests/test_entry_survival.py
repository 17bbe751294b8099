"""Whether the targets of answers that only a close has ended live on."""

import unittest
from dataclasses import replace
from random import Random
from unittest.mock import patch

import anyio

from tests.answering import run_server
from tests.relaying import (
    RESUMABLE,
    SETTINGS,
    FinalAnswer,
    Reset,
    StubTarget,
    get_event_ids,
    make_answer,
    make_listed,
    make_route,
    make_stream,
)
from tests.test_entry_answer_ends import (
    BETWEEN,
    EVENTS,
    HEAD,
    ONCE,
    STREAM,
    make_closed,
)
from tests.virtual_loop import run_virtually
from trestledock.entry import _survival
from trestledock.entry._state import EntryState
from trestledock.entry._survival import WAIT_S, SurvivalChecks
from trestledock.entry._tunnels import OPEN_TIMEOUT_S
from trestledock.entry._wire import CONNECT_TIMEOUT_S
from trestledock.relay import FailureKind, Survival

FAR_S = 60


def make_final(body, pause_s=0):
    """Return an answer without framing whose target ends with it."""
    return FinalAnswer(HEAD + body, pause_s)


class EndedTargetTest(unittest.TestCase):
    """Answers whose target has ended when it closed the connection."""

    def ask(self, route, *targets, prepare=None, requests=1):
        """Return what the last caller got, and the state of the entry."""
        found = []

        async def scenario(caller, world):
            if prepare:
                prepare(world.state)
            for _ in range(requests):
                answer = await caller.ask()
            found.extend((answer, world.state))

        run_server(route, targets, scenario)
        return found

    # Guards against a stream that ends after a whole event as its target
    # crashes, and reaches its caller as complete.
    def test_stream_goes_on_elsewhere(self):
        first = StubTarget(make_final(EVENTS[:BETWEEN]))
        second = StubTarget(make_stream(2, 4))
        answer, state = self.ask(RESUMABLE, first, second)
        self.assertEqual(get_event_ids(answer), [1, 2, 3, 4])
        self.assertTrue(answer.looks_complete)
        self.assertTrue(state.health.is_silent('t0'))

    def test_stream_that_may_not_be_resumed(self):
        """The caller's connection is reset after the last event."""
        answer, _ = self.ask(STREAM, StubTarget(make_final(EVENTS)))
        self.assertTrue(answer.was_reset)

    def test_plain_answer_is_repeated(self):
        """A request that may be repeated gets the answer of another target."""
        first = StubTarget(make_final(b'o'))
        answer, _ = self.ask(make_route(), first, StubTarget(make_answer()))
        self.assertEqual((answer.body, answer.is_framed), (b'ok', True))

    # Guards against a second run of a request that may run once only.
    def test_plain_answer_that_may_not_be_repeated(self):
        targets = [StubTarget(make_final(b'o')), StubTarget(make_answer())]
        answer, _ = self.ask(ONCE, *targets)
        self.assertEqual(answer.parse()[0].status_code, 502)
        self.assertEqual(sum(len(one.requests) for one in targets), 1)

    # Guards against a request that crashes all targets that run it, but counts
    # as answered each time, so that it is never put in quarantine.
    def test_crashes_count(self):
        targets = [StubTarget(make_final(EVENTS)) for _ in range(3)]
        _, state = self.ask(STREAM, *targets, requests=3)
        self.assertEqual(state.isolation.count_quarantined(), 1)

    def ask_draining(self, route, *targets):
        """Return what the caller got whose target has drained meanwhile."""
        answers = []

        async def ask_one(caller):
            answers.append(await caller.ask())

        async def scenario(caller, world):
            async with anyio.create_task_group() as group:
                group.start_soon(ask_one, caller)
                await targets[0].wait_for_request()
                world.state.fleet.record_draining('t0', anyio.current_time())

        run_server(route, targets, scenario)
        return answers[0]

    # Guards against a target that drains, answers its last request and ends,
    # and whose answer is taken for broken off.
    def test_draining_target(self):
        target = StubTarget(make_final(EVENTS, 0.5))
        answer = self.ask_draining(STREAM, target)
        self.assertEqual(answer.parse()[1:], (EVENTS, True))

    # Guards against a stream of a target that crashes while it drains, and that
    # ends short though another target could go on with it.
    def test_draining_target_that_crashes(self):
        first = StubTarget(make_final(EVENTS[:BETWEEN], 0.5))
        answer = self.ask_draining(
            RESUMABLE, first, StubTarget(make_stream(2, 4))
        )
        self.assertEqual(get_event_ids(answer), [1, 2, 3, 4])

    # Guards against a plain answer that is replaced by a failure, as no other
    # target has one.
    def test_draining_target_beside_one_that_fails(self):
        for others in ((), (StubTarget(Reset),)):
            first = StubTarget(make_final(b'ok', 0.5))
            answer = self.ask_draining(make_route(), first, *others)
            self.assertEqual(answer.parse()[1:], (b'ok', True))

    def test_draining_target_beside_one_that_answers(self):
        """A plain answer that may be short gives way to a whole one."""
        first = StubTarget(make_final(b'o', 0.5))
        answer = self.ask_draining(
            make_route(), first, StubTarget(make_answer())
        )
        self.assertEqual((answer.body, answer.is_framed), (b'ok', True))


class LivingTargetTest(unittest.TestCase):
    """Answers whose target lives on."""

    # Guards against two new connections for each answer.
    def test_next_request_uses_the_connection(self):
        count = 5
        target = StubTarget(*[make_closed(EVENTS) for _ in range(count)])

        async def scenario(caller, _):
            for _ in range(count):
                self.assertTrue((await caller.ask()).looks_complete)

        run_server(STREAM, [target], scenario)
        self.assertEqual(target.connections, count + 1)


class SharedCheckTest(unittest.TestCase):
    """How many connections the checks of one target take."""

    def run_checks(self, scenario, reconnect):
        async def main():
            async with anyio.create_task_group() as group:
                state = EntryState(SETTINGS, 'entry-1#a', Random(1), group)
                state.isolation.hooks.reconnect = reconnect
                await scenario(SurvivalChecks(state))
                group.cancel_scope.cancel()

        run_virtually(main)

    # Guards against a connection for each of the answers that end together.
    def test_answers_that_end_together_share_checks(self):
        asked = []
        found = []

        async def reconnect(target):
            asked.append(target)
            await anyio.sleep(0.02)
            return FailureKind.none

        async def scenario(checks):
            async def check():
                deadline = anyio.current_time() + FAR_S
                found.append(await checks.check(make_listed(0, 1), deadline))

            async with anyio.create_task_group() as group:
                for _ in range(20):
                    group.start_soon(check)
            self.assertFalse(checks._checks)

        self.run_checks(scenario, reconnect)
        self.assertEqual(len(found), 20)
        self.assertEqual(set(found), {Survival.survived})
        self.assertLessEqual(len(asked), 2)

    # Guards against an answer that ends during a check, and is told what was
    # found before its end.
    def test_an_end_during_a_check_asks_again(self):
        kinds = [FailureKind.closed, FailureKind.none]
        found = []

        async def reconnect(_):
            await anyio.sleep(0.05)
            return kinds.pop(0)

        async def scenario(checks):
            async def check(name):
                deadline = anyio.current_time() + FAR_S
                survival = await checks.check(make_listed(0, 1), deadline)
                found.append((name, survival))

            async with anyio.create_task_group() as group:
                group.start_soon(check, 'before')
                await anyio.sleep(0.02)
                group.start_soon(check, 'during')

        self.run_checks(scenario, reconnect)
        expected = [('before', Survival.unknown), ('during', Survival.survived)]
        self.assertEqual(found, expected)

    # Guards against a closed port that counts as unknown, since other entries
    # take their time to confirm it.
    def test_slow_confirmation(self):
        async def reconnect(_):
            await anyio.sleep(CONNECT_TIMEOUT_S + OPEN_TIMEOUT_S)
            return FailureKind.refused

        async def scenario(checks):
            checks.state.fleet.put(make_listed(0, 1))
            deadline = anyio.current_time() + FAR_S
            survival = await checks.check(make_listed(0, 1), deadline)
            self.assertIs(survival, Survival.ended)

        self.run_checks(scenario, reconnect)

    # Guards against a last byte that waits for a silent host, or beyond the
    # deadline of its request.
    def test_silent_host(self):
        async def reconnect(_):
            await anyio.sleep(FAR_S)

        async def scenario(checks):
            for left_s in (FAR_S, 0.1, 0):
                began_at = anyio.current_time()
                survival = await checks.check(
                    make_listed(0, 1), began_at + left_s
                )
                self.assertIs(survival, Survival.unknown)
                took_s = anyio.current_time() - began_at
                self.assertLessEqual(took_s, min(WAIT_S, left_s))

        self.run_checks(scenario, reconnect)


class UnprovenTest(unittest.TestCase):
    """Answers of which it isn't known whether their target lives on."""

    # Guards against a request that is cleared of crashes by an answer that may
    # have ended with one, and a crash that a later list doesn't confirm.
    def test_is_no_proof_of_an_answer(self):
        target = StubTarget(make_closed(EVENTS), make_closed(EVENTS))

        async def scenario(caller, world):
            isolation = world.state.isolation
            isolation.hooks.reconnect = _report_closed
            answer = await caller.ask()
            self.assertEqual(answer.parse()[1:], (EVENTS, True))
            self.assertEqual(isolation.quarantine.suspects, {})
            listed = replace(make_listed(0, target.port), born=2)
            isolation.record_listed(listed)
            self.assertEqual(len(isolation.quarantine.suspects), 1)

        run_server(STREAM, [target], scenario)


async def _report_closed(_):
    return FailureKind.closed


class InDoubtTest(unittest.TestCase):
    """What happens while it isn't known yet whether a target lives on."""

    # Guards against an answer that is cut at its deadline, though all of it has
    # come, since its target is asked for too long.
    def test_deadline(self):
        target = StubTarget(make_closed(EVENTS))
        route = replace(STREAM, timeout_s=3)

        async def scenario(caller, world):
            world.state.isolation.hooks.reconnect = _never_answer
            answer = await caller.ask()
            self.assertEqual(answer.parse()[1:], (EVENTS, True))

        with patch.multiple(_survival, WAIT_S=FAR_S, MARGIN_S=2):
            run_server(route, [target], scenario)

    # Guards against a check that is left behind by a caller that leaves, and
    # against later answers that wait for it.
    def test_caller_leaves(self):
        target = StubTarget(make_closed(EVENTS), make_closed(EVENTS))

        async def scenario(caller, world):
            isolation = world.state.isolation
            reconnect = isolation.hooks.reconnect
            isolation.hooks.reconnect = _never_answer
            with anyio.move_on_after(0.2):
                await caller.ask()
            isolation.hooks.reconnect = reconnect
            answer = await caller.ask()
            self.assertEqual(answer.parse()[1:], (EVENTS, True))
            receiver = world.relayer.sender.answer_receiver
            self.assertEqual(receiver.ends.survivals._checks, {})

        run_server(STREAM, [target], scenario)

    # Guards against a stream that goes round targets that all break it off, and
    # then ends as complete.
    def test_each_run_is_broken_off(self):
        targets = [
            StubTarget(make_closed(EVENTS[: BETWEEN + 3])),
            StubTarget(make_closed(b'id: 2\ndata: y\n\nid: 3\n')),
        ]

        async def scenario(caller, _):
            answer = await caller.ask()
            self.assertEqual(get_event_ids(answer), [1, 2])
            self.assertTrue(answer.was_reset)

        run_server(RESUMABLE, targets, scenario)


async def _never_answer(_):
    await anyio.sleep(FAR_S)
