"""
Commands for fault injection
============================

`python -m trestledock.proof matrix` runs each fault and each pair of faults;
`soak` runs long scenarios with random faults; `run` runs scenario files.
"""

import sys
from pathlib import Path

import click

from trestledock.proof import (
    CellResult,
    make_cells,
    make_soak,
    run_cells,
    run_scenario,
)

#: The default number of runs of a soak.
DEFAULT_RUNS = 12


@click.group()
def main() -> None:
    """Check the promises under faults, on a virtual clock."""


@main.command()
@click.option('--seed', default=1)
def matrix(seed: int) -> None:
    """Run each fault and each pair of faults."""
    results = run_cells(make_cells(seed))
    violated = _print_violations(results)
    click.echo(f'cells: {len(results)}, violated: {violated}')
    sys.exit(1 if violated else 0)


@main.command()
@click.option('--seed', default=1)
@click.option('--runs', default=DEFAULT_RUNS)
def soak(seed: int, runs: int) -> None:
    """Run long scenarios with random faults."""
    results = run_cells(make_soak(seed, runs))
    violated = _print_violations(results)
    requests = sum(result.requests for result in results)
    click.echo(
        f'runs: {len(results)}, requests: {requests}, violated: {violated}',
    )
    sys.exit(1 if violated else 0)


@main.command()
@click.argument('paths', nargs=-1)
def run(paths: tuple[str, ...]) -> None:
    """Run scenario files."""
    broken = 0
    for path in paths:
        violations = run_scenario(Path(path).read_text(encoding='utf-8'))
        broken += bool(violations)
        click.echo(f'{path}: {len(violations)} violations')
        for line in violations:
            click.echo(f'  {line}')
    sys.exit(1 if broken else 0)


def _print_violations(results: list[CellResult]) -> int:
    violated = [result for result in results if result.violations]
    for result in violated:
        click.echo(f'{result.name} ({result.requests} requests)')
        for line in result.violations[:3]:
            click.echo(f'  {line}')
    return len(violated)


if __name__ == '__main__':
    main()
