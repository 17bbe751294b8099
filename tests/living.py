"""Entries that run their own loops on a virtual clock.

The store and the network are in memory. Entries may be paused, and the store
may be unavailable.
"""

from dataclasses import dataclass, field
from random import Random

import anyio

from tests.following import FollowingEntry, Store
from tests.virtual_loop import run_virtually
from trestledock.entry import WireError
from trestledock.entry._message_codec import encode_message

#: Latency between two entries, and of a call to the store, in seconds.
WAY_S = 0.001
CALL_S = 0.008


class LivingEntry(FollowingEntry):
    """Entry that runs by itself until it is paused."""

    def __init__(self, number, store, network, group):
        super().__init__(number, store, network, group)
        self.rng = Random(number)
        self.running = anyio.Event()
        self.running.set()
        self.disturbed_until = 0.0
        self.closed = False
        self.state.rng = self.rng
        self.follower._sleep = self._pause

    async def live(self):
        """Follow the store and send the full state periodically."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.follower._follow)
            group.start_soon(self.follower.target_list.run)
            group.start_soon(self.gossip._send_periodically)

    async def stand_still_for(self, pause_s):
        """Pause, like a process that is stopped and continued."""
        self.running = anyio.Event()
        self.disturbed_until = float('inf')
        await anyio.sleep(pause_s)
        now = anyio.current_time()
        self.state.fleet.watch.record_failure(now)
        self.disturbed_until = now
        self.running.set()

    def end(self):
        """Start draining."""
        self.state.draining = True

    def close(self):
        """Refuse connections, as in the last part of the shutdown."""
        self.closed = True

    async def _pause(self, wait_s):
        await anyio.sleep(wait_s * self.rng.uniform(0.9, 1.1))
        await self.running.wait()

    def _send(self, message, addresses):
        self.state.spawn(self._deliver, message, addresses)

    async def _deliver(self, message, addresses):
        await self.running.wait()
        raw = encode_message(message, anyio.current_time())
        await anyio.sleep(WAY_S)
        for address in addresses:
            self.state.spawn(self._arrive, raw, self.network[address])

    async def _arrive(self, raw, other):
        await other.running.wait()
        other.receive(raw, self.address)

    async def _get(self, address, asked):
        await anyio.sleep(WAY_S)
        if self.network[address].closed:
            raise WireError('connect', 'refused')
        await self.network[address].running.wait()
        await anyio.sleep(WAY_S)
        return await FollowingEntry._get(self, address, asked)


class SlowStore(Store):
    """Store with a latency for each call."""

    async def wait(self):
        """Wait for the latency of a call."""
        await anyio.sleep(CALL_S)


@dataclass
class Life:
    """Run of several entries, ordered by name."""

    store: SlowStore
    entries: list = field(default_factory=list)

    def get_readers(self):
        """Return the running entries that are readers, or will be."""
        running = [entry for entry in self.entries if entry.running.is_set()]
        names = {entry.follower._reader for entry in running}
        return [entry for entry in running if entry.name in names] or running[
            :1
        ]


def run_life(count, numbers, scenario, make=LivingEntry):
    """Run `scenario(life)` beside running entries; return its result.

    `make` makes each entry.
    """

    async def main():
        async with anyio.create_task_group() as group:
            life = Life(SlowStore(*numbers))
            network = {}
            for number in range(count):
                life.entries.append(make(number, life.store, network, group))
            addresses = {
                entry.name: f'127.0.0.1:{port}'
                for entry, (_, port) in zip(life.entries, network, strict=True)
            }
            for entry in life.entries:
                entry.gossip.addresses.own = entry.address
                entry.gossip.add_addresses(addresses)
                group.start_soon(entry.live)
            found = await scenario(life)
            group.cancel_scope.cancel()
        return found

    return run_virtually(main)
