"""
An entry that ends as planned, beside the entries of other data centres.

Its silence from then on is no cut of its data centre: nobody else was there to
be heard, and the targets there work on.
"""

import unittest

import anyio

from tests.soak.world import Size
from tests.test_entry_processes import play, wait_for
from tests.test_entry_shutdown import begin_to_end, read_log

#: The first two entries are in different data centres.
SIZE = Size(entries=2, engines=2, plain=1, grace_s=5)
#: Above the time after which a data centre counts as silent.
AFTER_S = 2.5


class NeighbourTest(unittest.TestCase):
    """The only entry of a data centre ends."""

    def test_planned_end_is_no_cut(self):
        """The others don't leave the targets there."""

        logs = []

        async def scenario(world):
            stays, ends = world.entries
            await wait_for(lambda: 'peer_met' in read_log(stays))
            await begin_to_end(ends)
            await ends.ended.wait()
            await anyio.sleep(AFTER_S)
            logs.append(read_log(stays))

        play(scenario, SIZE)
        self.assertNotIn('data_centre_quiet', logs[0])
