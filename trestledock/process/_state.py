"""
State of an instance
====================

All state of one entry instance, owned by one task.  The handlers of the core
read and change it and leave their actions in `out`.
"""

from dataclasses import dataclass, field
from random import Random
from typing import Any, Mapping

from trestledock.process._actions import Action, Count, LogEvent
from trestledock.process._claims import ClaimTable
from trestledock.process._epoch import Epoch
from trestledock.process._fleet import Fleet, Target
from trestledock.process._holds import Guard, HoldIds
from trestledock.process._identity import Identity, Timing
from trestledock.process._lease import Lease
from trestledock.process._limits import Limits
from trestledock.process._live import Live
from trestledock.process._liveness import Liveness
from trestledock.process._policy import Policy
from trestledock.process._queue import FairQueue
from trestledock.process._timers import Timers
from trestledock.relay import RetryLimits, Quarantine, RetryBudget
from trestledock.version import Configuration, Reader


@dataclass
class Version:
    """The configuration in force; `number` is its offset on the log."""

    number: int = -1
    cfg: Configuration | None = None


@dataclass
class PublishWait:
    """A publication whose verdict is not known yet."""

    base: int
    body: str
    appended_at: float = float('-inf')


@dataclass
class Duties:
    """When the duties of the process were last done, and their inputs."""

    last_step: float = float('-inf')
    log_read_at: float = float('-inf')
    snapshots_seen: int = 0
    snapshot_due: float = 0
    wanted_members: tuple[str, ...] = ()
    wanted_since: float = 0
    epoch_asked_at: float = float('-inf')
    delisted: set[str] = field(default_factory=set)
    record_count: int = 0
    round_robin: int = 0
    pumps: set[str] = field(default_factory=set)


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
    permits: dict[tuple[str, ...], Any] = field(default_factory=dict)
    limits: Limits = field(default_factory=Limits)
    queues: dict[str, FairQueue] = field(default_factory=dict)
    budgets: dict[str, RetryBudget] = field(default_factory=dict)
    requests: dict[str, Live] = field(default_factory=dict)
    epochs: dict[str, Epoch] = field(default_factory=dict)
    liveness: Liveness = field(default_factory=Liveness)
    guard: Guard = field(default_factory=Guard)
    timers: Timers = field(default_factory=Timers)
    publishing: dict[str, PublishWait] = field(default_factory=dict)
    duties: Duties = field(default_factory=Duties)
    quarantine: Quarantine = field(default_factory=Quarantine)
    shutting_down: bool = False
    out: list[Action] = field(default_factory=list)
    claims: ClaimTable = field(init=False)
    hold_ids: HoldIds = field(init=False)
    lease: Lease = field(init=False)

    def __post_init__(self) -> None:
        """Build the parts that carry the member's name."""
        self.claims = ClaimTable(self.member)
        self.hold_ids = HoldIds(self.member)
        self.lease = Lease(self.member, self.timing)

    @property
    def member(self) -> str:
        """This incarnation's name among its peers."""
        return self.identity.member

    def act(self, action: Action) -> None:
        """Ask the tasks around the core for something."""
        self.out.append(action)

    def count(self, name: str, label: str = '') -> None:
        """Count an event."""
        self.out.append(Count(name, label))

    def note(self, event: str, peer: str = '', detail: str = '') -> None:
        """Log a change of state."""
        self.out.append(LogEvent(event, peer, detail))

    def set_timer(self, at: float, timer: Any) -> None:
        """Send a message to this instance for later."""
        self.timers.push(at, timer)

    def get_queue(self, pool: str) -> FairQueue:
        """Return the fair queue of a pool."""
        return self.queues.setdefault(pool, FairQueue())

    def get_budget(self, pool: str) -> RetryBudget:
        """Return the retry budget of a pool at this instance."""
        return self.budgets.setdefault(pool, RetryBudget(RetryLimits()))

    def get_targets(self) -> Mapping[str, Target]:
        """Return the targets by name."""
        return self.fleet.targets

    def make_record_id(self, purpose: str) -> str:
        """Return a record id that no other incarnation will use."""
        self.duties.record_count += 1
        return f'{self.member}/{purpose}/{self.duties.record_count}'

    def is_log_fresh(self, now: float) -> bool:
        """Whether the log has answered lately."""
        return now - self.duties.log_read_at < self.timing.peer_dead_s
