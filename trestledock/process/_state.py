"""
Instance state
==============

The entire state of an entry instance, owned by a single task.  The handlers
read and change it, and append their actions to `State.actions`.
"""

from dataclasses import dataclass, field
from random import Random
from typing import Any, Mapping

from trestledock.process._actions import Action, Count, LogEvent
from trestledock.process._claims import ClaimTable
from trestledock.process._epoch import Epoch
from trestledock.process._failure_detection import Liveness
from trestledock.process._fleet import Fleet, Target
from trestledock.process._identity import Identity, Timing
from trestledock.process._lease import Lease
from trestledock.process._limits import Limits
from trestledock.process._live_request import LiveRequest
from trestledock.process._policy import Policy
from trestledock.process._queue import FairQueue
from trestledock.process._reservations import ReservationIds, ReservationWatch
from trestledock.process._timers import Timers
from trestledock.relay import Quarantine, RetryBudget, RetryLimits
from trestledock.version import Configuration, Reader


@dataclass
class Version:
    """The configuration in force; `number` is its offset on the log."""

    number: int = -1
    cfg: Configuration | None = None


@dataclass
class PendingPublication:
    """A publication that is not yet accepted or rejected."""

    base: int
    body: str
    appended_at: float = float('-inf')


@dataclass
class Bookkeeping:
    """Times and counters of the periodic tasks and of dispatch."""

    last_step: float = float('-inf')
    log_read_at: float = float('-inf')
    snapshots_seen: int = 0
    snapshot_due: float = 0
    desired_members: tuple[str, ...] = ()
    desired_since: float = 0
    epoch_proposed_at: float = float('-inf')
    unlisted_members: set[str] = field(default_factory=set)
    record_count: int = 0
    round_robin: int = 0
    scheduled_pools: set[str] = field(default_factory=set)


@dataclass
class State:
    """The state of one entry instance."""

    identity: Identity
    timing: Timing
    policy: Policy
    rng: Random
    address: str = ''
    version: Version = field(default_factory=Version)
    reader: Reader = field(default_factory=Reader)
    fleet: Fleet = field(default_factory=Fleet)
    permitted_sets: dict[tuple[str, ...], Any] = field(default_factory=dict)
    limits: Limits = field(default_factory=Limits)
    queues: dict[str, FairQueue] = field(default_factory=dict)
    budgets: dict[str, RetryBudget] = field(default_factory=dict)
    requests: dict[str, LiveRequest] = field(default_factory=dict)
    epochs: dict[str, Epoch] = field(default_factory=dict)
    liveness: Liveness = field(default_factory=Liveness)
    reservation_watch: ReservationWatch = field(
        default_factory=ReservationWatch
    )
    timers: Timers = field(default_factory=Timers)
    publishing: dict[str, PendingPublication] = field(default_factory=dict)
    bookkeeping: Bookkeeping = field(default_factory=Bookkeeping)
    quarantine: Quarantine = field(default_factory=Quarantine)
    shutting_down: bool = False
    actions: list[Action] = field(default_factory=list)
    claims: ClaimTable = field(init=False)
    reservation_ids: ReservationIds = field(init=False)
    lease: Lease = field(init=False)

    def __post_init__(self) -> None:
        """Create the parts that need the member name."""
        self.claims = ClaimTable(self.member)
        self.reservation_ids = ReservationIds(self.member)
        self.lease = Lease(self.member, self.timing)

    @property
    def member(self) -> str:
        """The unique name of this incarnation."""
        return self.identity.member

    def emit(self, action: Action) -> None:
        """Append an action."""
        self.actions.append(action)

    def count(self, name: str, label: str = '') -> None:
        """Increment a counter."""
        self.actions.append(Count(name, label))

    def log_event(self, event: str, peer: str = '', detail: str = '') -> None:
        """Log a state change."""
        self.actions.append(LogEvent(event, peer, detail))

    def set_timer(self, at: float, timer: Any) -> None:
        """Schedule `timer` to be handled at the instant `at`."""
        self.timers.push(at, timer)

    def get_queue(self, pool: str) -> FairQueue:
        """Return the fair queue of a pool."""
        return self.queues.setdefault(pool, FairQueue())

    def get_budget(self, pool: str) -> RetryBudget:
        """Return this instance's retry budget for a pool."""
        return self.budgets.setdefault(pool, RetryBudget(RetryLimits()))

    def get_targets(self) -> Mapping[str, Target]:
        """Return the targets by name."""
        return self.fleet.targets

    def make_record_id(self, purpose: str) -> str:
        """Return a record id that is unique across incarnations."""
        self.bookkeeping.record_count += 1
        return f'{self.member}/{purpose}/{self.bookkeeping.record_count}'

    def is_log_fresh(self, now: float) -> bool:
        """Whether the log was read recently."""
        return now - self.bookkeeping.log_read_at < self.timing.peer_dead_s
