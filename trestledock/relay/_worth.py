"""
Worth of requests
=================

What requests are worth to their callers, beside one another.  The wire does
not say it; what callers lose is nearly linear in the tokens of a request, so
its size stands for it.
"""

from trestledock.relay._call import PromptSize

#: Prompt and output tokens that count as one unit of worth, that of a plain
#: call; an output token weighs as much as ten of the prompt, as callers value
#: both.
TOKENS_PER_WORTH = 14_000
OUTPUT_WEIGHT = 10


def get_worth(size: PromptSize) -> float:
    """Return what a request is worth, in units of a plain call.

    A plain call has no tokens.

    >>> get_worth(PromptSize(prompt_tokens=130_000, output_tokens=1_000))
    10.0
    """
    if not size.total_tokens:
        return 1
    weighed = size.prompt_tokens + OUTPUT_WEIGHT * size.output_tokens
    return weighed / TOKENS_PER_WORTH
