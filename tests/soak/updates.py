"""
What entries tell
=================

Asks each entry for the update that a new entry would get from it, and for its
metrics.
"""

import json
import re
from typing import AsyncIterator

import anyio
import httpx

from tests.soak.entries import METRICS_PORT, PORTS, Entry
from tests.soak.ledger import Ledger

#: Interval of the questions to one entry, in seconds.
INTERVAL_S = 0.5
#: Timeout of a question, in seconds.
TIMEOUT_S = 0.9
OK_STATUS = 200
#: Counter of tasks and requests of an entry that ended by an exception.
FAILURES = re.compile(r'^trestledock_failed_total (\S+)$', re.MULTILINE)


async def poll_updates(entry: Entry, ledger: Ledger) -> None:
    """Ask an entry for updates; record answers that no entry can use."""
    url = f'http://{entry.host}:{PORTS["peers"]}/news?version=-1&past=1'
    async for answer in _poll(url):
        problem = find_problem(answer.status_code, answer.content)
        if problem:
            ledger.invalid_updates.append(f'{entry.name}: {problem}')


async def poll_failures(entry: Entry, ledger: Ledger) -> None:
    """Ask an entry for its metrics; record exceptions that nothing expected."""
    url = f'http://{entry.host}:{METRICS_PORT}/metrics'
    async for answer in _poll(url):
        count = read_failures(answer.text)
        if count:
            ledger.failures[entry.name] = count


async def _poll(url: str) -> AsyncIterator[httpx.Response]:
    """Yield the answers to a question that is asked again and again.

    An entry that does not answer may be stopped, killed or cut off.
    """
    async with httpx.AsyncClient(timeout=TIMEOUT_S) as client:
        while True:
            await anyio.sleep(INTERVAL_S)
            try:
                answer = await client.get(url)
            except httpx.HTTPError:
                continue
            yield answer


def read_failures(text: str) -> int:
    """Return the number of unexpected exceptions in an entry's metrics."""
    return sum(int(float(number)) for number in FAILURES.findall(text))


def find_problem(status: int, body: bytes) -> str:
    """Return what is wrong with an answer, empty if nothing is."""
    if status != OK_STATUS:
        return f'status {status}'
    try:
        json.loads(body, parse_constant=_refuse_constant)
    except ValueError as exc:
        return str(exc)
    return ''


def _refuse_constant(text: str) -> None:
    raise ValueError(f'{text} is no JSON')
