"""
Ledger of a run
===============

What was seen from outside the product: requests as callers sent and got them,
runs as targets saw them, acknowledged changes and injected faults.  Times are
seconds on the driver's monotonic clock.
"""

import json
import time
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any, Collection

#: After a fault has ended an entry is out of touch for so long, in seconds
#: (`contactMs` of the settings).
CONTACT_TIMEOUT_S = 3.0
#: What stands for all entries in a fault.
ALL_ENTRIES = '*'


@dataclass(frozen=True)
class RequestSpec:
    """What a caller asks for; `events` is zero for plain calls."""

    req_id: str
    kind: str
    key: str
    team: str
    service: str
    path: str = ''
    sizes: str = ''
    events: int = 0
    digest: int = 0
    timeout_s: float = 5

    @property
    def repeatable(self) -> bool:
        """Whether more than one target may run it."""
        return self.kind != 'non_idempotent'


@dataclass
class RequestRecord:
    """One request of a caller, and what came of it.

    `status` is zero where the connection ended before an answer, `last_event`
    the last event in an unbroken row from the first, `problem` says what was
    wrong with the answer's bytes.  `whole_at` is when the last byte of the
    request was sent, `first_at` when its answer began; a `slow` caller takes
    the rest when it likes.  `unread` tells of a first request on a connection
    that ended with a reset: the entry may never have accepted or read it.
    """

    ask: RequestSpec
    entry: str
    sent_at: float
    status: int = 0
    seal: str = ''
    whole: bool = False
    last_event: int = 0
    problem: str = ''
    whole_at: float | None = None
    first_at: float | None = None
    slow: bool = False
    unread: bool = False
    left_at: float | None = None
    ended_at: float | None = None

    @property
    def served_at(self) -> float:
        """When the entry had done all that didn't depend on the caller."""
        if self.slow and self.first_at:
            return self.first_at
        return self.end

    @property
    def end(self) -> float:
        """When the caller had all that it got."""
        return self.ended_at or float('inf')


@dataclass
class Run:
    """One run of a request at a target, whose answer may say that it leaves."""

    req_id: str
    target: str
    service: str
    began_at: float
    team: str
    sizes: str
    seal: str = ''
    status: int = 0
    key_seen: bool = False
    digest: int = 0
    ended_at: float | None = None
    leaves: bool = False


@dataclass(frozen=True)
class Arrival:
    """A request that reached a target, whether it ran there or not."""

    req_id: str
    target: str
    at: float


@dataclass(frozen=True)
class BackoffRequest:
    """A target turned a request away and wants rest from its entry."""

    req_id: str
    target: str
    at: float
    until: float


@dataclass(frozen=True)
class Change:
    """A change that the store has acknowledged: what, whose, and when."""

    what: str
    name: str
    at: float


@dataclass(frozen=True)
class Crash:
    """A target that ended as it began to run a request, by its path."""

    path: str
    target: str
    at: float


@dataclass(frozen=True)
class LimitChange:
    """A target asks for another number of requests a second from now on.

    `per_s` is None where it takes any number.
    """

    target: str
    per_s: float | None
    at: float


@dataclass
class Fault:
    """An injected fault on an entry (or all of them), or on a target."""

    kind: str
    entry: str
    began_at: float
    ended_at: float = float('inf')
    target: str = ''

    def affects(self, name: str, start: float, end: float) -> bool:
        """Whether the fault disturbs an entry or a target in a span."""
        return (
            name in {self.entry, self.target}
            and self.began_at <= end
            and start <= self.ended_at + CONTACT_TIMEOUT_S
        )


@dataclass
class Ledger:
    """Everything that was seen in one run."""

    requests: dict[str, RequestRecord] = field(default_factory=dict)
    runs: list[Run] = field(default_factory=list)
    changes: list[Change] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)
    crashes: list[Crash] = field(default_factory=list)
    limit_changes: list[LimitChange] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    backoffs: list[BackoffRequest] = field(default_factory=list)
    reservation_clashes: set[str] = field(default_factory=set)
    reservation_leaks: set[str] = field(default_factory=set)
    exits: list[str] = field(default_factory=list)
    timeouts_s: dict[str, float] = field(default_factory=dict)
    began_at: float = field(default_factory=time.monotonic)

    def record_change(self, what: str, name: str) -> None:
        """Note a change that has just been acknowledged."""
        self.changes.append(Change(what, name, time.monotonic()))

    def record_crash(self, path: str, target: str) -> None:
        """Note that a target has just ended under a request."""
        self.crashes.append(Crash(path, target, time.monotonic()))

    def record_arrival(self, req_id: str, target: str) -> None:
        """Note that a request has just reached a target."""
        self.arrivals.append(Arrival(req_id, target, time.monotonic()))

    def record_backoff(
        self, req_id: str, target: str, backoff_s: float
    ) -> None:
        """Note that a target turns a request away and asks for rest."""
        now = time.monotonic()
        self.backoffs.append(
            BackoffRequest(req_id, target, now, now + backoff_s)
        )

    def record_limit_change(self, target: str, per_s: float | None) -> None:
        """Note what a target asks for from now on."""
        self.limit_changes.append(LimitChange(target, per_s, time.monotonic()))

    def begin_fault(
        self, kind: str, entry: str = '', target: str = ''
    ) -> Fault:
        """Note the beginning of a fault; its end is set by the caller."""
        fault = Fault(kind, entry, time.monotonic(), target=target)
        self.faults.append(fault)
        return fault

    def is_undisturbed(
        self,
        name: str,
        start: float,
        end: float,
        ignored_kinds: Collection[str] = (),
    ) -> bool:
        """Whether an entry or a target was undisturbed in a span.

        Faults of the kinds `besides` don't count.
        """
        return not any(
            fault.affects(one, start, end)
            for fault in self.faults
            if fault.kind not in ignored_kinds
            for one in (name, ALL_ENTRIES)
        )

    def get_stop_times(self, name: str) -> list[float]:
        """Return when an entry was asked to end gracefully."""
        return [
            one.began_at
            for one in self.faults
            if one.entry == f'graceful {name}'
        ]

    def get_entry(self, req_id: str) -> str:
        """Return the entry that took a request."""
        request = self.requests.get(req_id)
        return request.entry if request else ''

    def get_sent_at(self, req_id: str) -> float:
        """Return when a request's caller sent it, or before all time."""
        request = self.requests.get(req_id)
        return request.sent_at if request else float('-inf')

    def get_runs_by_request(self) -> dict[str, list[Run]]:
        """Return the runs of each request."""
        found: dict[str, list[Run]] = {}
        for run in self.runs:
            found.setdefault(run.req_id, []).append(run)
        return found

    def record_timeout(self, path: str, timeout_s: float) -> None:
        """Note the time that a route allows; the least ever counts."""
        known_s = self.timeouts_s.get(path, timeout_s)
        self.timeouts_s[path] = min(known_s, timeout_s)

    def may_have_timed_out(self, request: RequestRecord) -> bool:
        """Whether a request may have reached its route's time."""
        limit_s = self.timeouts_s.get(request.ask.path, float('inf'))
        return request.end - request.sent_at >= limit_s

    def get_changes(self, what: str) -> dict[str, float]:
        """Return when changes of a kind were first acknowledged, by name."""
        found: dict[str, float] = {}
        for one in self.changes:
            if one.what == what:
                found.setdefault(one.name, one.at)
        return found

    def write(self, path: Path) -> None:
        """Write the time line, a line of JSON for each thing seen."""
        rows: list[tuple[float, dict[str, Any]]] = []
        for kind, at, seen in (
            ('fault', 'began_at', self.faults),
            ('change', 'at', self.changes),
            ('end', 'at', self.crashes),
            ('naming', 'at', self.limit_changes),
            ('rest', 'at', self.backoffs),
            ('run', 'began_at', self.runs),
            ('attempt', 'sent_at', self.requests.values()),
        ):
            rows.extend(
                (getattr(one, at), {'seen': kind, **asdict(one)})
                for one in seen
            )
        rows.sort(key=lambda row: row[0])
        lines = [
            json.dumps({'t': round(at - self.began_at, 3), **row}, default=str)
            for at, row in rows
        ]
        path.write_text('\n'.join(lines), encoding='utf-8')
