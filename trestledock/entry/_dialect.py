"""
Platform interfaces
===================

The formats and the store that a platform must provide for an entry to run on
it.  The entry makes the decisions; an implementation only translates.
"""

from dataclasses import dataclass
from typing import Any, Iterable, Mapping, Protocol

from trestledock.entry._wire import Head, Headers
from trestledock.relay import (
    AnswerClaim,
    Body,
    Call,
    Catalog,
    EvacuationList,
    RemovedTarget,
    ListedTarget,
    Placement,
    QuarantineRecord,
    Verdict,
    judge_answer,
)


@dataclass(frozen=True)
class ForwardingContext:
    """What an entry adds to a call that it forwards to a target.

    `left_s` is the time that the target may take.  `reservation_ids` has the
    ids of the memory reservations at other targets, by target.  `priority` is
    the request's priority in the target's queue, 0 being the highest.
    """

    placement: Placement
    team: str
    left_s: float
    resume_after: str
    reservation_ids: Mapping[str, str]
    priority: int | None = None


@dataclass(frozen=True)
class RateLimitHeader:
    """The rate limit in an answer: requests a second from all entries.

    `per_s` is None without a valid number.  `is_present` is true if the answer
    has the header at all, and `invalid_text` has the values that could not be
    parsed.
    """

    per_s: float | None = None
    is_present: bool = False
    invalid_text: str = ''


@dataclass(frozen=True)
class BackoffHeader:
    """The back-off in an answer: seconds without requests from this entry.

    `invalid_text` has the values that could not be parsed.
    """

    backoff_s: float = 0
    invalid_text: str = ''


@dataclass(frozen=True)
class ColdTime:
    """For how many seconds a target stays cold, None if it doesn't say.

    `invalid_text` has the values that could not be parsed.
    """

    left_s: float | None = None
    invalid_text: str = ''


@dataclass(frozen=True)
class AnswerMetadata:
    """The parsed headers of an answer.

    `req_id` has all ids that the answer bears, which is none if it is empty.
    `is_marked` is true if it says that its request has not run, and `sealed` if
    the answer is the target's own.  `at_fault` and `instance` name
    the target at fault and the target that answers.  `rate_limit` is the rate
    limit of the target, `backoff` its back-off, and `is_draining` is true if it
    drains and accepts no new requests.
    """

    req_id: str
    sealed: bool
    is_marked: bool
    encoded: bool
    keep_alive: str
    connection: str
    at_fault: str = ''
    instance: str = ''
    rate_limit: RateLimitHeader = RateLimitHeader()
    is_draining: bool = False
    backoff: BackoffHeader = BackoffHeader()

    def judge(self, status: int) -> Verdict:
        """Return what the answer, read whole, tells of its request."""
        return judge_answer(
            AnswerClaim(
                status=status,
                is_marked=self.is_marked,
                is_sealed=self.sealed,
                is_encoded=self.encoded,
            )
        )


@dataclass(frozen=True)
class ControlRequest:
    """An HTTP request to a target's control interface."""

    method: str
    path: str
    headers: Headers
    body: bytes


@dataclass(frozen=True)
class TargetUpdate:
    """The state of one target in the store; `listed` is None if removed.

    `cold` is no part of `listed`: it counts down in each record, which is no
    change that concerns other entries.
    """

    target_id: str
    listed: ListedTarget | None
    cold: ColdTime = ColdTime()


@dataclass(frozen=True)
class RetainedTarget:
    """A target missing from the list, and how long it is still retained."""

    listed: ListedTarget
    left_s: float


@dataclass(frozen=True)
class StoreUpdate:
    """An update from a read of the store, or from another entry.

    `document` is the text that `catalog` was parsed from, for other entries.
    `targets` was current at the time `as_of`, or, for a list that was delayed
    on its way, at `latest_at` at the latest.  `is_complete` is true if
    `targets` is the complete list.  `is_synchronized` is true if its `source`
    has followed the store closely enough to know that the records of missing
    targets were removed and have not merely expired.  `retained` has the
    missing targets whose records may have expired, for entries that never knew
    them.  `revision` is the revision of the list at its source.  `quarantine`
    has the requests that go to no target.  `epoch` is the epoch of the copy of
    the store that was read, None for a store without epochs.  `removed` has
    the removed targets and `draining` the draining incarnations; both are
    filled on request only.  `evacuated` has the evacuated data centres in the
    store, and `evacuations` those that another entry knows, None if it is an
    older version, which knows none.
    """

    catalog: Catalog | None = None
    document: str = ''
    targets: tuple[TargetUpdate, ...] = ()
    retained: tuple[RetainedTarget, ...] = ()
    as_of: float = float('-inf')
    latest_at: float | None = None
    is_complete: bool = False
    is_synchronized: bool = False
    source: str = 'store'
    revision: int = 0
    quarantine: tuple[QuarantineRecord, ...] = ()
    epoch: int | None = None
    removed: tuple[RemovedTarget, ...] = ()
    draining: tuple[str, ...] = ()
    evacuated: frozenset[str] = frozenset()
    evacuations: EvacuationList | None = None


class Dialect(Protocol):
    """The formats of callers and targets."""

    def read_call(
        self, scope: Mapping[str, Any], body: Body, now: float
    ) -> Call:
        """Parse a caller's request."""

    def make_headers(self, call: Call, context: ForwardingContext) -> Headers:
        """Return the headers of a request to a target."""

    def read_head(self, head: Head) -> AnswerMetadata:
        """Parse the head of a target's answer."""

    def read_cold_time(self, head: Head) -> ColdTime:
        """Parse for how long the target of an answer stays cold."""

    def make_reply_headers(self, head: Head) -> Headers:
        """Return the headers of an answer that is forwarded."""

    def make_probe(self, target: ListedTarget) -> ControlRequest:
        """Return a request that a target answers without running anything."""

    def make_reserve(
        self,
        reservation_id: str,
        tokens: int,
        lease_s: float,
        target: ListedTarget,
    ) -> ControlRequest:
        """Return the control request that reserves memory at a target."""

    def make_release(
        self, reservation_id: str, target: ListedTarget
    ) -> ControlRequest:
        """Return the control request that releases memory."""


@dataclass(frozen=True)
class LogPosition:
    """An offset in the log of a copy of the store, with the copy's epoch."""

    offset: int
    epoch: int | None


@dataclass(frozen=True)
class StoredQuarantine:
    """All records of quarantined requests, and the position after them."""

    records: tuple[QuarantineRecord, ...]
    end: LogPosition


@dataclass(frozen=True)
class EntryAnnouncements:
    """The records of entries in the store: their addresses, by name.

    `settled_epoch` is the newest epoch of the store in which an entry has
    waited for lost records to be written again, None if none has.
    """

    addresses: Mapping[str, str]
    epoch: int | None = None
    settled_epoch: int | None = None


class QuarantineStore(Protocol):
    """The records of quarantined requests in the platform's store."""

    async def read_records(self, wait_s: float) -> tuple[QuarantineRecord, ...]:
        """Wait for new records, up to `wait_s` seconds; return them."""

    async def read_whole(self) -> StoredQuarantine:
        """Return all records, and the position after them."""

    async def write_records(
        self,
        records: Iterable[QuarantineRecord],
        expected: LogPosition | None = None,
    ) -> bool:
        """Write records; return whether the log still ended at `expected`."""


class Directory(Protocol):
    """The part of the platform's store that an entry uses."""

    @property
    def quarantine(self) -> QuarantineStore:
        """Return the store of quarantined requests."""

    @property
    def epoch(self) -> int | None:
        """Return the newest known epoch of the store, if any."""

    async def read_catalog(self) -> StoreUpdate:
        """Return the newest configuration if it has changed.

        The evacuated data centres are all returned each time.  `DocumentError`
        has them if the configuration is invalid.
        """

    def decode_document(self, document: str) -> Catalog:
        """Parse the text of a configuration received from another entry."""

    async def read_targets(self) -> StoreUpdate:
        """Return the changes in the list of targets."""

    async def read_peers(self) -> EntryAnnouncements:
        """Return the records of the entries."""

    async def announce(self, addresses: Mapping[str, str]) -> None:
        """Publish addresses of entries, by name."""

    async def announce_settled(self, epoch: int) -> None:
        """Publish that records lost before an epoch have been restored."""
