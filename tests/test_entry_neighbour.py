"""
The planned shutdown of the only entry of a data centre.

The entries of other data centres must not treat its silence as a network cut:
no other entry there could send messages, and the targets there go on working.
"""

import unittest

import anyio

from tests.soak.world import Size
from tests.test_entry_processes import play, wait_for
from tests.test_entry_shutdown import begin_shutdown, read_log

#: The first two entries are in different data centres.
SIZE = Size(entries=2, engines=2, plain=1, grace_s=5)
#: Longer than the time after which a data centre counts as silent, in seconds.
AFTER_S = 2.5


class NeighbourTest(unittest.TestCase):
    """The only entry of a data centre shuts down."""

    def test_planned_shutdown_is_no_cut(self):
        """The other entries go on using the targets there."""

        logs = []

        async def scenario(world):
            stays, ends = world.entries
            await wait_for(lambda: 'peer_met' in read_log(stays))
            await begin_shutdown(ends)
            await ends.ended.wait()
            await anyio.sleep(AFTER_S)
            logs.append(read_log(stays))

        play(scenario, SIZE)
        self.assertNotIn('data_centre_quiet', logs[0])
