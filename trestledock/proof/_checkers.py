"""
Checkers
========

One function for each promise of the brief.  Each reads a history and returns
a line for every violation; an empty list means that the promise held.
"""

from collections import defaultdict
from types import MappingProxyType
from typing import Callable, Iterable, Mapping

from trestledock.proof._history import Event, EventType
from trestledock.request import Outcome
from trestledock.standin import get_token_text

#: How far past its deadline an answer may arrive at the caller, in seconds.
DEADLINE_SLACK_S = 0.25
#: How long after a target began to leave new work may still reach it.
LEAVING_SLACK_S = 5.0
#: How long after its acceptance a version must be in force, in seconds.
VERSION_SLACK_S = 9.0

History = list[Event]
Checker = Callable[[History], list[str]]


def _pick(history: History, kind: EventType) -> Iterable[Event]:
    return (event for event in history if event.kind is kind)


def check_in_time(history: History) -> list[str]:
    """Every admitted request finishes or fails within its time, once.

    A caller whose instance died or was frozen sees its connection break.
    """
    ends: dict[str, list[Event]] = defaultdict(list)
    for event in history:
        if event.kind in {EventType.outcome, EventType.broken}:
            ends[event.req_id].append(event)
    violations = []
    for req in _pick(history, EventType.invoked):
        found = ends[req.req_id]
        if len(found) != 1:
            violations.append(f'{req.req_id} ended {len(found)} times')
        elif found[0].at > req.limit + DEADLINE_SLACK_S:
            late = found[0].at - req.limit
            violations.append(f'{req.req_id} ended {late:.2f} s late')
    return violations


def check_memory(history: History) -> list[str]:
    """No engine loses memory for good: at the end nothing is held."""
    return [
        f'{event.who} still holds {event.number} tokens: {event.text}'
        for event in _pick(history, EventType.memory)
        if event.number
    ]


def check_whole(history: History) -> list[str]:
    """Each caller receives the whole answer to its own request, in order."""
    texts: dict[str, list[Event]] = defaultdict(list)
    for event in _pick(history, EventType.chunk):
        texts[event.req_id].append(event)
    asked = {
        event.req_id: event
        for event in _pick(history, EventType.invoked)
        if event.number
    }
    violations = []
    for end in _pick(history, EventType.outcome):
        req = asked.get(end.req_id)
        if req is None:
            continue
        chunks = texts[end.req_id]
        expected = [get_token_text(req.text, one.number) for one in chunks]
        if [one.text for one in chunks] != expected:
            violations.append(f'{req.req_id} got tokens of another answer')
        if [one.number for one in chunks] != list(range(len(chunks))):
            violations.append(f'{req.req_id} got tokens out of order')
        answered = end.text == Outcome.answered.value
        if answered and len(chunks) != req.number:
            count = len(chunks)
            violations.append(f'{req.req_id} got {count} of {req.number}')
    return violations


def check_not_run(history: History) -> list[str]:
    """What is refused as not run did not run, under its key or alone."""
    ran_requests = {event.req_id for event in _pick(history, EventType.ran)}
    ran_keys: dict[str, float] = {}
    for event in _pick(history, EventType.ran):
        if event.key:
            ran_keys.setdefault(event.key, event.at)
    keys = {
        event.req_id: event.key for event in _pick(history, EventType.invoked)
    }
    violations = []
    for end in _pick(history, EventType.outcome):
        if end.text != Outcome.not_run.value:
            continue
        ran_at = ran_keys.get(keys.get(end.req_id, ''), float('inf'))
        if end.req_id in ran_requests or ran_at <= end.at:
            violations.append(f'{end.req_id} was refused as not run but ran')
    return violations


def check_at_most_once(history: History) -> list[str]:
    """A non-idempotent request runs at most once under its key."""
    runs: dict[str, int] = defaultdict(int)
    for event in _pick(history, EventType.ran):
        if event.key:
            runs[event.key] += 1
    return [
        f'key {key} ran {count} times'
        for key, count in runs.items()
        if count > 1
    ]


def check_leaving(history: History) -> list[str]:
    """A target that is leaving gets no new work after a few seconds."""
    left: dict[str, float] = {}
    for event in _pick(history, EventType.leaving):
        left.setdefault(event.key, event.at)
    return [
        f'{event.key} got {event.req_id} {event.at - left[event.key]:.1f} s '
        'after it began to leave'
        for event in _pick(history, EventType.sent)
        if event.key in left and event.at > left[event.key] + LEAVING_SLACK_S
    ]


def check_shutdown(history: History) -> list[str]:
    """A graceful shutdown cuts no request short."""
    leaving = {event.who for event in _pick(history, EventType.shutdown)}
    killed = {
        event.who
        for event in _pick(history, EventType.ended)
        if event.text == 'killed'
    }
    return [
        f'{event.req_id} was cut by the shutdown of {event.who}'
        for event in _pick(history, EventType.broken)
        if event.who in leaving - killed
    ]


def check_versions(history: History) -> list[str]:
    """An accepted version is in force everywhere in seconds, for good."""
    accepted = [
        event
        for event in _pick(history, EventType.published)
        if event.text == 'accepted'
    ]
    return [
        *_find_reverted(history),
        *_find_twice_accepted(accepted),
        *_find_late(history, accepted),
    ]


def _find_reverted(history: History) -> list[str]:
    known: dict[str, int] = {}
    violations = []
    for event in _pick(history, EventType.version):
        if event.number < known.get(event.who, -1):
            violations.append(f'{event.who} reverted to {event.number}')
        known[event.who] = event.number
    return violations


def _find_twice_accepted(accepted: list[Event]) -> list[str]:
    """Of operators that race from one version only one is told `accepted`."""
    seen: dict[float, str] = {}
    violations = []
    for event in accepted:
        other = seen.setdefault(event.limit, event.key)
        if other != event.key:
            violations.append(f'{event.key} and {other} were both accepted')
    return violations


def _find_late(history: History, accepted: list[Event]) -> list[str]:
    """An instance that can't hear has its time from when it can again."""
    ended = {event.who for event in _pick(history, EventType.ended)}
    healed = max(
        (event.at for event in _pick(history, EventType.healed)),
        default=0,
    )
    reached: dict[tuple[str, int], float] = {}
    for event in _pick(history, EventType.version):
        reached.setdefault((event.who, event.number), event.at)
    living = {who for who, _ in reached} - ended
    violations: list[str] = []
    for publication in accepted:
        due = max(publication.at, healed) + VERSION_SLACK_S
        number = publication.number
        violations.extend(
            f'{who} had not version {number} in time'
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
            for (one, version), at in reached.items()
            if one == who and version >= number
        ),
        default=float('inf'),
    )


def check_orders(history: History) -> list[str]:
    """No engine takes an order of a holder after one of a later holder."""
    highest: dict[str, int] = {}
    violations = []
    for event in _pick(history, EventType.order):
        if event.number < highest.get(event.key, -1):
            violations.append(f'{event.key} took an order of an old holder')
        highest[event.key] = max(event.number, highest.get(event.key, -1))
    return violations


#: The checkers by the name of the promise.
CHECKERS: Mapping[str, Checker] = MappingProxyType(
    {
        'in_time': check_in_time,
        'memory': check_memory,
        'whole': check_whole,
        'not_run': check_not_run,
        'at_most_once': check_at_most_once,
        'leaving': check_leaving,
        'shutdown': check_shutdown,
        'versions': check_versions,
        'orders': check_orders,
    }
)


def check_all(history: History) -> dict[str, list[str]]:
    """Return the violations of each promise that did not hold."""
    found = {name: check(history) for name, check in CHECKERS.items()}
    return {name: lines for name, lines in found.items() if lines}
