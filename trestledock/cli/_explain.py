"""
Explaining a request
====================

`explain` reads the logs of several entries and prints the story of one
request in the order of time, with what its entry came to believe about the
targets involved.
"""

import json
from typing import Any, Iterable, Iterator

import click

from trestledock.cli._files import fail

#: What every line has, and what is printed in front of the rest.
COMMON = frozenset(('asctime', 'levelname', 'message', 'req'))


@click.command()
@click.argument('req_id')
@click.argument('logs', nargs=-1, type=click.Path(exists=True, allow_dash=True))
def explain(req_id: str, logs: tuple[str, ...]) -> None:
    """Print the story of request REQ_ID from LOGS, or standard input."""
    lines = [line for path in logs or ('-',) for line in read_file(path)]
    story = find_story(lines, req_id)
    if not story:
        fail((f'no line of {req_id} in {len(lines)} lines',))
    for line in story:
        click.echo(format_line(line))


def read_file(path: str) -> list[dict[str, Any]]:
    """Return the lines of a file; `-` is standard input."""
    with click.open_file(path) as source:
        return list(read_lines(source))


def read_lines(source: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yield the JSON lines; whatever stands around them is left out.

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


def find_story(
    lines: list[dict[str, Any]],
    req_id: str,
) -> list[dict[str, Any]]:
    """Return the lines of a request, and those of its targets meanwhile."""
    own = [line for line in lines if line.get('req') == req_id]
    if not own:
        return []
    times = [line.get('asctime', '') for line in own]
    first, last = min(times), max(times)
    peers = {line.get('peer') for line in own} - {None, ''}
    around = [
        line
        for line in lines
        if 'req' not in line
        and line.get('peer') in peers
        and first <= line.get('asctime', '') <= last
    ]
    return sorted([*own, *around], key=lambda line: line.get('asctime', ''))


def format_line(line: dict[str, Any]) -> str:
    """Return a line as text: time, source, event, then its fields."""
    source = line.get('source', '')
    fields = ' '.join(
        f'{name}={found}'
        for name, found in line.items()
        if name not in COMMON and name != 'source' and found not in ('', [])
    )
    parts = (line.get('asctime', ''), source, line.get('message', ''), fields)
    return '  '.join(part for part in parts if part)
