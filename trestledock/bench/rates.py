"""
Comparison of strategies for sharing a rate limit
=================================================

Prints the results of each strategy for several numbers of entries and limits,
on the same arrivals:

    python -m trestledock.bench.rates
"""

import click

from trestledock.bench._rates import (
    STRATEGIES,
    WINDOW_S,
    Result,
    Scenario,
    simulate,
)

SIZES = (6, 24, 75, 195)
LIMITS = (0.2, 1, 10, 100)
#: The demand at all entries together, as a multiple of the target's limit, and
#: its minimum in requests a second.
DEMAND_FACTOR = 4
MIN_RATE = 20
#: The requests that are allowed in a window: the limit times this factor, plus
#: this count.
EXCESS_FACTOR = 1.5
EXCESS_COUNT = 5


@click.command()
@click.option('--seed', default=1, show_default=True)
def main(seed: int) -> None:
    """Print a table of all strategies."""
    click.echo(
        'entries limit allowed  most  in cut  used  in cut  words/s  way'
    )
    for entries in SIZES:
        for per_s in LIMITS:
            rate = max(MIN_RATE, per_s * DEMAND_FACTOR) / entries
            scenario = Scenario(entries, per_s, rate, seed=seed)
            for name, make_strategy in STRATEGIES:
                click.echo(
                    _format(
                        scenario,
                        name,
                        simulate(scenario, make_strategy(scenario)),
                    )
                )


def _format(scenario: Scenario, name: str, result: Result) -> str:
    allowed = int(EXCESS_FACTOR * WINDOW_S * scenario.per_s + EXCESS_COUNT)
    figures = (
        f'{scenario.entries:7} {scenario.per_s:5} {allowed:7}',
        f'{result.max_in_window:5} {result.max_in_window_cut:7}',
        f'{result.utilization:5.2f} {result.utilization_cut:7.2f}',
        f'{result.messages_per_s:8.0f}  {name}',
    )
    return ' '.join(figures)


if __name__ == '__main__':
    main()
