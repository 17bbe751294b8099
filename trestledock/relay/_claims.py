"""
Claims of long prompts
======================

Two instances that choose at the same moment know nothing of each other, and may
give the same engines to two long prompts: together they need more memory than
an engine has, or twice the time.  So a long prompt is told to the others first,
and sent a moment later, unless somebody else has told of these engines, too.
"""

from typing import Container, Iterable

from trestledock.relay._board import Flight, Phase
from trestledock.relay._deciding import SMALL_WORTH
from trestledock.relay._problem import Placement

#: How long is waited for others' words, in seconds.  Of two that chose the same
#: engines the second one did so up to 35 ms after the first: its choice took
#: some ms on half a core, and the word queued behind the prompt's own bytes (30
#: KB take 12 ms at 20 Mbit/s), which it goes ahead of now.
CLAIM_DELAY_S = 0.03
#: Only what takes so many times as long is worth the wait.
LEAST_TURNS = 10


def needs_claim(placement: Placement, worth: float) -> bool:
    """Whether a prompt is told to others before it is sent."""
    is_long = placement.first_token_s >= CLAIM_DELAY_S * LEAST_TURNS
    return is_long and worth > SMALL_WORTH


def find_prior_claim(
    own: Flight,
    others: Iterable[Flight],
    known: Container[str],
) -> Flight | None:
    """Return a long prompt that goes before the own one at an engine, if any.

    What was `known` at the choice was reckoned with.  One that was told longer
    ago than the wait is under way; among those of the same moment the ids
    decide, so that all who hear of both agree.
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
