"""
Patience
========

How long a target may be silent before another one is asked.  Predictions of
the first token are close (95 of 100 within twice the time), so silence beyond
them means that a target, or the way to it, has failed: whoever asks another one
soon enough is still in time.
"""

from trestledock.relay._catalog import Route, RouteKind

#: How many times the predicted time to its first token a target may take, and
#: at least, in seconds: some 1 in 100 of sound targets take longer (first_event
#: in the logs of days with trouble, prompts up to 24,000 tokens).
EARLY_FACTOR = 2.5
EARLY_LEAST_S = 0.2
#: The same for the last target that may be asked, and for long prompts.
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


def get_first_patience_s(
    route: Route,
    predicted_s: float,
    runs: int,
    *,
    helped: bool = False,
) -> float:
    """Return how long to wait for the first part of an answer.

    `runs` is how many targets may have run the request before.

    >>> route = Route('r', '', '/', RouteKind.streaming, (), resumable=True)
    >>> get_first_patience_s(route, 0.1, runs=0)
    0.8
    >>> route = Route('r', '', '/', RouteKind.idempotent, (), max_attempts=2)
    >>> get_first_patience_s(route, 0, runs=0)
    0.6
    """
    if not route.repeatable:
        return FOREVER_S
    is_last = runs + 1 >= route.max_attempts
    if route.kind is not RouteKind.streaming:
        factor = PLAIN_LATE_FACTOR if is_last else PLAIN_EARLY_FACTOR
        return route.objective_s * factor
    late_s = max(LATE_LEAST_S, predicted_s * LATE_FACTOR)
    if helped:
        return late_s + HELPED_S
    early_s = max(EARLY_LEAST_S, predicted_s * EARLY_FACTOR)
    return late_s if is_last else min(early_s, late_s)


def get_pause_patience_s(route: Route) -> float:
    """Return how long a stream may be silent between events."""
    if not route.repeatable:
        return FOREVER_S
    return max(PAUSE_LEAST_S, route.pause_s * PAUSE_FACTOR)
