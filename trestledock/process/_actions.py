"""
Actions
=======

The outputs of the core: what the tasks around it must do.  An action names the
target or peer that it concerns.
"""

from dataclasses import dataclass

from trestledock.process._payloads import Payload
from trestledock.request import Chunk, Model, Request, Verdict
from trestledock.version import Record


@dataclass(frozen=True)
class Job:
    """A unit of work for an engine.

    The engine prefills tokens `start` to `stop` of a prompt under the
    reservation `hold` of `reserve` KV tokens.  With `generate` it then decodes
    up to `max_tokens` tokens, numbered from `first_index`.  `source` and
    `source_hold` name the engine and the reservation whose KV cache it imports
    first.
    """

    hold: str
    model: Model
    start: int
    stop: int
    reserve: int
    generate: bool
    max_tokens: int
    priority: int
    first_index: int = 0
    source: str = ''
    source_hold: str = ''


@dataclass(frozen=True)
class StartJob:
    """Send a job to an engine before the instant `not_after`."""

    req_id: str
    attempt: int
    target: str
    address: str
    job: Job
    not_after: float


@dataclass(frozen=True)
class CallService:
    """Send a call to a plain service before the instant `not_after`."""

    req_id: str
    attempt: int
    target: str
    address: str
    not_after: float


@dataclass(frozen=True)
class ResumeStream:
    """Ask an engine to resume a broken stream from token `index`."""

    req_id: str
    attempt: int
    target: str
    address: str
    hold: str
    index: int


@dataclass(frozen=True)
class CancelReservations:
    """Cancel reservations on an engine; repeated until it confirms."""

    target: str
    address: str
    holds: tuple[str, ...]


@dataclass(frozen=True)
class EmitChunks:
    """Send chunks of the response to the caller."""

    req_id: str
    chunks: tuple[Chunk, ...]


@dataclass(frozen=True)
class Finish:
    """Send the final result to the caller."""

    req: Request
    verdict: Verdict


@dataclass(frozen=True)
class SendToPeer:
    """Send a payload to a peer; it may be lost."""

    peer: str
    address: str
    payload: Payload


@dataclass(frozen=True)
class AppendRecord:
    """Append a record to the log; the confirmation may be lost."""

    record: Record


@dataclass(frozen=True)
class GiveOrder:
    """Order a target to load these models, before the instant `not_after`."""

    target: str
    address: str
    models: tuple[str, ...]
    fencing: int
    not_after: float


@dataclass(frozen=True)
class Published:
    """Report the result of a publication to the operator."""

    publish_id: str
    accepted: bool
    version: int
    base: int
    detail: str = ''


@dataclass(frozen=True)
class Count:
    """Increment the counter `name` for a label."""

    name: str
    label: str = ''


@dataclass(frozen=True)
class LogEvent:
    """Write a state change to the instance's log output."""

    event: str
    peer: str = ''
    detail: str = ''


Action = (
    StartJob
    | CallService
    | ResumeStream
    | CancelReservations
    | EmitChunks
    | Finish
    | SendToPeer
    | AppendRecord
    | GiveOrder
    | Published
    | Count
    | LogEvent
)
