"""
Callers that read nothing during the shutdown of their entry.

The shutdown waits until every connection is closed, so a caller that reads no
more bytes could delay it beyond the grace period.
"""

import unittest

import anyio

from tests.test_entry_processes import play, wait_for
from tests.test_entry_shutdown import (
    LONG_ID,
    NARROW,
    SIZE,
    Asked,
    begin_shutdown,
    lift_timeouts,
    make_request,
    open_narrow,
    read_log,
    wait_for_log,
    wait_for_version,
)


class UnreadTest(unittest.TestCase):
    """The shutdown of a process with a caller that never reads."""

    def check(self, scenario):
        """Run a scenario; the process must exit by itself in time."""

        async def run(world):
            entry = world.entries[0]
            lift_timeouts(world)
            await wait_for_version(world, entry)
            sock = open_narrow(entry)
            sock.sendall(make_request('GET', '/look/x', LONG_ID))
            await wait_for_log(entry, 'answered')
            async with anyio.create_task_group() as group:
                await scenario(world, entry, group)
                group.cancel_scope.cancel()
            sock.close()
            self.assertEqual(world.ledger.exits, [])

        play(run, SIZE, NARROW)

    def test_ends_in_time(self):
        """The process exits although its connection is never closed."""

        async def scenario(world, entry, group):
            await begin_shutdown(entry)
            while entry.child.poll() is None:
                await anyio.sleep(0.02)
            self.assertEqual(entry.child.returncode, 0)
            self.assertIn('"ended"', read_log(entry))

        self.check(scenario)

    def test_other_requests_get_their_answer(self):
        """Another request, whose target is mute, gets an error."""

        async def scenario(world, entry, group):
            for target in world.targets:
                target.fault_shares.mute = 1
            sent = Asked(group, entry, '/book/x', 'b', wait_s=40)
            await wait_for(
                lambda: 'b' in [run.req_id for run in world.ledger.runs]
            )
            await begin_shutdown(entry)
            await sent.done.wait()
            self.assertIsNotNone(sent.answer)
            self.assertEqual(sent.answer.status_code, 502)
            await entry.ended.wait()

        self.check(scenario)
