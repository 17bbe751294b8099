"""
Quarantine
==========

Requests that end the targets that run them: queries of death.  What is known is
a set of ends, each a target that ended while it ran a request, and a set grows
in the same way in whichever order its parts are heard.  Whether a request is
quarantined follows from the set alone, so that all instances come to the same
answer.
"""

from collections import Counter
from dataclasses import dataclass, field
from typing import Iterable, Iterator

from trestledock.relay._recent_answers import RecentAnswers

#: So many targets have to end under a request before no other one gets it.  An
#: end says little, since it is shared by all that the target ran, some seven
#: requests.  Three catch each request that ends whatever runs it; of others
#: that are sent four times they hold 0.08% where a tenth of the targets ends by
#: itself in each round, 4% where a third does, and 0.03% beside a deadly one
#: (simulated: 18 targets, 300 times each).  To put ends down to whichever
#: request was at more of them halves that, but let one in two deadly ones go on
#: beside crashes of a third of the targets.
MIN_CRASHES = 3
#: A quarantined request is given to one target again so long after the last
#: target that ended under it, or after the last such trial, in seconds, and
#: each time later.  Whoever is quarantined by mistake, as what many ask for may
#: be where all targets of a service end at once, is free after the first trial,
#: or after the second where targets still end.  A deadly request costs two
#: targets more on its first day and one on each day after, in case they were
#: mended.
PROBE_DELAYS_S = (10.0, 300.0, 86_400.0)
#: When a caller should come back with a quarantined request at the earliest, in
#: seconds: after the first trial of it, which somebody else may make.
MIN_RETRY_AFTER_S = 15.0
#: How many requests are kept of which a target ended, some 300 bytes each.  A
#: flood of different ones pushes out those with the fewest ends first.
MAX_SUSPECTS = 1_000
#: How many cleared ends of a request are kept, the newest: words of them come
#: late by seconds, and what many ask for is cleared of some with each crash.
MAX_CLEARED = 50


def get_trial_s(trials: int) -> float:
    """Return how long after an end or a trial the next trial may be.

    >>> [get_trial_s(trials) for trials in (0, 1, 2, 9)]
    [10.0, 300.0, 86400.0, 86400.0]
    """
    return PROBE_DELAYS_S[min(trials, len(PROBE_DELAYS_S) - 1)]


@dataclass(frozen=True)
class Crash:
    """A target's incarnation that ended while it ran a request."""

    fingerprint: str
    incarnation: str


@dataclass(frozen=True)
class QuarantineRecord:
    """A request in quarantine, as it is kept and handed on.

    `age_s` is the time since its last end or trial: instants are told as ages,
    since clocks differ.  `cleared` are the ends before it was answered.
    """

    fingerprint: str
    incarnations: tuple[str, ...]
    age_s: float = 0
    probes: int = 0
    cleared: tuple[str, ...] = ()

    @property
    def is_probe_due(self) -> bool:
        """Whether it may be tried again."""
        return self.age_s >= get_trial_s(self.probes)


@dataclass
class Suspect:
    """A request with the targets that ended under it.

    One was given the request again, on purpose, `probes` times; `since` is when
    that was, or the last one ended.  What an answer has `cleared` is kept: some
    instances hear of it late, and tell the old ends on meanwhile.  It is in the
    order in which it was cleared.
    """

    incarnations: set[str] = field(default_factory=set)
    cleared: dict[str, None] = field(default_factory=dict)
    since: float = float('-inf')
    probes: int = 0

    def get_probe_delay_s(self, now: float) -> float:
        """Return after how many seconds it may be tried again."""
        return max(0, self.since + get_trial_s(self.probes) - now)


class Quarantine:
    """The requests under which targets have ended.

    >>> known = Quarantine()
    >>> for name in ('t1', 't2', 't3'):
    ...     _ = known.record_crash(Crash('f', name), now=0)
    >>> known.is_quarantined('f'), known.is_quarantined('g')
    (True, False)
    >>> known.is_probe_due('f', now=1), known.is_probe_due('f', now=10)
    (False, True)
    """

    def __init__(self) -> None:
        """Begin with no end."""
        self.suspects: dict[str, Suspect] = {}
        self._ended: Counter[str] = Counter()
        self._proven = RecentAnswers()

    def is_blamed(self, end: Crash, now: float) -> bool:
        """Whether an end that was seen here is put down to its request."""
        return not self._proven.excuses(end.fingerprint, now)

    def record_crash(self, end: Crash, now: float) -> bool:
        """Note an end; return whether it was new."""
        suspect = self.suspects.setdefault(end.fingerprint, Suspect())
        if end.incarnation in suspect.incarnations:
            return False
        if end.incarnation in suspect.cleared:
            return False
        suspect.incarnations.add(end.incarnation)
        suspect.since = max(suspect.since, now)
        self._ended[end.incarnation] += 1
        return True

    def count_crashes(self, fingerprint: str) -> int:
        """Return how many targets have ended under a request."""
        suspect = self.suspects.get(fingerprint)
        return len(suspect.incarnations) if suspect else 0

    def is_quarantined(self, fingerprint: str) -> bool:
        """Whether a request is known for ending its targets."""
        return self.count_crashes(fingerprint) >= MIN_CRASHES

    def is_probe_due(self, fingerprint: str, now: float) -> bool:
        """Whether a quarantined request may be given to one target again."""
        return not self.get_probe_delay_s(fingerprint, now)

    def get_probe_delay_s(self, fingerprint: str, now: float) -> float:
        """Return after how many seconds a request may be tried again."""
        suspect = self.suspects.get(fingerprint, Suspect())
        return suspect.get_probe_delay_s(now)

    def get_retry_after_s(self, fingerprint: str, now: float) -> float:
        """Return when a refused caller should come back, in seconds."""
        return max(MIN_RETRY_AFTER_S, self.get_probe_delay_s(fingerprint, now))

    def record_probe(self, fingerprint: str, now: float) -> None:
        """Note that a quarantined request is given to one target."""
        suspect = self.suspects[fingerprint]
        suspect.probes += 1
        suspect.since = now

    def record_answer(self, fingerprint: str, now: float) -> tuple[str, ...]:
        """Clear a request that was answered here; return the ends it had.

        What a target has run to its end does not end targets.
        """
        self._proven.record_answer(fingerprint, now)
        suspect = self.suspects.get(fingerprint, Suspect())
        ends = tuple(sorted(suspect.incarnations))
        self.clear_crashes(fingerprint, ends)
        return ends

    def clear_crashes(self, fingerprint: str, ends: Iterable[str]) -> int:
        """Clear a request of some ends; return how many were known."""
        if not ends:
            return 0
        suspect = self.suspects.setdefault(fingerprint, Suspect())
        known = suspect.incarnations.intersection(ends)
        suspect.incarnations -= known
        suspect.cleared.update(dict.fromkeys(ends))
        while len(suspect.cleared) > MAX_CLEARED:
            suspect.cleared.pop(next(iter(suspect.cleared)))
        suspect.probes = 0
        self._forget_ends(known)
        return len(known)

    def merge(self, record: QuarantineRecord, now: float) -> None:
        """Take what another instance knows of a request."""
        self.clear_crashes(record.fingerprint, record.cleared)
        since = now - record.age_s
        for incarnation in record.incarnations:
            self.record_crash(Crash(record.fingerprint, incarnation), since)
        suspect = self.suspects.get(record.fingerprint)
        if suspect and suspect.incarnations:
            suspect.since = max(suspect.since, since)
            suspect.probes = max(suspect.probes, record.probes)

    def get_records(self, now: float) -> Iterator[QuarantineRecord]:
        """Yield what is in quarantine or was, to be handed on."""
        for fingerprint, suspect in self.suspects.items():
            known = max(len(suspect.incarnations), len(suspect.cleared))
            if known >= MIN_CRASHES:
                yield self.make_record(fingerprint, now)

    def make_record(self, fingerprint: str, now: float) -> QuarantineRecord:
        """Return a request with its ends, to be kept or handed on."""
        suspect = self.suspects[fingerprint]
        return QuarantineRecord(
            fingerprint,
            tuple(sorted(suspect.incarnations)),
            max(0, now - suspect.since),
            suspect.probes,
            tuple(suspect.cleared),
        )

    def has_crashed(self, incarnation: str) -> bool:
        """Whether a target ended while it ran a request."""
        return incarnation in self._ended

    def evict_excess(self) -> list[str]:
        """Forget what is too much, least ends first; return fingerprints."""
        surplus = len(self.suspects) - MAX_SUSPECTS
        if surplus <= 0:
            return []
        least = sorted(self.suspects, key=self._get_rank)[:surplus]
        for fingerprint in least:
            self._forget_ends(self.suspects.pop(fingerprint).incarnations)
        return least

    def _get_rank(self, fingerprint: str) -> tuple[int, float]:
        suspect = self.suspects[fingerprint]
        return len(suspect.incarnations), suspect.since

    def _forget_ends(self, incarnations: Iterable[str]) -> None:
        self._ended.subtract(incarnations)
        for incarnation in incarnations:
            if not self._ended[incarnation]:
                self._ended.pop(incarnation)
