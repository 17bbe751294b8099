"""
Isolation of deadly requests
============================

Finds out why a connection to a target ended in the middle of a request, puts it
down to the request where the target ended with it, and has the other entries
and the store know.  A target that merely closes its connections takes new ones
at once; where one has ended nobody listens, and another start of it is listed
later.
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
    """How it is found out whether a target has ended with a request.

    `look` connects to it once more, `listing` waits for another start of it.
    """

    none = 'none'
    listing = 'listing'
    look = 'look'


#: What is done by how a sending ended.  A process closes its connections as it
#: ends, and may write bytes that are no answer in its last moment.  Silence
#: says nothing: whoever was left for it is not known to have run the request,
#: and cuts and crowds make more of it than ends.
INQUIRIES: Mapping[FailureKind, Inquiry] = MappingProxyType(
    {
        FailureKind.none: Inquiry.none,
        FailureKind.closed: Inquiry.look,
        FailureKind.silent: Inquiry.none,
        FailureKind.refused: Inquiry.none,
        FailureKind.unreachable: Inquiry.none,
        FailureKind.garbled: Inquiry.listing,
    }
)
#: What shows at a look that a process has gone.  All else waits for a listing:
#: one that listens may be its next start, and an address that isn't reached may
#: be that of one that lives.
ENDED = FailureKind.refused
#: An end of which another entry tells keeps this one from a target where it is
#: no older than this, in seconds: its next start has another name.
FRESH_S = 1.0
#: Requests with so many ends are told of again, and when they are answered: one
#: end says little, and each word goes to everybody.
MIN_SHARED_CRASHES = 2
SELF = 'self'
#: Who says something where that is the platform's store.
STORE = 'store'

Look = Callable[[ListedTarget], Awaitable[FailureKind]]
Claim = Callable[[QuarantineRecord], Awaitable[bool]]
TellEnds = Callable[[Sequence[Crash]], None]
TellCleared = Callable[[str, Sequence[str]], None]


async def _see_nothing(_: ListedTarget) -> FailureKind:
    """Stand for a look at a target where nobody can."""
    return FailureKind.unreachable


async def _grant_nothing(_: QuarantineRecord) -> bool:
    """Stand for a claim where there is no store."""
    return False


def _tell_nobody(*_: Any) -> None:
    """Stand for telling where nobody speaks."""


@dataclass
class IsolationHooks:
    """How an isolation learns and tells.

    `reconnect` connects to a target once more; `claim` takes the right to try a
    quarantined request from all other entries; the others tell these at once.
    """

    reconnect: Look = _see_nothing
    claim: Claim = _grant_nothing
    send_crashes: TellEnds = _tell_nobody
    send_cleared: TellCleared = _tell_nobody


class Isolation:
    """Keeps requests from targets that would end under them.

    `unsaved` has what the store is to know, and `unsaved_added` is set with it;
    `revision` grows with each change of what is quarantined.
    """

    def __init__(self, health: Health, fleet: Fleet) -> None:
        """Begin with no end."""
        self.health = health
        self.fleet = fleet
        self.quarantine = Quarantine()
        self.hooks = IsolationHooks()
        self.unsaved: set[str] = set()
        self.unsaved_added = anyio.Event()
        self.revision = 0
        self._open = UnconfirmedCrashes()
        self._witnessed: set[str] = set()
        self._claiming: set[str] = set()
        self._tried: set[str] = set()

    def is_quarantined(self, fingerprint: str) -> bool:
        """Whether a request goes to no target."""
        return self.quarantine.is_quarantined(fingerprint)

    def count_quarantined(self) -> int:
        """Return how many requests go to no target."""
        return sum(map(self.is_quarantined, self.quarantine.suspects))

    def get_retry_after_s(self, fingerprint: str) -> float:
        """Return when to come back with a quarantined request, in seconds."""
        now = anyio.current_time()
        return self.quarantine.get_retry_after_s(fingerprint, now)

    async def may_probe(self, fingerprint: str) -> bool:
        """Whether a quarantined request may be given to one target now.

        Of all such requests at all entries one may; the others don't wait.
        """
        now = anyio.current_time()
        is_due = self.quarantine.is_probe_due(fingerprint, now)
        if not is_due or fingerprint in self._claiming:
            return False
        self._claiming.add(fingerprint)
        try:
            granted = await self.hooks.claim(
                self.quarantine.make_record(fingerprint, now)
            )
        finally:
            self._claiming.discard(fingerprint)
        # It may have been answered elsewhere while the store was asked.
        if not granted or not self.is_quarantined(fingerprint):
            return False
        self.quarantine.record_probe(fingerprint, now)
        self._tried.add(fingerprint)
        self.revision += 1
        emit(events.TrialGranted(fingerprint))
        return True

    async def investigate_failure(
        self,
        fingerprint: str,
        sign: FailureKind,
        targets: Iterable[ListedTarget],
    ) -> None:
        """Find out whether a target has ended with a request.

        Of all that work on a request one end counts: its reader and its
        helpers may have ended together.
        """
        inquiry = INQUIRIES[sign]
        if inquiry is Inquiry.none:
            return
        for target in targets:
            looks = inquiry is Inquiry.look
            if looks and await self.hooks.reconnect(target) is ENDED:
                end = Crash(fingerprint, target.incarnation)
                self._note_own([end], ENDED)
                return
            self._open.add(fingerprint, target, anyio.current_time())

    def record_replaced(self, incarnation: str) -> None:
        """Note that another start of a target is known: this one has ended."""
        now = anyio.current_time()
        self._note_own(
            self._open.pop_confirmed(incarnation, now), FailureKind.none
        )

    def record_listed(self, listed: ListedTarget) -> None:
        """Note a target: what had its address before has ended."""
        now = anyio.current_time()
        self._note_own(
            self._open.pop_replaced_by(listed, now), FailureKind.none
        )

    def record_answered(self, fingerprint: str) -> None:
        """Note that a target has answered a request: it ends none."""
        was_quarantined = self.is_quarantined(fingerprint)
        now = anyio.current_time()
        ends = self.quarantine.record_answer(fingerprint, now)
        self._note_cleared(fingerprint, len(ends), SELF)
        if len(ends) >= MIN_SHARED_CRASHES:
            self.hooks.send_cleared(fingerprint, ends)
        if was_quarantined:
            self._keep(fingerprint)

    def merge_crashes(
        self,
        ends: Iterable[tuple[Crash, float]],
        source: str,
    ) -> None:
        """Take ends that another entry knows, with their ages in seconds."""
        now = anyio.current_time()
        for end, age_s in ends:
            self._add(end, now - age_s, source)
            if age_s < FRESH_S:
                self._avoid(end.incarnation, now)

    def merge_cleared(
        self,
        fingerprint: str,
        ends: Iterable[str],
        source: str,
    ) -> None:
        """Take another's word that a request with some ends was answered."""
        count = self.quarantine.clear_crashes(fingerprint, ends)
        self._note_cleared(fingerprint, count, source)

    def merge_records(
        self,
        records: Iterable[QuarantineRecord],
        source: str,
    ) -> None:
        """Take what the store, or the list of another entry, has."""
        now = anyio.current_time()
        for record in records:
            fingerprint = record.fingerprint
            self.merge_cleared(fingerprint, record.cleared, source)
            was_quarantined = self.is_quarantined(fingerprint)
            self.quarantine.merge(record, now)
            self._look_at(fingerprint, source, was_quarantined=was_quarantined)

    def get_known(self) -> Iterator[tuple[Crash, float]]:
        """Yield what an entry is told that is new, with ages."""
        now = anyio.current_time()
        for fingerprint, suspect in self.quarantine.suspects.items():
            if len(suspect.incarnations) < MIN_SHARED_CRASHES:
                continue
            age_s = now - suspect.since
            for incarnation in suspect.incarnations:
                yield Crash(fingerprint, incarnation), age_s

    def needs_resending(self, end: Crash) -> bool:
        """Whether a lost word of an end would matter."""
        return (
            self.quarantine.count_crashes(end.fingerprint) >= MIN_SHARED_CRASHES
        )

    def record_restore(self) -> None:
        """Have the store know again of trials that it may have lost.

        Others need not have heard of them yet, and would try once more.
        """
        for fingerprint in filter(self.is_quarantined, self._tried):
            self._keep(fingerprint)

    def pop_unsaved(self) -> list[QuarantineRecord]:
        """Return what the store is to know; nothing waits any more."""
        now = anyio.current_time()
        found = sorted(self.unsaved & self.quarantine.suspects.keys())
        self.unsaved = set()
        self.unsaved_added = anyio.Event()
        return [self.quarantine.make_record(one, now) for one in found]

    def requeue_unsaved(self, records: Iterable[QuarantineRecord]) -> None:
        """Have the store know later what it did not take."""
        for record in records:
            self._keep(record.fingerprint)

    def _note_own(self, ends: list[Crash], sign: FailureKind) -> None:
        now = anyio.current_time()
        for one in ends:
            self._avoid(one.incarnation, now)
        blamed = [one for one in ends if self.quarantine.is_blamed(one, now)]
        for end in blamed:
            self._witnessed.add(end.fingerprint)
            if self._add(end, now, SELF):
                count = self.quarantine.count_crashes(end.fingerprint)
                emit(
                    events.TargetEnded(
                        end.incarnation, end.fingerprint, sign.value, count
                    )
                )
        self.hooks.send_crashes(blamed)

    def _avoid(self, incarnation: str, now: float) -> None:
        """Leave a target alone that has ended, until its entry goes."""
        if incarnation in self.fleet.targets:
            self.health.record_silence(incarnation, now)

    def _add(self, end: Crash, ended_at: float, source: str) -> bool:
        was_quarantined = self.is_quarantined(end.fingerprint)
        is_new = self.quarantine.record_crash(end, ended_at)
        if is_new:
            self._look_at(
                end.fingerprint, source, was_quarantined=was_quarantined
            )
        return is_new

    def _look_at(
        self, fingerprint: str, source: str, *, was_quarantined: bool
    ) -> None:
        """Note whether a request is quarantined from now on.

        An entry that has seen one of its ends has the store know, for those
        that start later.  So up to three do, as any of them may be gone.
        """
        if self.is_quarantined(fingerprint) and not was_quarantined:
            count = self.quarantine.count_crashes(fingerprint)
            self.revision += 1
            emit(events.RequestQuarantined(fingerprint, count, source))
            if source != STORE and fingerprint in self._witnessed:
                self._keep(fingerprint)
        for forgotten in self.quarantine.evict_excess():
            self._witnessed.discard(forgotten)
            emit(events.SuspectForgotten(forgotten))

    def _note_cleared(self, fingerprint: str, count: int, source: str) -> None:
        if not count:
            return
        self.revision += 1
        self._witnessed.discard(fingerprint)
        emit(events.RequestCleared(fingerprint, count, source))

    def _keep(self, fingerprint: str) -> None:
        self.unsaved.add(fingerprint)
        self.unsaved_added.set()
