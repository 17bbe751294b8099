"""
Dialects
========

What a platform's formats must offer for the entry to relay on it.  The entry
decides; an implementation only translates.
"""

from dataclasses import dataclass
from typing import Any, Iterable, Mapping, Protocol

from trestledock.entry._wire import Head, Headers
from trestledock.relay import (
    Body,
    Call,
    Catalog,
    RemovedTarget,
    ListedTarget,
    Placement,
    QuarantineRecord,
)


@dataclass(frozen=True)
class ForwardingContext:
    """What is added to a call on its way to a target.

    `left_s` is the time that the target may take, `tickets` the ids of the
    memory reserved at other targets, by target, and `priority` its rank where
    work waits at the target, 0 first.
    """

    placement: Placement
    team: str
    left_s: float
    resume_after: str
    tickets: Mapping[str, str]
    priority: int | None = None


@dataclass(frozen=True)
class RateLimitHeader:
    """How many requests a second an answer's target takes from all entries.

    `per_s` is None where no number was given; `is_present` says that there was
    a word on it, and `invalid_text` has what made no sense.
    """

    per_s: float | None = None
    is_present: bool = False
    invalid_text: str = ''


@dataclass(frozen=True)
class BackoffHeader:
    """For how many seconds an answer's target wants nothing more from here.

    `invalid_text` has what made no sense.
    """

    backoff_s: float = 0
    invalid_text: str = ''


@dataclass(frozen=True)
class AnswerMetadata:
    """What an answer's head says beside its status.

    `not_run` is the target's word that it did not run the request; `sealed`
    says that the answer is the target's own, and `at_fault` and `instance` name
    the target that is at fault and the one that answers.  One that `leaves`
    takes nothing new.
    """

    req_id: str
    sealed: bool
    not_run: bool
    encoded: bool
    keep_alive: str
    connection: str
    at_fault: str = ''
    instance: str = ''
    limit: RateLimitHeader = RateLimitHeader()
    leaves: bool = False
    rest: BackoffHeader = BackoffHeader()


@dataclass(frozen=True)
class ControlRequest:
    """A request to a target's control interface."""

    method: str
    path: str
    headers: Headers
    body: bytes


@dataclass(frozen=True)
class TargetUpdate:
    """What the directory says of one target; `listed` is None once removed."""

    target_id: str
    listed: ListedTarget | None


@dataclass(frozen=True)
class RetainedTarget:
    """A target whose entry is missing, and for how long it is still held."""

    listed: ListedTarget
    left_s: float


@dataclass(frozen=True)
class StoreUpdate:
    """What a read of the store brought, or what another entry knows.

    `document` is the text that `catalog` was read from, for the other
    entries.  `targets` is true as of the instant `as_of`, or for a list that
    was on its way as of `latest_at` at most; `whole` says that it has all that
    there are, `settled` that its `source` followed the store
    closely enough to know that what is missing has not only lapsed.  `held` has
    what is missing and may have lapsed, for those that never knew it;
    `revision` is that of the list at its source.  `quarantine` has the requests
    that go to no target.  `epoch` is that of the copy of the store that was
    read, None for a store that tells none; `gone` and `leaving` have the
    targets that are gone and the incarnations that said that they leave, where
    somebody asked for them.
    """

    catalog: Catalog | None = None
    document: str = ''
    targets: tuple[TargetUpdate, ...] = ()
    held: tuple[RetainedTarget, ...] = ()
    as_of: float = float('-inf')
    latest_at: float | None = None
    whole: bool = False
    settled: bool = False
    source: str = 'store'
    revision: int = 0
    quarantine: tuple[QuarantineRecord, ...] = ()
    epoch: int | None = None
    gone: tuple[RemovedTarget, ...] = ()
    leaving: tuple[str, ...] = ()


class Dialect(Protocol):
    """Formats of callers and targets."""

    def read_call(
        self, scope: Mapping[str, Any], body: Body, now: float
    ) -> Call:
        """Read a caller's request."""

    def make_headers(self, call: Call, passing: ForwardingContext) -> Headers:
        """Return the headers of a request to a target."""

    def read_head(self, head: Head) -> AnswerMetadata:
        """Read the head of a target's answer."""

    def make_reply_headers(self, head: Head) -> Headers:
        """Return the headers of an answer that is passed on."""

    def make_reserve(
        self, ticket: str, tokens: int, lease_s: float, holder: ListedTarget
    ) -> ControlRequest:
        """Return the order that reserves memory at a target alone."""

    def make_release(self, ticket: str, holder: ListedTarget) -> ControlRequest:
        """Return the order that gives memory back."""


@dataclass(frozen=True)
class LogPosition:
    """A place between records, in the copy of the store of an epoch."""

    offset: int
    epoch: int | None


@dataclass(frozen=True)
class StoredQuarantine:
    """All records of quarantined requests; `end` is the place behind them."""

    records: tuple[QuarantineRecord, ...]
    end: LogPosition


@dataclass(frozen=True)
class EntryAnnouncements:
    """What entries have written: their addresses by name.

    `settled_epoch` is the newest epoch of the store in which one of them has
    waited for what was lost, None where none ever has.
    """

    addresses: Mapping[str, str]
    epoch: int | None = None
    settled_epoch: int | None = None


class QuarantineStore(Protocol):
    """What the platform's store remembers of quarantined requests."""

    async def read_records(self, wait_s: float) -> tuple[QuarantineRecord, ...]:
        """Return what is new, once there is something or the time is over."""

    async def read_whole(self) -> StoredQuarantine:
        """Return all records, with the place at which they end."""

    async def write_records(
        self,
        records: Iterable[QuarantineRecord],
        expected: LogPosition | None = None,
    ) -> bool:
        """Write records; return whether none had come behind that place."""


class Directory(Protocol):
    """The platform's store, as far as the entry reads it."""

    @property
    def quarantine(self) -> QuarantineStore:
        """Return the part that holds requests."""

    @property
    def epoch(self) -> int | None:
        """Return the newest epoch of the store that was heard, if any."""

    async def read_catalog(self) -> StoreUpdate:
        """Return the newest configuration where it changed."""

    def decode_document(self, document: str) -> Catalog:
        """Read the text of a configuration that another entry passed on."""

    async def read_targets(self) -> StoreUpdate:
        """Return what changed among the targets."""

    async def read_peers(self) -> EntryAnnouncements:
        """Return what the entries have written."""

    async def announce(self, addresses: Mapping[str, str]) -> None:
        """Publish addresses of entries, by name."""

    async def announce_settled(self, epoch: int) -> None:
        """Publish that what the store lost before an epoch is there again."""
