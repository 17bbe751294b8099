"""Entries with the platform's adapter on a store restored from copies.

Everything runs on a virtual clock. The store is that of the soak test; its
connections and the network between entries are calls within the process.
"""

import json
from dataclasses import replace
from random import Random
from unittest.mock import patch
from urllib.parse import parse_qsl, urlsplit

import anyio

from tests.relaying import SETTINGS
from tests.soak.serving import Exchange, Reset
from tests.soak.store import CONFIG, TARGETS, Store
from tests.virtual_loop import run_virtually
from trestledock.entry import Head, WireError
from trestledock.entry._follower import Follower
from trestledock.entry._gossip import Gossip
from trestledock.entry._quarantine_sync import Keeping
from trestledock.entry._update_exchange import UpdateExchange
from trestledock.entry._pool import Pool
from trestledock.entry._store_repair import Restoring
from trestledock.entry._state import EntryState
from trestledock.entry._message_codec import encode_message
from trestledock.platform import _log
from trestledock.platform._store import StoreDirectory

#: Latency between two entries, in seconds.
WAY_S = 0.0005
#: Interval between two heartbeats of a target, in seconds.
HEARTBEAT_S = 1.2
KEY = 'key-1'


class StoreWire:
    """Connection to the store as a call within the process."""

    store = None
    requests = []

    def __init__(self):
        self._answer = None

    @classmethod
    async def connect(cls, address):
        await anyio.sleep(WAY_S)
        return cls()

    async def send(self, method, target, headers, body):
        parts = urlsplit(target)
        query = dict(parse_qsl(parts.query))
        self.requests.append((parts.path, query['topic']))
        exchange = Exchange(None, None, method, parts.path, query, {}, body)
        exchange.answer = self._store_answer
        try:
            await self.store.handle(exchange)
        except Reset as exc:
            raise WireError('answer', 'reset') from exc

    async def _store_answer(self, status, body=b'', headers=()):
        raw = tuple((name.encode(), value.encode()) for name, value in headers)
        self._answer = Head(status, raw), body

    async def read_head(self):
        return self._answer[0]

    async def read_body(self):
        return self._answer[1]

    def recycle(self):
        return True

    async def close(self):
        """Do nothing, as nothing is open."""


class RestoringEntry:
    """Entry with all parts that follow the store."""

    def __init__(self, number, network, group, life=1):
        self.number = number
        self.address = ('127.0.0.1', number + 1)
        self.network = network
        self.settings = replace(
            SETTINGS,
            instance=f'entry-{number}',
            peers=f'127.0.0.1:{number + 1}',
        )
        member = f'entry-{number}#{life}'
        self.state = EntryState(self.settings, member, Random(number), group)
        self.directory = StoreDirectory('store')
        self.gossip = Gossip(self.state)
        self.exchange = UpdateExchange(self.state, self.gossip)
        self.gossip.send = self._send
        self.exchange._get = self._get
        self.follower = Follower(
            self.state, self.directory, Pool(self.state.spawn), self.exchange
        )
        is_reader = self.follower.is_reader
        quarantine = self.directory.quarantine
        self.keeping = Keeping(self.state, quarantine, is_reader)
        self.restoring = Restoring(
            self.state, self.directory, self.gossip, is_reader
        )
        self.scope = anyio.CancelScope()

    async def live(self):
        """Run until killed."""
        self.network[self.address] = self
        with self.scope:
            async with anyio.create_task_group() as group:
                group.start_soon(self.follower.run)
                group.start_soon(self.keeping.run)
                group.start_soon(self.restoring.run)
                group.start_soon(self.gossip._send_periodically)

    def kill(self):
        """Stop without sending anything."""
        self.network.pop(self.address, None)
        self.scope.cancel()

    def is_ready(self):
        return self.state.is_ready(anyio.current_time())

    def is_key_served(self):
        """Whether requests with the key are sent to targets now."""
        fresh = self.state.proof.is_fresh(anyio.current_time())
        return fresh and KEY in self.state.catalog.keys

    def get_usable(self):
        """Return the ids of the targets that accept new requests."""
        return {
            target.target_id for target in self.state.fleet.get_usable('svc')
        }

    def _send(self, message, addresses):
        raw = encode_message(message, anyio.current_time())
        for address in addresses:
            self.state.group.start_soon(self._deliver, raw, address)

    async def _deliver(self, raw, address):
        await anyio.sleep(WAY_S)
        other = self.network.get(address)
        if other and self.network.get(self.address) is self:
            other.gossip.handle_datagram(raw, self.address)

    async def _get(self, address, asked):
        await anyio.sleep(WAY_S)
        other = self.network.get(address)
        if other is None:
            raise WireError('connect', 'refused')
        update = other.exchange.encode_update(
            self.state.version, with_removed=bool(asked)
        )
        await anyio.sleep(WAY_S)
        return json.loads(update)


class World:
    """Store with its operator and targets, and entries that start and stop."""

    def __init__(self, group):
        self.group = group
        self.store = Store(era=1)
        self.network = {}
        self.entries = []
        self.version = 0
        self.keys = [KEY]
        self.targets = {}

    def publish(self, version=None):
        """Write the configuration, a newer one unless a version is given."""
        self.version = version or self.version + 1
        plain = {
            'version': self.version,
            'tenants': [{'name': 'team', 'apiKeys': self.keys}],
        }
        self.store.put_json(*CONFIG, plain)

    def beat(self, target_id, state='ready', *, counts=True):
        """Write a heartbeat of a target."""
        self.targets[target_id] = self.targets.get(target_id, 0) + counts
        plain = {
            'service': 'svc',
            'address': '10.0.0.1:80',
            'zone': 'dc',
            'state': state,
            'slots': 8,
            'sequence': self.targets[target_id],
            'born': 1000,
        }
        self.store.put_json(TARGETS, target_id, plain)

    def remove_target(self, target_id):
        """Remove a target's record; it writes no more."""
        self.targets.pop(target_id)
        self.store.put_json(TARGETS, target_id, None)

    def evacuate(self, *, ends=False):
        """Begin or end the evacuation of the data centre."""
        self.store.put_json(CONFIG[0], 'evacuate/dc', None if ends else {})

    async def run_targets(self):
        """Write heartbeats of all targets periodically."""
        while True:
            await anyio.sleep(HEARTBEAT_S)
            for target_id in list(self.targets):
                self.beat(target_id)

    async def start(self, number, life=1):
        """Start an entry; return it a moment later."""
        entry = RestoringEntry(number, self.network, self.group, life)
        self.entries.append(entry)
        self.group.start_soon(entry.live)
        await anyio.sleep(0.2)
        return entry

    def kill_all(self):
        """Kill all entries."""
        for entry in self.entries:
            entry.kill()
        self.entries = []


def run_world(count, scenario):
    """Run `scenario(world, *entries)` after a while of normal operation."""

    async def main():
        async with anyio.create_task_group() as group:
            world = World(group)
            StoreWire.store = world.store
            StoreWire.requests = []
            world.publish()
            for number in range(3):
                world.beat(f't{number}')
            group.start_soon(world.run_targets)
            for number in range(count):
                await world.start(number)
            await anyio.sleep(10)
            found = await scenario(world, *world.entries)
            group.cancel_scope.cancel()
        return found

    with patch.object(_log, 'Wire', StoreWire):
        return run_virtually(main)
