"""
Traces
======

A recorded-seed trace of requests for the replay: prompt lengths from a
thousand to a million tokens, one in fifty over a hundred thousand, several
teams with prompts that begin alike.
"""

import math
from dataclasses import dataclass
from random import Random

from trestledock.proof import MODEL
from trestledock.request import Kind, LengthClass, Request

#: Tokens in a block whose hash a request carries.
BLOCK_TOKENS = 512
#: Requests in which every band occurs by its share, and the step that deals
#: them evenly; the part of the golden ratio spreads lengths in a band.
ROUND = 50
DEAL = 31
GOLDEN = 0.6180339887
#: Blocks that all prompts of a team share.
SHARED_BLOCKS = 2


@dataclass(frozen=True)
class Band:
    """A band of prompt lengths: its share, its bounds and its time."""

    share: float
    low: int
    high: int
    max_tokens: int
    deadline_s: float


#: The mix of both workloads; bounds in tokens, times in seconds.
BANDS = (
    Band(0.70, 1_000, 8_000, 96, 12),
    Band(0.20, 8_000, 32_000, 128, 40),
    Band(0.08, 32_000, 100_000, 128, 180),
    Band(0.02, 100_000, 1_000_000, 160, 900),
)


@dataclass(frozen=True)
class Arrival:
    """A request with the instant at which it is sent, and its time."""

    at: float
    req: Request
    deadline_s: float


def get_mean_tokens() -> float:
    """Return the mean prompt length of the mix."""
    return sum(band.share * (band.low + band.high) / 2 for band in BANDS)


def make_trace(
    seed: int,
    rate: float,
    start: float,
    stop: float,
    teams: tuple[str, ...],
) -> list[Arrival]:
    """Return the arrivals of a Poisson stream of `rate` requests a second."""
    rng = Random(seed)
    arrivals: list[Arrival] = []
    moment = start + rng.expovariate(rate)
    while moment < stop:
        arrivals.append(_draw(rng, moment, len(arrivals), teams))
        moment += rng.expovariate(rate)
    return arrivals


def keep_short(trace: list[Arrival]) -> list[Arrival]:
    """Return the same trace without long and giant prompts."""
    kept = {LengthClass.short, LengthClass.medium}
    return [one for one in trace if one.req.length_class in kept]


def _draw(
    rng: Random,
    moment: float,
    number: int,
    teams: tuple[str, ...],
) -> Arrival:
    band = _get_band(number)
    team = rng.choice(teams)
    place = math.modf(number * GOLDEN)[0]
    tokens = round(band.low + place * (band.high - band.low))
    blocks = min(SHARED_BLOCKS, tokens // BLOCK_TOKENS)
    req = Request(
        req_id=f'r{number}',
        team=team,
        kind=Kind.generate,
        deadline=moment + band.deadline_s,
        model=MODEL,
        prompt_tokens=tokens,
        max_tokens=band.max_tokens,
        prefix=tuple(f'{team}{index}' for index in range(blocks)),
    )
    return Arrival(moment, req, band.deadline_s)


def _get_band(number: int) -> Band:
    """Deal the bands in a fixed order, so that short runs have the mix, too."""
    place = (number * DEAL % ROUND) / ROUND
    for band in BANDS:
        place -= band.share
        if place < 0:
            return band
    return BANDS[-1]
