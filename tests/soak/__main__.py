"""
Command of the soak
===================

`python -m tests.soak --seed 7` plays one run; `--seeds 50` plays as many from
that seed on.  The time line and the logs of a run that broke something stay in
`build/soak/SEED`.
"""

import signal
import sys
from pathlib import Path

import click

from tests.soak.playing import Report, play
from tests.soak.seeds import FAILED
from tests.soak.world import PRODUCT, Size

FOLDER = Path('build') / 'soak'


@click.command()
@click.option('--seed', default=1, help='The first seed.')
@click.option('--seeds', default=1, help='How many seeds to play.')
@click.option('--again', is_flag=True, help='Play all seeds that failed.')
@click.option('--run-s', default=Size.run_s, help='How long callers ask.')
@click.option('--entries', default=Size.entries)
@click.option('--engines', default=Size.engines)
@click.option('--callers', default=Size.callers)
@click.option('--untimed', is_flag=True, help='Leave timed checks out.')
@click.option('--product', default=PRODUCT[0], help='The module to start.')
@click.option('--patch', default='', help='A fault of tests.soak.mutants.')
def main(  # noqa: WPS211, WPS216 - options of a command
    seed: int,
    seeds: int,
    again: bool,
    run_s: float,
    entries: int,
    engines: int,
    callers: int,
    untimed: bool,
    product: str,
    patch: str,
) -> None:
    """Play runs with random faults and check the promises."""
    # Processes of the run must end with it, also when it is told to stop.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    size = Size(entries=entries, engines=engines, callers=callers, run_s=run_s)
    command = ('tests.soak.mutants', patch) if patch else (product,)
    broken = 0
    numbers = tuple(FAILED) if again else range(seed, seed + seeds)
    for number in numbers:
        report = play(
            number,
            size,
            FOLDER / f'{number}{patch}',
            command,
            timed=not untimed,
        )
        _print(number, report)
        broken += bool(report.violations)
    click.echo(f'runs: {len(numbers)}, broken: {broken}')
    sys.exit(1 if broken else 0)


def _print(seed: int, report: Report) -> None:
    click.echo(
        f'seed {seed}: {report.requests} requests, {report.answered} answered, '
        f'{report.refused} refused, {report.faults} faults, '
        f'{len(report.violations)} violations'
    )
    for line in report.violations[:8]:
        click.echo(f'  {line}')


if __name__ == '__main__':
    main()
