"""An entry that starts anew while the reader of the list stands still.

It reads the newest record of each target, so it never knew those that had left.
"""

import unittest

import anyio

from tests.following import Reading
from tests.living import LivingEntry, run_life
from tests.test_entry_pace import BOUND_S, EXCUSED_S, STEP_S
from trestledock.entry import StoreUpdate

#: For how long the reader stands still, and from when on a new entry runs after
#: a target has left, in seconds.
PAUSE_S = 4.0
NEW_S = 0.05
#: When the reader stands still, in seconds.
BEGIN_S = 8.3


class NewestReading(Reading):
    """Reads of an entry that begin with the newest record of each target."""

    async def read_targets(self):
        begins = not self.position
        news = await super().read_targets()
        if not begins:
            return news
        newest = {one.target_id: one for one in news.targets}
        present = [one for one in newest.values() if one.listed]
        return StoreUpdate(targets=tuple(present), whole=True)


async def start_anew(life):
    """Have one more entry live; the others meet it."""
    first = life.entries[0]
    number = len(life.entries)
    entry = LivingEntry(number, life.store, first.network, first.state.group)
    entry.follower.reading.directory = NewestReading(life.store)
    entry.disturbed_until = anyio.current_time()
    everybody = [*life.entries, entry]
    addresses = {one.name: f'127.0.0.1:{one.address[1]}' for one in everybody}
    entry.gossip.addresses.own = entry.address
    for one in everybody:
        one.gossip.add_addresses(addresses)
    life.entries.append(entry)
    await entry.live()


class AnewTest(unittest.TestCase):
    """A target leaves while the reader stands still, and an entry starts."""

    def test_new_entry_in_touch_sends_nothing(self):
        """It takes no target from an entry that was just disturbed itself.

        The reader holds what left in its pause, and is excused for that.  The
        new entry, which runs for longer than it is excused, takes it over.
        """
        self.assertEqual(run_life(6, (1, 2), self.play), [])

    async def play(self, life):
        await anyio.sleep(BEGIN_S)
        wrong = []
        async with anyio.create_task_group() as group:
            group.start_soon(life.entries[0].stand_still_for, PAUSE_S)
            await anyio.sleep(NEW_S)
            life.store.remove(1)
            removed_at = anyio.current_time()
            await anyio.sleep(NEW_S)
            group.start_soon(start_anew, life)
            await anyio.sleep(BOUND_S)
            for _ in range(round(EXCUSED_S * 2 / STEP_S)):
                await anyio.sleep(STEP_S)
                now = anyio.current_time()
                wrong.extend(
                    (entry.name, round(now - removed_at, 1))
                    for entry in life.entries
                    if now - entry.disturbed_until > EXCUSED_S
                    and 't1' in entry.get_usable()
                )
            group.cancel_scope.cancel()
        return wrong
