"""
Environment of a run
====================

Connects store, targets, entries and callers, and makes the changes of
operators: configurations, keys and replacements of targets.
"""

import os
import signal
import time
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from random import Random

import anyio
from anyio.abc import SocketAttribute, TaskGroup

from tests.soak.callers import (
    HOST,
    REQUEST_KINDS,
    TIMEOUT_S,
    Caller,
    DeadlyCaller,
    PartCaller,
    Keys,
)
from tests.soak.entries import COLD_PER_S, GRACE_S, Entry, run_entries
from tests.soak.ledger import Ledger, Partition
from tests.soak.links import Cut, Link
from tests.soak.serving import serve_stream
from tests.soak.store import CONFIG, TARGETS, Store
from tests.soak.updates import poll_failures, poll_updates
from tests.soak.targets import (
    DEADLY_PART,
    DRAINING,
    HEARTBEAT_INTERVAL_S,
    READY,
    RESERVATIONS_BY_ID,
    SLOTS,
    Target,
)

DATA_CENTRES = ('dc-a', 'dc-b', 'dc-c')
TEAMS = ('kiosks', 'desk', 'audit')
KEYS_PER_TEAM = 4
#: How long targets are cold after their start in plan `cold`, in seconds.
COLD_S = 4
#: How long after a crash a target starts again under its id, in seconds.
RESTART_DELAY_S = (0.3, 2.5)
HALF = 0.5
#: Share of the targets of plan `unframed` that end answers by closing.
UNFRAMED_SHARE = 0.7
#: Interval of the checks for idle reservations, in seconds.
RESERVATION_CHECK_S = 0.5
#: Number of different requests that crash targets, and of callers of each.
DEADLY_REQUESTS = 3
DEADLY_CALLERS = 4
#: Number of callers with a deadly part, for each of up to two such parts.
PART_CALLERS = 6
#: Interval at which the driver measures its own delay, in seconds.
LATENESS_INTERVAL_S = 0.02
ENGINE = {
    'slots': SLOTS,
    'kvCapacity': 232_000,
    'stride': 43,
    'step_ms': 0.5,
    'read_per_s': 200_000,
}
#: Plans in which the store reports its epoch.
RESTORING_PLANS = ('restored', 'evacuated')
PRODUCT = ('trestledock.platform',)
#: The product with connections that the links can tell apart by entry.
BOUND_PRODUCT = ('tests.soak.bound',)


def get_network(pid: int) -> str:
    """Return the first three numbers of the addresses of a run's entries.

    Runs in processes whose ids differ by less than 51,200 get different ones.

    >>> get_network(256), get_network(257)
    ('127.21.0', '127.21.1')
    """
    return f'127.{pid // 256 % 200 + 20}.{pid % 256}'


@dataclass(frozen=True)
class Size:
    """Size of a run and its plan of faults.

    `plain` is the number of targets that aren't engines; `run_s` is how long
    callers send requests; `plan` is one of `faults.PLANS`; `grace_s` is the
    grace period of stopping entries.
    """

    entries: int = 4
    engines: int = 6
    plain: int = 3
    callers: int = 20
    run_s: float = 20
    plan: str = 'mixed'
    grace_s: float = GRACE_S


@dataclass
class World:
    """All components of one run.

    `late_s` is the longest delay of the driver itself.  In plan `cold`, targets
    that start after the entries are cold.
    """

    size: Size
    rng: Random
    folder: Path
    group: TaskGroup
    command: tuple[str, ...] = PRODUCT
    ledger: Ledger = field(default_factory=Ledger)
    store: Store = field(default_factory=Store)
    keys: Keys = field(default_factory=Keys)
    entries: list[Entry] = field(default_factory=list)
    targets: list[Target] = field(default_factory=list)
    version: int = 0
    timeouts_s: dict[str, float] = field(default_factory=dict)
    objective_s: float = 1
    target_count: int = 0
    variant: int = 0
    late_s: float = 0
    is_started: bool = False
    finished: bool = False

    async def start(self) -> None:
        """Start everything except the callers."""
        RESERVATIONS_BY_ID.clear()
        if self.size.plan in RESTORING_PLANS:
            self.store.era = 1
        self.timeouts_s = dict(TIMEOUT_S)
        for team in TEAMS:
            for number in range(KEYS_PER_TEAM):
                self.keys.by_key[f'key-{team}-{number}'] = team
        self.publish()
        listener = await anyio.create_tcp_listener(
            local_host='127.0.0.1', local_port=0
        )
        port = listener.extra(SocketAttribute.local_port)
        self.group.start_soon(listener.serve, self._serve_store)
        for service, count in (
            ('engines', self.size.engines),
            ('booking', self.size.plain),
        ):
            for number in range(count):
                await self.add_target(service, DATA_CENTRES[number % 3])
        for number in range(self.size.entries):
            await self._add_entry(number, f'127.0.0.1:{port}')
        self.is_started = True
        self.group.start_soon(run_entries, self.entries, self.group)
        for entry in self.entries:
            self.group.start_soon(poll_updates, entry, self.ledger)
            self.group.start_soon(poll_failures, entry, self.ledger)
        self.group.start_soon(self._check_reservations)
        self.group.start_soon(self._measure_lateness)

    def start_callers(self) -> None:
        """Start the callers."""
        for number in range(self.size.callers):
            caller = Caller(
                f'c{number}',
                self.entries,
                self.ledger,
                self.keys,
                Random(self.rng.random()),
                lambda: self.finished,
            )
            self.group.start_soon(caller.run)
        if self.size.plan == 'deadly':
            self._start_deadly_callers()
        if self.size.plan == 'parts':
            self._start_part_callers()

    def _start_deadly_callers(self) -> None:
        """Start callers of requests that crash targets.

        Several callers send each of these requests, as callers do that retry.
        """
        for number in range(DEADLY_REQUESTS * DEADLY_CALLERS):
            caller = DeadlyCaller(
                f'd{number}',
                self.entries,
                self.ledger,
                self.keys,
                Random(self.rng.random()),
                lambda: self.finished,
                request_index=number % DEADLY_REQUESTS,
            )
            self.group.start_soon(caller.run)

    def _start_part_callers(self) -> None:
        """Start callers whose requests share one of one or two deadly parts."""
        for number in range(PART_CALLERS * self.rng.randint(1, 2)):
            caller = PartCaller(
                f'p{number}',
                self.entries,
                self.ledger,
                self.keys,
                Random(self.rng.random()),
                lambda: self.finished,
                part=f'{DEADLY_PART}{number // PART_CALLERS}',
            )
            self.group.start_soon(caller.run)

    def publish(self) -> None:
        """Write the current configuration as a new version."""
        self.version += self.rng.randint(1, 3)
        for name, timeout_s in self.timeouts_s.items():
            self.ledger.record_timeout(REQUEST_KINDS[name][0], timeout_s)
        plain = {
            'version': self.version,
            'routes': [self._make_route(name) for name in REQUEST_KINDS],
            'services': [
                {
                    'name': 'engines',
                    'engineKind': {**ENGINE, 'stride': 43 + self.variant % 3},
                    **self._get_cold_fields(),
                },
                {'name': 'booking', **self._get_cold_fields()},
            ],
            'limits': {'idleTimeoutMs': 15_000},
            'tenants': [
                {
                    'name': team,
                    'apiKeys': [
                        key
                        for key, owner in self.keys.by_key.items()
                        if owner == team
                    ],
                }
                for team in TEAMS
            ],
        }
        self.store.put_json(*CONFIG, plain)
        self.ledger.record_change('version', str(self.version))

    def _get_cold_fields(self) -> dict[str, float]:
        if self.size.plan != 'cold':
            return {}
        return {'coldPerS': COLD_PER_S, 'coldStartS': COLD_S}

    def revoke(self) -> None:
        """Revoke one key; some callers go on using it."""
        key = self.keys.revoke(self.rng)
        self.publish()
        self.ledger.record_change('revoked', key)

    async def evacuate(self, data_centre: str, for_s: float) -> None:
        """Evacuate a data centre for some time."""
        key = f'evacuate/{data_centre}'
        self.store.put_json(CONFIG[0], key, {})
        evacuation = self.ledger.begin_evacuation(data_centre)
        await anyio.sleep(for_s)
        evacuation.ended_at = time.monotonic()
        self.store.put_json(CONFIG[0], key, None)

    async def add_target(self, service: str, data_centre: str) -> Target:
        """Start a new target."""
        self.target_count += 1
        name = f'i-{self.target_count}'
        return await self._start_target(name, service, data_centre)

    async def _start_target(
        self,
        target_id: str,
        service: str,
        data_centre: str,
    ) -> Target:
        target = Target(
            target_id,
            service,
            data_centre,
            self.ledger,
            self.store,
            Random(self.rng.random()),
            on_crash=self._recover_crashed,
        )
        self.ledger.data_centres[target.incarnation] = data_centre
        target.link.get_cut = partial(self._get_cut, target)
        if self.size.plan == 'unframed':
            target.ends_by_close = self.rng.random() < UNFRAMED_SHARE
            target.crashes_quietly = self.rng.random() < HALF
        if self.size.plan == 'cold' and self.is_started:
            target.become_cold(COLD_S, 0)
        await target.start_serving(self.group)
        self.targets.append(target)
        return target

    async def replace(self, target: Target, state: str = DRAINING) -> None:
        """Drain or delist a target as planned, after starting another."""
        await self.add_target(target.service, target.data_centre)
        await target.leave(state)
        self.remove(target)
        self.store.put_json(TARGETS, target.target_id, None)

    async def crash(self, target: Target) -> None:
        """Crash a target; its record is deleted after three heartbeats."""
        self.remove(target)
        await anyio.sleep(HEARTBEAT_INTERVAL_S * 3)
        self.store.put_json(TARGETS, target.target_id, None)
        self.ledger.record_change('leaving', target.incarnation)
        await self.add_target(target.service, target.data_centre)

    async def restart(self, target: Target, pause_s: float) -> None:
        """Crash a target and start it again under its id, after a pause.

        It has lost all state, and its record may have stayed in the store.
        """
        self.remove(target)
        await anyio.sleep(pause_s)
        await self._start_target(
            target.target_id, target.service, target.data_centre
        )

    def _recover_crashed(self, target: Target) -> None:
        """Replace a target that a request has crashed, or restart it later."""
        fault = self.ledger.begin_fault('deadly', target=target.incarnation)
        fault.ended_at = time.monotonic()
        rng = Random(self.rng.random())
        if rng.random() < HALF:
            pause_s = rng.uniform(*RESTART_DELAY_S)
            self.group.start_soon(self.restart, target, pause_s)
        else:
            self.group.start_soon(self.crash, target)
        self.remove(target)

    def remove(self, target: Target) -> None:
        """Stop a target at once."""
        target.stopped.set()
        self.ledger.record_change('ended', target.incarnation)
        if target in self.targets:
            self.targets.remove(target)

    def begin_partition(
        self,
        entries: list[Entry],
        cut: Cut,
        data_centre: str = '',
        service: str = '',
    ) -> Partition:
        """Cut entries off from all targets, or from some of them."""
        partition = Partition(
            entries=tuple(entry.name for entry in entries),
            hosts=tuple(entry.host for entry in entries),
            cut=cut.name,
            began_at=time.monotonic(),
            data_centre=data_centre,
            service=service,
        )
        self.ledger.partitions.append(partition)
        self._apply_cuts()
        return partition

    def end_partition(self, partition: Partition) -> None:
        """Give entries their links back."""
        partition.ended_at = time.monotonic()
        self._apply_cuts()

    def _get_cut(self, target: Target, host: str) -> Cut | None:
        """Return how the link of an entry to a target is cut, if it is."""
        now = time.monotonic()
        for partition in self.ledger.partitions:
            if host in partition.hosts and now < partition.ended_at:
                if partition.includes(target.data_centre, target.service):
                    return Cut[partition.cut]
        return None

    def _apply_cuts(self) -> None:
        for target in self.targets:
            target.link.apply_cuts()

    def end_processes(self) -> None:
        """Kill all entries for good."""
        for entry in self.entries:
            entry.last = True
            entry.send(signal.SIGCONT)
            entry.send(signal.SIGKILL)
            if entry.child:
                entry.child.wait()

    def pick_target(self) -> Target:
        """Return a random target that isn't draining or delisted."""
        return self.rng.choice(
            [one for one in self.targets if one.state == READY]
        )

    def has_targets(self) -> bool:
        """Whether any target isn't draining or delisted."""
        return any(one.state == READY for one in self.targets)

    def get_elapsed_s(self) -> float:
        """Return the seconds since the run began."""
        return time.monotonic() - self.ledger.began_at

    def is_ready(self) -> bool:
        """Whether all entries are in rotation."""
        return all(entry.in_rotation for entry in self.entries)

    async def _add_entry(self, number: int, store: str) -> None:
        link = Link(store)
        await link.open(self.group)
        # The port of the metrics is fixed, so each entry has its own address.
        entry = Entry(
            f'entry-{number}',
            f'{get_network(os.getpid())}.{number + 1}',
            DATA_CENTRES[number % 3],
            self.folder,
            self.ledger,
            self.command,
            link,
            grace_s=self.size.grace_s,
        )
        self.entries.append(entry)

    def _make_route(self, name: str) -> dict:
        path, kind, service = REQUEST_KINDS[name]
        streaming = kind == 'streaming'
        objective_ms = round(self.objective_s * 1000) if streaming else 300
        return {
            'name': name,
            'host': HOST,
            'pathPrefix': path[:-1],
            'kind': kind,
            'service': service,
            'timeoutMs': round(self.timeouts_s[name] * 1000),
            'sloMs': objective_ms + self.variant,
            'maxAttempts': 1 if kind == 'non_idempotent' else 2,
            'resumable': streaming,
            'gapAimMs': 500 + self.variant,
        }

    async def _serve_store(self, stream: anyio.abc.SocketStream) -> None:
        await serve_stream(stream, self.store.handle)

    async def _measure_lateness(self) -> None:
        """Keep the longest delay of the driver itself."""
        while True:
            began_at = time.monotonic()
            await anyio.sleep(LATENESS_INTERVAL_S)
            over_s = time.monotonic() - began_at - LATENESS_INTERVAL_S
            self.late_s = max(self.late_s, over_s)

    async def _check_reservations(self) -> None:
        while True:
            await anyio.sleep(RESERVATION_CHECK_S)
            for target in self.targets:
                target.record_leaks(time.monotonic())
