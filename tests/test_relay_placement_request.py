"""Placement requests: giant prompts, callers that leave, refusals."""

import unittest
from dataclasses import replace

from tests.engines import LARGE_ENGINE as ENGINE
from tests.engines import TARGETS
from trestledock.relay import (
    Decision,
    Flight,
    Health,
    LoadTable,
    Phase,
    Placement,
    PlacementRequest,
    Placer,
    PromptSize,
    Timing,
    Unplaced,
)


def make_request(tokens, *, arrived_at=0.0, deadline=15.0, output_tokens=600):
    """Return a long prompt whose caller leaves after a silence of 12 s."""
    timing = Timing(
        arrived_at=arrived_at,
        due_at=arrived_at + 3.0,
        abandoned_at=min(deadline, arrived_at + 12.0),
        deadline=deadline,
    )
    return PlacementRequest(
        'r1', PromptSize(tokens, output_tokens), timing, 1.0, 12.0
    )


def prefill_by(name, numbers, *, due_at, abandoned_at, tokens=300_000):
    """Return a long prompt in prefill at some of the engines."""
    names = [TARGETS[number].target_id for number in numbers]
    return Flight(
        name,
        names[0],
        tokens,
        600,
        Phase.prefill,
        since=0,
        pause_s=1.0,
        worth=20,
        due_at=due_at,
        helpers=tuple(names[1:]),
        abandoned_at=abandoned_at,
        event_timeout_s=12.0,
    )


class Fixture(unittest.TestCase):
    """An idle fleet of 18 engines."""

    def setUp(self):
        self.load_table = LoadTable()
        self.placer = Placer(self.load_table, Health())

    def choose(self, request, now=0.0, targets=TARGETS):
        return request.choose(self.placer, ENGINE, targets, now)


class GiantTest(Fixture):
    """A prompt that needs most of the fleet, alone and beside others."""

    def test_on_idle_fleet(self):
        """On an idle fleet the prefill ends well before the caller leaves."""
        result = self.choose(make_request(790_000))
        self.assertIsInstance(result, Placement)
        self.assertLess(result.first_token_s, 9.6)

    def test_not_placed_beyond_abandonment(self):
        """Beside other prompts the prefill never outlasts its caller.

        Guards against a flat cost of lateness, by which two helpers prefilled
        it for 18 s although its caller left after 12: three engines occupied in
        vain.
        """
        self.load_table.put(
            prefill_by('a', range(9), due_at=3, abandoned_at=12)
        )
        self.load_table.put(
            prefill_by('b', range(9, 15), due_at=3, abandoned_at=12)
        )
        result = self.choose(make_request(790_000))
        self.assertIsInstance(result, Unplaced)
        self.assertIs(result.decision, Decision.wait)
        result = self.choose(make_request(790_000), now=5)
        if isinstance(result, Placement):
            self.assertLess(result.first_token_s, 9.6)

    def test_placed_after_other_prompts(self):
        """Once the other prompts are done, it is split over many engines."""
        result = self.choose(make_request(790_000), now=2.0)
        self.assertIsInstance(result, Placement)
        self.assertGreater(len(result.helpers), 4)

    def test_refused_without_enough_time(self):
        """A caller that retries with too little time is refused at once."""
        result = self.choose(make_request(790_000, deadline=2.9))
        self.assertIs(result.decision, Decision.no_time)

    def test_answer_must_meet_deadline(self):
        """The first event is useless if the rest comes after the deadline."""
        request = make_request(182_000, deadline=2.2)
        self.assertIsInstance(self.choose(request), Placement)
        request = make_request(182_000, deadline=2.2, output_tokens=4_500)
        self.assertIs(self.choose(request).decision, Decision.no_time)


class OutputLengthTest(Fixture):
    """Most answers are much shorter than their maximum."""

    def test_not_refused_for_maximum_output(self):
        """A short prompt is accepted from a caller with 4.5 s left.

        3,000 tokens take 3.9 s, but most answers use a third of that.
        """
        timing = Timing(-5.5, due_at=-5.2, abandoned_at=2.0, deadline=4.5)
        request = PlacementRequest(
            'r1', PromptSize(8_000, 3_300), timing, 0.25, 2.0
        )
        self.assertIsInstance(self.choose(request), Placement)


class CostToOthersTest(Fixture):
    """The cost of a new chunk to the requests that it goes before."""

    def test_late_prompt_keeps_time_left(self):
        """A late giant prompt keeps the time until its caller leaves."""
        flight = prefill_by(
            'a', range(17), due_at=-1, abandoned_at=1.2, tokens=600_000
        )
        self.load_table.put(flight)
        result = self.choose(make_request(300_000))
        if isinstance(result, Placement):
            names = {helper.target_id for helper in result.helpers}
            shared = names & set(flight.engaged_targets)
            self.assertEqual(shared, set())

    def test_pause_beyond_event_timeout(self):
        """A pause at which callers leave costs more than a late answer."""
        estimator = self.placer.estimator
        for name, target, timeout_s in (('a', 't00', 2.0), ('b', 't01', 9.0)):
            self.load_table.put(
                Flight(
                    name,
                    target,
                    5_000,
                    1_300,
                    Phase.decode,
                    0,
                    pause_s=0.25,
                    event_timeout_s=timeout_s,
                )
            )
        costs = [
            estimator.estimate(ENGINE, TARGETS[number], 0).get_cost_to_others(
                2.5
            )
            for number in (0, 1)
        ]
        self.assertGreater(costs[0], costs[1])

    def test_late_request_loses_once(self):
        """A request that is late anyway loses nothing more by another chunk."""
        self.load_table.put(
            prefill_by('a', (0,), due_at=0.5, abandoned_at=12, tokens=182_000)
        )
        load = self.placer.estimator.estimate(ENGINE, TARGETS[0], 0)
        self.assertLess(load.get_cost_to_others(1.0), 5)


class WaitingTest(Fixture):
    """Which requests wait for others, and which are refused."""

    def test_waits_while_it_may_be_in_time(self):
        """A long prompt waits for a giant prompt whose prefill ends soon."""
        flight = prefill_by(
            'a', range(18), due_at=2.2, abandoned_at=12, tokens=600_000
        )
        self.load_table.put(flight)
        result = self.choose(make_request(160_000), now=0.95)
        self.assertIs(result.decision, Decision.wait)

    def test_started_stream_is_not_refused(self):
        """The cost to others is no reason to cut a stream that has started."""
        for number in range(18):
            self.load_table.put(
                prefill_by(
                    f'f{number}',
                    (number,),
                    due_at=2.2,
                    abandoned_at=12,
                    tokens=120_000,
                )
            )
        request = make_request(160_000, arrived_at=-5)
        result = self.choose(request)
        self.assertIs(result.decision, Decision.no_room)
        started = replace(request, timing=replace(request.timing, started=True))
        self.assertIsInstance(self.choose(started), Placement)

    def test_retry_after(self):
        """A refusal says when the prefill in progress will have ended.

        Callers don't wait for longer than a third of their time.
        """
        for tokens, min_s, max_s in (
            (300_000, 0.2, 1.0),
            (790_000, 1.5, 3.2),
            (2_000_000, 4.4, 4.6),
        ):
            self.setUp()
            self.load_table.put(
                prefill_by(
                    'a', range(18), due_at=3, abandoned_at=12, tokens=tokens
                )
            )
            result = self.choose(make_request(789_000))
            self.assertGreater(result.retry_after_s, min_s)
            self.assertLess(result.retry_after_s, max_s)


class SmallTest(Fixture):
    """Prompts that fit into one engine."""

    def test_in_time(self):
        """On an idle fleet a long prompt meets its objective."""
        result = self.choose(make_request(182_000))
        self.assertLess(result.first_token_s, 2.25)

    def test_no_target(self):
        """Without any target a request waits briefly, then is refused."""
        request = make_request(5_000)
        result = self.choose(request, targets=())
        self.assertIs(result.decision, Decision.wait)
        result = self.choose(request, now=0.5, targets=())
        self.assertIs(result.decision, Decision.no_target)
