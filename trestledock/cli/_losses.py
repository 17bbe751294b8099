"""
Losses by cause
===============

`losses` reads the logs of all entries and says where worth was lost: by cause,
by route and by moment.  What a caller got is judged by the times that its
route has: late by its first event, by a pause, or not answered at all.

A request that came back after a refusal is another one here, since each
attempt has an id of its own.
"""

from collections import defaultdict
from dataclasses import dataclass, field
from datetime import datetime
from types import MappingProxyType
from typing import Any, Iterable, Iterator, Mapping

import click

from trestledock.cli._explain import read_file
from trestledock.cli._files import fail

#: What a late answer loses of its worth (the users' sheets).
LATE_LOSS = 0.75
#: A wait before placement that fills this part of the objective is the cause.
WAIT_SHARE = 0.4
#: How long the windows are that losses are added up in, in seconds.
WINDOW_S = 2
TIME_FORMAT = '%Y-%m-%d %H:%M:%S,%f'
#: The events that end a request without a whole answer.
LOST: Mapping[str, str] = MappingProxyType(
    {
        'cut': 'cut: {reason}',
        'refused': 'refused: {reason}',
        'failure_passed_on': 'failed at its target',
        'caller_left': 'its caller left',
    }
)

Line = dict[str, Any]


@dataclass
class Request:
    """What the logs say of one request."""

    admitted: Line
    lines: list[Line] = field(default_factory=list)

    def get_last(self, message: str) -> Line | None:
        """Return the last line of a kind."""
        found = [line for line in self.lines if line['message'] == message]
        return found[-1] if found else None


@dataclass(frozen=True)
class Loss:
    """What one request lost, why, on which route and when."""

    cause: str
    route: str
    worth: float
    window: str


@click.command()
@click.argument('logs', nargs=-1, type=click.Path(exists=True, allow_dash=True))
def losses(logs: tuple[str, ...]) -> None:
    """Print where worth was lost, from LOGS or standard input."""
    lines = [line for path in logs or ('-',) for line in read_file(path)]
    requests = collect(lines)
    if not requests:
        fail((f'no admitted request in {len(lines)} lines',))
    found = [loss for one in requests for loss in judge(one)]
    owed = sum(one.admitted['worth'] for one in requests)
    click.echo(f'{len(requests)} requests, worth {owed:.1f}')
    for name in ('cause', 'route', 'window'):
        click.echo('')
        for row in format_table(found, name):
            click.echo(row)


def collect(lines: Iterable[Line]) -> list[Request]:
    """Return the admitted requests with their lines, in order of time."""
    requests: dict[str, Request] = {}
    ordered = sorted(lines, key=lambda line: line.get('asctime', ''))
    for line in ordered:
        req_id = line.get('req')
        if line.get('message') == 'admitted' and 'worth' in line:
            requests[line['req']] = Request(line)
        elif req_id in requests:
            requests[req_id].lines.append(line)
    return list(requests.values())


def judge(one: Request) -> Iterator[Loss]:
    """Yield what a request lost, if anything."""
    cause, share = _find_cause(one)
    if cause:
        admitted = one.admitted
        yield Loss(
            cause,
            admitted['route'],
            admitted['worth'] * share,
            _get_window(admitted['asctime']),
        )


def format_table(found: list[Loss], name: str) -> Iterator[str]:
    """Yield a table of losses by one of their fields, the largest first."""
    counts: dict[str, int] = defaultdict(int)
    worths: dict[str, float] = defaultdict(float)
    for loss in found:
        counts[getattr(loss, name)] += 1
        worths[getattr(loss, name)] += loss.worth
    yield f'{name:40} requests     lost'
    for key in sorted(worths, key=worths.__getitem__, reverse=True):
        yield f'{key:40} {counts[key]:8} {worths[key]:8.1f}'


def _find_cause(one: Request) -> tuple[str, float]:
    """Return why a request lost worth, and the part that it lost."""
    answered = one.get_last('answered')
    if answered:
        return _find_late_cause(one, answered)
    for message, text in LOST.items():
        line = one.get_last(message)
        if line:
            return text.format(**line), 1
    return 'no end in the logs: its entry ended', 1


def _find_late_cause(one: Request, answered: Line) -> tuple[str, float]:
    """Return why an answer was late, if it was."""
    admitted = one.admitted
    ended = one.get_last('sending_ended')
    if answered['first_ms'] > admitted['objective_ms']:
        if ended:
            return f'late after {ended["ending"]} at {ended["step"]}', LATE_LOSS
        return _find_slow_cause(one), LATE_LOSS
    if admitted['pause_ms'] and answered['longest_ms'] > admitted['pause_ms']:
        return 'pause after a repeat' if ended else 'pause', LATE_LOSS
    return '', 0


def _find_slow_cause(one: Request) -> str:
    """Return why a first event was late that the first target sent."""
    placed = one.get_last('placed') or {}
    objective_ms = one.admitted['objective_ms']
    waited_ms = placed.get('waited_ms', 0)
    if waited_ms > objective_ms * WAIT_SHARE:
        return 'late after waiting for a place'
    if waited_ms + placed.get('predicted_ms', 0) > objective_ms:
        return 'late as predicted'
    return 'later than predicted'


def _get_window(asctime: str) -> str:
    """Return the beginning of the window that an instant lies in."""
    at = datetime.strptime(asctime, TIME_FORMAT)
    second = at.second - at.second % WINDOW_S
    return at.replace(second=second, microsecond=0).strftime('%H:%M:%S')
