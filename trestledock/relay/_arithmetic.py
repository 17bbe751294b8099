"""
Arithmetic of engines
=====================

How long an engine reads a prompt and how long its passes take, from the
constants in `EngineModel`.  All results are seconds.
"""

from dataclasses import dataclass

from trestledock.relay._call import PromptSize
from trestledock.relay._catalog import EngineModel

#: The part of the tokens that it may have that an answer uses, in the median:
#: 0.32 of 1,163 answers by their events, 0.36 by the time they took.
USED_SHARE = 0.35


@dataclass(frozen=True)
class PassLoad:
    """What a pass has to do: writers, their context, reading in seconds."""

    decoding: int = 0
    context_tokens: int = 0
    prefill_s: float = 0


def get_prefill_s(engine: EngineModel, tokens: int) -> float:
    """Return how long a prompt is read that an engine has to itself.

    >>> engine = EngineModel(8, 232_000, 0.001, 200_000, pair_s=1e-10)
    >>> round(get_prefill_s(engine, 100_000), 3)
    1.0
    """
    pairs = tokens * tokens / 2
    return tokens / engine.read_rate + pairs * engine.pair_s


def get_decode_pass_s(engine: EngineModel, load: PassLoad) -> float:
    """Return how long one pass with writers takes, reading included.

    A pass reads at most `stride` chunks, so a long prompt fills it and the
    rest waits for the next pass.
    """
    step_s = (
        engine.step_s
        + engine.step_request_s * load.decoding
        + engine.step_context_s * load.context_tokens
    )
    return engine.stride * step_s + load.prefill_s


def get_decode_s(engine: EngineModel, size: PromptSize) -> float:
    """Return how long an answer is usually written, without other work.

    >>> engine = EngineModel(8, 232_000, 0.001, 200_000)
    >>> get_decode_s(engine, PromptSize(1_000, 1_000))
    0.35
    """
    step_s = engine.step_s + engine.step_context_s * size.total_tokens
    return size.output_tokens * USED_SHARE * step_s
