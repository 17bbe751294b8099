"""Entries without sockets that follow a store and ask one another."""

import json
from dataclasses import replace
from random import Random

import anyio

from tests.relaying import SETTINGS, make_listed
from tests.virtual_loop import run_virtually
from trestledock.entry import DirectoryError, StoreUpdate, TargetUpdate
from trestledock.entry._follower import Follower
from trestledock.entry._gossip import Gossip
from trestledock.entry._peers import Peer
from trestledock.entry._update_exchange import UpdateExchange
from trestledock.entry._pool import Pool
from trestledock.entry._state import EntryState
from trestledock.entry._message_codec import encode_message
from trestledock.relay import Catalog

CATALOG = Catalog(1, {}, {}, None)
#: Time between two steps of a scenario, on a virtual clock, in seconds.
STEP_S = 0.01


class Store:
    """List of targets that all entries read; may be unavailable."""

    def __init__(self, *numbers):
        self.records = [
            TargetUpdate(f't{number}', make_listed(number, 80))
            for number in numbers
        ]
        self.down = False
        self.evacuated = frozenset()

    async def wait(self):
        """Return at once."""

    def remove(self, number):
        """Remove a target that was never marked as draining."""
        self.records.append(TargetUpdate(f't{number}', None))

    def put(self, number, sequence):
        """Write a heartbeat of a target."""
        listed = replace(make_listed(number, 80), sequence=sequence)
        self.records.append(TargetUpdate(f't{number}', listed))


class Reading:
    """Reads of one entry, each from the end of the previous one."""

    epoch = None

    def __init__(self, store):
        self.store = store
        self.position = 0
        self.calls = 0

    async def read_catalog(self):
        await self._check()
        return StoreUpdate(CATALOG, '{}', evacuated=self.store.evacuated)

    async def read_targets(self):
        await self._check()
        self.calls += 1
        new = self.store.records[self.position :]
        self.position = len(self.store.records)
        return StoreUpdate(targets=tuple(new))

    def decode_document(self, document):
        return CATALOG

    async def _check(self):
        await self.store.wait()
        if self.store.down:
            raise DirectoryError('down')


class FollowingEntry:
    """Entry without sockets; `network` has all entries by address."""

    def __init__(self, number, store, network, group):
        self.address = ('127.0.0.1', number)
        self.network = network
        network[self.address] = self
        self.name = f'entry-{number}'
        self.state = EntryState(SETTINGS, self.name, Random(1), group)
        self.reading = Reading(store)
        self.gossip = Gossip(self.state)
        self.exchange = UpdateExchange(self.state, self.gossip)
        self.gossip.send = self._send
        self.exchange._get = self._get
        self.follower = Follower(
            self.state, self.reading, Pool(self.state.spawn), self.exchange
        )
        self.follower._sleep = _sleep

    async def read(self):
        """Read the store after a step."""
        await anyio.sleep(STEP_S)
        await self.follower.store_reader.read()

    async def ask(self, reader):
        """Ask another entry after a step, as the follower does periodically."""
        await anyio.sleep(STEP_S)
        peer = Peer(reader.address, anyio.current_time(), 0)
        self.gossip.peers.known[reader.name] = peer
        await self.follower._ask(reader.name)

    def stand_still(self, pause_s):
        """Move the last reads into the past, as if the process had paused."""
        self.state.fleet.watch.read_at -= pause_s
        self.state.proof.proven_at -= pause_s
        self.state.fleet.watch.record_failure(anyio.current_time())

    def get_usable(self):
        """Return the ids of the targets that accept new requests."""
        return {
            target.target_id for target in self.state.fleet.get_usable('svc')
        }

    def _send(self, message, addresses):
        raw = encode_message(message, anyio.current_time())
        for address in addresses:
            self.network[address].receive(raw, self.address)

    def receive(self, raw, sender):
        """Handle a datagram."""
        self.gossip.handle_datagram(raw, sender)

    async def _get(self, address, asked):
        return json.loads(self.network[address].exchange.encode_update())


async def _sleep(wait_s):
    """Skip the pause between two questions."""


def run_entries(count, store, scenario):
    """Run `scenario(*entries)` with entries that have read the store."""

    async def main():
        async with anyio.create_task_group() as group:
            network = {}
            entries = [
                FollowingEntry(number, store, network, group)
                for number in range(count)
            ]
            for entry in entries:
                await entry.read()
                entry.state.fleet.watch.resumed_at = float('-inf')
            found = await scenario(*entries)
            group.cancel_scope.cancel()
        return found

    return run_virtually(main)
