"""
Timeouts
========

How long a target may be silent before another one is tried.  Predictions of the
time to the first token are accurate (95 of 100 within twice the time), so a
longer silence means that the target or the network path has failed, and a
timely retry can still meet the objective.

Overloaded targets are late as well, and retries increase their load.  So only a
few requests in a window may time out early; all others wait as long as it takes
to be certain.
"""

from typing import Iterable

from trestledock.relay._catalog import Route, RouteKind
from trestledock.relay._load_table import Flight
from trestledock.relay._retry_budget import RetryLimits

#: The early timeout to the first token as a multiple of the prediction, and its
#: minimum in seconds: about 1 in 100 requests at healthy targets takes longer
#: (first_event in the logs of days with trouble, prompts up to 24,000 tokens).
EARLY_FACTOR = 2.5
MIN_EARLY_S = 0.2
#: The early timeouts allowed, over all instances: a ratio of the requests of
#: the last seconds, and a fixed slack.  With 1 in 4 retried, overloaded targets
#: did not recover for ten seconds (answers lost at half of the targets while
#: the traffic doubles).
EARLY_RETRY_LIMITS = RetryLimits(ratio=0.1, window_s=10, slack=10)
#: The same for the last target that may be tried, and for all other requests.
LATE_FACTOR = 2.0
MIN_LATE_S = 0.8
#: The time added for a prompt with helpers, in seconds: an engine reports a
#: dead helper after 1.5 s (`stall_ms`).
HELPER_STALL_S = 1.7
#: The timeout of a plain target as a multiple of the objective, for the first
#: target and for the last one.
PLAIN_EARLY_FACTOR = 0.6
PLAIN_LATE_FACTOR = 3.0
#: The timeout between events as a multiple of the allowed pause, and its
#: minimum in seconds.
PAUSE_FACTOR = 4.0
MIN_PAUSE_TIMEOUT_S = 0.8
#: No timeout, for requests that no other target may run.
FOREVER_S = float('inf')


def get_first_event_timeout_s(
    route: Route,
    predicted_s: float,
    *,
    early: bool,
    helped: bool = False,
) -> float:
    """Return the timeout for the first part of an answer.

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
    late_s = max(MIN_LATE_S, predicted_s * LATE_FACTOR)
    if helped:
        return late_s + HELPER_STALL_S
    early_s = max(MIN_EARLY_S, predicted_s * EARLY_FACTOR)
    return min(early_s, late_s) if early else late_s


def is_waiting_for_memory(
    own: Flight,
    flights: Iterable[Flight],
    capacity_tokens: int,
) -> bool:
    """Return whether a prompt waits for the memory of older requests.

    An engine admits prompts in the order of their arrival, so older ones go
    first.  Its silence proves nothing in this case: a prompt that timed out
    after 5.9 s and was sent to another target had been 0.1 s from its first
    event.
    """
    target = own.target
    held = sum(
        flight.get_held_tokens(target)
        for flight in flights
        if flight.since < own.since and flight.flight_id != own.flight_id
    )
    return held + own.get_held_tokens(target) > capacity_tokens


def get_pause_timeout_s(route: Route) -> float:
    """Return the timeout between events of a stream."""
    if not route.repeatable:
        return FOREVER_S
    return max(MIN_PAUSE_TIMEOUT_S, route.pause_s * PAUSE_FACTOR)
