"""
Command of the soak
===================

`python -m tests.soak --seed 7` plays one run; `--seeds 50` plays as many from
that seed on.  The time line and the logs of a run that broke something stay in
`build/soak/PLAN-SEED`.
"""

import signal
import sys
from dataclasses import replace
from pathlib import Path

import click

from tests.soak.faults import PLANS
from tests.soak.playing import Report, make_size, play
from tests.soak.seeds import FAILED
from tests.soak.world import PRODUCT, Size

FOLDER = Path('build') / 'soak'


@click.command()
@click.option('--seed', default=1, help='The first seed.')
@click.option('--seeds', default=1, help='How many seeds to play.')
@click.option('--plan', type=click.Choice(list(PLANS)), default=Size.plan)
@click.option('--again', is_flag=True, help='Play all seeds that failed.')
@click.option('--run-s', default=Size.run_s, help='How long callers ask.')
@click.option('--entries', default=0, help="Instead of the seed's number.")
@click.option('--untimed', is_flag=True, help='Leave timed checks out.')
@click.option('--product', default=PRODUCT[0], help='The module to start.')
@click.option('--patch', default='', help='A fault of tests.soak.mutants.')
def main(  # noqa: WPS211, WPS216 - options of a command
    seed: int,
    seeds: int,
    plan: str,
    again: bool,
    run_s: float,
    entries: int,
    untimed: bool,
    product: str,
    patch: str,
) -> None:
    """Play runs with random faults and check the promises."""
    # Processes of the run must end with it, also when it is told to stop.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    command = ('tests.soak.mutants', patch) if patch else (product,)
    broken = 0
    runs = [(plan, number) for number in range(seed, seed + seeds)]
    if again:
        runs = list(FAILED)
    for kind, number in runs:
        size = replace(make_size(kind, number), run_s=run_s)
        if entries:
            size = replace(size, entries=entries)
        folder = FOLDER / f'{kind}-{number}{patch}'
        report = play(number, size, folder, command, timed=not untimed)
        _print(f'{kind} {number}', report)
        broken += bool(report.violations)
    click.echo(f'runs: {len(runs)}, broken: {broken}')
    sys.exit(1 if broken else 0)


def _print(seed: str, report: Report) -> None:
    click.echo(
        f'seed {seed}: {report.requests} requests, {report.answered} answered, '
        f'{report.refused} refused, {report.failed} failed, '
        f'{report.cut} cut, {report.faults} faults, {report.changes} changes, '
        f'{len(report.violations)} violations, '
        f'driver {report.late_s:.2f} s late'
    )
    for line in report.violations[:8]:
        click.echo(f'  {line}')


if __name__ == '__main__':
    main()
