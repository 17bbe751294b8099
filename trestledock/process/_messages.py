"""
Messages
========

The inputs of the core.  A message may arrive twice, late, out of order, or
never; the time of the step that handles it may have jumped.
"""

from dataclasses import dataclass

from trestledock.process._payloads import Payload
from trestledock.process._targets import (
    CacheEvent,
    LoadReport,
    PeerInfo,
    TargetInfo,
)
from trestledock.request import Chunk, Request
from trestledock.version import Batch


@dataclass(frozen=True)
class Arrive:
    """A request of a caller."""

    req: Request


@dataclass(frozen=True)
class CallerDisconnected:
    """The caller closed its connection."""

    req_id: str


@dataclass(frozen=True)
class PrefillDone:
    """An engine prefilled the prompt of an attempt up to token `stop`."""

    req_id: str
    attempt: int
    hold: str
    stop: int


@dataclass(frozen=True)
class ChunkArrived:
    """A chunk of a streamed response arrived from an engine."""

    req_id: str
    attempt: int
    chunk: Chunk


@dataclass(frozen=True)
class StreamDone:
    """The end of an engine's stream: the response has `count` tokens."""

    req_id: str
    attempt: int
    count: int


@dataclass(frozen=True)
class CallDone:
    """A plain service responded to a call."""

    req_id: str
    attempt: int
    status: int
    body: str


@dataclass(frozen=True)
class AttemptFailed:
    """An attempt failed.

    `not_started` is true only if the target provably did not start the work:
    the connection was never established, or the target says so.  `ended` is
    true if the target crashed: it closed the connection and its port no longer
    accepts connections.
    """

    req_id: str
    attempt: int
    not_started: bool
    step: str
    peer: str
    detail: str = ''
    ended: bool = False


@dataclass(frozen=True)
class CancelConfirmed:
    """An engine confirmed that it has no memory reserved under these ids."""

    target: str
    holds: tuple[str, ...]


@dataclass(frozen=True)
class LoadReported:
    """A load report of a target arrived."""

    target: str
    report: LoadReport


@dataclass(frozen=True)
class CacheReported:
    """A cache event of a target arrived."""

    target: str
    event: CacheEvent


@dataclass(frozen=True)
class InstancesListed:
    """The platform's complete list of targets and peers."""

    targets: tuple[TargetInfo, ...]
    peers: tuple[PeerInfo, ...]


@dataclass(frozen=True)
class PeerMessage:
    """A payload from the peer with the member name `sender`."""

    sender: str
    payload: Payload


@dataclass(frozen=True)
class LogRead:
    """A batch of records was read from the log."""

    batch: Batch


@dataclass(frozen=True)
class MarkDraining:
    """An operator marked a target as draining."""

    target: str


@dataclass(frozen=True)
class Publish:
    """An operator publishes a configuration, based on version `base`."""

    publish_id: str
    base: int
    body: str


@dataclass(frozen=True)
class OrderAnswered:
    """A target responded to an order; it refuses stale fencing numbers."""

    target: str
    refused: bool = False


@dataclass(frozen=True)
class Shutdown:
    """The process was asked to terminate."""


@dataclass(frozen=True)
class Tick:
    """A timer may be due; nothing else happened."""
