"""
Request traces
==============

Seeded traces of requests for the replay.  Prompts have from a thousand to a
million tokens, and one in fifty has over a hundred thousand.  Prompts of a team
share a prefix.
"""

import math
from dataclasses import dataclass
from random import Random

from trestledock.proof import MODEL
from trestledock.request import Kind, LengthClass, Request

#: The tokens of a prefix block, of which a request has the hash.
BLOCK_TOKENS = 512
#: The number of requests in which each band occurs exactly by its share, and a
#: step, coprime to that number, that distributes the bands evenly.  Multiples
#: of the fractional part of the golden ratio spread the lengths in a band.
CYCLE_LENGTH = 50
CYCLE_STEP = 31
GOLDEN_FRACTION = 0.6180339887
#: The number of prefix blocks that all prompts of a team share.
SHARED_BLOCKS = 2


@dataclass(frozen=True)
class Band:
    """A band of prompt lengths: its share, bounds, output and deadline."""

    share: float
    low: int
    high: int
    max_tokens: int
    deadline_s: float


#: The mix of both workloads; bounds in tokens, deadlines in seconds.
BANDS = (
    Band(0.70, 1_000, 8_000, 96, 12),
    Band(0.20, 8_000, 32_000, 128, 40),
    Band(0.08, 32_000, 100_000, 128, 180),
    Band(0.02, 100_000, 1_000_000, 160, 900),
)


@dataclass(frozen=True)
class Arrival:
    """A request with the instant it is sent at and its relative deadline."""

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
    at = start + rng.expovariate(rate)
    while at < stop:
        arrivals.append(_draw_request(rng, at, len(arrivals), teams))
        at += rng.expovariate(rate)
    return arrivals


def keep_short(trace: list[Arrival]) -> list[Arrival]:
    """Return a trace without its long and giant prompts."""
    kept = {LengthClass.short, LengthClass.medium}
    return [arrival for arrival in trace if arrival.req.length_class in kept]


def _draw_request(
    rng: Random,
    at: float,
    number: int,
    teams: tuple[str, ...],
) -> Arrival:
    band = _get_band(number)
    team = rng.choice(teams)
    position = math.modf(number * GOLDEN_FRACTION)[0]
    tokens = round(band.low + position * (band.high - band.low))
    blocks = min(SHARED_BLOCKS, tokens // BLOCK_TOKENS)
    req = Request(
        req_id=f'r{number}',
        team=team,
        kind=Kind.generate,
        deadline=at + band.deadline_s,
        model=MODEL,
        prompt_tokens=tokens,
        max_tokens=band.max_tokens,
        prefix=tuple(f'{team}{index}' for index in range(blocks)),
    )
    return Arrival(at, req, band.deadline_s)


def _get_band(number: int) -> Band:
    """Return the band of a request.

    The order of the bands is fixed, so that short runs have the same mix.
    """
    position = (number * CYCLE_STEP % CYCLE_LENGTH) / CYCLE_LENGTH
    for band in BANDS:
        position -= band.share
        if position < 0:
            return band
    return BANDS[-1]
