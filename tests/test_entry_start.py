"""An entry that starts while the reader of the list is paused.

It reads only the newest record of each target, so it has never known those that
were removed.
"""

import unittest

import anyio

from tests.following import Reading
from tests.living import LivingEntry, run_life
from tests.test_entry_pace import BOUND_S, EXCUSED_S, STEP_S
from trestledock.entry import StoreUpdate

#: Length of the reader's pause, and delay of the new entry's start after the
#: removal of a target, in seconds.
PAUSE_S = 4.0
NEW_S = 0.05
#: Time at which the reader is paused, in seconds.
BEGIN_S = 8.3


class NewestReading(Reading):
    """Reads that begin with the newest record of each target."""

    async def read_targets(self):
        begins = not self.position
        update = await super().read_targets()
        if not begins:
            return update
        newest = {record.target_id: record for record in update.targets}
        present = [record for record in newest.values() if record.listed]
        return StoreUpdate(targets=tuple(present), is_complete=True)


async def start_entry(life):
    """Run one more entry, and exchange addresses with the others."""
    first = life.entries[0]
    number = len(life.entries)
    entry = LivingEntry(number, life.store, first.network, first.state.group)
    entry.follower.store_reader.directory = NewestReading(life.store)
    entry.disturbed_until = anyio.current_time()
    members = [*life.entries, entry]
    addresses = {
        member.name: f'127.0.0.1:{member.address[1]}' for member in members
    }
    entry.gossip.addresses.own = entry.address
    for member in members:
        member.gossip.add_addresses(addresses)
    life.entries.append(entry)
    await entry.live()


class NewEntryTest(unittest.TestCase):
    """A target is removed while the reader is paused, and an entry starts."""

    def test_new_entry_does_not_use_removed_target(self):
        """A new entry accepts no target from a reader that was just paused.

        The reader retains the target that was removed during its pause, and is
        excused for that. The new entry must not copy it, as its own excuse is
        over sooner.
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
            group.start_soon(start_entry, life)
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
