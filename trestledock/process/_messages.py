"""
Messages
========

Everything that the core can be told.  A message may come twice, late, out of
order or never; `now` of the step that takes it may have jumped.
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
    """A caller's request."""

    req: Request


@dataclass(frozen=True)
class CallerDisconnected:
    """The caller closed its connection."""

    req_id: str


@dataclass(frozen=True)
class PrefillDone:
    """An engine has prefilled an attempt's prompt up to `stop`."""

    req_id: str
    attempt: int
    hold: str
    stop: int


@dataclass(frozen=True)
class ChunkArrived:
    """A piece of an answer arrived from an engine."""

    req_id: str
    attempt: int
    chunk: Chunk


@dataclass(frozen=True)
class StreamDone:
    """The engine's final marker: the answer has `count` tokens."""

    req_id: str
    attempt: int
    count: int


@dataclass(frozen=True)
class CallDone:
    """A plain service answered a call."""

    req_id: str
    attempt: int
    status: int
    body: str


@dataclass(frozen=True)
class AttemptFailed:
    """An attempt failed.

    `not_started` is true only with proof that the target did not start: the
    connection was never made, or the target itself says so.  `ended` is true
    where the target closed the connection and nobody listens there any more.
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
    """An engine confirmed that it holds nothing under these ids."""

    target: str
    holds: tuple[str, ...]


@dataclass(frozen=True)
class LoadReported:
    """A target's load report arrived."""

    target: str
    report: LoadReport


@dataclass(frozen=True)
class CacheReported:
    """A target's cache event arrived."""

    target: str
    event: CacheEvent


@dataclass(frozen=True)
class InstancesListed:
    """The platform's instance list, whole."""

    targets: tuple[TargetInfo, ...]
    peers: tuple[PeerInfo, ...]


@dataclass(frozen=True)
class PeerMessage:
    """A payload from a peer, by its member name."""

    sender: str
    payload: Payload


@dataclass(frozen=True)
class LogRead:
    """The log answered a read."""

    batch: Batch


@dataclass(frozen=True)
class MarkDraining:
    """An operator marked a target as leaving."""

    target: str


@dataclass(frozen=True)
class Publish:
    """An operator publishes a configuration, based on version `base`."""

    publish_id: str
    base: int
    body: str


@dataclass(frozen=True)
class OrderAnswered:
    """A target answered an order; refused where its number was old."""

    target: str
    refused: bool = False


@dataclass(frozen=True)
class Shutdown:
    """The process was asked to end."""


@dataclass(frozen=True)
class Tick:
    """Time passed."""
