"""
Actions
=======

Everything that the core can ask of the tasks around it.  An action names the
peer and the step it belongs to.
"""

from dataclasses import dataclass

from trestledock.process._payloads import Payload
from trestledock.request import Chunk, Model, Request, Verdict
from trestledock.version import Record


@dataclass(frozen=True)
class Job:
    """One order of work for an engine.

    The engine prefills tokens `start` to `stop` of a prompt under the hold
    `hold`, which takes `reserve` KV tokens; with `generate` it goes on to
    produce up to `max_tokens` tokens, numbered from `first_index`.
    `source` names the target and hold whose KV cache is imported first.
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
    """Send a job to an engine, unless `not_after` has passed."""

    req_id: str
    attempt: int
    target: str
    address: str
    job: Job
    not_after: float


@dataclass(frozen=True)
class CallService:
    """Send a call to a plain service, unless `not_after` has passed."""

    req_id: str
    attempt: int
    target: str
    address: str
    not_after: float


@dataclass(frozen=True)
class ResumeStream:
    """Ask an engine to resume a broken stream from `index` on."""

    req_id: str
    attempt: int
    target: str
    address: str
    hold: str
    index: int


@dataclass(frozen=True)
class CancelReservations:
    """Cancel holds on an engine, until it confirms."""

    target: str
    address: str
    holds: tuple[str, ...]


@dataclass(frozen=True)
class EmitChunks:
    """Pass chunks on to the caller."""

    req_id: str
    chunks: tuple[Chunk, ...]


@dataclass(frozen=True)
class Finish:
    """Give the caller its final answer."""

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
    """Append a record to the log; the answer may be lost."""

    record: Record


@dataclass(frozen=True)
class GiveOrder:
    """Order a target to hold these models, unless `not_after` has passed."""

    target: str
    address: str
    models: tuple[str, ...]
    fencing: int
    not_after: float


@dataclass(frozen=True)
class Published:
    """Tell the operator what became of a publication."""

    publish_id: str
    accepted: bool
    version: int
    base: int
    detail: str = ''


@dataclass(frozen=True)
class Count:
    """Count an event by its name and label."""

    name: str
    label: str = ''


@dataclass(frozen=True)
class LogEvent:
    """Log a change of state."""

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
