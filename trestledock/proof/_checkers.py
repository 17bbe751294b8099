"""
Checkers
========

One function for each promise of the product.  Each reads a history and returns
a line for every violation, or an empty list if the promise was kept.
"""

from collections import defaultdict
from types import MappingProxyType
from typing import Callable, Iterable, Mapping

from trestledock.proof._history import Event, EventType
from trestledock.request import Outcome
from trestledock.standin import get_token_text

#: The time after a request's deadline in which its answer may still arrive, in
#: seconds.
DEADLINE_SLACK_S = 0.25
#: The time after the start of draining in which new work may still reach a
#: target, in seconds.
DRAINING_SLACK_S = 5.0
#: The time from a version's acceptance until it is in force, in seconds.
VERSION_SLACK_S = 9.0

History = list[Event]
Checker = Callable[[History], list[str]]


def _filter(history: History, kind: EventType) -> Iterable[Event]:
    return (event for event in history if event.kind is kind)


def check_in_time(history: History) -> list[str]:
    """Check that every request ends exactly once, by its deadline.

    For a caller whose instance was killed or frozen, the end is the break of
    its connection.
    """
    ends: dict[str, list[Event]] = defaultdict(list)
    for event in history:
        if event.kind in {EventType.outcome, EventType.broken}:
            ends[event.req_id].append(event)
    violations = []
    for req in _filter(history, EventType.invoked):
        req_ends = ends[req.req_id]
        if len(req_ends) != 1:
            violations.append(f'{req.req_id} ended {len(req_ends)} times')
        elif req_ends[0].at > req.limit + DEADLINE_SLACK_S:
            late_s = req_ends[0].at - req.limit
            violations.append(f'{req.req_id} ended {late_s:.2f} s late')
    return violations


def check_memory(history: History) -> list[str]:
    """Check that no engine leaks memory: at the end, nothing is reserved."""
    return [
        f'{event.who} still reserves {event.number} tokens: {event.text}'
        for event in _filter(history, EventType.memory)
        if event.number
    ]


def check_whole(history: History) -> list[str]:
    """Check that callers get the whole answer to their request, in order."""
    chunks_by_request: dict[str, list[Event]] = defaultdict(list)
    for event in _filter(history, EventType.chunk):
        chunks_by_request[event.req_id].append(event)
    requests = {
        event.req_id: event
        for event in _filter(history, EventType.invoked)
        if event.number
    }
    violations = []
    for end in _filter(history, EventType.outcome):
        req = requests.get(end.req_id)
        if req is None:
            continue
        chunks = chunks_by_request[end.req_id]
        expected = [get_token_text(req.text, chunk.number) for chunk in chunks]
        if [chunk.text for chunk in chunks] != expected:
            violations.append(f'{req.req_id} got tokens of another answer')
        if [chunk.number for chunk in chunks] != list(range(len(chunks))):
            violations.append(f'{req.req_id} got tokens out of order')
        answered = end.text == Outcome.answered.value
        if answered and len(chunks) != req.number:
            count = len(chunks)
            violations.append(
                f'{req.req_id} got {count} tokens of {req.number}'
            )
    return violations


def check_not_run(history: History) -> list[str]:
    """Check that requests that are refused as not run have not run.

    Neither the request itself nor another one with its key may have run before
    the refusal.
    """
    ran_requests = {event.req_id for event in _filter(history, EventType.ran)}
    ran_keys: dict[str, float] = {}
    for event in _filter(history, EventType.ran):
        if event.key:
            ran_keys.setdefault(event.key, event.at)
    keys = {
        event.req_id: event.key for event in _filter(history, EventType.invoked)
    }
    violations = []
    for end in _filter(history, EventType.outcome):
        if end.text != Outcome.not_run.value:
            continue
        ran_at = ran_keys.get(keys.get(end.req_id, ''), float('inf'))
        if end.req_id in ran_requests or ran_at <= end.at:
            violations.append(f'{end.req_id} was refused as not run but ran')
    return violations


def check_at_most_once(history: History) -> list[str]:
    """Check that a non-idempotent request runs at most once under its key."""
    runs: dict[str, int] = defaultdict(int)
    for event in _filter(history, EventType.ran):
        if event.key:
            runs[event.key] += 1
    return [
        f'key {key} ran {count} times'
        for key, count in runs.items()
        if count > 1
    ]


def check_draining(history: History) -> list[str]:
    """Check that a draining target gets no new work after a few seconds."""
    draining_since: dict[str, float] = {}
    for event in _filter(history, EventType.leaving):
        draining_since.setdefault(event.key, event.at)
    return [
        f'{event.key} got {event.req_id} '
        f'{event.at - draining_since[event.key]:.1f} s after it began to drain'
        for event in _filter(history, EventType.sent)
        if event.key in draining_since
        and event.at > draining_since[event.key] + DRAINING_SLACK_S
    ]


def check_shutdown(history: History) -> list[str]:
    """Check that a graceful shutdown interrupts no request."""
    shut_down = {event.who for event in _filter(history, EventType.shutdown)}
    killed = {
        event.who
        for event in _filter(history, EventType.ended)
        if event.text == 'killed'
    }
    return [
        f'{event.req_id} was interrupted by the shutdown of {event.who}'
        for event in _filter(history, EventType.broken)
        if event.who in shut_down - killed
    ]


def check_versions(history: History) -> list[str]:
    """Check that an accepted version is soon in force everywhere, and stays."""
    accepted = [
        event
        for event in _filter(history, EventType.published)
        if event.text == 'accepted'
    ]
    return [
        *_find_reversions(history),
        *_find_conflicting_acceptances(accepted),
        *_find_late_adoptions(history, accepted),
    ]


def _find_reversions(history: History) -> list[str]:
    known: dict[str, int] = {}
    violations = []
    for event in _filter(history, EventType.version):
        if event.number < known.get(event.who, -1):
            violations.append(f'{event.who} reverted to {event.number}')
        known[event.who] = event.number
    return violations


def _find_conflicting_acceptances(accepted: list[Event]) -> list[str]:
    """Find concurrent publications with the same base that were accepted."""
    seen: dict[float, str] = {}
    violations = []
    for event in accepted:
        other = seen.setdefault(event.limit, event.key)
        if other != event.key:
            violations.append(f'{event.key} and {other} were both accepted')
    return violations


def _find_late_adoptions(history: History, accepted: list[Event]) -> list[str]:
    """Find versions that came into force too late.

    The time of an instance that was cut off begins when the fault is healed.
    """
    ended = {event.who for event in _filter(history, EventType.ended)}
    healed = max(
        (event.at for event in _filter(history, EventType.healed)),
        default=0,
    )
    reached: dict[tuple[str, int], float] = {}
    for event in _filter(history, EventType.version):
        reached.setdefault((event.who, event.number), event.at)
    living = {who for who, _ in reached} - ended
    violations: list[str] = []
    for publication in accepted:
        due = max(publication.at, healed) + VERSION_SLACK_S
        number = publication.number
        violations.extend(
            f'{who} did not have version {number} in time'
            for who in sorted(living)
            if _get_reached_at(reached, who, number) > due
        )
    return violations


def _get_reached_at(
    reached: dict[tuple[str, int], float],
    who: str,
    number: int,
) -> float:
    """Return when an instance had a version or a later one in force."""
    return min(
        (
            at
            for (instance, version), at in reached.items()
            if instance == who and version >= number
        ),
        default=float('inf'),
    )


def check_orders(history: History) -> list[str]:
    """Check that no engine accepts an order of an outdated lease holder."""
    highest: dict[str, int] = {}
    violations = []
    for event in _filter(history, EventType.order):
        if event.number < highest.get(event.key, -1):
            violations.append(
                f'{event.key} took an order of an outdated holder'
            )
        highest[event.key] = max(event.number, highest.get(event.key, -1))
    return violations


#: The checkers by the names of the promises.
CHECKERS: Mapping[str, Checker] = MappingProxyType(
    {
        'in_time': check_in_time,
        'memory': check_memory,
        'whole': check_whole,
        'not_run': check_not_run,
        'at_most_once': check_at_most_once,
        'leaving': check_draining,
        'shutdown': check_shutdown,
        'versions': check_versions,
        'orders': check_orders,
    }
)


def check_all(history: History) -> dict[str, list[str]]:
    """Return the violations of each broken promise."""
    violations = {name: check(history) for name, check in CHECKERS.items()}
    return {name: lines for name, lines in violations.items() if lines}
