"""
State of an entry process
=========================

Everything that the tasks of one entry share.  Only the tasks of one event
loop touch it, each between two waits.
"""

from contextlib import contextmanager
from dataclasses import dataclass, field
from random import Random
from typing import Any, Awaitable, Callable, Iterator

import anyio
from anyio.abc import TaskGroup

from trestledock.entry import _events as events
from trestledock.entry._budgets import Budgets
from trestledock.entry._isolation import STORE, Isolation
from trestledock.entry._logger import emit
from trestledock.entry._reply import Reply
from trestledock.entry._settings import EntrySettings
from trestledock.relay import (
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
    Throttle,
    WaitQueue,
)

#: How long to wait before a duty that failed is begun again, in seconds.
RESTART_S = 0.3
#: What is told instead of the age of something never known, in seconds.
MAX_AGE_S = 1_000_000
#: What stands for the version where none is in force.
NO_VERSION = -1
#: What is shown as the epoch of a store that tells none.
NO_EPOCH = -1
MS = 1000


def _do_nothing() -> None:
    """Stand for what takes and tells words where nobody speaks."""


def _tell_nobody(_: str) -> None:
    """Stand for what tells the others of a target's notices."""


async def _learn_nothing() -> None:
    """Stand for what asks other data centres where nobody does."""


@dataclass(frozen=True, eq=False)
class Wait:
    """A wait for targets that may be left, with the scope that ends it."""

    targets: tuple[str, ...]
    scope: anyio.CancelScope


@dataclass(frozen=True, eq=False)
class Unanswered:
    """A request that is being relayed, with the scope that ends that."""

    reply: Reply
    scope: anyio.CancelScope


@dataclass
class EntryState:
    """The state of one entry process.

    It is `draining` once it was asked to stop, `closing` once idle connections
    are being closed, and `aborting` once nothing may go on any more.
    `receive_messages` takes the words of the other entries that have come in,
    `send_own_changes` tells them at once of what has changed here,
    `send_notices` of what a target has said of itself; `refresh_loads` asks
    other data centres what their targets have to do, and `remote_loads` has
    what they answered.
    """

    settings: EntrySettings
    member: str
    rng: Random
    group: TaskGroup
    catalog: Catalog | None = None
    document: str = ''
    fleet: Fleet = field(default_factory=Fleet)
    board: LoadTable = field(default_factory=LoadTable)
    health: Health = field(default_factory=Health)
    reach: Reachability = field(default_factory=Reachability)
    turns: WaitQueue = field(default_factory=WaitQueue)
    ignored_notices: dict[str, dict[str, str]] = field(default_factory=dict)
    restores: RestoreTracker = field(default_factory=RestoreTracker)
    waits: set[Wait] = field(default_factory=set)
    unanswered: set[Unanswered] = field(default_factory=set)
    draining: bool = False
    closing: bool = False
    aborting: bool = False
    in_progress: int = 0
    many_entries: bool = False
    changed: anyio.Event = field(default_factory=anyio.Event)
    own_changed: anyio.Event = field(default_factory=anyio.Event)
    restored: anyio.Event = field(default_factory=anyio.Event)
    receive_messages: Callable[[], None] = _do_nothing
    send_own_changes: Callable[[], None] = _do_nothing
    send_notices: Callable[[str], None] = _tell_nobody
    refresh_loads: Callable[[], Awaitable[None]] = _learn_nothing
    remote_loads: dict[str, RemoteLoad] = field(default_factory=dict)
    isolation: Isolation = field(init=False)
    proof: FreshnessProof = field(init=False)
    placer: Placer = field(init=False)
    throttle: Throttle = field(init=False)
    budgets: Budgets = field(init=False)

    def __post_init__(self) -> None:
        """Build the parts that share others."""
        self.isolation = Isolation(self.health, self.fleet)
        self.proof = FreshnessProof(self.settings.revoke_s)
        self.placer = Placer(
            self.board,
            self.health,
            self.member,
            self.settings.data_centre,
        )
        self.throttle = Throttle(
            Member(self.settings.peers, self.settings.data_centre),
            self.notices,
            self.rng.random,
        )
        self.budgets = Budgets(self.settings.budget, self.count_entries)

    @property
    def version(self) -> int:
        """The version of the configuration in force."""
        return self.catalog.version if self.catalog else NO_VERSION

    @property
    def revision(self) -> int:
        """The number of changes in what other entries are told on demand."""
        return self.fleet.revision + self.isolation.revision

    @property
    def notices(self) -> Notices:
        """What targets have said of themselves."""
        return self.fleet.notices

    def spawn(self, work: Callable[..., Awaitable[Any]], *args: Any) -> None:
        """Run something in the background; its failure ends nothing else."""
        self.group.start_soon(_run_guarded, work, args)

    def keep_running(self, work: Callable[[], Awaitable[Any]]) -> None:
        """Run a duty for as long as the process lives."""
        self.group.start_soon(_run_again, work)

    def notify(self) -> None:
        """Wake everyone who waits for a change of the board or the fleet."""
        self.changed.set()
        self.changed = anyio.Event()

    def notify_own(self) -> None:
        """Wake those who wait, and have the change told to the others."""
        self.own_changed.set()
        self.notify()

    async def wait_for_own_change(self) -> None:
        """Wait until this entry's own flights have changed."""
        await self.own_changed.wait()
        self.own_changed = anyio.Event()

    async def wait_for_change(self, limit_s: float) -> None:
        """Wait for a change, `limit_s` seconds at most."""
        with anyio.move_on_after(limit_s):
            await self.changed.wait()

    def record_silence(self, target_id: str, now: float) -> None:
        """Note that a target could not be reached or said nothing.

        Where it ended under a request, that says nothing of its data centre.
        """
        place = self._get_place(target_id)
        if self.isolation.quarantine.has_crashed(target_id):
            place = ''
        if not self.health.is_suspect(target_id, now, place):
            emit(events.TargetSuspected(target_id, place))
        self.health.record_silence(target_id, now, place)

    def record_success(self, target_id: str, now: float) -> None:
        """Note that a target answered as it should."""
        self.health.record_success(target_id, now, self._get_place(target_id))

    def record_early_failover(self, target_id: str, now: float) -> None:
        """Note that a request was given up early at a target."""
        self.budgets.record_early_failover(now)
        emit(events.TargetDoubted(target_id))
        self.health.record_early_timeout(
            target_id, now, self._get_place(target_id)
        )

    def record_sent(self, target_id: str, now: float) -> None:
        """Note that a request goes to a target."""
        self.health.record_sent(self._get_place(target_id), now)

    def record_remote_entry(
        self,
        place: str,
        name: str,
        now: float,
        *,
        leaving: bool = False,
    ) -> None:
        """Note that an entry of another data centre has spoken."""
        if place == self.settings.data_centre:
            return
        self.health.record_message(place)
        if leaving:
            self.reach.remove_instance(place, name)
        else:
            self.reach.record_message(place, name, now)

    def check_reachability(self, now: float) -> None:
        """Leave the targets of data centres that have fallen silent."""
        for place in self.reach.check(now):
            if self.health.record_silent_data_centre(place, now):
                emit(events.DataCentreQuiet(place))
                self._end_waits(place)

    def is_unreachable(self, target_id: str, now: float) -> bool:
        """Whether all entries of a target's data centre are silent."""
        return self._get_place(target_id) in self.reach.get_silent(now)

    def get_known_remote_loads(self, now: float) -> set[str]:
        """Return the data centres whose loads are known now; forget others."""
        for place, load in tuple(self.remote_loads.items()):
            if not load.is_fresh(now):
                self.remote_loads.pop(place)
                self.board.set_remote_load(place, ())
        return set(self.remote_loads)

    def count_entries(self) -> int:
        """Return how many entries there are, this one included.

        Those that are not heard share what all share, too: they may only be
        cut off.
        """
        heard = self.board.count_peers() + 1
        return max(heard, self.throttle.get_members().known_count)

    def record_list(
        self,
        as_of: float,
        now: float,
        source: str,
        latest_at: float | None = None,
    ) -> None:
        """Note a list of what the store held at the instant `as_of`.

        It is no younger than `latest_at`.
        """
        watch = self.fleet.watch
        gap_s = min(as_of - watch.read_at, MAX_AGE_S)
        watch.record_read(as_of, now, latest_at)
        if watch.disturbed_at == now:
            emit(events.ListDisturbed(source, round(gap_s * MS)))

    def record_epoch(self, epoch: int | None, now: float) -> None:
        """Note which copy of the store was read."""
        before = self.restores.epoch
        if self.restores.record_epoch(epoch, now):
            self._note_restore(STORE, before, epoch, now)

    def record_reported_epoch(
        self, epoch: int | None, now: float, source: str
    ) -> None:
        """Note which copy of the store another entry knows."""
        before = self.restores.epoch
        if self.restores.record_peer_epoch(epoch):
            self._note_restore(source, before, epoch, now)

    def get_store_age_s(self, now: float) -> float:
        """Return how long ago the older of what is known was read.

        A reader is only as good as the older of its configuration and its
        list of targets.
        """
        return max(self.proof.get_read_age_s(now), self.get_list_age_s(now))

    def get_advertised_age_s(self, now: float) -> float:
        """Return the age of the news for those who might ask for it.

        An entry that ends stops to take connections while it still speaks, so
        it offers nothing from the beginning of its end on.
        """
        if self.draining:
            return MAX_AGE_S
        return min(self.get_store_age_s(now), MAX_AGE_S)

    def get_list_age_s(self, now: float) -> float:
        """Return the age of what is known of the targets in seconds."""
        return now - self.fleet.watch.read_at

    def get_gauges(self, now: float) -> dict[str, float]:
        """Return the levels that the metrics show."""
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
            'peers': self.board.count_peers(),
            'targets_resting': self._count_resting(now),
            'rate_limits': len(self.notices.get_in_force(RateLimit)),
            'rate_quota_per_second': self._get_quota_sum(),
            'requests_quarantined': self.isolation.count_quarantined(),
            'requests_suspected': len(self.isolation.quarantine.suspects),
        }

    @contextmanager
    def track_unanswered(
        self,
        reply: Reply,
        scope: anyio.CancelScope,
    ) -> Iterator[None]:
        """Have a request given up, should the process end meanwhile."""
        one = Unanswered(reply, scope)
        self.unanswered.add(one)
        try:
            yield
        finally:
            self.unanswered.discard(one)

    def abort_requests(self) -> None:
        """Have each request that has no whole answer get its last word."""
        self.aborting = True
        for one in tuple(self.unanswered):
            if not one.reply.finished:
                one.scope.cancel()

    def is_draining(self) -> bool:
        """Whether connections should be closed after their answer."""
        return self.draining

    def is_ready(self, now: float) -> bool:
        """Whether new connections should come here."""
        known = self.catalog is not None and bool(self.fleet.targets)
        return known and not self.draining and self.proof.is_ready(now)

    def _note_restore(
        self,
        source: str,
        before: int | None,
        epoch: int | None,
        now: float,
    ) -> None:
        """Hold what the copy lacks, and have what was lost written again."""
        self.fleet.watch.record_restore(now)
        self.isolation.record_restore()
        emit(events.StoreRestored(source, before, epoch, self.version))
        self.restored.set()
        self.restored = anyio.Event()

    def _count_resting(self, now: float) -> int:
        rests = self.notices.get_all(Backoff).values()
        return sum(not one.is_over(now) for one in rests)

    def _get_quota_sum(self) -> float:
        """Return how many requests a second go from here to limited targets."""
        limited = self.notices.get_in_force(RateLimit)
        listed = [self.fleet.targets.get(name) for name in limited]
        return sum(self.throttle.get_quota(one) for one in listed if one)

    def _end_waits(self, place: str) -> None:
        """End the waits for targets of a data centre."""
        for wait in tuple(self.waits):
            if place in map(self._get_place, wait.targets):
                wait.scope.cancel()

    def _get_place(self, target_id: str) -> str:
        """Return the data centre of a target, empty for the own one."""
        listed = self.fleet.targets.get(target_id)
        place = listed.data_centre if listed else ''
        return '' if place == self.settings.data_centre else place


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
