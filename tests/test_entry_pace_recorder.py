"""What an entry learns of an engine's pace from a stream that it forwards.

Guards against an engine that counts as slow because of a slow caller, network
or entry process, or of prefill in its passes.
"""

import unittest
from dataclasses import replace
from random import Random
from unittest.mock import patch

import anyio

from tests.engines import SMALL_ENGINE as ENGINE
from tests.relaying import HOST, KEY, SETTINGS, make_listed, make_route
from tests.virtual_loop import run_virtually
from trestledock.entry import Head
from trestledock.entry import _events as events
from trestledock.entry import _notices
from trestledock.entry._job import Job
from trestledock.entry._state import EntryState
from trestledock.entry._streaming import StreamForwarder
from trestledock.entry._timeouts import ResponseTimeout
from trestledock.platform._headers import PlatformDialect
from trestledock.relay import (
    Body,
    Call,
    Catalog,
    Flight,
    Pace,
    PassLoad,
    Phase,
    Placement,
    PromptSize,
    RouteKind,
    Service,
    TeamKey,
    get_decode_pass_s,
)

TARGET = make_listed(0, 1)
NAME = TARGET.incarnation
#: A pass with one stream of 5,000 tokens.
PASS_S = get_decode_pass_s(ENGINE, PassLoad(1, 5_700))
COUNT = 7


class Caller:
    """A caller that takes each event after a time."""

    started = True

    write_s = 0

    async def write(self, raw):
        await anyio.sleep(self.write_s)

    async def finish(self, raw):
        """Do nothing."""


def make_event(number):
    return b'id: %d\ndata: x\n\n' % number


async def iter_events(schedule):
    """Yield the events of a schedule of instants, all that have arrived."""
    left = list(schedule)
    while left:
        await anyio.sleep(max(0, left[0][0] - anyio.current_time()))
        now = anyio.current_time()
        arrived = [raw for instant, raw in left if instant <= now]
        left = left[len(arrived) :]
        yield b''.join(arrived)


def make_schedule(pace=1.0, delays=(0,), end=b'', batch=1):
    """Return the arrivals of a stream's events.

    They arrive in batches of equal size, and `delays` take turns.
    """
    schedule = [
        (
            -(-number // batch) * batch * PASS_S * pace
            + delays[number % len(delays)],
            make_event(number),
        )
        for number in range(1, COUNT * batch + 1)
    ]
    last_at, _ = schedule[-1]
    return [*schedule, (last_at, end)] if end else schedule


class Entry:
    """An entry that forwards one stream of an engine."""

    def __init__(self, *, many_entries=False, data_centre='dc'):
        settings = replace(SETTINGS, data_centre=data_centre)
        self.state = EntryState(settings, 'entry-1#a', Random(1), None)
        self.state.many_entries = many_entries
        self.state.catalog = Catalog(
            1,
            {HOST: ()},
            {'svc': Service('svc', engine=ENGINE)},
            {KEY: TeamKey('kiosks')},
        )
        for number in range(5):
            self.state.fleet.put(make_listed(number, number))
        self.sent = []
        self.state.send_notices = self.sent.append
        self.lines = []
        self.caller = Caller()

    def put(self, flight_id, phase, since=0.0):
        self.state.load_table.put(
            Flight(flight_id, NAME, 5_000, 700, phase, since)
        )

    async def forward(self, schedule):
        """Forward a stream whose events arrive by a schedule."""
        route = make_route(
            RouteKind.streaming, timeout_s=15, pause_s=1, max_attempts=1
        )
        size = PromptSize(5_000, 700)
        call = Call(
            'r', 'POST', '/', '', HOST, (), Body.from_bytes(b''), 0, size=size
        )
        job = Job(call, route, 'svc', TeamKey('kiosks'), deadline=90)
        self.put('r', Phase.prefill)
        forwarder = StreamForwarder(
            self.state,
            PlatformDialect(),
            job,
            Placement(TARGET),
            self.caller,
        )
        with patch.object(_notices, 'emit', self.lines.append):
            await forwarder.run(
                Head(200, ()),
                lambda: iter_events(schedule),
                ResponseTimeout(9),
            )
        self.state.load_table.remove('r')

    def get_pace(self):
        known = self.state.paces.get_known(NAME, anyio.current_time())
        return known and known.factor


def learn(schedule, prepare=None, write_s=0.0, **fields):
    """Return the pace that an entry knows after a stream."""

    async def main():
        entry = Entry(**fields)
        if prepare:
            prepare(entry)
        entry.caller.write_s = write_s
        await entry.forward(schedule)
        return entry.get_pace()

    return run_virtually(main)


class SlowEngineTest(unittest.TestCase):
    """An engine that takes twice as long for each pass."""

    def test_learnt_and_told(self):
        """At once, from one short answer, with one message and one line."""

        async def main():
            entry = Entry()
            await entry.forward(make_schedule(pace=2))
            return entry.get_pace(), entry.sent, entry.lines

        pace, sent, lines = run_virtually(main)
        self.assertAlmostEqual(pace, 2, delta=0.11)
        self.assertEqual(sent, [NAME])
        self.assertEqual(
            [(type(line), line.change, line.source) for line in lines],
            [(events.EnginePace, 'learnt', 'self')],
        )

    def test_end_marker(self):
        """The event after the last pass is none of a pass."""
        for end in (b'data: [DONE]\n\n', make_event(COUNT + 1)):
            found = learn(make_schedule(pace=2, end=end))
            self.assertAlmostEqual(found, 2, delta=0.11)

    def test_uneven_network(self):
        found = learn(make_schedule(pace=2, delays=(0, PASS_S / 4)))
        self.assertGreater(found, 1.3)

    def test_nominal_again(self):
        """An entry that measures a nominal engine tells so, once."""

        async def main():
            entry = Entry()
            now = anyio.current_time()
            pace = Pace(2.0, now, now, is_shared=True)
            entry.state.notices.record(NAME, pace)
            await entry.forward(make_schedule())
            return (
                entry.get_pace(),
                entry.sent,
                [line.change for line in entry.lines],
            )

        self.assertEqual(run_virtually(main), (None, [NAME], ['lifted']))

    def test_other_data_centre(self):
        """With many entries, others may use the engine unknown to this one."""
        schedule = make_schedule(pace=2)
        other = {'data_centre': 'other'}
        self.assertIsNone(learn(schedule, many_entries=True, **other))
        self.assertIsNotNone(learn(schedule, many_entries=False, **other))
        self.assertIsNotNone(learn(schedule, many_entries=True))


class NominalEngineTest(unittest.TestCase):
    """An engine as its formula says, with something else that is slow."""

    def check(self, *args, **fields):
        self.assertIsNone(learn(*args, **fields))

    def test_nothing_else(self):
        self.check(make_schedule())

    def test_steps_of_a_pass(self):
        """An event has the tokens of all steps of a pass."""
        one_step = replace(ENGINE, stride=1)
        self.assertGreater(
            PASS_S, get_decode_pass_s(one_step, PassLoad(1, 5_700)) * 40
        )
        self.check(make_schedule(pace=1.2))

    def test_slow_caller(self):
        """It reads each event late, and several at once or not."""
        for share in (0.5, 1.5, 4):
            self.check(make_schedule(), write_s=PASS_S * share)

    def test_caller_slower_than_engine(self):
        """Its events don't pile up: each read brings one."""
        self.check(make_schedule(pace=1.5), write_s=PASS_S)

    def test_events_in_pairs(self):
        """A network or a process that lets them through now and then."""
        for delay_s in (PASS_S, PASS_S * 0.9, PASS_S * 0.5):
            self.check(make_schedule(delays=(delay_s, 0)))
        self.check(make_schedule(batch=2))
        self.assertIsNotNone(learn(make_schedule(pace=2, batch=2)))

    def test_prefill_beside_the_stream(self):
        """Of a long prompt, in many passes, or of a short one in each."""
        slow = make_schedule(pace=3)
        self.check(slow, lambda entry: entry.put('x', Phase.prefill))

        def put_short(entry):
            """Let a short prompt end its prefill with each pass."""

            def receive():
                now = anyio.current_time()
                entry.put(f'x{now}', Phase.decode, now)

            entry.state.receive_messages = receive

        self.check(slow, put_short)

    def test_chunk_that_ended_within_the_pass(self):
        """A helper's chunk, of which no trace is left after its prefill."""

        def put_chunk(entry):
            async def write(raw):
                entry.put('x', Phase.prefill)

            entry.caller.write = write
            entry.state.receive_messages = lambda: (
                entry.state.load_table.remove('x')
            )

        self.check(make_schedule(pace=3), put_chunk)

    def test_large_context(self):
        """It lengthens the steps of all streams at the engine."""

        def put_giant(entry):
            entry.state.load_table.put(
                Flight('x', NAME, 200_000, 700, Phase.decode, 0.0)
            )

        self.check(make_schedule(pace=1.5), put_giant)
