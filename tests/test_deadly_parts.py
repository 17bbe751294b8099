"""A part of a prompt that crashes targets reaches few of them, then none.

Guards against new requests that crash one target after the other, since they
share a part of their prompts and nothing else.
"""

import unittest
from contextlib import contextmanager

import anyio

from tests.crashing import CRASHES, DEADLY_PART, PARTS_HEADER, run_fleet
from tests.relaying import make_route
from trestledock.relay import RouteKind

STREAM = make_route(
    RouteKind.streaming, resumable=True, objective_s=0.3, pause_s=0.2
)
OK, NOT_RUN = 200, 503
#: The crashes after which a part is to be known, how long entries then have to
#: learn of it, in seconds, and how many more requests may reach targets.
KNOWN_CRASHES, CONTACT_S, MAX_LATE = 5, 3.0, 3
#: How long each kind of request comes, and the pauses between two, in seconds.
DURATION_S = 8.5
SOUND_PAUSE_S = 0.1
SHARED = 'aa'


class Traffic:
    """Requests with a deadly part, and sound ones with the same first part."""

    def __init__(self, fleet, make_parts, pause_s):
        self.fleet = fleet
        self.make_parts = make_parts
        self.pause_s = pause_s
        self.sound = []
        self.deadly = []

    async def run(self):
        async with anyio.create_task_group() as group:
            with anyio.move_on_after(DURATION_S):
                group.start_soon(self._send_deadly)
                await self._send_sound()
            group.cancel_scope.cancel()

    async def _send_sound(self):
        for number in range(1_000):
            self._renew_proofs()
            self._start(self.sound, f's{number}', f'{SHARED}:9,5{number}:9')
            await anyio.sleep(SOUND_PAUSE_S)

    def _renew_proofs(self):
        """Keep the configuration of the entries in force."""
        for entry in self.fleet.entries:
            entry.state.proof.renew(anyio.current_time())

    async def _send_deadly(self):
        for number in range(1_000):
            parts = self.make_parts(number)
            self._start(self.deadly, f'd{number}', f'{parts},6{number}:9')
            await anyio.sleep(self.pause_s)

    def _start(self, outcomes, req_id, parts):
        self.fleet.group.start_soon(self._ask, outcomes, req_id, parts)

    async def _ask(self, outcomes, req_id, parts):
        entries = self.fleet.entries
        entry = entries[len(outcomes) % len(entries)]
        sent_at = anyio.current_time()
        outcome = await entry.ask(
            req_id, headers={PARTS_HEADER: parts}, body=req_id.encode()
        )
        outcomes.append((sent_at, outcome))


def play(make_parts, pause_s, **options):
    """Return a fleet and the traffic that it had."""
    traffics = []

    async def scenario(fleet):
        traffics.append(Traffic(fleet, make_parts, pause_s))
        await traffics[0].run()

    crash = CRASHES['closed in the middle of a stream']
    fleet = run_fleet(scenario, STREAM, crash, targets=8, **options)
    return fleet, traffics[0]


class DeadlyPartTest(unittest.TestCase):
    """No two requests with the part are alike, and any entry gets them."""

    @contextmanager
    def check(self, make_parts, pause_s, **options):
        """Check what reaches targets; yield what happened to the callers."""
        fleet, traffic = play(make_parts, pause_s, **options)
        self.assertGreaterEqual(len(fleet.crashed_at), 3)
        fifth_at = sorted(fleet.crashed_at)[:KNOWN_CRASHES][-1]
        late = [at for at in fleet.deadly_at if at > fifth_at + CONTACT_S]
        self.assertLessEqual(len(late), MAX_LATE)
        yield traffic, fifth_at

    def check_sound(self, traffic, fifth_at):
        """At least half of the sound requests are served afterwards."""
        after = [
            outcome
            for sent_at, outcome in traffic.sound
            if sent_at > fifth_at + 2 * CONTACT_S
        ]
        served = sum(one.status == OK and one.whole for one in after)
        self.assertGreater(len(after), 10)
        self.assertGreaterEqual(served * 2, len(after))

    def check_refusal(self, outcome):
        """It is said not to have run, and its caller not to return soon."""
        self.assertEqual(outcome.status, NOT_RUN)
        self.assertGreater(float(outcome.headers['retry-after']), 10)

    # Guards against 36 requests too many, under which 65 targets ended.
    def test_middle_part(self):
        with self.check(lambda _: f'{SHARED}:9,{DEADLY_PART}:9', 0.1) as seen:
            self.check_sound(*seen)
            self.check_refusal(seen[0].deadly[-1][1])

    def test_middle_part_seldom(self):
        """The crashes are apart, so the last ones come after the fifth."""
        with self.check(lambda _: f'{SHARED}:9,{DEADLY_PART}:9', 0.6) as seen:
            self.check_sound(*seen)

    def test_first_part(self):
        with self.check(lambda _: f'{DEADLY_PART}:9,{SHARED}:9', 0.1) as seen:
            self.check_sound(*seen)

    # Guards against an entry that starts later and knows nothing of the part,
    # or that missed the messages, until its first targets have crashed.
    def test_entry_started_later(self):
        fleet = run_fleet(
            self.start_late, STREAM, CRASHES['reset before the head'], targets=8
        )
        self.assertEqual(fleet.late_statuses, [NOT_RUN, NOT_RUN])

    async def start_late(self, fleet):
        traffic = Traffic(fleet, lambda _: f'{SHARED}:9,{DEADLY_PART}:9', 0.1)
        with anyio.move_on_after(3):
            await traffic.run()
        fleet.add_entry()
        fleet.late_statuses = []
        crashes = len(fleet.crashed_at)
        for number in range(2):
            outcome = await fleet.entries[-1].ask(
                f'late{number}',
                headers={PARTS_HEADER: f'{SHARED}:9,{DEADLY_PART}:9,7:9'},
            )
            fleet.late_statuses.append(outcome.status)
        self.assertEqual(len(fleet.crashed_at), crashes)
