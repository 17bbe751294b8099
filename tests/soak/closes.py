"""
Comparison of ways to tell where an answer ends
===============================================

`python -m tests.soak.closes --fault cut` has all targets end their answers by
closing. With `cut` they close a quarter of them early and live on, with `crash`
they crash one after the other and close their connections, with `none` all are
sound. It prints what callers got for each of the closing ways in
`tests.soak.ways`.
"""

import signal
from collections import Counter
from pathlib import Path
from random import Random
from typing import Iterator

import anyio
import click

from tests.soak.ends import OK_STATUS
from tests.soak.ledger import Ledger, RequestRecord
from tests.soak.targets import Target
from tests.soak.ways import CLOSING_WAYS
from tests.soak.world import Size, World

FOLDER = Path('build') / 'closes'
SIZE = Size(entries=4, engines=8, plain=5, callers=36)
#: How long callers send requests, and then wait for their answers, in seconds.
RUN_S = 12
SETTLE_S = 9
CUT_SHARE = 0.25
CRASH_INTERVAL_S = 0.7
#: How long after a crash a target starts again, in seconds.
RESTART_S = 1.5
FAULTS = ('none', 'cut', 'crash')


@click.command()
@click.option('--fault', type=click.Choice(FAULTS), default='cut')
@click.option('--seed', default=7)
@click.option(
    '--way', 'ways', multiple=True, type=click.Choice(list(CLOSING_WAYS))
)
def main(fault: str, seed: int, ways: tuple[str, ...]) -> None:
    """Compare the ways for one fault."""
    # SIGTERM must raise, so that the run's processes are killed as well.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    for way in ways or CLOSING_WAYS:
        folder = FOLDER / f'{fault}-{seed}-{way}'
        folder.mkdir(parents=True, exist_ok=True)
        for old in folder.iterdir():
            old.unlink()
        for row in anyio.run(_run, folder.absolute(), way, fault, seed):
            click.echo(f'{fault}, seed {seed}, {way}: {row}')


async def _run(folder: Path, way: str, fault: str, seed: int) -> list[str]:
    async with anyio.create_task_group() as group:
        command = ('tests.soak.ways', way)
        world = World(SIZE, Random(seed), folder, group, command)
        try:
            await _play(world, fault)
        finally:
            world.end_processes()
        group.cancel_scope.cancel()
    opened = sum(target.link.opened for target in world.targets)
    return list(_describe(world.ledger, opened, world.late_s))


async def _play(world: World, fault: str) -> None:
    await world.start()
    while not world.is_ready():
        await anyio.sleep(0.1)
    for target in world.targets:
        target.ends_by_close = True
        target.crashes_quietly = True
        if fault == 'cut':
            target.fault_shares.cuts = CUT_SHARE
    world.start_callers()
    with anyio.move_on_after(RUN_S):
        while True:
            await anyio.sleep(CRASH_INTERVAL_S)
            if fault == 'crash':
                target = max(world.targets, key=lambda one: one.running)
                world.group.start_soon(_crash, world, target)
    world.finished = True
    await anyio.sleep(SETTLE_S)


async def _crash(world: World, target: Target) -> None:
    """Crash a target, and start it again as it was."""
    await world.restart(target, RESTART_S)
    world.targets[-1].ends_by_close = True
    world.targets[-1].crashes_quietly = True


def _describe(ledger: Ledger, opened: int, late_s: float) -> Iterator[str]:
    requests = [one for one in ledger.requests.values() if one.left_at is None]
    streams = [one for one in requests if one.ask.events]
    plains = [one for one in requests if not one.ask.events]
    for name, group in (('streams', streams), ('plain', plains)):
        found = Counter(map(_classify, group))
        whole = [one for one in group if _classify(one) == 'whole']
        took_s = sorted(one.end - one.sent_at for one in whole)
        last_s = f'{took_s[len(took_s) // 2]:.2f}' if took_s else '-'
        yield f'{name}: {dict(found)} of {len(group)}, last byte {last_s} s'
    runs = len(ledger.runs) / len(ledger.requests)
    yield (
        f'{runs:.2f} runs a request, {opened / len(ledger.runs):.2f} '
        f'connections a run, driver {late_s:.2f} s late'
    )


def _classify(request: RequestRecord) -> str:
    """Return what a caller got, and what it must believe of it."""
    if request.status != OK_STATUS:
        return str(request.status or 'no answer')
    is_short = request.last_event != request.ask.events or request.problem
    if request.whole:
        return 'SHORT AS WHOLE' if is_short else 'whole'
    return 'short, not framed' if request.is_closed else 'broken off'


if __name__ == '__main__':
    main()
