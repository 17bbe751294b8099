"""
Comparing ways to share a rate limit
====================================

Prints what each way comes to at several sizes and limits, on the same arrivals:

    python -m trestledock.bench.rates
"""

import click

from trestledock.bench._rates import STRETCH_S, WAYS, Day, Found, play

SIZES = (6, 24, 75, 195)
LIMITS = (0.2, 1, 10, 100)
#: Requests for the target at all entries together, as a multiple of its limit
#: and at least, in requests a second.
PRESSURE = 4
LEAST_RATE = 20
#: What may be sent in a stretch beyond the limit: so many times as much, and so
#: many requests more.
OVER_SHARE = 1.5
OVER_COUNT = 5


@click.command()
@click.option('--seed', default=1, show_default=True)
def main(seed: int) -> None:
    """Print a table of all ways."""
    click.echo(
        'entries limit allowed  most  in cut  used  in cut  words/s  way'
    )
    for entries in SIZES:
        for per_s in LIMITS:
            rate = max(LEAST_RATE, per_s * PRESSURE) / entries
            day = Day(entries, per_s, rate, seed=seed)
            for name, make in WAYS:
                click.echo(_format(day, name, play(day, make(day))))


def _format(day: Day, name: str, found: Found) -> str:
    allowed = int(OVER_SHARE * STRETCH_S * day.per_s + OVER_COUNT)
    figures = (
        f'{day.entries:7} {day.per_s:5} {allowed:7}',
        f'{found.most:5} {found.most_in_cut:7}',
        f'{found.used:5.2f} {found.used_in_cut:7.2f}',
        f'{found.words_per_s:8.0f}  {name}',
    )
    return ' '.join(figures)


if __name__ == '__main__':
    main()
