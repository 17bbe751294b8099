"""
Peer payloads
=============

The messages between entry instances, sent as JSON over HTTP.  The class name
of a payload is its type on the wire, and its fields are the wire fields.
"""

from dataclasses import dataclass

from trestledock.version import Accepted, Snapshot


@dataclass(frozen=True)
class Digest:
    """A summary of a target's load report, for heartbeats."""

    target: str
    age_s: float
    queued: tuple[int, ...]
    free_tokens: int
    accepted_tokens: int


@dataclass(frozen=True)
class TeamDemand:
    """A team's recent demand at one instance, in engine seconds per second."""

    team: str
    demand: float


@dataclass(frozen=True)
class Heartbeat:
    """A heartbeat with the sender's view of the fleet.

    `offset` is the log offset up to which the sender has read; a peer that is
    behind requests the state.  `ages` encodes the time since each member of
    the epoch was last heard, see `_failure_detection`.
    """

    data_centre: str
    address: str
    offset: int
    epoch: int = -1
    ages: str = ''
    leaving: bool = False
    leaving_targets: tuple[str, ...] = ()
    digests: tuple[Digest, ...] = ()
    demands: tuple[TeamDemand, ...] = ()


@dataclass(frozen=True)
class StateAsk:
    """Requests the folded log from a peer; the sender is at `offset`."""

    offset: int


@dataclass(frozen=True)
class StateAnswer:
    """The log's state as folded by a peer."""

    snapshot: Snapshot


@dataclass(frozen=True)
class ClaimAsk:
    """Requests a claim on a key from the key's first replica.

    The claimant may start the call within `ttl_s` seconds.
    """

    key: str
    claim_id: str
    epoch: int
    ttl_s: float


@dataclass(frozen=True)
class ClaimCopy:
    """Replicates a claim from the first replica to another."""

    key: str
    claim_id: str
    claimant: str
    epoch: int
    ttl_s: float


@dataclass(frozen=True)
class ClaimCopied:
    """Reports whether a replica recorded a claim.

    A replica refuses if it knows another claim on the key, or is in another
    epoch.
    """

    key: str
    claim_id: str
    epoch: int
    recorded: bool


@dataclass(frozen=True)
class ClaimAnswer:
    """The response to a `ClaimAsk`; `grant` is a `ClaimDecision`."""

    key: str
    claim_id: str
    grant: str
    outcome: str = ''
    status: int = 0
    body: str = ''
    wait_s: float = 0


@dataclass(frozen=True)
class ClaimResult:
    """Reports the outcome of a claimed call to the key's replicas."""

    key: str
    claim_id: str
    epoch: int
    outcome: str
    status: int = 0
    body: str = ''


@dataclass(frozen=True)
class ClaimEntry:
    """A claim that a member of the old epoch hands over to the new one."""

    key: str
    claim_id: str
    claimant: str
    age_s: float
    ttl_s: float
    outcome: str
    status: int
    body: str


@dataclass(frozen=True)
class Blind:
    """An earlier epoch whose claims are partly unknown.

    A key has an unknown history for `left_s` more seconds if none of its
    replicas in the epoch at `offset` is among `heard`.
    """

    offset: int
    members: tuple[str, ...]
    replicas: int
    heard: tuple[str, ...]
    left_s: float
    closed: bool


@dataclass(frozen=True)
class SealAsk:
    """Asks a member of an old epoch to seal it and to hand over its claims."""

    accepted: Accepted


@dataclass(frozen=True)
class SealAnswer:
    """The claims of a member that has sealed the older epochs.

    The sender grants no claims in epochs before `epoch`.  `vouches` lists the
    epochs for which it has every claim on its keys.
    """

    epoch: int
    vouches: tuple[int, ...]
    entries: tuple[ClaimEntry, ...]
    blinds: tuple[Blind, ...]


@dataclass(frozen=True)
class HoldBlock:
    """A block of reservation ids that the sender may use on a target.

    The receiver watches the block: it cancels every id on the target when the
    sender becomes unreachable.  With `done` it stops watching.
    """

    target: str
    address: str
    first: int
    done: bool = False


@dataclass(frozen=True)
class HoldBlockKept:
    """Confirms that a peer watches a block."""

    target: str
    first: int


@dataclass(frozen=True)
class TargetEnds:
    """Incarnations of targets that crashed while they ran a request.

    `fingerprint` is a name of the request, which may be a part of its prompt.
    It is no longer suspected of the crashes in `cleared`, because a target has
    completed such a request since.  `ages_s` are the times since the crashes,
    none for crashes of this moment.
    """

    fingerprint: str
    targets: tuple[str, ...]
    cleared: tuple[str, ...] = ()
    ages_s: tuple[float, ...] = ()


Payload = (
    Heartbeat
    | StateAsk
    | StateAnswer
    | ClaimAsk
    | ClaimCopy
    | ClaimCopied
    | ClaimAnswer
    | ClaimResult
    | SealAsk
    | SealAnswer
    | HoldBlock
    | HoldBlockKept
    | TargetEnds
)

PAYLOADS: tuple[type, ...] = Payload.__args__
