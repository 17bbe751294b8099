"""
Isolation of requests that crash targets
========================================

Finds out why a connection to a target was closed in the middle of a request,
attributes a crash of the target to the names of the request, and informs the
other entries and the store. A target that merely closes connections accepts new
ones at once. After a crash nothing listens at the address, and another
incarnation of the target is listed later.
"""

from contextlib import contextmanager
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
from trestledock.entry._runs import Run, Runs
from trestledock.relay import (
    Crash,
    Fleet,
    Health,
    ListedTarget,
    UnconfirmedCrashes,
    Quarantine,
    QuarantineRecord,
    FailureKind,
    is_part,
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
#: may write bytes that are no valid answer first; one that writes without end
#: has not crashed. Silence proves nothing: a target given up for silence is not
#: known to have run the request, and network partitions and overload cause more
#: silence than crashes do.
INQUIRIES: Mapping[FailureKind, Inquiry] = MappingProxyType(
    {
        FailureKind.none: Inquiry.none,
        FailureKind.closed: Inquiry.reconnect,
        FailureKind.silent: Inquiry.none,
        FailureKind.refused: Inquiry.none,
        FailureKind.unreachable: Inquiry.none,
        FailureKind.garbled: Inquiry.listing,
        FailureKind.endless: Inquiry.none,
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
#: Interval of checking which answers in progress have lasted, in seconds.
PROOF_INTERVAL_S = 0.2
#: Sources in log events: this entry, and the platform's store.
SELF = 'self'
STORE = 'store'
MS = 1000

Reconnect = Callable[[ListedTarget], Awaitable[FailureKind]]
Claim = Callable[[Sequence[QuarantineRecord]], Awaitable[bool]]
SendCrashes = Callable[[Sequence[Crash]], None]
SendCleared = Callable[[str, Sequence[str]], None]
RecordCrashed = Callable[[str], None]


async def _report_unreachable(_: ListedTarget) -> FailureKind:
    """Default for `reconnect`, without connections."""
    return FailureKind.unreachable


async def _refuse_claim(_: Sequence[QuarantineRecord]) -> bool:
    """Default for `claim`, without a store."""
    return False


def _send_nothing(*_: Any) -> None:
    """Default for sending, without other entries."""


@dataclass
class IsolationHooks:
    """Callbacks of the isolation.

    `reconnect` connects to a target again; `claim` reserves the right to probe
    names of quarantined requests among all entries; `record_crashed` is told of
    each crashed target; the others send to all entries at once.
    """

    reconnect: Reconnect = _report_unreachable
    claim: Claim = _refuse_claim
    send_crashes: SendCrashes = _send_nothing
    send_cleared: SendCleared = _send_nothing
    record_crashed: RecordCrashed = _send_nothing


class Isolation:
    """Keeps requests that crash targets away from them.

    `unsaved` has the names to save in the store, and `unsaved_added` is set
    when one is added; `revision` grows with each change of the quarantine.
    `runs` are the requests that targets run now.
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
        self.runs = Runs()
        self._proofs_until = float('-inf')
        self._suspected = UnconfirmedCrashes()
        self._witnessed: set[str] = set()
        self._claiming: set[str] = set()
        self._probed: set[str] = set()

    def is_quarantined(self, names: Iterable[str]) -> bool:
        """Whether a request with these names must not go to any target."""
        if not self.quarantine.suspects:
            return False
        self._update_proofs()
        return self.quarantine.refuses(names)

    def count_quarantined(self, *, parts: bool = False) -> int:
        """Return how many parts of prompts are blamed, or else requests."""
        return sum(
            all(map(is_part, suspects)) is parts
            for suspects in self.quarantine.get_blamed()
        )

    def count_unconfirmed(self, now: float) -> int:
        """Return the number of targets that may have crashed."""
        return self._suspected.count_targets(now)

    def get_retry_after_s(self, names: Iterable[str]) -> float:
        """Return the Retry-After of a quarantined request, in seconds."""
        now = anyio.current_time()
        suspects = self.quarantine.find_suspects(names) or ()
        return max(
            (self.quarantine.get_retry_after_s(name, now) for name in suspects),
            default=0,
        )

    async def may_probe(self, names: Iterable[str]) -> bool:
        """Whether a quarantined request may go to one target as a probe now.

        At any time one request with what is blamed may, among all entries; the
        others don't wait.
        """
        now = anyio.current_time()
        blamed = self.quarantine.find_suspects(names) or frozenset()
        is_due = all(self.quarantine.is_probe_due(name, now) for name in blamed)
        if not blamed or not is_due or blamed & self._claiming:
            return False
        self._claiming.update(blamed)
        try:
            is_granted = await self.hooks.claim(
                [
                    self.quarantine.make_record(name, now)
                    for name in sorted(blamed)
                ]
            )
        finally:
            self._claiming.difference_update(blamed)
        # Another entry may have got an answer during the claim.
        if not is_granted or self.quarantine.find_suspects(names) != blamed:
            return False
        for name in blamed:
            self.quarantine.record_probe(name, now)
        self._probed.update(blamed)
        self.revision += 1
        emit(events.TrialGranted(tuple(sorted(blamed))))
        return True

    async def investigate_failure(
        self,
        names: Iterable[str],
        failure_kind: FailureKind,
        targets: Iterable[ListedTarget],
    ) -> None:
        """Find out whether a target has crashed during a request.

        Only one crash counts among all targets that work on a request: its
        engine and the helpers may have crashed together.
        """
        failed_at = anyio.current_time()
        inquiry = INQUIRIES[failure_kind]
        if inquiry is Inquiry.none:
            return
        for target in targets:
            reconnects = inquiry is Inquiry.reconnect
            if (
                reconnects
                and await self.hooks.reconnect(target) is PROCESS_ENDED
            ):
                self._avoid(target.incarnation, failed_at)
                self._record_own(
                    [
                        Crash(name, target.incarnation, failed_at)
                        for name in names
                    ],
                    PROCESS_ENDED,
                )
                return
            self._suspect(names, target, failed_at)

    def record_unproven(
        self, names: Iterable[str], target: ListedTarget
    ) -> None:
        """Record an answer that may have ended with a crash of its target."""
        self._suspect(names, target, anyio.current_time())

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

    def record_answered(self, run: Run) -> None:
        """Record that a target has answered a request without a crash.

        Only a successful answer shows that the target ran the request.
        """
        if not run.is_success:
            return
        for name in run.names:
            was_quarantined = self.quarantine.is_quarantined(name)
            incarnations = self.quarantine.record_answer(name, run.proven_at)
            self._log_cleared(name, len(incarnations), SELF)
            if len(incarnations) >= MIN_SHARED_CRASHES:
                self.hooks.send_cleared(name, incarnations)
            if was_quarantined:
                self._mark_unsaved(name)

    def merge_crashes(
        self,
        crashes: Iterable[tuple[Crash, float]],
        source: str,
    ) -> None:
        """Add crashes reported by another entry, with ages in seconds."""
        now = anyio.current_time()
        with self._checking(source):
            known = list(crashes)
            for crash, age_s in known:
                self.quarantine.record_crash(crash, now - age_s)
                if age_s < RECENT_S:
                    self._avoid(crash.incarnation, now)
            self._record_requests(crash for crash, _ in known)

    def merge_cleared(
        self,
        name: str,
        incarnations: Iterable[str],
        source: str,
    ) -> None:
        """Remove crashes of a name that was answered at another entry."""
        count = self.quarantine.clear_crashes(name, incarnations)
        self._log_cleared(name, count, source)
        self._evict_excess()

    def merge_records(
        self,
        records: Iterable[QuarantineRecord],
        source: str,
    ) -> None:
        """Add records of the store, or from another entry's update."""
        now = anyio.current_time()
        with self._checking(source):
            for record in records:
                self.merge_cleared(record.name, record.cleared, source)
                self.quarantine.merge(record, now)

    def get_known(self) -> Iterator[tuple[Crash, float]]:
        """Yield the crashes that a new entry is sent, with their ages."""
        now = anyio.current_time()
        for name, suspect in self.quarantine.suspects.items():
            if len(suspect.incarnations) < MIN_SHARED_CRASHES:
                continue
            for incarnation, at in suspect.incarnations.items():
                yield Crash(name, incarnation), max(0, now - at)

    def needs_resending(self, crash: Crash) -> bool:
        """Whether the loss of a message about a crash would matter."""
        return self.quarantine.count_crashes(crash.name) >= MIN_SHARED_CRASHES

    def record_restore(self) -> None:
        """Save the probes again that a restored store may have lost.

        Other entries may not know of them yet, and would probe once more.
        """
        for name in filter(self.quarantine.is_quarantined, self._probed):
            self._mark_unsaved(name)

    def pop_unsaved(self) -> list[QuarantineRecord]:
        """Return and clear the records that are to be saved."""
        now = anyio.current_time()
        names = sorted(self.unsaved & self.quarantine.suspects.keys())
        self.unsaved = set()
        self.unsaved_added = anyio.Event()
        return [self.quarantine.make_record(name, now) for name in names]

    def requeue_unsaved(self, records: Iterable[QuarantineRecord]) -> None:
        """Mark records for saving again after a failure."""
        for record in records:
            self._mark_unsaved(record.name)

    def _suspect(
        self, names: Iterable[str], target: ListedTarget, failed_at: float
    ) -> None:
        for name in names:
            self._suspected.add(name, target, failed_at)

    def _record_own(
        self, crashes: list[Crash], failure_kind: FailureKind
    ) -> None:
        now = anyio.current_time()
        attributed = list(filter(self.quarantine.is_blamed, crashes))
        self._witnessed.update(crash.name for crash in attributed)
        with self._checking(SELF):
            for crash in attributed:
                self.quarantine.record_crash(crash, crash.at)
            self._record_requests(attributed)
        for incarnation in dict.fromkeys(
            crash.incarnation for crash in crashes
        ):
            self._avoid(incarnation, now)
            self._log_ended(incarnation, attributed, failure_kind)
        for crash in crashes:
            if crash not in attributed:
                emit(events.CrashExcused(crash.incarnation, crash.name))
        self.hooks.send_crashes(attributed)

    def _record_requests(self, crashes: Iterable[Crash]) -> None:
        """Record which names belong to one request.

        The crashes of one target in one message do. Messages to a new entry may
        have those of several requests, which then only seem to be one.
        """
        names: dict[str, list[str]] = {}
        for crash in crashes:
            names.setdefault(crash.incarnation, []).append(crash.name)
        for together in names.values():
            self.quarantine.record_request(together)

    def _log_ended(
        self,
        incarnation: str,
        crashes: Iterable[Crash],
        failure_kind: FailureKind,
    ) -> None:
        """Log the crash of a target with the names that it counts against."""
        counts = {
            crash.name: self.quarantine.count_crashes(crash.name)
            for crash in crashes
            if crash.incarnation == incarnation
        }
        if counts:
            emit(
                events.TargetEnded(
                    incarnation,
                    tuple(counts),
                    failure_kind.value,
                    tuple(counts.values()),
                )
            )

    def _avoid(self, incarnation: str, now: float) -> None:
        """Stop using a crashed target until its record is removed."""
        self.hooks.record_crashed(incarnation)
        if incarnation in self.fleet.targets:
            self.health.record_silence(incarnation, now)

    @contextmanager
    def _checking(self, source: str) -> Iterator[None]:
        """Log and save what the changes in the context put in quarantine.

        An entry that observed one of the crashes saves them in the store, for
        entries that start later. So several entries do, as any of them may have
        stopped.
        """
        before = set(self.quarantine.get_blamed())
        yield
        for suspects in self.quarantine.get_blamed():
            if suspects not in before:
                self.revision += 1
                self._log_quarantined(suspects, source)
                if source != STORE and suspects & self._witnessed:
                    self.unsaved.update(suspects)
                    self.unsaved_added.set()
        self._evict_excess()

    def _log_quarantined(self, suspects: Iterable[str], source: str) -> None:
        now = anyio.current_time()
        names = sorted(suspects)
        known = [self.quarantine.suspects[name] for name in names]
        instants = [at for one in known for at in one.incarnations.values()]
        emit(
            events.RequestQuarantined(
                blamed=tuple(names),
                kind='part' if all(map(is_part, names)) else 'request',
                ends=max(len(one.incarnations) for one in known),
                first_ms=round((now - min(instants)) * MS),
                last_ms=round((now - max(instants)) * MS),
                source=source,
            )
        )

    def _update_proofs(self) -> None:
        now = anyio.current_time()
        if now < self._proofs_until:
            return
        self._proofs_until = now + PROOF_INTERVAL_S
        candidates = self.quarantine.get_candidates()
        with self._checking(SELF):
            self.quarantine.set_proofs(self.runs.get_proofs(candidates, now))

    def _evict_excess(self) -> None:
        for forgotten in self.quarantine.evict_excess():
            self._witnessed.discard(forgotten)
            emit(events.SuspectForgotten(forgotten))

    def _log_cleared(self, name: str, count: int, source: str) -> None:
        if not count:
            return
        self.revision += 1
        self._witnessed.discard(name)
        emit(events.RequestCleared(name, count, source))

    def _mark_unsaved(self, name: str) -> None:
        self.unsaved.add(name)
        self.unsaved_added.set()
