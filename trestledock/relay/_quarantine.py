"""
Quarantine
==========

Requests that crash the targets that run them (queries of death), known by their
fingerprint or by a part of their prompts.  The state is a set of crashes, each
an incarnation that crashed while it ran a request of some name, which grows to
the same result in whichever order its elements arrive.  What is quarantined
follows from this set, so that all instances come to the same decision, up to
what their own requests in progress prove.
"""

from collections import Counter
from dataclasses import dataclass, field
from typing import Iterable, Iterator, Mapping

from trestledock.relay._blame import (
    REQUEST_THRESHOLD,
    SHARED_THRESHOLD,
    Evidence,
    Suspects,
    Threshold,
    find_blamed,
)
from trestledock.relay._freshness import MAX_AGE_S
from trestledock.relay._prompt_parts import is_part
from trestledock.relay._recent_answers import RecentAnswers

#: The least number of crashes with which a name may be blamed.
MIN_CRASHES = min(REQUEST_THRESHOLD.crashes, SHARED_THRESHOLD.crashes)
#: The delays, in seconds, after which a quarantined request is sent to one
#: target again as a probe: since the last crash under it or the last probe.
#: What is quarantined by mistake is released by the first probe, or by the
#: second if targets still crash; the third may find repaired targets.
PROBE_DELAYS_S = (10.0, 300.0, 86_400.0)
#: The delay after the last probe: only an operator releases the name then.
NO_PROBE_DELAY_S = float('inf')
#: The least and the greatest time, in seconds, after which a caller should
#: retry a quarantined request: after its first probe, which another caller may
#: trigger.
MIN_RETRY_AFTER_S = 15.0
MAX_RETRY_AFTER_S = 86_400.0
#: The maximum number of suspect names, some 300 bytes each.  A flood of
#: different requests evicts those with the fewest crashes first.
MAX_SUSPECTS = 4_000
#: The maximum number of cleared crashes of a name, of which the newest are
#: kept: messages about them arrive seconds late, and a popular request is
#: cleared of some with each crash.
MAX_CLEARED = 50
#: About how many names that were in one request with another are kept.
MAX_COMPANIONS = 200
#: The maximum number of names sent or stored that are only cleared of crashes,
#: of which the latest are: old crashes are hardly reported any more.
MAX_SENT_CLEARED = 100


def get_min_probe_delay_s(probes: int) -> float:
    """Return the least delay after a crash or a probe until the next probe.

    >>> [get_min_probe_delay_s(probes) for probes in (0, 1, 2, 3)]
    [10.0, 300.0, 86400.0, inf]
    """
    if probes < len(PROBE_DELAYS_S):
        return PROBE_DELAYS_S[probes]
    return NO_PROBE_DELAY_S


@dataclass(frozen=True)
class Crash:
    """An incarnation of a target that crashed while it ran a request.

    `name` is one of those of the request, `at` the instant of the crash.
    """

    name: str
    incarnation: str
    at: float = field(default=0, compare=False)


@dataclass(frozen=True)
class QuarantineRecord:
    """The state of a name as it is stored and sent to other instances.

    `age_s` is the time since its last crash or probe, `MAX_AGE_S` if this
    instance knows of none: instants are sent as ages, since clocks differ.
    `probes` is stored as `trials`.  `cleared` are the crashes before a request
    of this name was answered.  `ages_s` are the times since the crashes of each
    incarnation, where they are known.
    """

    name: str
    incarnations: tuple[str, ...]
    age_s: float = 0
    probes: int = 0
    cleared: tuple[str, ...] = ()
    ages_s: tuple[float, ...] = ()

    @property
    def is_probe_due(self) -> bool:
        """Whether the next probe may be sent."""
        return self.age_s >= get_min_probe_delay_s(self.probes)

    def get_crashes(self) -> Iterator[tuple[str, float]]:
        """Yield the incarnations, each with the time since its crash."""
        ages_s = self.ages_s
        if len(ages_s) != len(self.incarnations):
            ages_s = (self.age_s,) * len(self.incarnations)
        yield from zip(self.incarnations, ages_s, strict=True)


@dataclass
class Suspect:
    """A name and the targets that crashed under its requests.

    `incarnations` are these targets with the instants of their crashes.  One
    request was sent again as a probe `probes` times; `since` is the instant of
    the last probe or crash, None if the name is only known to be cleared of
    some.  Crashes that were `cleared` by an answer are kept, in the order in
    which they were cleared: other instances learn of the answer late, and still
    report the old crashes.  `companions` are names that were in one request
    with this one.
    """

    threshold: Threshold = SHARED_THRESHOLD
    incarnations: dict[str, float] = field(default_factory=dict)
    cleared: dict[str, None] = field(default_factory=dict)
    since: float | None = None
    probes: int = 0
    companions: set[str] = field(default_factory=set)

    def get_age_s(self, now: float) -> float:
        """Return the time since the last probe or crash, in seconds."""
        return MAX_AGE_S if self.since is None else max(0, now - self.since)

    def get_probe_delay_s(self, now: float) -> float:
        """Return after how many seconds the next probe may be sent."""
        return max(0, get_min_probe_delay_s(self.probes) - self.get_age_s(now))

    def record_instant(self, at: float) -> None:
        """Record the instant of a probe or crash; the latest one counts."""
        self.since = at if self.since is None else max(self.since, at)

    def get_evidence(
        self, name: str, proven_at: float, answers: RecentAnswers
    ) -> Evidence:
        """Return the crashes of a name since an instant that proves it."""
        crashes = {
            incarnation: at
            for incarnation, at in self.incarnations.items()
            if at >= proven_at
        }
        last_at = max(crashes.values(), default=proven_at)
        was_sound = bool(self.cleared) or answers.is_recent(name, last_at)
        return Evidence(
            crashes,
            self.threshold,
            is_part(name),
            was_sound,
            self.companions,
        )


class Quarantine:
    """The names of requests under which targets have crashed.

    >>> quarantine = Quarantine()
    >>> for target in ('t1', 't2', 't3'):
    ...     _ = quarantine.record_crash(Crash('f', target), now=0)
    >>> quarantine.is_quarantined('f'), quarantine.is_quarantined('g')
    (True, False)
    >>> quarantine.refuses(('f', 'part:5c1e'))
    True
    >>> [quarantine.is_probe_due('f', now) for now in (1, 10)]
    [False, True]
    """

    def __init__(self) -> None:
        """Create a quarantine without any crash."""
        self.suspects: dict[str, Suspect] = {}
        self._crashed: Counter[str] = Counter()
        self._recent_answers = RecentAnswers()
        self._proofs: Mapping[str, float] = {}
        self._blamed: tuple[Suspects, ...] | None = ()

    def is_blamed(self, crash: Crash) -> bool:
        """Return whether a crash is attributed to its name."""
        return not self._recent_answers.excuses(crash.name, crash.at)

    def record_crash(self, crash: Crash, now: float) -> bool:
        """Record a crash at the instant `now`; return whether it is new."""
        if self._recent_answers.excuses(crash.name, now):
            return False
        suspect = self._get_suspect(crash.name, now)
        if crash.incarnation in suspect.incarnations:
            return False
        if crash.incarnation in suspect.cleared:
            return False
        suspect.incarnations[crash.incarnation] = now
        suspect.record_instant(now)
        self._crashed[crash.incarnation] += 1
        self._blamed = None
        return True

    def record_request(self, names: Iterable[str]) -> None:
        """Record that suspect parts were together in one request."""
        parts = set(filter(is_part, names))
        for name in parts & self.suspects.keys():
            companions = self.suspects[name].companions
            if len(companions) < MAX_COMPANIONS and not parts <= companions:
                companions |= parts
                self._blamed = None

    def count_crashes(self, name: str) -> int:
        """Return the number of targets that crashed under a name."""
        suspect = self.suspects.get(name)
        return len(suspect.incarnations) if suspect else 0

    def get_candidates(self) -> list[str]:
        """Return the names that may be blamed, or share the blame."""
        return [
            name
            for name, suspect in self.suspects.items()
            if len(suspect.incarnations) >= MIN_CRASHES - 1
        ]

    def set_proofs(self, proofs: Mapping[str, float]) -> None:
        """Set when requests in progress began that have survived since.

        Earlier crashes don't count against their names, as long as they go on.
        """
        if proofs != self._proofs:
            self._proofs = proofs
            self._blamed = None

    def get_blamed(self) -> tuple[Suspects, ...]:
        """Return sets of names; a request with all of a set is quarantined."""
        if self._blamed is None:
            self._blamed = find_blamed(
                {
                    name: self.suspects[name].get_evidence(
                        name,
                        self._proofs.get(name, float('-inf')),
                        self._recent_answers,
                    )
                    for name in self.get_candidates()
                }
            )
        return self._blamed

    def find_suspects(self, names: Iterable[str]) -> Suspects | None:
        """Return the set of names for which a request is quarantined."""
        own = frozenset(names)
        for suspects in self.get_blamed():
            if suspects <= own:
                return suspects
        return None

    def refuses(self, names: Iterable[str]) -> bool:
        """Return whether a request with these names is quarantined."""
        return self.find_suspects(names) is not None

    def is_quarantined(self, name: str) -> bool:
        """Return whether a name is blamed, alone or together with others."""
        return any(name in suspects for suspects in self.get_blamed())

    def is_probe_due(self, name: str, now: float) -> bool:
        """Return whether a request may be sent as a probe of its name."""
        return not self.get_probe_delay_s(name, now)

    def get_probe_delay_s(self, name: str, now: float) -> float:
        """Return after how many seconds a name may be probed."""
        suspect = self.suspects.get(name, Suspect())
        return suspect.get_probe_delay_s(now)

    def get_retry_after_s(self, name: str, now: float) -> float:
        """Return after how many seconds a refused caller should retry."""
        delay_s = max(MIN_RETRY_AFTER_S, self.get_probe_delay_s(name, now))
        return min(MAX_RETRY_AFTER_S, delay_s)

    def record_probe(self, name: str, now: float) -> None:
        """Record that a quarantined request is sent as a probe of a name."""
        suspect = self.suspects[name]
        suspect.probes += 1
        suspect.since = now

    def record_answer(self, name: str, began_at: float) -> tuple[str, ...]:
        """Clear a name of the crashes before an answer; return these.

        The answer is complete, and its target began it at the given instant.
        """
        self._recent_answers.record_answer(name, began_at)
        suspect = self.suspects.get(name)
        if suspect is None:
            return ()
        crashes = tuple(
            sorted(
                incarnation
                for incarnation, at in suspect.incarnations.items()
                if at <= began_at
            )
        )
        self.clear_crashes(name, crashes)
        return crashes

    def clear_crashes(self, name: str, crashes: Iterable[str]) -> int:
        """Clear a name of some crashes; return how many were known."""
        if not crashes:
            return 0
        suspect = self.suspects.pop(name, None) or _make_suspect(name)
        # The names that were cleared last come last.
        self.suspects[name] = suspect
        known = suspect.incarnations.keys() & set(crashes)
        for incarnation in known:
            suspect.incarnations.pop(incarnation)
        suspect.cleared.update(dict.fromkeys(crashes))
        while len(suspect.cleared) > MAX_CLEARED:
            suspect.cleared.pop(next(iter(suspect.cleared)))
        suspect.probes = 0
        self._forget_crashes(known)
        return len(known)

    def merge(self, record: QuarantineRecord, now: float) -> None:
        """Merge the state of a name that another instance knows."""
        self.clear_crashes(record.name, record.cleared)
        since = now - record.age_s
        for incarnation, age_s in record.get_crashes():
            self.record_crash(Crash(record.name, incarnation), now - age_s)
        suspect = self.suspects.get(record.name)
        if suspect and suspect.incarnations:
            suspect.record_instant(since)
            suspect.probes = max(suspect.probes, record.probes)

    def get_records(self, now: float) -> Iterator[QuarantineRecord]:
        """Yield the state of names that are or were in quarantine."""
        cleared = [
            name
            for name, suspect in self.suspects.items()
            if len(suspect.cleared) >= MIN_CRASHES
            and not self.is_quarantined(name)
        ]
        quarantined = filter(self.is_quarantined, self.suspects)
        for name in (*quarantined, *cleared[-MAX_SENT_CLEARED:]):
            yield self.make_record(name, now)

    def make_record(self, name: str, now: float) -> QuarantineRecord:
        """Return the state of a name, to be stored or sent."""
        suspect = self.suspects[name]
        crashes = sorted(suspect.incarnations.items())
        return QuarantineRecord(
            name,
            tuple(incarnation for incarnation, _ in crashes),
            suspect.get_age_s(now),
            suspect.probes,
            tuple(suspect.cleared),
            tuple(max(0, now - at) for _, at in crashes),
        )

    def has_crashed(self, incarnation: str) -> bool:
        """Return whether a target crashed while it ran a request."""
        return incarnation in self._crashed

    def evict_excess(self) -> list[str]:
        """Evict excess names, fewest crashes first; return them."""
        surplus = len(self.suspects) - MAX_SUSPECTS
        if surplus <= 0:
            return []
        evicted = sorted(self.suspects, key=self._get_rank)[:surplus]
        for name in evicted:
            self._forget_crashes(self.suspects.pop(name).incarnations)
        return evicted

    def _get_rank(self, name: str) -> tuple[int, bool, float]:
        """Return the rank by crashes, then by the instant of the last one."""
        suspect = self.suspects[name]
        is_dated = suspect.since is not None
        return len(suspect.incarnations), is_dated, suspect.since or 0

    def _get_suspect(self, name: str, now: float) -> Suspect:
        """Return the suspect of a name, which may be new.

        A request that was answered lately may be at many targets at once, as a
        part is.
        """
        if name not in self.suspects:
            self.suspects[name] = _make_suspect(name)
        suspect = self.suspects[name]
        if self._recent_answers.is_recent(name, now):
            suspect.threshold = SHARED_THRESHOLD
        return suspect

    def _forget_crashes(self, incarnations: Iterable[str]) -> None:
        self._blamed = None
        self._crashed.subtract(list(incarnations))
        for incarnation in incarnations:
            if not self._crashed[incarnation]:
                self._crashed.pop(incarnation)


def _make_suspect(name: str) -> Suspect:
    return Suspect(SHARED_THRESHOLD if is_part(name) else REQUEST_THRESHOLD)
