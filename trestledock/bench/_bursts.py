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
#: The same kinds as they have become: longer prompts, shorter pauses.
NOW_SHORT = Kind('short', 0.3, 0.2, 2.0, 10.0)
NOW_LONGER = Kind('longer', 1.5, 0.5, 6.0, 10.0)
NOW_LONG = Kind('long', 4.0, 0.8, 16.0, 15.0)


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


#: The shifted work on a fleet of 60 engines: two and a half times as many
#: disputes beside the questions, ledgers of 300,000 tokens.
NOW_SOURCES = (
    Source(NOW_SHORT, 38.3, 4_960, 0.9, 23_800, 1_700, (0.4, 2.4, 0.3)),
    Source(NOW_LONGER, 6.1, 45_000, 0.5, 110_000, 1_030, (1.3, 0.5, 1.3)),
    Source(NOW_LONG, 1.04, 300_000, 0.55, 1_000_000, 860, (2.8, 0.05, 2.6)),
)
#: Callers of each data centre come in waves: the one whose turn it is gets so
#: much more of what comes, for so long, in seconds.
WAVE_X = 1.5
WAVE_S = 3.7


def make_bursts(
    seed: int,
    seconds: float = 30,
    entries: int = 9,
    sources: tuple[Source, ...] = SOURCES,
    waves: int = 1,
) -> list[Prompt]:
    """Return the arrivals of all kinds, in order of time.

    With `waves` the data centres, as many, take turns in having more callers.

    >>> make_bursts(1)[0] == make_bursts(1)[0]
    True
    """
    rng = Random(seed)
    found: list[Prompt] = []
    for source in sources:
        at = rng.expovariate(source.rate * source.turns[0])
        while at < seconds:
            entry = _draw_entry(rng, entries, waves, at)
            found.append(_draw(rng, source, at, entry))
            turn = source.turns[int(at / seconds * len(source.turns))]
            at += rng.expovariate(source.rate * turn)
    return sorted(found, key=lambda prompt: prompt.at)


def _draw_entry(rng: Random, entries: int, waves: int, at: float) -> int:
    """Return which entry a caller comes to; those of a place are spread."""
    if waves == 1:
        return rng.randrange(entries)
    turn = int(at / WAVE_S) % waves
    weights = [WAVE_X if one % waves == turn else 1 for one in range(entries)]
    return rng.choices(range(entries), weights)[0]


def _draw(rng: Random, source: Source, at: float, entry: int) -> Prompt:
    """Return one arrival; lengths are gamma-distributed about their mean."""
    shape = 1 / source.spread**2
    tokens = rng.gammavariate(shape, source.prompt_tokens / shape)
    tokens = min(max(tokens, 100), source.most_tokens)
    output = rng.uniform(0.5, 1.5) * source.output_tokens
    size = PromptSize(round(tokens), round(output))
    return Prompt(at, source.kind, size, entry)
