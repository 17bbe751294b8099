"""
Worth of requests
=================

The relative value of requests to their callers.  Requests don't state it, but
what callers lose is nearly linear in a request's tokens, so it is estimated
from the size.
"""

from trestledock.relay._call import PromptSize

#: The weighted tokens in one unit of worth, which is that of a plain call.  An
#: output token weighs as much as ten prompt tokens, as callers value both.
TOKENS_PER_WORTH = 14_000
OUTPUT_WEIGHT = 10


def get_worth(size: PromptSize) -> float:
    """Return the worth of a request, in units of a plain call.

    A plain call has no tokens.

    >>> get_worth(PromptSize(prompt_tokens=130_000, output_tokens=1_000))
    10.0
    """
    if not size.total_tokens:
        return 1
    weighed = size.prompt_tokens + OUTPUT_WEIGHT * size.output_tokens
    return weighed / TOKENS_PER_WORTH
