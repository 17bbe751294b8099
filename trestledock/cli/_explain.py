"""
Log lines of one request
========================

`explain` reads the logs of several entries and prints the log lines of one
request in chronological order, together with the lines about its targets that
were logged in the same period.
"""

import json
from typing import Any, Iterable, Iterator

import click

from trestledock.cli._files import fail

#: Fields that are not printed as `name=value`: the columns at the start of a
#: line, the level, and the request id, which is an argument of the command.
EXCLUDED_FIELDS = frozenset(('asctime', 'levelname', 'message', 'req'))


@click.command()
@click.argument('req_id')
@click.argument('logs', nargs=-1, type=click.Path(exists=True, allow_dash=True))
def explain(req_id: str, logs: tuple[str, ...]) -> None:
    """Print the log lines of request REQ_ID from LOGS or standard input."""
    lines = [line for path in logs or ('-',) for line in read_file(path)]
    related = find_related_lines(lines, req_id)
    if not related:
        fail((f'no line of {req_id} in {len(lines)} lines',))
    for line in related:
        click.echo(format_line(line))


def read_file(path: str) -> list[dict[str, Any]]:
    """Return the JSON log lines of a file; `-` is standard input."""
    with click.open_file(path) as source:
        return list(read_lines(source))


def read_lines(source: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yield the parsed JSON log lines and skip all other lines.

    The text before the JSON object becomes the field `source`.

    >>> [line['message'] for line in read_lines(['e1 {"message": "placed"}'])]
    ['placed']
    """
    for text in source:
        start = text.find('{')
        if start < 0:
            continue
        try:
            line = json.loads(text[start:])
        except ValueError:
            continue
        yield {'source': text[:start].strip(), **line}


def find_related_lines(
    lines: list[dict[str, Any]],
    req_id: str,
) -> list[dict[str, Any]]:
    """Return the lines of a request and of its targets, sorted by time.

    A line about a target counts if it has no request id and was logged between
    the first and the last line of the request.
    """
    request_lines = [line for line in lines if _is_about(line, req_id)]
    if not request_lines:
        return []
    times = [line.get('asctime', '') for line in request_lines]
    first, last = min(times), max(times)
    targets = {line.get('peer') for line in request_lines} - {None, ''}
    target_lines = [
        line
        for line in lines
        if 'req' not in line
        and line not in request_lines
        and line.get('peer') in targets
        and first <= line.get('asctime', '') <= last
    ]
    return sorted(
        [*request_lines, *target_lines],
        key=lambda line: line.get('asctime', ''),
    )


def _is_about(line: dict[str, Any], req_id: str) -> bool:
    """Return whether a line is about a request.

    That includes its orders for memory, whose reservations begin with its id,
    and copies of its answers that others have read.
    """
    reservation = line.get('reservation', '').rpartition('-')[0]
    return req_id in {line.get('req'), line.get('answer_req'), reservation}


def format_line(line: dict[str, Any]) -> str:
    """Format a line as text: time, source, event name, then its fields."""
    source = line.get('source', '')
    fields = ' '.join(
        f'{name}={value}'
        for name, value in line.items()
        if name not in EXCLUDED_FIELDS
        and name != 'source'
        and value not in ('', [])
    )
    columns = (line.get('asctime', ''), source, line.get('message', ''), fields)
    return '  '.join(column for column in columns if column)
