"""
Bursts of unlike prompts
========================

Seeded arrivals of three kinds of prompts, short, longer and very long, whose
bursts take turns: first the long ones come more often, then the short ones,
then the long ones again.  That is the load under which prompts that need the
whole fleet meet those that need a part of an engine.
"""

from dataclasses import dataclass
from random import Random

from trestledock.bench._sharing import Kind, Prompt
from trestledock.relay import PromptSize

SHORT = Kind('short', 0.3, 0.25, 2.0, 10.0)
LONGER = Kind('longer', 1.5, 0.6, 6.0, 10.0)
LONG = Kind('long', 3.0, 1.0, 12.0, 15.0)


@dataclass(frozen=True)
class Source:
    """Arrivals of one kind: how often, and how long, in the mean and at most.

    `turns` is what the rate is multiplied by in each third of the time.
    """

    kind: Kind
    rate: float
    prompt_tokens: float
    spread: float
    most_tokens: int
    output_tokens: float
    turns: tuple[float, float, float]


#: Rates a second and sizes as on the users' sheets; turns as on a day whose
#: bursts alternate.
SOURCES = (
    Source(SHORT, 18.0, 4_960, 0.9, 23_800, 1_300, (0.4, 2.4, 0.3)),
    Source(LONGER, 1.0, 45_000, 0.5, 110_000, 780, (1.3, 0.5, 1.3)),
    Source(LONG, 0.47, 182_000, 0.55, 900_000, 650, (2.8, 0.05, 2.6)),
)


def make_bursts(
    seed: int,
    seconds: float = 30,
    entries: int = 9,
    sources: tuple[Source, ...] = SOURCES,
) -> list[Prompt]:
    """Return the arrivals of all kinds, in order of time.

    >>> make_bursts(1)[0] == make_bursts(1)[0]
    True
    """
    rng = Random(seed)
    found: list[Prompt] = []
    for source in sources:
        at = rng.expovariate(source.rate * source.turns[0])
        while at < seconds:
            found.append(_draw(rng, source, at, rng.randrange(entries)))
            turn = source.turns[int(at / seconds * len(source.turns))]
            at += rng.expovariate(source.rate * turn)
    return sorted(found, key=lambda prompt: prompt.at)


def _draw(rng: Random, source: Source, at: float, entry: int) -> Prompt:
    """Return one arrival; lengths are gamma-distributed about their mean."""
    shape = 1 / source.spread**2
    tokens = rng.gammavariate(shape, source.prompt_tokens / shape)
    tokens = min(max(tokens, 100), source.most_tokens)
    output = rng.uniform(0.5, 1.5) * source.output_tokens
    size = PromptSize(round(tokens), round(output))
    return Prompt(at, source.kind, size, entry)
