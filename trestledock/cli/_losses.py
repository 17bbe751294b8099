"""
Losses by cause
===============

`losses` reads the logs of all entries and prints how much worth was lost, by
cause, by route and by time window.  An answer is checked against the limits of
its route: worth is lost if the first event was late, if a pause was too long,
or if there was no complete answer.

If a caller repeats a refused request, the repetition counts as a separate
request, since it has its own request id.
"""

from collections import defaultdict
from dataclasses import dataclass, field
from datetime import datetime
from types import MappingProxyType
from typing import Any, Iterable, Iterator, Mapping

import click

from trestledock.cli._explain import read_file
from trestledock.cli._files import fail

#: Share of its worth that a late answer loses (defined by the users' sheets).
LATE_LOSS_SHARE = 0.75
#: If the wait before placement exceeds this share of the objective for the
#: first event, it counts as the cause of a late answer.
MAX_WAIT_SHARE = 0.4
#: Length of the time windows by which losses are summed, in seconds.
WINDOW_S = 2
TIME_FORMAT = '%Y-%m-%d %H:%M:%S,%f'
#: Causes by the log event that ends a request without a complete answer.
CAUSE_BY_EVENT: Mapping[str, str] = MappingProxyType(
    {
        'cut': 'cut: {reason}',
        'refused': 'refused: {reason}',
        'failure_passed_on': 'failed at its target',
        'caller_left': 'its caller left',
    }
)

LogLine = dict[str, Any]


@dataclass
class RequestLog:
    """All log lines of one request."""

    admitted: LogLine
    lines: list[LogLine] = field(default_factory=list)

    def get_last(self, message: str) -> LogLine | None:
        """Return the last line with this event name, if there is one."""
        matches = [line for line in self.lines if line['message'] == message]
        return matches[-1] if matches else None


@dataclass(frozen=True)
class Loss:
    """The worth that one request lost.

    `window` is the start of the time window in which it was admitted.  The
    tables group losses by `cause`, `route` and `window`.
    """

    cause: str
    route: str
    worth: float
    window: str


@click.command()
@click.argument('logs', nargs=-1, type=click.Path(exists=True, allow_dash=True))
def losses(logs: tuple[str, ...]) -> None:
    """Print the worth lost by cause, from LOGS or standard input."""
    lines = [line for path in logs or ('-',) for line in read_file(path)]
    requests = group_by_request(lines)
    if not requests:
        fail((f'no admitted request in {len(lines)} lines',))
    request_losses = [
        loss for request in requests for loss in find_losses(request)
    ]
    total_worth = sum(request.admitted['worth'] for request in requests)
    click.echo(f'{len(requests)} requests, worth {total_worth:.1f}')
    for name in ('cause', 'route', 'window'):
        click.echo('')
        for row in format_table(request_losses, name):
            click.echo(row)


def group_by_request(lines: Iterable[LogLine]) -> list[RequestLog]:
    """Return the admitted requests with their lines, sorted by time."""
    requests: dict[str, RequestLog] = {}
    ordered = sorted(lines, key=lambda line: line.get('asctime', ''))
    for line in ordered:
        req_id = line.get('req')
        if line.get('message') == 'admitted' and 'worth' in line:
            requests[line['req']] = RequestLog(line)
        elif req_id in requests:
            requests[req_id].lines.append(line)
    return list(requests.values())


def find_losses(request: RequestLog) -> Iterator[Loss]:
    """Yield the loss of a request, if it lost any worth."""
    cause, lost_share = _find_cause(request)
    if cause:
        admitted = request.admitted
        yield Loss(
            cause,
            admitted['route'],
            admitted['worth'] * lost_share,
            _get_window_start(admitted['asctime']),
        )


def format_table(request_losses: list[Loss], name: str) -> Iterator[str]:
    """Yield the rows of a table of losses by a field, largest loss first."""
    counts: dict[str, int] = defaultdict(int)
    worths: dict[str, float] = defaultdict(float)
    for loss in request_losses:
        counts[getattr(loss, name)] += 1
        worths[getattr(loss, name)] += loss.worth
    yield f'{name:40} requests     lost'
    for key in sorted(worths, key=worths.__getitem__, reverse=True):
        yield f'{key:40} {counts[key]:8} {worths[key]:8.1f}'


def _find_cause(request: RequestLog) -> tuple[str, float]:
    """Return why a request lost worth, and the share of worth lost."""
    answered = request.get_last('answered')
    if answered:
        return _find_late_cause(request, answered)
    for message, text in CAUSE_BY_EVENT.items():
        line = request.get_last(message)
        if line:
            return text.format(**line), 1
    return 'no end in the logs: its entry ended', 1


def _find_late_cause(
    request: RequestLog, answered: LogLine
) -> tuple[str, float]:
    """Return why an answer was late, and the share of worth lost."""
    admitted = request.admitted
    ended = request.get_last('sending_ended')
    if answered['first_ms'] > admitted['objective_ms']:
        if request.get_last('sent_through'):
            return 'late through another entry', LATE_LOSS_SHARE
        if ended:
            return (
                f'late after {ended["ending"]} at {ended["step"]}',
                LATE_LOSS_SHARE,
            )
        return _find_slow_cause(request), LATE_LOSS_SHARE
    if admitted['pause_ms'] and answered['longest_ms'] > admitted['pause_ms']:
        return 'pause after a repeat' if ended else 'pause', LATE_LOSS_SHARE
    return '', 0


def _find_slow_cause(request: RequestLog) -> str:
    """Return why the first event was late although no attempt failed."""
    placed = request.get_last('placed') or {}
    objective_ms = request.admitted['objective_ms']
    waited_ms = placed.get('waited_ms', 0)
    if waited_ms > objective_ms * MAX_WAIT_SHARE:
        return 'late after waiting for a place'
    if waited_ms + placed.get('predicted_ms', 0) > objective_ms:
        return 'late as predicted'
    return 'later than predicted'


def _get_window_start(asctime: str) -> str:
    """Return the start of the time window that contains a log time."""
    logged_at = datetime.strptime(asctime, TIME_FORMAT)
    second = logged_at.second - logged_at.second % WINDOW_S
    return logged_at.replace(second=second, microsecond=0).strftime('%H:%M:%S')
