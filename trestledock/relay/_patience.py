"""
Patience
========

How long a target may be silent before another one is asked.  Predictions of
the first token are close (95 of 100 within twice the time), so silence beyond
them means that a target, or the way to it, has failed: whoever asks another one
soon enough is still in time.

Targets that are merely crowded are late as well, and repeats crowd them more.
So only a few requests in a window may be given up early; all others wait as
long as it takes to be sure.
"""

from typing import Iterable

from trestledock.relay._board import Flight
from trestledock.relay._budget import RetryLimits
from trestledock.relay._catalog import Route, RouteKind

#: How many times the predicted time to its first token a target may take, and
#: at least, in seconds: some 1 in 100 of sound targets take longer (first_event
#: in the logs of days with trouble, prompts up to 24,000 tokens).
EARLY_FACTOR = 2.5
EARLY_LEAST_S = 0.2
#: How many requests may be given up early: a share of those of the last
#: seconds, and some besides, over all instances.  With 1 in 4 repeated, crowded
#: targets did not recover for ten seconds (answers lost at half of the targets
#: while the traffic doubles).
EARLY_RETRY_LIMITS = RetryLimits(ratio=0.1, window_s=10, slack=10)
#: The same for the last target that may be asked, and for all others.
LATE_FACTOR = 2.0
LATE_LEAST_S = 0.8
#: What is added for a prompt with helpers, in seconds: an engine whose helper
#: is dead says so after 1.5 s (`stall_ms`).
HELPED_S = 1.7
#: How many times the objective a plain target may take: the first one, and the
#: last one.
PLAIN_EARLY_FACTOR = 0.6
PLAIN_LATE_FACTOR = 3.0
#: How many times the allowed pause a stream may be silent, and at least, in
#: seconds.
PAUSE_FACTOR = 4.0
PAUSE_LEAST_S = 0.8
#: Where no other target may be asked.
FOREVER_S = float('inf')


def get_first_event_timeout_s(
    route: Route,
    predicted_s: float,
    *,
    early: bool,
    helped: bool = False,
) -> float:
    """Return how long to wait for the first part of an answer.

    `early` is for a request that another target may still answer in time.

    >>> route = Route('r', '', '/', RouteKind.streaming, (), resumable=True)
    >>> get_first_event_timeout_s(route, 0.1, early=False)
    0.8
    >>> get_first_event_timeout_s(route, 0.1, early=True)
    0.25
    """
    if not route.repeatable:
        return FOREVER_S
    if route.kind is not RouteKind.streaming:
        factor = PLAIN_EARLY_FACTOR if early else PLAIN_LATE_FACTOR
        return route.objective_s * factor
    late_s = max(LATE_LEAST_S, predicted_s * LATE_FACTOR)
    if helped:
        return late_s + HELPED_S
    early_s = max(EARLY_LEAST_S, predicted_s * EARLY_FACTOR)
    return min(early_s, late_s) if early else late_s


def is_waiting_for_memory(
    own: Flight,
    flights: Iterable[Flight],
    capacity_tokens: int,
) -> bool:
    """Whether an engine has no memory for a prompt until others have ended.

    It admits in the order in which prompts came, so what is older goes first.
    Its silence says nothing then: a prompt that was given up after 5.9 s, and
    sent elsewhere, was 0.1 s from its first event.
    """
    name = own.target
    held = sum(
        one.get_held_tokens(name)
        for one in flights
        if one.since < own.since and one.flight_id != own.flight_id
    )
    return held + own.get_held_tokens(name) > capacity_tokens


def get_pause_timeout_s(route: Route) -> float:
    """Return how long a stream may be silent between events."""
    if not route.repeatable:
        return FOREVER_S
    return max(PAUSE_LEAST_S, route.pause_s * PAUSE_FACTOR)
