"""
Timing model of engines
=======================

Durations of prefill and of decode passes, from the constants in `EngineModel`.
All results are in seconds.
"""

from dataclasses import dataclass

from trestledock.relay._call import PromptSize
from trestledock.relay._catalog import EngineModel

#: The median share of the maximum output tokens that an answer uses: 0.32 of
#: 1,163 answers when counted by events, 0.36 when derived from their duration.
MEDIAN_OUTPUT_SHARE = 0.35


@dataclass(frozen=True)
class PassLoad:
    """The work of a pass: decoding requests, their context, prefill time."""

    decoding: int = 0
    context_tokens: int = 0
    prefill_s: float = 0


def get_prefill_s(engine: EngineModel, tokens: int) -> float:
    """Return how long an otherwise idle engine takes to prefill a prompt.

    >>> engine = EngineModel(8, 232_000, 0.001, 200_000, pair_s=1e-10)
    >>> round(get_prefill_s(engine, 100_000), 3)
    1.0
    """
    pairs = tokens * tokens / 2
    return tokens / engine.read_rate + pairs * engine.pair_s


def get_decode_pass_s(engine: EngineModel, load: PassLoad) -> float:
    """Return how long a pass with decoding requests takes, prefill included.

    A pass contains at most `stride` prefill chunks, so a long prompt fills it
    and its remaining chunks wait for the next pass.
    """
    step_s = (
        engine.step_s
        + engine.step_request_s * load.decoding
        + engine.step_context_s * load.context_tokens
    )
    return engine.stride * step_s + load.prefill_s


def get_decode_s(engine: EngineModel, size: PromptSize) -> float:
    """Return how long an idle engine usually takes to decode an answer.

    >>> engine = EngineModel(8, 232_000, 0.001, 200_000)
    >>> round(get_decode_s(engine, PromptSize(1_000, 1_000)), 2)
    0.35
    """
    step_s = engine.step_s + engine.step_context_s * size.total_tokens
    return size.output_tokens * MEDIAN_OUTPUT_SHARE * step_s
