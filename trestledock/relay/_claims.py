"""
Claims of long prompts
======================

Two instances that place long prompts at the same moment don't know of each
other, and may choose the same engines: the prompts then need more memory than
an engine has, or twice the time.  A long prompt is therefore announced to the
other instances first, and sent a moment later unless another instance has
claimed one of its engines in the meantime.
"""

from typing import Container, Iterable

from trestledock.relay._admission import SMALL_WORTH
from trestledock.relay._load_table import Flight, Phase
from trestledock.relay._placement_cost import Placement

#: How long to wait for claims of other instances, in seconds.  When two
#: instances chose the same engines, the second choice came up to 35 ms after
#: the first: the choice took a few milliseconds on half a core, and the message
#: waited behind the bytes of the prompt (30 KB take 12 ms at 20 Mbit/s).
#: Messages are sent before these bytes, which avoids that wait.
CLAIM_DELAY_S = 0.03
#: The least ratio of the time to the first token to `CLAIM_DELAY_S` at which a
#: claim is worth its delay.
MIN_DELAY_RATIO = 10


def needs_claim(placement: Placement, worth: float) -> bool:
    """Return whether a prompt is announced to others before it is sent."""
    is_long = placement.first_token_s >= CLAIM_DELAY_S * MIN_DELAY_RATIO
    return is_long and worth > SMALL_WORTH


def find_prior_claim(
    own: Flight,
    others: Iterable[Flight],
    known: Container[str],
) -> Flight | None:
    """Return a long prompt that takes precedence over the own one, if any.

    Prompts in `known` were taken into account by the placement.  A prompt that
    was announced more than `CLAIM_DELAY_S` earlier is already being sent.
    Among prompts of the same moment the ids decide, so that all instances that
    know both agree.
    """
    for other in others:
        is_new = other.flight_id not in known and other != own
        is_long = other.phase is Phase.prefill and other.worth > SMALL_WORTH
        if is_new and is_long and _goes_before(other, own):
            return other
    return None


def _goes_before(other: Flight, own: Flight) -> bool:
    if abs(other.since - own.since) > CLAIM_DELAY_S:
        return other.since < own.since
    return other.flight_id < own.flight_id
