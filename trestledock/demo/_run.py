"""
Demo run
========

Starts both example deployments one after the other, sends each of them only
short prompts and then mixed traffic, and prints the outcomes and latencies.
"""

import logging
import sys
from pathlib import Path
from random import Random
from statistics import quantiles

import anyio
import click

from trestledock.demo._deployment import Deployment
from trestledock.demo._traffic import PhaseResult, TrafficGenerator
from trestledock.request import LengthClass

SEED = 7
REQUESTS_PER_S = 12.0
QUANTILE_COUNT = 100
#: Indices of the 50th and 95th percentiles in the result of `quantiles`.
PERCENTILE_INDICES = (49, 94)
PHASE_DURATION_S = 6.0


async def run_demo(folder: Path, seconds: float) -> int:
    """Run the demo; return how many requests have no recorded outcome."""
    sent = 0
    accounted = 0
    for path in (folder / 'huber.yaml', folder / 'gulf-piedmont.yaml'):
        click.echo(f'{path.stem}: starting')
        for name, result in (await _run_deployment(path, seconds)).items():
            _print_result(f'{path.stem}, {name}', result)
            sent += result.sent
            accounted += sum(result.outcomes.values())
    click.echo(f'accounted: {accounted} of {sent}')
    return abs(sent - accounted)


async def _run_deployment(path: Path, seconds: float) -> dict[str, PhaseResult]:
    deployment = Deployment(path)
    async with anyio.create_task_group() as group:
        await deployment.start(group)
        results = {}
        for name, with_long in (('short only', False), ('mixed', True)):
            results[name] = await _run_phase(deployment, seconds, with_long)
        deployment.stop.set()
    _print_short_slowdown(results['short only'], results['mixed'])
    return results


async def _run_phase(
    deployment: Deployment,
    seconds: float,
    with_long: bool,
) -> PhaseResult:
    generator = TrafficGenerator(
        deployment.configuration,
        deployment.entries,
        Random(SEED),
        with_long,
    )
    count = int(REQUESTS_PER_S * seconds)
    label = 'mixed' if with_long else 'short only'
    with click.progressbar(length=count, label=label, file=sys.stderr) as bar:
        return await generator.run(
            REQUESTS_PER_S, seconds, lambda: bar.update(1)
        )


def _print_result(title: str, result: PhaseResult) -> None:
    click.echo(f'{title}: {result.sent} sent')
    for outcome, count in sorted(result.outcomes.items()):
        click.echo(f'  {outcome:10} {count}')
    for name in LengthClass:
        latencies = result.ttft.get(name.value, [])
        if latencies:
            p50, p95 = _get_percentiles(latencies)
            click.echo(
                f'  first token, {name.value:7} p50 {p50:.3f} s  '
                f'p95 {p95:.3f} s  ({len(latencies)})',
            )


def _print_short_slowdown(short_only: PhaseResult, mixed: PhaseResult) -> None:
    short = LengthClass.short.value
    _, before = _get_percentiles(short_only.ttft[short])
    _, after = _get_percentiles(mixed.ttft[short])
    click.echo(
        f'short prompts, p95 with long ones over p95 without: '
        f'{after:.3f} / {before:.3f} = {after / before:.2f}',
    )


def _get_percentiles(latencies: list[float]) -> tuple[float, float]:
    """Return the 50th and the 95th percentile."""
    if len(latencies) < 2:
        return latencies[0], latencies[0]
    cut_points = quantiles(latencies, n=QUANTILE_COUNT, method='inclusive')
    p50, p95 = (cut_points[index] for index in PERCENTILE_INDICES)
    return p50, p95


@click.command()
@click.option(
    '--examples',
    default='examples',
    help='Folder with the example configurations.',
)
@click.option(
    '--seconds', default=PHASE_DURATION_S, help='Duration of each phase.'
)
def demo(examples: str, seconds: float) -> None:
    """Run both example deployments on loopback in one process."""
    logging.getLogger('asyncio').setLevel(logging.CRITICAL)
    unaccounted_count = anyio.run(run_demo, Path(examples), seconds)
    sys.exit(1 if unaccounted_count else 0)
