"""
Bursts of mixed prompts
=======================

Seeded arrivals of short, longer and very long prompts with alternating bursts:
long prompts are more frequent in the first third of the time, short ones in the
second, and long ones again in the last.  Under this load, prompts that need the
whole fleet compete with prompts that need a part of one engine.
"""

from dataclasses import dataclass
from random import Random

from trestledock.bench._sharing import Kind, Prompt
from trestledock.relay import PromptSize

SHORT = Kind('short', 0.3, 0.25, 2.0, 10.0)
LONGER = Kind('longer', 1.5, 0.6, 6.0, 10.0)
LONG = Kind('long', 3.0, 1.0, 12.0, 15.0)
#: The same kinds in the shifted workload, with shorter pauses; long prompts are
#: longer, with a larger objective and event timeout.
SHIFTED_SHORT = Kind('short', 0.3, 0.2, 2.0, 10.0)
SHIFTED_LONGER = Kind('longer', 1.5, 0.5, 6.0, 10.0)
SHIFTED_LONG = Kind('long', 4.0, 0.8, 16.0, 15.0)


@dataclass(frozen=True)
class Source:
    """Arrivals of one kind: requests a second, and prompt and output lengths.

    `spread` is the relative standard deviation of prompt lengths.
    `phase_factors` multiply the rate in each third of the time.
    """

    kind: Kind
    rate: float
    prompt_tokens: float
    spread: float
    max_prompt_tokens: int
    output_tokens: float
    phase_factors: tuple[float, float, float]


#: Rates and sizes as users specified them; the phase factors give alternating
#: bursts.
SOURCES = (
    Source(SHORT, 18.0, 4_960, 0.9, 23_800, 1_300, (0.4, 2.4, 0.3)),
    Source(LONGER, 1.0, 45_000, 0.5, 110_000, 780, (1.3, 0.5, 1.3)),
    Source(LONG, 0.47, 182_000, 0.55, 900_000, 650, (2.8, 0.05, 2.6)),
)


#: The shifted workload for a fleet of 60 engines: 2.5 times as many disputes
#: (longer prompts) in relation to questions (short ones), and ledgers (long
#: ones) of 300,000 tokens on average.
SHIFTED_SOURCES = (
    Source(SHIFTED_SHORT, 38.3, 4_960, 0.9, 23_800, 1_700, (0.4, 2.4, 0.3)),
    Source(SHIFTED_LONGER, 6.1, 45_000, 0.5, 110_000, 1_030, (1.3, 0.5, 1.3)),
    Source(SHIFTED_LONG, 1.04, 300_000, 0.55, 1_000_000, 860, (2.8, 0.05, 2.6)),
)
#: Callers of each data centre come in waves: the data centres in turn get more
#: of the arrivals, by this factor, for this time in seconds.
WAVE_FACTOR = 1.5
WAVE_S = 3.7


def make_bursts(
    seed: int,
    seconds: float = 30,
    entries: int = 9,
    sources: tuple[Source, ...] = SOURCES,
    waves: int = 1,
) -> list[Prompt]:
    """Return the arrivals of all kinds, in order of time.

    `waves` is the number of data centres that take turns in having more
    callers; with 1, arrivals are uniform.

    >>> make_bursts(1)[0] == make_bursts(1)[0]
    True
    """
    rng = Random(seed)
    prompts: list[Prompt] = []
    for source in sources:
        at = rng.expovariate(source.rate * source.phase_factors[0])
        while at < seconds:
            entry = _draw_entry(rng, entries, waves, at)
            prompts.append(_draw_prompt(rng, source, at, entry))
            factor = source.phase_factors[
                int(at / seconds * len(source.phase_factors))
            ]
            at += rng.expovariate(source.rate * factor)
    return sorted(prompts, key=lambda prompt: prompt.at)


def _draw_entry(rng: Random, entries: int, waves: int, at: float) -> int:
    """Return the entry of a caller, uniform within each data centre."""
    if waves == 1:
        return rng.randrange(entries)
    favoured = int(at / WAVE_S) % waves
    weights = [
        WAVE_FACTOR if entry % waves == favoured else 1
        for entry in range(entries)
    ]
    return rng.choices(range(entries), weights)[0]


def _draw_prompt(rng: Random, source: Source, at: float, entry: int) -> Prompt:
    """Return one arrival with a gamma-distributed prompt length."""
    shape = 1 / source.spread**2
    tokens = rng.gammavariate(shape, source.prompt_tokens / shape)
    tokens = min(max(tokens, 100), source.max_prompt_tokens)
    output = rng.uniform(0.5, 1.5) * source.output_tokens
    size = PromptSize(round(tokens), round(output))
    return Prompt(at, source.kind, size, entry)
