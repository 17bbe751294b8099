"""
Callers that read nothing while their entry ends.

The end waits until every connection is closed, so a caller that takes no more
bytes could hold it beyond the time to stop.
"""

import time
import unittest

import anyio

from tests.test_entry_processes import play, wait_for
from tests.test_entry_shutdown import (
    LONG_ID,
    NARROW,
    SIZE,
    Asked,
    begin_to_end,
    give_time,
    make_request,
    open_narrow,
    read_log,
    wait_for_log,
)


class UnreadTest(unittest.TestCase):
    """The end of a process beside a caller that never reads."""

    def check(self, scenario):
        """Play a scenario; the process must end by itself, in its time."""

        async def run(world):
            entry = world.entries[0]
            give_time(world)
            await wait_for(
                lambda: (
                    f'"version":{world.version}'
                    in read_log(entry).replace(' ', '')
                )
            )
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
        """The process ends before it would be killed."""

        async def scenario(world, entry, group):
            began_at = time.monotonic()
            await begin_to_end(entry)
            while entry.child.poll() is None:
                await anyio.sleep(0.02)
            took_s = time.monotonic() - began_at
            self.assertEqual(entry.child.returncode, 0)
            self.assertLess(took_s, SIZE.grace_s)

        self.check(scenario)

    def test_others_get_their_last_word(self):
        """Beside it, a request without an answer is told so."""

        async def scenario(world, entry, group):
            for target in world.targets:
                target.quirks.mute = 1
            sent = Asked(group, entry, '/book/x', 'b', wait_s=40)
            await wait_for(
                lambda: 'b' in [one.req_id for one in world.ledger.runs]
            )
            await begin_to_end(entry)
            await sent.done.wait()
            self.assertIsNotNone(sent.answer)
            self.assertEqual(sent.answer.status_code, 502)
            await entry.ended.wait()

        self.check(scenario)
