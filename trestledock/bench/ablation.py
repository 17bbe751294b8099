"""
Ablation
========

What each mechanism of placement is worth: bursts of unlike prompts are played
with all of them, then with one switched off at a time, on the same seeds.
Worth is that of the kinds of requests on the users' sheets, which the decisions
don't know.
"""

import math
from dataclasses import dataclass, replace
from statistics import mean, stdev
from typing import Iterator

import click

from trestledock.bench._bursts import LONG, LONGER, SHORT, make_bursts
from trestledock.bench._sharing import Asked, make_fleet
from trestledock.relay import TERMS, EngineModel, Terms

#: The engines of a fleet whose prompts are long, and how many there are.
ENGINE = EngineModel(
    batch=8,
    capacity_tokens=405_000,
    step_s=0.00131,
    read_rate=154_000,
    step_request_s=9.17e-7,
    step_context_s=2.13e-9,
    pair_s=1.62e-10,
    stride=34,
)
ENGINES = 18
ENTRIES = 9
PLACES = 3
#: What the kinds are worth, and their mean prompt in tokens; a request is worth
#: 0.3 and 0.7 times its size against that, at most four times its kind.
KINDS = (
    (SHORT.name, 1.3, 4_960),
    (LONGER.name, 3.9, 45_000),
    (LONG.name, 24.0, 182_000),
)
FIXED_SHARE = 0.3
MOST_WORTH = 4.0
#: The windows whose two worst are shown, in seconds.
WINDOW_S = 2.0
#: What a mechanism with a limit or a price is without it.
NO_LIMIT = float('inf')
SECONDS = 30.0
SEEDS = 16

#: One row each: what is switched off, and the terms without it.
ROWS: tuple[tuple[str, Terms], ...] = (
    ('all mechanisms', TERMS),
    ('no packing of short requests', replace(TERMS, packing=False)),
    ('no helpers', replace(TERMS, helpers=False)),
    ('own data centre not first', replace(TERMS, near_first=False)),
    ('harm to others not counted', replace(TERMS, harm=False)),
    ('callers wait for ever', replace(TERMS, departure=False)),
    ('no waiting for a better place', replace(TERMS, waiting=False)),
    ('no queue of late ones', replace(TERMS, queueing=False)),
    ('no price of idle engines', replace(TERMS, engine_cost=0)),
    ('no refusal for harm', replace(TERMS, harm_limit=NO_LIMIT)),
)


@dataclass(frozen=True)
class Earned:
    """What was earned: shares of a day's worth and of its two worst windows."""

    whole: float
    worst: float


def play_day(terms: Terms, seed: int, seconds: float = SECONDS) -> Earned:
    """Play one day; return what was earned of it."""
    fleet = make_fleet(ENGINE, ENGINES, ENTRIES, PLACES, terms)
    asked = fleet.play(make_bursts(seed, seconds, ENTRIES))
    windows: dict[int, list[Asked]] = {}
    for one in asked:
        number = int(one.prompt.at // WINDOW_S)
        windows.setdefault(number, []).append(one)
    worst = sorted(get_earned_share(some) for some in windows.values())[:2]
    return Earned(get_earned_share(asked), mean(worst))


def get_earned_share(asked: list[Asked]) -> float:
    """Return the share of the worth of requests that was earned."""
    owed = sum(get_sheet_worth(one) for one in asked)
    earned = sum(get_sheet_worth(one) * one.earned for one in asked)
    return earned / owed


def get_sheet_worth(one: Asked) -> float:
    """Return what a request is worth to its caller."""
    kinds = {name: (worth, tokens) for name, worth, tokens in KINDS}
    worth, mean_tokens = kinds[one.prompt.kind.name]
    size = one.prompt.size.prompt_tokens / mean_tokens
    part = FIXED_SHARE + (1 - FIXED_SHARE) * size
    return worth * min(MOST_WORTH, part)


def make_table(
    seeds: int,
    rows: tuple[tuple[str, Terms], ...] = ROWS,
    seconds: float = SECONDS,
) -> Iterator[str]:
    """Yield the lines of the table, each as soon as it has been played.

    The difference is that to the first row, with its standard error.
    """
    yield '| switched off | earned | worst windows | least day | difference |'
    yield '|---|---|---|---|---|'
    base: list[float] = []
    for name, terms in rows:
        days = [play_day(terms, seed, seconds) for seed in range(seeds)]
        wholes = [day.whole for day in days]
        base = base or wholes
        differences = [
            whole - other for whole, other in zip(wholes, base, strict=True)
        ]
        worst = mean(day.worst for day in days)
        yield (
            f'| {name} | {mean(wholes):.3f} | {worst:.3f} | {min(wholes):.3f} '
            f'| {mean(differences):+.3f} ± {_get_error(differences):.3f} |'
        )


def _get_error(figures: list[float]) -> float:
    """Return the standard error of a mean; zero for a single figure."""
    if len(figures) == 1:
        return 0
    return stdev(figures) / math.sqrt(len(figures))


@click.command()
@click.option('--seeds', default=SEEDS, type=click.IntRange(min=1))
def main(seeds: int) -> None:
    """Print what each mechanism of placement is worth."""
    for line in make_table(seeds):
        click.echo(line)


if __name__ == '__main__':
    main()
