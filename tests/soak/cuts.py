"""
Comparison of ways to serve callers of entries without links
============================================================

`python -m tests.soak.cuts --cut silent --count 3` cuts some of six entries off
from all targets from 5 s to 17 s, without any other fault. It prints how the
callers of the cut entries and of the others fared from 3 s after the cut on,
for each of the ways in `tests.soak.ways`.
"""

import json
import signal
import time
from collections import Counter
from pathlib import Path
from random import Random
from typing import Any, Iterable, Iterator

import anyio
import click

from tests.soak.ledger import CONTACT_TIMEOUT_S, Ledger, RequestRecord
from tests.soak.links import Cut
from tests.soak.runner import SMALL_SIZE
from tests.soak.ways import WAYS
from tests.soak.world import World

FOLDER = Path('build') / 'cuts'
#: When the cut begins and ends, and how long callers send requests, in seconds.
CUT_S = (5, 17)
RUN_S = 18
SETTLE_S = 10
OK_STATUS = 200


@click.command()
@click.option('--cut', type=click.Choice([cut.name for cut in Cut]))
@click.option('--count', default=3, help='Number of entries that are cut.')
@click.option('--seed', default=1)
@click.option('--way', 'ways', multiple=True, type=click.Choice(list(WAYS)))
def main(cut: str, count: int, seed: int, ways: tuple[str, ...]) -> None:
    """Compare the ways for one cut."""
    # SIGTERM must raise, so that the run's processes are killed as well.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    for way in ways or WAYS:
        folder = FOLDER / f'{cut}-{count}-{seed}-{way}'
        folder.mkdir(parents=True, exist_ok=True)
        for old in folder.iterdir():
            old.unlink()
        ledger = anyio.run(_run, folder.absolute(), way, cut, count, seed)
        for row in _describe(ledger):
            click.echo(f'{cut} {count} of 6, seed {seed}, {way}: {row}')
        click.echo(f'  {_describe_tunnels(folder)}')


async def _run(
    folder: Path, way: str, cut: str, count: int, seed: int
) -> Ledger:
    rng = Random(seed)
    async with anyio.create_task_group() as group:
        command = ('tests.soak.ways', way)
        world = World(SMALL_SIZE, rng, folder, group, command)
        try:
            await _play(world, cut, count)
        finally:
            world.end_processes()
        group.cancel_scope.cancel()
    return world.ledger


async def _play(world: World, cut: str, count: int) -> None:
    await world.start()
    while not world.is_ready():
        await anyio.sleep(0.1)
    world.start_callers()
    began_at = time.monotonic()
    await anyio.sleep(CUT_S[0])
    partition = world.begin_partition(world.entries[:count], Cut[cut])
    await anyio.sleep(CUT_S[1] - CUT_S[0])
    world.end_partition(partition)
    await anyio.sleep(max(0, RUN_S - (time.monotonic() - began_at)))
    world.finished = True
    await anyio.sleep(SETTLE_S)


def _describe(ledger: Ledger) -> Iterator[str]:
    partition = ledger.partitions[0]
    late_at = partition.began_at + CONTACT_TIMEOUT_S
    requests = [one for one in ledger.requests.values() if one.left_at is None]
    late = [
        one for one in requests if late_at <= one.sent_at <= partition.ended_at
    ]
    early = [
        one for one in requests if partition.began_at <= one.sent_at < late_at
    ]
    for name, group in (('late', late), ('first 3 s', early)):
        cut = [one for one in group if one.entry in partition.entries]
        others = [one for one in group if one.entry not in partition.entries]
        yield f'{name}: cut {_sum_up(cut)} | others {_sum_up(others)}'
    runs = len(ledger.runs) - len({run.req_id for run in ledger.runs})
    yield f'repeated runs {runs} of {len(ledger.requests)} requests'


def _sum_up(requests: list[RequestRecord]) -> str:
    served = [one for one in requests if _is_served(one)]
    missed = Counter(
        one.status if one.whole else 'cut'
        for one in requests
        if not _is_served(one)
    )
    first_s = sorted(one.first_at - one.sent_at for one in served)
    text = f'{len(served)} of {len(requests)} {dict(missed)}'
    if first_s:
        median, high = (
            first_s[len(first_s) // 2],
            first_s[len(first_s) * 19 // 20],
        )
        text = f'{text}, first byte {median:.2f} / {high:.2f} s'
    return text


def _is_served(request: RequestRecord) -> bool:
    return request.status == OK_STATUS and request.whole


def _describe_tunnels(folder: Path) -> str:
    closed = [
        line
        for line in _read_lines(folder.glob('*.log'))
        if line.get('message') == 'tunnel_closed'
    ]
    passed = sum(line['up_bytes'] + line['down_bytes'] for line in closed)
    return f'{len(closed)} tunnels, {passed / 1e6:.2f} MB'


def _read_lines(paths: Iterable[Path]) -> Iterator[dict[str, Any]]:
    for path in paths:
        for text in path.read_text(encoding='utf-8').splitlines():
            if text.startswith('{'):
                yield json.loads(text)


if __name__ == '__main__':
    main()
