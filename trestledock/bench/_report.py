"""
Benchmark report
================

Runs the cases, prints a table, and writes the figures and a chart.
"""

import json
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict
from pathlib import Path

import click
import pygal

from trestledock.bench._cases import make_cases
from trestledock.bench._replay import Row, replay
from trestledock.request import LengthClass

BUILD = Path('build')
#: The number of concurrent runs.
WORKERS = 6
DEFAULT_SEED = 7


def run_bench(seed: int, folder: Path) -> dict[str, float]:
    """Run all cases; return the headline figures."""
    cases = make_cases(seed)
    rows = []
    with ProcessPoolExecutor(WORKERS) as pool:
        for row in pool.map(replay, cases):
            click.echo(format_row(row))
            rows.append(row)
    named = {row.name: row for row in rows}
    headline = get_headline(named)
    folder.mkdir(exist_ok=True)
    figures = {
        'seed': seed,
        **headline,
        'rows': [asdict(row) for row in rows],
    }
    text = json.dumps(figures, indent=1)
    (folder / 'bench.json').write_text(text, encoding='utf-8')
    _write_chart(rows, folder / 'bench.svg')
    return headline


def get_headline(named: dict[str, Row]) -> dict[str, float]:
    """Return the figures for which there are objectives."""
    short = LengthClass.short

    def ratio(name: str, reference: str) -> float:  # noqa: WPS430
        return round(
            named[name].get_p95(short) / named[reference].get_p95(short), 3
        )

    loads = [named['load 1.0'], named['load 2.0'], named['load 3.0']]
    return {
        'short_slowdown': ratio('full', 'full, short only'),
        'short_slowdown_plain': ratio(
            'round robin (plain)',
            'plain, short only',
        ),
        'short_ttft_over_oracle': ratio('full', 'oracle'),
        'late_admitted': sum(
            row.late + row.unanswered
            for row in named.values()
            if 'plain' not in row.name and row.name in _POLICY_ROWS
        ),
        'goodput_3x_over_1x': round(loads[2].goodput / loads[0].goodput, 3),
        'jain': min(row.jain for row in loads),
        'ttft_8_instances_over_1': ratio('8 instances', '1 instances'),
    }


#: The rows of the full policy, without baselines and ablations.
_POLICY_ROWS = frozenset(
    (
        'full',
        'full, short only',
        'load 1.0',
        'load 2.0',
        'load 3.0',
        'lag 1.0 s',
        'lag 3.0 s',
        '1 instances',
        '8 instances',
        '8 instances, lag 3 s',
        'a sixth of the engines dies',
    )
)


def format_row(row: Row) -> str:
    """Return a row of the table, with times to first token as p50/p95/p99."""
    times = '  '.join(
        f'{name.value} '
        + '/'.join(f'{first_s:.2f}' for first_s in row.ttft.get(name.value, ()))
        for name in LengthClass
    )
    return (
        f'{row.name:28} {row.load:3.1f}x sent {row.sent:4} '
        f'answered {row.answered:4} refused {row.refused:4} '
        f'late {row.late:3} open {row.still_open:2} '
        f'goodput {row.goodput / 1000:5.1f}k/s jain {row.jain:.3f}  {times}'
    )


def _write_chart(rows: list[Row], path: Path) -> None:
    chart = pygal.HorizontalBar(
        title='Time to first token of short prompts, 95th percentile (s)',
        show_legend=False,
    )
    chart.x_labels = [f'{row.name} {row.load}x' for row in rows]
    chart.add('p95', [row.get_p95(LengthClass.short) for row in rows])
    path.write_bytes(chart.render())


@click.command()
@click.option('--seed', default=DEFAULT_SEED)
def main(seed: int) -> None:
    """Replay the workloads and compare the policy with its baselines."""
    for name, figure in run_bench(seed, BUILD).items():
        click.echo(f'{name}: {figure}')
