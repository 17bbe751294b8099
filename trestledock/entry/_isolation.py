"""
Isolation of requests that crash targets
========================================

Finds out why a connection to a target was closed in the middle of a request,
attributes a crash of the target to the request, and informs the other entries
and the store. A target that merely closes connections accepts new ones at once.
After a crash nothing listens at the address, and another incarnation of the
target is listed later.
"""

from dataclasses import dataclass
from enum import Enum
from types import MappingProxyType
from typing import (
    Any,
    Awaitable,
    Callable,
    Iterable,
    Iterator,
    Mapping,
    Sequence,
)

import anyio

from trestledock.entry import _events as events
from trestledock.entry._logger import emit
from trestledock.relay import (
    Crash,
    Fleet,
    Health,
    ListedTarget,
    UnconfirmedCrashes,
    Quarantine,
    QuarantineRecord,
    FailureKind,
)


class Inquiry(Enum):
    """How to find out whether a target crashed during a request.

    `reconnect` connects to it again, `listing` waits until another
    incarnation of it is listed.
    """

    none = 'none'
    listing = 'listing'
    reconnect = 'reconnect'


#: Inquiry by kind of failure. A crashing process closes its connections, and
#: may write bytes that are no valid answer first. Silence proves nothing: a
#: target given up for silence is not known to have run the request, and network
#: partitions and overload cause more silence than crashes do.
INQUIRIES: Mapping[FailureKind, Inquiry] = MappingProxyType(
    {
        FailureKind.none: Inquiry.none,
        FailureKind.closed: Inquiry.reconnect,
        FailureKind.silent: Inquiry.none,
        FailureKind.refused: Inquiry.none,
        FailureKind.unreachable: Inquiry.none,
        FailureKind.garbled: Inquiry.listing,
        FailureKind.no_link: Inquiry.none,
    }
)
#: Failure of a new connection that proves that the process is gone. Any other
#: result waits for a listing: a process that listens may be the next
#: incarnation, and an unreachable address may be that of a live one.
PROCESS_ENDED = FailureKind.refused
#: Maximum age of a crash reported by another entry, in seconds, at which this
#: entry stops using the target: the next incarnation has another name.
RECENT_S = 1.0
#: Minimum number of crashes of a request for which crash messages are repeated
#: and its answer is announced: one crash says little, and each message goes to
#: every entry.
MIN_SHARED_CRASHES = 2
#: Sources in log events: this entry, and the platform's store.
SELF = 'self'
STORE = 'store'

Reconnect = Callable[[ListedTarget], Awaitable[FailureKind]]
Claim = Callable[[QuarantineRecord], Awaitable[bool]]
SendCrashes = Callable[[Sequence[Crash]], None]
SendCleared = Callable[[str, Sequence[str]], None]


async def _report_unreachable(_: ListedTarget) -> FailureKind:
    """Default for `reconnect`, without connections."""
    return FailureKind.unreachable


async def _refuse_claim(_: QuarantineRecord) -> bool:
    """Default for `claim`, without a store."""
    return False


def _send_nothing(*_: Any) -> None:
    """Default for sending, without other entries."""


@dataclass
class IsolationHooks:
    """Callbacks of the isolation.

    `reconnect` connects to a target again; `claim` reserves the right to probe
    a quarantined request among all entries; the others send to all entries at
    once.
    """

    reconnect: Reconnect = _report_unreachable
    claim: Claim = _refuse_claim
    send_crashes: SendCrashes = _send_nothing
    send_cleared: SendCleared = _send_nothing


class Isolation:
    """Keeps requests that crash targets away from them.

    `unsaved` has the fingerprints of requests to save in the store, and
    `unsaved_added` is set when one is added; `revision` grows with each change
    of the quarantine.
    """

    def __init__(self, health: Health, fleet: Fleet) -> None:
        """Start without any crashes."""
        self.health = health
        self.fleet = fleet
        self.quarantine = Quarantine()
        self.hooks = IsolationHooks()
        self.unsaved: set[str] = set()
        self.unsaved_added = anyio.Event()
        self.revision = 0
        self._suspected = UnconfirmedCrashes()
        self._witnessed: set[str] = set()
        self._claiming: set[str] = set()
        self._probed: set[str] = set()

    def is_quarantined(self, fingerprint: str) -> bool:
        """Whether a request must not go to any target."""
        return self.quarantine.is_quarantined(fingerprint)

    def count_quarantined(self) -> int:
        """Return the number of quarantined requests."""
        return sum(map(self.is_quarantined, self.quarantine.suspects))

    def count_unconfirmed(self, now: float) -> int:
        """Return the number of targets that may have crashed."""
        return self._suspected.count_targets(now)

    def get_retry_after_s(self, fingerprint: str) -> float:
        """Return the Retry-After of a quarantined request, in seconds."""
        now = anyio.current_time()
        return self.quarantine.get_retry_after_s(fingerprint, now)

    async def may_probe(self, fingerprint: str) -> bool:
        """Whether a quarantined request may go to one target as a probe now.

        At any time one request with this fingerprint may, among all entries;
        the others don't wait.
        """
        now = anyio.current_time()
        is_due = self.quarantine.is_probe_due(fingerprint, now)
        if not is_due or fingerprint in self._claiming:
            return False
        self._claiming.add(fingerprint)
        try:
            is_granted = await self.hooks.claim(
                self.quarantine.make_record(fingerprint, now)
            )
        finally:
            self._claiming.discard(fingerprint)
        # Another entry may have got an answer during the claim.
        if not is_granted or not self.is_quarantined(fingerprint):
            return False
        self.quarantine.record_probe(fingerprint, now)
        self._probed.add(fingerprint)
        self.revision += 1
        emit(events.TrialGranted(fingerprint))
        return True

    async def investigate_failure(
        self,
        fingerprint: str,
        failure_kind: FailureKind,
        targets: Iterable[ListedTarget],
    ) -> None:
        """Find out whether a target has crashed during a request.

        Only one crash counts among all targets that work on a request: its
        engine and the helpers may have crashed together.
        """
        inquiry = INQUIRIES[failure_kind]
        if inquiry is Inquiry.none:
            return
        for target in targets:
            reconnects = inquiry is Inquiry.reconnect
            if (
                reconnects
                and await self.hooks.reconnect(target) is PROCESS_ENDED
            ):
                crash = Crash(fingerprint, target.incarnation)
                self._record_own([crash], PROCESS_ENDED)
                return
            self._suspected.add(fingerprint, target, anyio.current_time())

    def record_unproven(self, fingerprint: str, target: ListedTarget) -> None:
        """Record an answer that may have ended with a crash of its target."""
        self._suspected.add(fingerprint, target, anyio.current_time())

    def record_replaced(self, incarnation: str) -> None:
        """Record another incarnation of a target: the given one crashed."""
        now = anyio.current_time()
        self._record_own(
            self._suspected.pop_confirmed(incarnation, now), FailureKind.none
        )

    def record_listed(self, listed: ListedTarget) -> None:
        """Record a listed target: its predecessor at the address crashed."""
        now = anyio.current_time()
        self._record_own(
            self._suspected.pop_replaced_by(listed, now), FailureKind.none
        )

    def record_answered(self, fingerprint: str) -> None:
        """Record that a target has answered a request without a crash."""
        was_quarantined = self.is_quarantined(fingerprint)
        now = anyio.current_time()
        incarnations = self.quarantine.record_answer(fingerprint, now)
        self._log_cleared(fingerprint, len(incarnations), SELF)
        if len(incarnations) >= MIN_SHARED_CRASHES:
            self.hooks.send_cleared(fingerprint, incarnations)
        if was_quarantined:
            self._mark_unsaved(fingerprint)

    def merge_crashes(
        self,
        crashes: Iterable[tuple[Crash, float]],
        source: str,
    ) -> None:
        """Add crashes reported by another entry, with ages in seconds."""
        now = anyio.current_time()
        for crash, age_s in crashes:
            self._add(crash, now - age_s, source)
            if age_s < RECENT_S:
                self._avoid(crash.incarnation, now)

    def merge_cleared(
        self,
        fingerprint: str,
        incarnations: Iterable[str],
        source: str,
    ) -> None:
        """Remove crashes of a request that was answered at another entry."""
        count = self.quarantine.clear_crashes(fingerprint, incarnations)
        self._log_cleared(fingerprint, count, source)
        self._evict_excess()

    def merge_records(
        self,
        records: Iterable[QuarantineRecord],
        source: str,
    ) -> None:
        """Add records of the store, or from another entry's update."""
        now = anyio.current_time()
        for record in records:
            fingerprint = record.fingerprint
            self.merge_cleared(fingerprint, record.cleared, source)
            was_quarantined = self.is_quarantined(fingerprint)
            self.quarantine.merge(record, now)
            self._check_quarantined(
                fingerprint, source, was_quarantined=was_quarantined
            )

    def get_known(self) -> Iterator[tuple[Crash, float]]:
        """Yield the crashes that a new entry is sent, with their ages."""
        now = anyio.current_time()
        for fingerprint, suspect in self.quarantine.suspects.items():
            if len(suspect.incarnations) < MIN_SHARED_CRASHES:
                continue
            age_s = suspect.get_age_s(now)
            for incarnation in suspect.incarnations:
                yield Crash(fingerprint, incarnation), age_s

    def needs_resending(self, crash: Crash) -> bool:
        """Whether the loss of a message about a crash would matter."""
        return (
            self.quarantine.count_crashes(crash.fingerprint)
            >= MIN_SHARED_CRASHES
        )

    def record_restore(self) -> None:
        """Save the probes again that a restored store may have lost.

        Other entries may not know of them yet, and would probe once more.
        """
        for fingerprint in filter(self.is_quarantined, self._probed):
            self._mark_unsaved(fingerprint)

    def pop_unsaved(self) -> list[QuarantineRecord]:
        """Return and clear the records that are to be saved."""
        now = anyio.current_time()
        fingerprints = sorted(self.unsaved & self.quarantine.suspects.keys())
        self.unsaved = set()
        self.unsaved_added = anyio.Event()
        return [
            self.quarantine.make_record(fingerprint, now)
            for fingerprint in fingerprints
        ]

    def requeue_unsaved(self, records: Iterable[QuarantineRecord]) -> None:
        """Mark records for saving again after a failure."""
        for record in records:
            self._mark_unsaved(record.fingerprint)

    def _record_own(
        self, crashes: list[Crash], failure_kind: FailureKind
    ) -> None:
        now = anyio.current_time()
        for crash in crashes:
            self._avoid(crash.incarnation, now)
        attributed = []
        for crash in crashes:
            if self.quarantine.is_blamed(crash, now):
                attributed.append(crash)
            else:
                emit(events.CrashExcused(crash.incarnation, crash.fingerprint))
        for crash in attributed:
            self._witnessed.add(crash.fingerprint)
            if self._add(crash, now, SELF):
                count = self.quarantine.count_crashes(crash.fingerprint)
                emit(
                    events.TargetEnded(
                        crash.incarnation,
                        crash.fingerprint,
                        failure_kind.value,
                        count,
                    )
                )
        self.hooks.send_crashes(attributed)

    def _avoid(self, incarnation: str, now: float) -> None:
        """Stop using a crashed target until its record is removed."""
        if incarnation in self.fleet.targets:
            self.health.record_silence(incarnation, now)

    def _add(self, crash: Crash, crashed_at: float, source: str) -> bool:
        was_quarantined = self.is_quarantined(crash.fingerprint)
        is_new = self.quarantine.record_crash(crash, crashed_at)
        if is_new:
            self._check_quarantined(
                crash.fingerprint, source, was_quarantined=was_quarantined
            )
        return is_new

    def _check_quarantined(
        self, fingerprint: str, source: str, *, was_quarantined: bool
    ) -> None:
        """Log and save a request that has become quarantined.

        An entry that observed one of its crashes saves it in the store, for
        entries that start later. So up to three entries do, as any of them may
        have stopped.
        """
        if self.is_quarantined(fingerprint) and not was_quarantined:
            count = self.quarantine.count_crashes(fingerprint)
            self.revision += 1
            emit(events.RequestQuarantined(fingerprint, count, source))
            if source != STORE and fingerprint in self._witnessed:
                self._mark_unsaved(fingerprint)
        self._evict_excess()

    def _evict_excess(self) -> None:
        for forgotten in self.quarantine.evict_excess():
            self._witnessed.discard(forgotten)
            emit(events.SuspectForgotten(forgotten))

    def _log_cleared(self, fingerprint: str, count: int, source: str) -> None:
        if not count:
            return
        self.revision += 1
        self._witnessed.discard(fingerprint)
        emit(events.RequestCleared(fingerprint, count, source))

    def _mark_unsaved(self, fingerprint: str) -> None:
        self.unsaved.add(fingerprint)
        self.unsaved_added.set()
