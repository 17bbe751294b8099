"""
Peer payloads
=============

What entry instances say to each other, as JSON over HTTP.  `Payload` is the
union of them; its codec adds the type's name.
"""

from dataclasses import dataclass

from trestledock.version import Accepted, Snapshot


@dataclass(frozen=True)
class Digest:
    """A target's load as one instance saw it, small enough for heartbeats."""

    target: str
    age_s: float
    queued: tuple[int, ...]
    free_tokens: int
    accepted_tokens: int


@dataclass(frozen=True)
class TeamDemand:
    """A team's recent demand at one instance, in engine seconds a second."""

    team: str
    demand: float


@dataclass(frozen=True)
class Heartbeat:
    """A sign of life with what the peer may not know yet.

    `offset` is the log offset that the sender has read to; a peer that is
    behind asks for the state.  `ages` tells how long ago each member of the
    epoch was heard, see `trestledock.process` on liveness.
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
    """Asks for the state of the log, as the sender is at `offset`."""

    offset: int


@dataclass(frozen=True)
class StateAnswer:
    """The state of the log as a peer has folded it."""

    snapshot: Snapshot


@dataclass(frozen=True)
class ClaimAsk:
    """Asks the first replica of a key for the right to run a call once.

    `ttl_s` bounds how long the claimant may still start the call.
    """

    key: str
    claim_id: str
    epoch: int
    ttl_s: float


@dataclass(frozen=True)
class ClaimCopy:
    """The first replica hands a claim to another one."""

    key: str
    claim_id: str
    claimant: str
    epoch: int
    ttl_s: float


@dataclass(frozen=True)
class ClaimCopied:
    """A replica recorded the claim, or refuses since it knows another."""

    key: str
    claim_id: str
    epoch: int
    recorded: bool


@dataclass(frozen=True)
class ClaimAnswer:
    """The answer to a `ClaimAsk`; `grant` is the name of a `ClaimDecision`."""

    key: str
    claim_id: str
    grant: str
    outcome: str = ''
    status: int = 0
    body: str = ''
    wait_s: float = 0


@dataclass(frozen=True)
class ClaimResult:
    """The claimant reports how the call ended."""

    key: str
    claim_id: str
    epoch: int
    outcome: str
    status: int = 0
    body: str = ''


@dataclass(frozen=True)
class ClaimEntry:
    """A claim as it moves from a member of an old epoch to a new one."""

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
    """Keys of an epoch whose claims no live member remembers.

    A key is blind for `left_s` seconds if none of `heard` is among its
    replicas in the epoch at `offset`.
    """

    offset: int
    members: tuple[str, ...]
    replicas: int
    heard: tuple[str, ...]
    left_s: float
    closed: bool


@dataclass(frozen=True)
class SealAsk:
    """A member of a new epoch asks an old one to seal and hand over."""

    accepted: Accepted


@dataclass(frozen=True)
class SealAnswer:
    """The claims of a member that grants nothing in older epochs any more.

    `vouches` holds the epochs in which it recorded every claim on its keys.
    """

    epoch: int
    vouches: tuple[int, ...]
    entries: tuple[ClaimEntry, ...]
    blinds: tuple[Blind, ...]


@dataclass(frozen=True)
class HoldBlock:
    """A block of hold ids that the sender may use on a target.

    The receiver cancels the block on the target when the sender is gone.
    `done` frees the block.
    """

    target: str
    address: str
    first: int
    done: bool = False


@dataclass(frozen=True)
class HoldBlockKept:
    """A peer keeps watch over a block."""

    target: str
    first: int


@dataclass(frozen=True)
class TargetEnds:
    """Incarnations of targets that ended while they ran a request.

    Of those that are `cleared` the request is not suspected any more, since it
    was answered after that.
    """

    fingerprint: str
    targets: tuple[str, ...]
    cleared: tuple[str, ...] = ()


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
