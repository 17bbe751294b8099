"""
Quarantine
==========

Requests that crash the targets that run them (queries of death).  The state is
a set of crashes, each an incarnation that crashed while it ran a request, which
grows to the same result in whichever order its elements arrive.  Whether a
request is quarantined depends on this set alone, so that all instances come to
the same decision.
"""

from collections import Counter
from dataclasses import dataclass, field
from typing import Iterable, Iterator

from trestledock.relay._freshness import MAX_AGE_S
from trestledock.relay._recent_answers import RecentAnswers

#: The number of targets that must crash under a request before no other target
#: gets it.  A crash proves little, since all requests that the target ran, some
#: seven, share it.  Three detect every request that crashes each target it runs
#: on.  Of other requests that are sent four times, they quarantine 0.08% if a
#: tenth of the targets crashes independently in each round, 4% if a third does,
#: and 0.03% beside a deadly request (simulated: 18 targets, 300 times each).
#: Blaming each crash on the request with most crashes halves these rates, but
#: lets one in two deadly requests pass if a third of the targets crashes as
#: well.
MIN_CRASHES = 3
#: The delays, in seconds, after which a quarantined request is sent to one
#: target again as a probe: since the last crash under it or the last probe,
#: increasing with each probe.  A request that is quarantined by mistake, as a
#: popular one may be when all targets of a service crash at once, is released
#: by the first probe, or by the second if targets still crash.  A deadly
#: request costs two more targets on its first day and one on each day after, in
#: case the targets were repaired.
PROBE_DELAYS_S = (10.0, 300.0, 86_400.0)
#: The least time, in seconds, after which a caller should retry a quarantined
#: request: after its first probe, which another caller may trigger.
MIN_RETRY_AFTER_S = 15.0
#: The maximum number of suspect requests, some 300 bytes each.  A flood of
#: different requests evicts those with the fewest crashes first.
MAX_SUSPECTS = 1_000
#: The maximum number of cleared crashes of a request, of which the newest are
#: kept: messages about them arrive seconds late, and a popular request is
#: cleared of some with each crash.
MAX_CLEARED = 50
#: The maximum number of requests sent or stored that are only cleared of
#: crashes, of which the latest are: old crashes are hardly reported any more.
MAX_SENT_CLEARED = 100


def get_min_probe_delay_s(probes: int) -> float:
    """Return the least delay after a crash or a probe until the next probe.

    >>> [get_min_probe_delay_s(probes) for probes in (0, 1, 2, 9)]
    [10.0, 300.0, 86400.0, 86400.0]
    """
    return PROBE_DELAYS_S[min(probes, len(PROBE_DELAYS_S) - 1)]


@dataclass(frozen=True)
class Crash:
    """An incarnation of a target that crashed while it ran a request."""

    fingerprint: str
    incarnation: str


@dataclass(frozen=True)
class QuarantineRecord:
    """The state of a request as it is stored and sent to other instances.

    `age_s` is the time since its last crash or probe, `MAX_AGE_S` if this
    instance knows of none: instants are sent as ages, since clocks differ.
    `probes` is stored as `trials`.  `cleared` are the crashes before it was
    answered.
    """

    fingerprint: str
    incarnations: tuple[str, ...]
    age_s: float = 0
    probes: int = 0
    cleared: tuple[str, ...] = ()

    @property
    def is_probe_due(self) -> bool:
        """Whether the next probe may be sent."""
        return self.age_s >= get_min_probe_delay_s(self.probes)


@dataclass
class Suspect:
    """A request and the targets that crashed under it.

    It was sent again as a probe `probes` times; `since` is the instant of the
    last probe or crash, None if it is only known to be cleared of some.
    Crashes that were `cleared` by an answer are kept, in the order in which
    they were cleared: other instances learn of the answer late, and still
    report the old crashes.
    """

    incarnations: set[str] = field(default_factory=set)
    cleared: dict[str, None] = field(default_factory=dict)
    since: float | None = None
    probes: int = 0

    def get_age_s(self, now: float) -> float:
        """Return the time since the last probe or crash, in seconds."""
        return MAX_AGE_S if self.since is None else max(0, now - self.since)

    def get_probe_delay_s(self, now: float) -> float:
        """Return after how many seconds the next probe may be sent."""
        return max(0, get_min_probe_delay_s(self.probes) - self.get_age_s(now))

    def record_instant(self, at: float) -> None:
        """Record the instant of a probe or crash; the latest one counts."""
        self.since = at if self.since is None else max(self.since, at)


class Quarantine:
    """The requests under which targets have crashed.

    >>> quarantine = Quarantine()
    >>> for name in ('t1', 't2', 't3'):
    ...     _ = quarantine.record_crash(Crash('f', name), now=0)
    >>> quarantine.is_quarantined('f'), quarantine.is_quarantined('g')
    (True, False)
    >>> [quarantine.is_probe_due('f', now) for now in (1, 10)]
    [False, True]
    """

    def __init__(self) -> None:
        """Create a quarantine without any crash."""
        self.suspects: dict[str, Suspect] = {}
        self._crashed: Counter[str] = Counter()
        self._recent_answers = RecentAnswers()

    def is_blamed(self, crash: Crash, now: float) -> bool:
        """Return whether a crash seen here is attributed to its request."""
        return not self._recent_answers.excuses(crash.fingerprint, now)

    def record_crash(self, crash: Crash, now: float) -> bool:
        """Record a crash; return whether it is new."""
        suspect = self.suspects.setdefault(crash.fingerprint, Suspect())
        if crash.incarnation in suspect.incarnations:
            return False
        if crash.incarnation in suspect.cleared:
            return False
        suspect.incarnations.add(crash.incarnation)
        suspect.record_instant(now)
        self._crashed[crash.incarnation] += 1
        return True

    def count_crashes(self, fingerprint: str) -> int:
        """Return the number of targets that crashed under a request."""
        suspect = self.suspects.get(fingerprint)
        return len(suspect.incarnations) if suspect else 0

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether a request is known for crashing its targets."""
        return self.count_crashes(fingerprint) >= MIN_CRASHES

    def is_probe_due(self, fingerprint: str, now: float) -> bool:
        """Return whether a quarantined request may be sent as a probe."""
        return not self.get_probe_delay_s(fingerprint, now)

    def get_probe_delay_s(self, fingerprint: str, now: float) -> float:
        """Return after how many seconds a request may be sent as a probe."""
        suspect = self.suspects.get(fingerprint, Suspect())
        return suspect.get_probe_delay_s(now)

    def get_retry_after_s(self, fingerprint: str, now: float) -> float:
        """Return after how many seconds a refused caller should retry."""
        return max(MIN_RETRY_AFTER_S, self.get_probe_delay_s(fingerprint, now))

    def record_probe(self, fingerprint: str, now: float) -> None:
        """Record that a quarantined request is sent as a probe."""
        suspect = self.suspects[fingerprint]
        suspect.probes += 1
        suspect.since = now

    def record_answer(self, fingerprint: str, now: float) -> tuple[str, ...]:
        """Clear a request that was answered here; return its crashes.

        A request that a target has answered completely does not crash targets.
        """
        self._recent_answers.record_answer(fingerprint, now)
        suspect = self.suspects.get(fingerprint, Suspect())
        crashes = tuple(sorted(suspect.incarnations))
        self.clear_crashes(fingerprint, crashes)
        return crashes

    def clear_crashes(self, fingerprint: str, crashes: Iterable[str]) -> int:
        """Clear a request of some crashes; return how many were known."""
        if not crashes:
            return 0
        suspect = self.suspects.pop(fingerprint, Suspect())
        # The requests that were cleared last come last.
        self.suspects[fingerprint] = suspect
        known = suspect.incarnations.intersection(crashes)
        suspect.incarnations -= known
        suspect.cleared.update(dict.fromkeys(crashes))
        while len(suspect.cleared) > MAX_CLEARED:
            suspect.cleared.pop(next(iter(suspect.cleared)))
        suspect.probes = 0
        self._forget_crashes(known)
        return len(known)

    def merge(self, record: QuarantineRecord, now: float) -> None:
        """Merge the state of a request that another instance knows."""
        self.clear_crashes(record.fingerprint, record.cleared)
        since = now - record.age_s
        for incarnation in record.incarnations:
            self.record_crash(Crash(record.fingerprint, incarnation), since)
        suspect = self.suspects.get(record.fingerprint)
        if suspect and suspect.incarnations:
            suspect.record_instant(since)
            suspect.probes = max(suspect.probes, record.probes)

    def get_records(self, now: float) -> Iterator[QuarantineRecord]:
        """Yield the state of requests that are or were in quarantine."""
        cleared = [
            fingerprint
            for fingerprint, suspect in self.suspects.items()
            if len(suspect.cleared) >= MIN_CRASHES
            and not self.is_quarantined(fingerprint)
        ]
        quarantined = filter(self.is_quarantined, self.suspects)
        for fingerprint in (*quarantined, *cleared[-MAX_SENT_CLEARED:]):
            yield self.make_record(fingerprint, now)

    def make_record(self, fingerprint: str, now: float) -> QuarantineRecord:
        """Return the state of a request, to be stored or sent."""
        suspect = self.suspects[fingerprint]
        return QuarantineRecord(
            fingerprint,
            tuple(sorted(suspect.incarnations)),
            suspect.get_age_s(now),
            suspect.probes,
            tuple(suspect.cleared),
        )

    def has_crashed(self, incarnation: str) -> bool:
        """Return whether a target crashed while it ran a request."""
        return incarnation in self._crashed

    def evict_excess(self) -> list[str]:
        """Evict excess requests, fewest crashes first; return fingerprints."""
        surplus = len(self.suspects) - MAX_SUSPECTS
        if surplus <= 0:
            return []
        evicted = sorted(self.suspects, key=self._get_rank)[:surplus]
        for fingerprint in evicted:
            self._forget_crashes(self.suspects.pop(fingerprint).incarnations)
        return evicted

    def _get_rank(self, fingerprint: str) -> tuple[int, bool, float]:
        """Return the rank by crashes, then by the instant of the last one."""
        suspect = self.suspects[fingerprint]
        is_dated = suspect.since is not None
        return len(suspect.incarnations), is_dated, suspect.since or 0

    def _forget_crashes(self, incarnations: Iterable[str]) -> None:
        self._crashed.subtract(incarnations)
        for incarnation in incarnations:
            if not self._crashed[incarnation]:
                self._crashed.pop(incarnation)
