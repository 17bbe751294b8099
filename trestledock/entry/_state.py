"""
State of an entry process
=========================

The state shared by the tasks of one entry. Only tasks of one event loop use it,
each without interruption between two awaits.
"""

from contextlib import contextmanager
from dataclasses import dataclass, field
from random import Random
from typing import Any, Awaitable, Callable, Iterator

import anyio
from anyio.abc import TaskGroup

from trestledock.entry import _events as events
from trestledock.entry._budgets import Budgets
from trestledock.entry._buffers import Buffers
from trestledock.entry._isolation import STORE, Isolation
from trestledock.entry._links import Links
from trestledock.entry._logger import emit
from trestledock.entry._reply import Reply
from trestledock.entry._settings import EntrySettings
from trestledock.relay import (
    MAX_AGE_S,
    LoadTable,
    Catalog,
    Fleet,
    Health,
    RemoteLoad,
    Member,
    Notices,
    Placer,
    FreshnessProof,
    Reachability,
    RestoreTracker,
    RateLimit,
    Backoff,
    ColdLimit,
    ColdStart,
    ListedTarget,
    Throttle,
    UsageTable,
    WaitQueue,
    WaitingTable,
)

#: Delay before a failed background task is restarted, in seconds.
RESTART_S = 0.3
#: Version while no configuration is in force.
NO_VERSION = -1
#: Epoch in the metrics for a store without epochs.
NO_EPOCH = -1
MS = 1000


def _do_nothing() -> None:
    """Default for receiving and sending, without other entries."""


def _send_nothing(_: str) -> None:
    """Default for sending notices, without other entries."""


async def _query_nothing() -> None:
    """Default for querying the loads of other data centres."""


@dataclass(frozen=True, eq=False)
class Wait:
    """Wait for targets that may become unavailable, with its cancel scope."""

    targets: tuple[str, ...]
    scope: anyio.CancelScope


@dataclass(frozen=True, eq=False)
class Unanswered:
    """Request that is being relayed, with its cancel scope."""

    reply: Reply
    scope: anyio.CancelScope


@dataclass
class EntryState:
    """State of one entry process.

    It is `draining` once it was asked to stop, `closing` once idle connections
    are being closed, and `aborting` once the remaining requests are aborted.

    `wait_queue` has the waiting requests of this entry and `peer_waiting` sums
    of those of the others; `usage` counts the tokens of teams over all entries.

    `receive_messages` handles the messages that have arrived from other
    entries, `send_own_changes` sends them the own changes at once, and
    `send_notices` the notices of a target. `refresh_loads` asks other data
    centres for the loads of their targets, and `remote_loads` has the answers.
    """

    settings: EntrySettings
    member: str
    rng: Random
    group: TaskGroup
    catalog: Catalog | None = None
    document: str = ''
    fleet: Fleet = field(default_factory=Fleet)
    load_table: LoadTable = field(default_factory=LoadTable)
    health: Health = field(default_factory=Health)
    reach: Reachability = field(default_factory=Reachability)
    wait_queue: WaitQueue = field(default_factory=WaitQueue)
    peer_waiting: WaitingTable = field(default_factory=WaitingTable)
    usage: UsageTable = field(default_factory=UsageTable)
    ignored_notices: dict[str, dict[str, str]] = field(default_factory=dict)
    restores: RestoreTracker = field(default_factory=RestoreTracker)
    waits: set[Wait] = field(default_factory=set)
    unanswered: set[Unanswered] = field(default_factory=set)
    draining: bool = False
    closing: bool = False
    aborting: bool = False
    in_progress: int = 0
    buffers: Buffers = field(default_factory=Buffers)
    many_entries: bool = False
    changed: anyio.Event = field(default_factory=anyio.Event)
    own_changed: anyio.Event = field(default_factory=anyio.Event)
    restored: anyio.Event = field(default_factory=anyio.Event)
    receive_messages: Callable[[], None] = _do_nothing
    send_own_changes: Callable[[], None] = _do_nothing
    send_notices: Callable[[str], None] = _send_nothing
    refresh_loads: Callable[[], Awaitable[None]] = _query_nothing
    remote_loads: dict[str, RemoteLoad] = field(default_factory=dict)
    isolation: Isolation = field(init=False)
    proof: FreshnessProof = field(init=False)
    placer: Placer = field(init=False)
    throttle: Throttle = field(init=False)
    budgets: Budgets = field(init=False)
    links: Links = field(init=False)

    def __post_init__(self) -> None:
        """Create the parts that share others."""
        self.isolation = Isolation(self.health, self.fleet)
        self.links = Links(self.fleet, self.health)
        self.isolation.hooks.record_crashed = self.links.record_crashed
        self.proof = FreshnessProof(self.settings.revoke_s)
        self.placer = Placer(
            self.load_table,
            self.health,
            self.member,
            self.settings.data_centre,
        )
        self.throttle = Throttle(
            Member(self.settings.peers, self.settings.data_centre),
            self.notices,
            self.rng.random,
        )
        self.throttle.cold.get_limit = self.get_cold_limit
        self.budgets = Budgets(self.settings.budget, self.count_entries)

    @property
    def version(self) -> int:
        """The version of the configuration in force."""
        return self.catalog.version if self.catalog else NO_VERSION

    @property
    def revision(self) -> int:
        """Number of changes in the state that other entries fetch."""
        return (
            self.fleet.revision
            + self.fleet.evacuations.revision
            + self.isolation.revision
        )

    @property
    def notices(self) -> Notices:
        """The notices of targets."""
        return self.fleet.notices

    def spawn(self, work: Callable[..., Awaitable[Any]], *args: Any) -> None:
        """Run a task in the background; its failure stops nothing else."""
        self.group.start_soon(_run_guarded, work, args)

    def keep_running(self, work: Callable[[], Awaitable[Any]]) -> None:
        """Run a task, and restart it on failure, while the process lives."""
        self.group.start_soon(_run_again, work)

    def notify(self) -> None:
        """Wake all tasks that wait for a change of the loads or the fleet."""
        self.changed.set()
        self.changed = anyio.Event()

    def notify_own(self) -> None:
        """Wake waiting tasks, and have the change sent to other entries."""
        self.own_changed.set()
        self.notify()

    def notify_rows(self) -> None:
        """Have a change of the waiting requests sent to other entries."""
        self.own_changed.set()

    async def wait_for_own_change(self) -> None:
        """Wait until the own in-flight requests have changed."""
        await self.own_changed.wait()
        self.own_changed = anyio.Event()

    async def wait_for_change(self, timeout_s: float) -> None:
        """Wait for a change, for at most `timeout_s` seconds."""
        with anyio.move_on_after(timeout_s):
            await self.changed.wait()

    def offers_tunnels(self, now: float) -> bool:
        """Whether other entries may connect to targets through this one."""
        return not self.draining and not self.links.are_all_doubted(now)

    def get_cold_limit(self, service: str) -> ColdLimit | None:
        """Return the limit of a service's cold targets, None without one."""
        bounds = self.settings.cold_bounds
        if bounds is None or self.catalog is None:
            return None
        found = self.catalog.services.get(service)
        if found is None or found.cold is None:
            return None
        return ColdLimit(found.cold, bounds)

    def may_be_cold(self, listed: ListedTarget) -> bool:
        """Return whether a target is restrained while it is cold.

        The list of targets may arrive before the configuration.
        """
        if self.settings.cold_bounds is None:
            return False
        is_limited = self.get_cold_limit(listed.service) is not None
        return self.catalog is None or is_limited

    def record_silence(self, target_id: str, now: float) -> None:
        """Record that a target was unreachable or silent.

        A crash during a request says nothing about the target's data centre.
        """
        data_centre = self._get_remote_data_centre(target_id)
        if has_crashed(self, target_id):
            data_centre = ''
        if not self.health.is_suspect(target_id, now, data_centre):
            emit(events.TargetSuspected(target_id, data_centre))
        self.health.record_silence(target_id, now, data_centre)

    def record_success(self, target_id: str, now: float) -> None:
        """Record that a target answered as expected."""
        self.health.record_success(
            target_id, now, self._get_remote_data_centre(target_id)
        )

    def record_early_failover(self, target_id: str, now: float) -> None:
        """Record that a request was given up early at a target."""
        self.budgets.record_early_failover(now)
        emit(events.TargetDoubted(target_id))
        self.health.record_early_timeout(
            target_id, now, self._get_remote_data_centre(target_id)
        )

    def record_sent(self, target_id: str, now: float) -> None:
        """Record that a request goes to a target."""
        self.health.record_sent(self._get_remote_data_centre(target_id), now)

    def record_remote_entry(
        self,
        data_centre: str,
        name: str,
        now: float,
        *,
        draining: bool = False,
    ) -> None:
        """Record a message from an entry of another data centre."""
        if data_centre == self.settings.data_centre:
            return
        self.health.record_message(data_centre)
        if draining:
            self.reach.remove_instance(data_centre, name)
        else:
            self.reach.record_message(data_centre, name, now)

    def check_reachability(self, now: float) -> None:
        """Suspect the targets of data centres that have become silent."""
        for data_centre in self.reach.check(now):
            if self.health.record_silent_data_centre(data_centre, now):
                emit(events.DataCentreQuiet(data_centre))
                self._cancel_waits(data_centre)

    def is_unreachable(self, target_id: str, now: float) -> bool:
        """Whether all entries of a target's data centre are silent."""
        return self._get_remote_data_centre(target_id) in self.reach.get_silent(
            now
        )

    def get_known_remote_loads(self, now: float) -> set[str]:
        """Return the data centres with known loads; drop outdated loads."""
        for data_centre, load in tuple(self.remote_loads.items()):
            if not load.is_fresh(now):
                self.remote_loads.pop(data_centre)
                self.load_table.set_remote_load(data_centre, ())
        return set(self.remote_loads)

    def is_evacuated(self) -> bool:
        """Whether the own data centre is evacuated."""
        return self.settings.data_centre in self.fleet.evacuations.names

    def count_entries(self) -> int:
        """Return the number of entries, including this one.

        Silent entries count too in what all entries share, as they may only be
        cut off.
        """
        active = self.load_table.count_peers() + 1
        return max(active, self.throttle.get_members().known_count)

    def record_list(
        self,
        as_of: float,
        now: float,
        source: str,
        latest_at: float | None = None,
    ) -> None:
        """Record a list of the targets in the store at the instant `as_of`.

        It is at most as recent as `latest_at`.
        """
        watch = self.fleet.watch
        gap_s = min(as_of - watch.read_at, MAX_AGE_S)
        watch.record_read(as_of, now, latest_at)
        if watch.disturbed_at == now:
            emit(events.ListDisturbed(source, round(gap_s * MS)))

    def record_epoch(self, epoch: int | None, now: float) -> None:
        """Record the epoch of the copy of the store that was read."""
        before = self.restores.epoch
        if self.restores.record_epoch(epoch, now):
            self._record_restore(STORE, before, epoch, now)

    def record_reported_epoch(
        self, epoch: int | None, now: float, source: str
    ) -> None:
        """Record the epoch of the store that another entry reported."""
        before = self.restores.epoch
        if self.restores.record_peer_epoch(epoch):
            self._record_restore(source, before, epoch, now)

    def get_store_age_s(self, now: float) -> float:
        """Return the age of the oldest of the parts that are read.

        These are the configuration, the target list and the evacuations.  A
        reader is only as current as the oldest of them.
        """
        return max(
            self.proof.get_read_age_s(now),
            self.get_list_age_s(now),
            self.fleet.evacuations.get_age_s(now),
        )

    def get_advertised_age_s(self, now: float) -> float:
        """Return the age of the own copy of the store for other entries.

        A draining entry stops accepting connections while it still sends
        messages, so it offers nothing as soon as it drains.
        """
        if self.draining:
            return MAX_AGE_S
        return min(self.get_store_age_s(now), MAX_AGE_S)

    def get_list_age_s(self, now: float) -> float:
        """Return the age of the list of targets, in seconds."""
        return now - self.fleet.watch.read_at

    def get_gauges(self, now: float) -> dict[str, float]:
        """Return the values of the gauges in the metrics."""
        epoch = self.restores.epoch
        return {
            'in_progress': self.in_progress,
            'proof_age_seconds': self.proof.get_age_s(now),
            'read_age_seconds': self.proof.get_read_age_s(now),
            'store_epoch': NO_EPOCH if epoch is None else epoch,
            'version': self.version,
            'targets': len(self.fleet.targets),
            'targets_held': len(self.fleet.retained),
            'targets_leaving': self.fleet.count_draining(),
            'list_age_seconds': self.get_list_age_s(now),
            'peers': self.load_table.count_peers(),
            'targets_resting': self._count_backed_off(now),
            'targets_cold': len(self.notices.get_all(ColdStart)),
            'rate_limits': len(self.notices.get_in_force(RateLimit)),
            'rate_quota_per_second': self._get_quota_sum(),
            'data_centres_evacuated': len(self.fleet.evacuations.names),
            'requests_quarantined': self.isolation.count_quarantined(),
            'parts_quarantined': self.isolation.count_quarantined(parts=True),
            'requests_suspected': len(self.isolation.quarantine.suspects),
            'crashes_unconfirmed': self.isolation.count_unconfirmed(now),
            'links_doubted': self.links.count_doubted(now),
            **self.buffers.get_gauges(),
        }

    @contextmanager
    def track_unanswered(
        self,
        reply: Reply,
        scope: anyio.CancelScope,
    ) -> Iterator[None]:
        """Register a request to be aborted if the process stops meanwhile."""
        request = Unanswered(reply, scope)
        self.unanswered.add(request)
        try:
            yield
        finally:
            self.unanswered.discard(request)

    def abort_requests(self) -> None:
        """Abort each request without a complete answer, with a final error."""
        self.aborting = True
        for request in tuple(self.unanswered):
            if not request.reply.finished:
                request.scope.cancel()

    def is_draining(self) -> bool:
        """Whether connections should be closed after their answer."""
        return self.draining

    def is_ready(self, now: float) -> bool:
        """Whether new connections should come here."""
        is_configured = self.catalog is not None and bool(self.fleet.targets)
        if not is_configured or self.draining or self.links.is_isolated():
            return False
        return self.proof.is_ready(now)

    def _record_restore(
        self,
        source: str,
        before: int | None,
        epoch: int | None,
        now: float,
    ) -> None:
        """Retain targets that the copy lacks, and start the repair."""
        self.fleet.watch.record_restore(now)
        self.isolation.record_restore()
        emit(events.StoreRestored(source, before, epoch, self.version))
        self.restored.set()
        self.restored = anyio.Event()

    def _count_backed_off(self, now: float) -> int:
        backoffs = self.notices.get_all(Backoff).values()
        return sum(not backoff.is_over(now) for backoff in backoffs)

    def _get_quota_sum(self) -> float:
        """Return the sum of this entry's quotas at targets, per second."""
        limited = self.notices.get_in_force(RateLimit)
        listed = [self.fleet.targets.get(name) for name in limited]
        return sum(
            self.throttle.get_quota(target) for target in listed if target
        )

    def _cancel_waits(self, data_centre: str) -> None:
        """Cancel the waits for targets of a data centre."""
        for wait in tuple(self.waits):
            if data_centre in map(self._get_remote_data_centre, wait.targets):
                wait.scope.cancel()

    def _get_remote_data_centre(self, target_id: str) -> str:
        """Return the data centre of a target, or '' for the own one."""
        listed = self.fleet.targets.get(target_id)
        data_centre = listed.data_centre if listed else ''
        return '' if data_centre == self.settings.data_centre else data_centre


async def _run_again(work: Callable[[], Awaitable[Any]]) -> None:
    while True:
        await _run_guarded(work, ())
        await anyio.sleep(RESTART_S)


async def _run_guarded(
    work: Callable[..., Awaitable[Any]],
    args: tuple[Any, ...],
) -> None:
    try:
        await work(*args)
    except Exception:
        emit(events.Failed(work.__qualname__), failed=True)


def has_crashed(state: EntryState, target_id: str) -> bool:
    """Return whether a target crashed, under a suspect request or not."""
    if state.isolation.quarantine.has_crashed(target_id):
        return True
    return state.links.has_crashed(target_id)
