"""Requests while the data centres of their targets are evacuated."""

import unittest
from dataclasses import replace

import anyio

from tests.relaying import (
    RESUMABLE,
    SILENT,
    AbortedAnswer,
    DelayedAnswer,
    StubTarget,
    WHOLE,
    HALF,
    get_event_ids,
    make_answer,
    make_route,
    make_stream,
    run_world,
)
from trestledock.entry._evacuations import RETRY_AFTER_S, apply_evacuations
from trestledock.entry._metrics import METRICS
from trestledock.entry import _events as events
from trestledock.relay import EvacuationList, Placement

FAR = 'far'


def set_evacuated(state, *names):
    """Put a list of evacuated data centres in force."""
    now = anyio.current_time()
    known_at = max(now, state.fleet.evacuations.latest_at + 1)
    found = EvacuationList(frozenset(names), known_at, known_at)
    apply_evacuations(state, found, 'store')


def move(state, *numbers):
    """Move some targets to the far data centre."""
    for number in numbers:
        listed = replace(state.fleet.targets[f't{number}'], data_centre=FAR)
        state.fleet.put(replace(listed, sequence=listed.sequence + 1))


def run(route, targets, far, scenario):
    """Run a scenario in which some of the targets are far."""
    results = []

    async def begin(world):
        move(world.state, *far)
        results.append(await scenario(world))

    run_world(route, targets, begin)
    return results[0]


def get_counts(targets):
    return [len(target.requests) for target in targets]


class PlainTest(unittest.TestCase):
    """Requests that no target has yet."""

    def test_evacuation_while_connecting(self):
        """Guards against a request that is written a second later.

        It goes elsewhere, and no request is counted as sent there.
        """
        targets = [StubTarget(make_answer()) for _ in range(2)]

        async def scenario(world):
            # The far target is the only one that is known so far.
            near = world.state.fleet.targets.pop('t0')
            pool = world.relayer.sender.pool
            acquire = pool.acquire

            async def acquire_late(target, name):
                wire = await acquire(target, name)
                world.state.fleet.targets['t0'] = near
                set_evacuated(world.state, FAR)
                return wire

            pool.acquire = acquire_late
            return (await world.ask()).status

        before = METRICS.counts[events.SentToEvacuated][()]
        self.assertEqual(run(make_route(), targets, [1], scenario), 200)
        self.assertEqual(get_counts(targets), [1, 0])
        self.assertEqual(METRICS.counts[events.SentToEvacuated][()], before)

    def test_all_targets_are_evacuated(self):
        """Guards against a wait until the deadline, and a return together."""
        targets = [StubTarget(make_answer()) for _ in range(2)]

        async def scenario(world):
            set_evacuated(world.state, FAR)
            asked_at = anyio.current_time()
            refused = [await world.ask(f'r{number}') for number in range(40)]
            took_s = anyio.current_time() - asked_at
            set_evacuated(world.state)
            return refused, took_s, await world.ask()

        refused, took_s, after = run(make_route(), targets, [0, 1], scenario)
        self.assertEqual({outcome.status for outcome in refused}, {503})
        self.assertEqual(after.status, 200)
        self.assertLess(took_s, 2)
        waits_s = sorted(
            float(outcome.headers['retry-after']) for outcome in refused
        )
        least, most = RETRY_AFTER_S
        self.assertGreaterEqual(waits_s[0], least)
        self.assertLess(waits_s[len(waits_s) // 4], (least + most) / 2)
        self.assertGreater(waits_s[-len(waits_s) // 4], (least + most) / 2)

    def test_probe_of_a_quarantined_request(self):
        """Guards against a probe at a target there."""
        targets = [StubTarget(make_answer())]

        async def scenario(world):
            isolation = world.state.isolation
            isolation.is_quarantined = lambda fingerprint: True

            async def grant(fingerprint):
                return True

            isolation.may_probe = grant
            set_evacuated(world.state, FAR)
            return (await world.ask()).status

        self.assertEqual(run(make_route(), targets, [0], scenario), 503)
        self.assertEqual(get_counts(targets), [0])

    def test_reservation(self):
        """Guards against an order for memory at a helper there."""
        targets = [StubTarget() for _ in range(2)]

        async def scenario(world):
            own, helper = world.state.fleet.targets.values()
            placement = Placement(
                own, (helper,), reservations=((helper.incarnation, 500),)
            )
            set_evacuated(world.state, FAR)
            job = type('J', (), {'call': type('C', (), {'req_id': 'r1'})})
            tickets = world.relayer.sender.tickets
            return await tickets.reserve(job, placement, {})

        self.assertFalse(run(make_route(), targets, [1], scenario))
        self.assertEqual(targets[1].connections, 0)


class StreamTest(unittest.TestCase):
    """Streams of targets whose data centre is evacuated meanwhile."""

    def play(self, answer):
        """Evacuate during a stream; return the outcome and the targets.

        The first target and another one are far, a third one is near.
        """
        targets = [StubTarget(make_stream(3, 4)) for _ in range(3)]
        targets[0].answers = [answer]

        async def scenario(world):
            fleet = world.state.fleet
            others = {name: fleet.targets.pop(name) for name in ('t1', 't2')}

            async def evacuate():
                await anyio.sleep(0.1)
                fleet.targets.update(others)
                set_evacuated(world.state, FAR)

            async with anyio.create_task_group() as group:
                group.start_soon(evacuate)
                return await world.ask()

        outcome = run(RESUMABLE, targets, [0, 1], scenario)
        return outcome, get_counts(targets)

    def test_stream_in_progress_finishes(self):
        """Guards against streams that an evacuation cuts."""
        slow = DelayedAnswer(WHOLE[:HALF], WHOLE[HALF:], pause_s=0.5)
        outcome, counts = self.play(slow)
        self.assertTrue(outcome.whole)
        self.assertEqual(
            (get_event_ids(outcome), counts[1:]), ([1, 2, 3, 4], [0, 0])
        )

    def test_broken_stream_is_resumed_elsewhere(self):
        """Guards against a resumption there, by a break or by a silence."""
        for answer in (AbortedAnswer(WHOLE[:HALF]), SILENT):
            outcome, counts = self.play(answer)
            self.assertEqual(get_event_ids(outcome), [1, 2, 3, 4])
            self.assertEqual(counts, [1, 0, 1])
