"""
Demo run
========

Starts both example deployments one after the other, sends them short and then
mixed traffic, and prints what became of every request.
"""

import logging
import sys
from pathlib import Path
from random import Random
from statistics import quantiles

import anyio
import click

from trestledock.demo._deployment import Deployment
from trestledock.demo._traffic import Generator, Tally
from trestledock.request import LengthClass

SEED = 7
RATE = 12.0
PERCENT = 100
#: Where the 50th and the 95th percentile stand among the cuts.
CUTS = (49, 94)
PHASE_S = 6.0


async def run_demo(folder: Path, seconds: float) -> int:
    """Run the demo; return how many requests are not accounted for."""
    sent = 0
    accounted = 0
    for path in (folder / 'huber.yaml', folder / 'gulf-piedmont.yaml'):
        click.echo(f'{path.stem}: starting')
        for name, tally in (await _run_deployment(path, seconds)).items():
            _print_tally(f'{path.stem}, {name}', tally)
            sent += tally.sent
            accounted += sum(tally.outcomes.values())
    click.echo(f'accounted: {accounted} of {sent}')
    return abs(sent - accounted)


async def _run_deployment(path: Path, seconds: float) -> dict[str, Tally]:
    deployment = Deployment(path)
    async with anyio.create_task_group() as group:
        await deployment.start(group)
        tallies = {}
        for name, with_long in (('short only', False), ('mixed', True)):
            tallies[name] = await _run_phase(deployment, seconds, with_long)
        deployment.stop.set()
    _print_slowdown(tallies['short only'], tallies['mixed'])
    return tallies


async def _run_phase(
    deployment: Deployment,
    seconds: float,
    with_long: bool,
) -> Tally:
    generator = Generator(
        deployment.cfg,
        deployment.entries,
        Random(SEED),
        with_long,
    )
    count = int(RATE * seconds)
    label = 'mixed' if with_long else 'short only'
    with click.progressbar(length=count, label=label, file=sys.stderr) as bar:
        return await generator.run(RATE, seconds, lambda: bar.update(1))


def _print_tally(title: str, tally: Tally) -> None:
    click.echo(f'{title}: {tally.sent} sent')
    for outcome, count in sorted(tally.outcomes.items()):
        click.echo(f'  {outcome:10} {count}')
    for name in LengthClass:
        found = tally.ttft.get(name.value, [])
        if found:
            middle, high = _get_percentiles(found)
            click.echo(
                f'  first token, {name.value:7} p50 {middle:.3f} s  '
                f'p95 {high:.3f} s  ({len(found)})',
            )


def _print_slowdown(without: Tally, mixed: Tally) -> None:
    short = LengthClass.short.value
    _, before = _get_percentiles(without.ttft[short])
    _, after = _get_percentiles(mixed.ttft[short])
    click.echo(
        f'short prompts, p95 with long ones over p95 without: '
        f'{after:.3f} / {before:.3f} = {after / before:.2f}',
    )


def _get_percentiles(found: list[float]) -> tuple[float, float]:
    if len(found) < 2:
        return found[0], found[0]
    cuts = quantiles(found, n=PERCENT, method='inclusive')
    middle, high = (cuts[index] for index in CUTS)
    return middle, high


@click.command()
@click.option('--examples', default='examples', help='Folder of the examples.')
@click.option('--seconds', default=PHASE_S, help='How long each phase lasts.')
def demo(examples: str, seconds: float) -> None:
    """Run everything on loopback in one process for some seconds."""
    logging.getLogger('asyncio').setLevel(logging.CRITICAL)
    missing = anyio.run(run_demo, Path(examples), seconds)
    sys.exit(1 if missing else 0)
