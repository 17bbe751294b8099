"""Asking for a place: giants, callers who leave, and what is refused."""

import unittest
from dataclasses import replace

from tests.engines import LARGE_ENGINE as ENGINE
from tests.engines import TARGETS
from trestledock.relay import (
    PlacementRequest,
    LoadTable,
    Decision,
    Flight,
    Health,
    Unplaced,
    Phase,
    Placement,
    Placer,
    PromptSize,
    Timing,
)


def make_ask(tokens, *, arrived_at=0.0, deadline=15.0, output=600):
    """Return a long prompt whose caller leaves after a silence of 12 s."""
    timing = Timing(
        arrived_at=arrived_at,
        due_at=arrived_at + 3.0,
        abandoned_at=min(deadline, arrived_at + 12.0),
        deadline=deadline,
    )
    return PlacementRequest('r1', PromptSize(tokens, output), timing, 1.0, 12.0)


def read_by(name, numbers, *, due, gone, tokens=300_000):
    """Return a long prompt that is being read by some of the engines."""
    names = [TARGETS[one].target_id for one in numbers]
    return Flight(
        name,
        names[0],
        tokens,
        600,
        Phase.prefill,
        since=0,
        pause_s=1.0,
        worth=20,
        due_at=due,
        helpers=tuple(names[1:]),
        abandoned_at=gone,
        patience_s=12.0,
    )


class Fixture(unittest.TestCase):
    """An idle fleet of 18 engines."""

    def setUp(self):
        self.board = LoadTable()
        self.placer = Placer(self.board, Health())

    def choose(self, ask, now=0.0, targets=TARGETS):
        return ask.choose(self.placer, ENGINE, targets, now)


class GiantTest(Fixture):
    """A prompt that needs most of the fleet, alone and beside others."""

    def test_in_time_for_its_caller(self):
        """A giant on an idle fleet is read well before its caller leaves."""
        found = self.choose(make_ask(790_000))
        self.assertIsInstance(found, Placement)
        self.assertLess(found.first_token_s, 9.6)

    def test_never_for_nobody(self):
        """Beside others' reading it isn't read for longer than anyone waits.

        With a flat price of lateness, two helpers read it for 18 s, while its
        caller leaves after 12: three engines taken for nothing.
        """
        self.board.put(read_by('a', range(9), due=3, gone=12))
        self.board.put(read_by('b', range(9, 15), due=3, gone=12))
        found = self.choose(make_ask(790_000))
        self.assertIsInstance(found, Unplaced)
        self.assertIs(found.decision, Decision.wait)
        found = self.choose(make_ask(790_000), now=5)
        if isinstance(found, Placement):
            self.assertLess(found.first_token_s, 9.6)

    def test_goes_when_others_have_finished(self):
        """Once they are done, it goes over many engines at once."""
        found = self.choose(make_ask(790_000), now=2.0)
        self.assertIsInstance(found, Placement)
        self.assertGreater(len(found.helpers), 4)

    def test_refused_where_it_cannot_be_in_time(self):
        """A caller that comes back with too little time is refused at once."""
        found = self.choose(make_ask(790_000, deadline=2.9))
        self.assertIs(found.decision, Decision.no_time)

    def test_answer_must_be_written_too(self):
        """The first event is of no use if the rest comes after the deadline."""
        ask = make_ask(182_000, deadline=2.2)
        self.assertIsInstance(self.choose(ask), Placement)
        ask = make_ask(182_000, deadline=2.2, output=4_500)
        self.assertIs(self.choose(ask).decision, Decision.no_time)


class WritingTest(Fixture):
    """Answers are mostly much shorter than they may be."""

    def test_not_refused_for_what_it_may_write_at_most(self):
        """A caller that comes back with 4.5 s left gets a short prompt read.

        3,000 tokens take 3.9 s, but most answers use a third of that.
        """
        timing = Timing(-5.5, due_at=-5.2, abandoned_at=2.0, deadline=4.5)
        ask = PlacementRequest(
            'r1', PromptSize(8_000, 3_300), timing, 0.25, 2.0
        )
        self.assertIsInstance(self.choose(ask), Placement)


class HarmTest(Fixture):
    """What a new part costs those whose parts it goes before."""

    def test_late_reader_is_not_pushed_beyond_its_caller(self):
        """A giant that is late already keeps what time its caller has left."""
        flight = read_by('a', range(17), due=-1, gone=1.2, tokens=600_000)
        self.board.put(flight)
        found = self.choose(make_ask(300_000))
        if isinstance(found, Placement):
            names = {one.target_id for one in found.helpers}
            taken = names & set(flight.engaged_targets)
            self.assertEqual(taken, set())

    def test_stream_whose_caller_would_leave(self):
        """A pause at which callers leave costs more than a late answer."""
        viewer = self.placer.viewer
        for name, target, patience_s in (('a', 't00', 2.0), ('b', 't01', 9.0)):
            self.board.put(
                Flight(
                    name,
                    target,
                    5_000,
                    1_300,
                    Phase.decode,
                    0,
                    pause_s=0.25,
                    patience_s=patience_s,
                )
            )
        harms = [
            viewer.view(ENGINE, TARGETS[one], 0).get_harm(2.5) for one in (0, 1)
        ]
        self.assertGreater(harms[0], harms[1])

    def test_harm_is_done_once(self):
        """Who is late anyway loses nothing more by another part."""
        self.board.put(read_by('a', (0,), due=0.5, gone=12, tokens=182_000))
        view = self.placer.viewer.view(ENGINE, TARGETS[0], 0)
        self.assertLess(view.get_harm(1.0), 5)


class WaitingTest(Fixture):
    """Who waits for others, and who is refused."""

    def test_waits_as_long_as_it_may_be_in_time(self):
        """A long prompt waits for a giant that will soon have been read."""
        flight = read_by('a', range(18), due=2.2, gone=12, tokens=600_000)
        self.board.put(flight)
        found = self.choose(make_ask(160_000), now=0.95)
        self.assertIs(found.decision, Decision.wait)

    def test_begun_stream_goes_on(self):
        """What others would lose is no reason to cut a stream midway."""
        for number in range(18):
            self.board.put(
                read_by(
                    f'f{number}', (number,), due=2.2, gone=12, tokens=120_000
                )
            )
        ask = make_ask(160_000, arrived_at=-5)
        found = self.choose(ask)
        self.assertIs(found.decision, Decision.no_room)
        begun = replace(ask, timing=replace(ask.timing, started=True))
        self.assertIsInstance(self.choose(begun), Placement)

    def test_come_back_when_there_is_room(self):
        """A refusal says when the reading in progress will have ended.

        Callers don't wait for longer than a third of their time.
        """
        for tokens, least, most in (
            (300_000, 0.2, 1.0),
            (790_000, 1.5, 3.2),
            (2_000_000, 4.4, 4.6),
        ):
            self.setUp()
            self.board.put(
                read_by('a', range(18), due=3, gone=12, tokens=tokens)
            )
            found = self.choose(make_ask(789_000))
            self.assertGreater(found.retry_after_s, least)
            self.assertLess(found.retry_after_s, most)


class SmallTest(Fixture):
    """Prompts that fit are placed as before."""

    def test_in_time(self):
        """A long prompt on an idle fleet comes within its objective."""
        found = self.choose(make_ask(182_000))
        self.assertLess(found.first_token_s, 2.25)

    def test_no_target(self):
        """Without any target it waits a little, then says so."""
        ask = make_ask(5_000)
        found = self.choose(ask, targets=())
        self.assertIs(found.decision, Decision.wait)
        found = self.choose(ask, now=0.5, targets=())
        self.assertIs(found.decision, Decision.no_target)
