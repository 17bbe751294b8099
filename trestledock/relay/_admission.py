"""
Admission
=========

Whether a request takes the best placement that exists now, waits for a better
one, or is refused.  A request whose caller would leave before the first event
is refused at once: an engine would prefill its prompt in vain and delay
requests that can still be in time.
"""

from dataclasses import dataclass
from enum import Enum

from trestledock.relay._placement_cost import ABANDONMENT_SHARE, Placement
from trestledock.relay._policy import DEFAULT_POLICY, PlacementPolicy

#: The share of its objective that a request may wait for a better placement.
MAX_WAIT_SHARE = 0.3
#: Waiting ends when the predicted time to the first token fills this share of
#: the remaining objective.
OBJECTIVE_SHARE = 0.75
#: A late request waits for others if its cost to them exceeds this share of its
#: own worth, as long as it may still be in time.
LATE_COST_SHARE = 0.1
#: A request that will be late in any case queues for at most this share of the
#: time until its caller leaves, provided that its prefill on an idle fleet fits
#: into `MAX_IDLE_FLEET_SHARE` of the time left.  Only prompts above a worth of
#: 2 (some 14,000 tokens) queue: a short request that waits would delay requests
#: that may be in time.
MAX_QUEUE_SHARE = 0.4
MAX_IDLE_FLEET_SHARE = 0.6
SMALL_WORTH = 2.0
#: The largest share of the remaining time that a refused caller is told to wait
#: before it retries.  Callers don't wait for longer than a third.
MAX_RETRY_AFTER_SHARE = 0.3
#: The share of its total time that a request may wait for memory.
MAX_MEMORY_WAIT_SHARE = 0.4
#: The cost, as a share of its worth, above which a request waits for a better
#: placement.
WAIT_COST_SHARE = 0.3
#: The interval at which a waiting request is placed again if nothing has
#: changed, in seconds.
PLACEMENT_RETRY_S = 0.03
#: How long a request waits while its service has no target, in seconds.
MAX_TARGET_WAIT_S = 0.2


class Decision(str, Enum):
    """What happens to a request now."""

    send = 'send'
    wait = 'wait'
    no_target = 'no_target'
    no_memory = 'no_memory'
    no_time = 'no_time'
    no_room = 'no_room'
    no_turn = 'no_turn'


@dataclass(frozen=True)
class Timing:
    """The instants that decide on a request.

    The first event is late after `due_at`, the caller has left at
    `abandoned_at`, and the whole answer must be finished by `deadline`.
    `decode_s` is the time to decode the answer after the first event.  A
    request that has `started` may have been run, or answered in part.
    """

    arrived_at: float
    due_at: float
    abandoned_at: float
    deadline: float
    decode_s: float = 0
    started: bool = False

    def get_waited_s(self, now: float) -> float:
        """Return how long the request has waited."""
        return now - self.arrived_at

    def get_remaining_objective_s(self, now: float) -> float:
        """Return the time left until the first event is late."""
        return self.due_at - now

    def get_remaining_s(self, now: float) -> float:
        """Return the time left in which the first event is still useful."""
        return min(self.abandoned_at, self.deadline - self.decode_s) - now


def decide(
    timing: Timing,
    worth: float,
    placement: Placement,
    now: float,
    policy: PlacementPolicy = DEFAULT_POLICY,
) -> Decision:
    """Return what happens to a request whose best placement is `placement`."""
    if policy.waiting and is_worth_waiting(timing, worth, placement, now):
        return Decision.wait
    refusal = _get_refusal(timing, placement, now, policy)
    if refusal or _should_yield(timing, worth, placement, now):
        if policy.waiting and _may_be_in_time(timing, placement, now):
            return Decision.wait
        may_queue = policy.queueing and worth > SMALL_WORTH
        if may_queue and _has_time_to_queue(timing, placement, now):
            return Decision.wait
    return refusal or Decision.send


def _get_refusal(
    timing: Timing,
    placement: Placement,
    now: float,
    policy: PlacementPolicy,
) -> Decision | None:
    """Return why the placement should not be used, or None.

    A request that has begun is never refused for its cost to others: its caller
    has waited, and engines have already worked on it.
    """
    if (
        placement.first_token_s
        > timing.get_remaining_s(now) * ABANDONMENT_SHARE
    ):
        return Decision.no_time
    if timing.started:
        return None
    too_expensive = (
        placement.cost_to_others > placement.gain * policy.max_cost_to_others
    )
    return Decision.no_room if too_expensive else None


def _should_yield(
    timing: Timing,
    worth: float,
    placement: Placement,
    now: float,
) -> bool:
    """Return whether a late request should let other requests finish first."""
    is_late = placement.first_token_s > timing.get_remaining_objective_s(now)
    cost = placement.cost_to_others + placement.cost_to_urgent
    return is_late and cost > worth * LATE_COST_SHARE


def is_worth_waiting(
    timing: Timing,
    worth: float,
    placement: Placement,
    now: float,
) -> bool:
    """Return whether a better placement may appear while there is time.

    A placement with a high cost is put off until it would soon be late.  A
    placement that is late already is put off as long as an idle fleet could
    still be in time.
    """
    objective_s = timing.due_at - timing.arrived_at
    if timing.get_waited_s(now) > objective_s * MAX_WAIT_SHARE:
        return False
    if placement.cost <= worth * WAIT_COST_SHARE:
        return False
    left_s = timing.get_remaining_objective_s(now)
    limit_s = left_s * OBJECTIVE_SHARE - PLACEMENT_RETRY_S
    is_late = placement.first_token_s > left_s
    best_s = placement.idle_fleet_s if is_late else placement.first_token_s
    return best_s < limit_s


def _may_be_in_time(
    timing: Timing,
    placement: Placement,
    now: float,
) -> bool:
    """Return whether the request would be in time on an idle fleet."""
    return placement.idle_fleet_s < _get_in_time_limit_s(timing, now)


def _get_in_time_limit_s(timing: Timing, now: float) -> float:
    """Return up to which predicted time a waiting request may be in time."""
    left_s = min(
        timing.get_remaining_objective_s(now) * OBJECTIVE_SHARE,
        timing.get_remaining_s(now) * ABANDONMENT_SHARE,
    )
    return left_s - PLACEMENT_RETRY_S


def _has_time_to_queue(
    timing: Timing,
    placement: Placement,
    now: float,
) -> bool:
    """Return whether a late request should wait for others to finish."""
    total_s = timing.abandoned_at - timing.arrived_at
    if timing.get_waited_s(now) > total_s * MAX_QUEUE_SHARE:
        return False
    return (
        placement.idle_fleet_s
        <= timing.get_remaining_s(now) * MAX_IDLE_FLEET_SHARE
    )


def get_in_time_s(timing: Timing, idle_fleet_s: float, now: float) -> float:
    """Return for how long a request may wait and still be in time."""
    return _get_in_time_limit_s(timing, now) - idle_fleet_s


def get_wait_left_s(
    timing: Timing, worth: float, idle_fleet_s: float, now: float
) -> float:
    """Return how long a request may still wait for its turn.

    That is as long as it may be in time on an idle fleet, or for a long prompt
    as long as it may queue, so no order makes a request wait for longer than it
    would without.
    """
    wait_s = get_in_time_s(timing, idle_fleet_s, now)
    if worth <= SMALL_WORTH:
        return wait_s
    total_s = timing.abandoned_at - timing.arrived_at
    left_s = timing.get_remaining_s(now) * MAX_IDLE_FLEET_SHARE
    queue_s = min(
        total_s * MAX_QUEUE_SHARE - timing.get_waited_s(now),
        left_s - idle_fleet_s,
    )
    return max(wait_s, queue_s)


def get_retry_after_s(
    timing: Timing, pending_prefill_s: float, now: float
) -> float:
    """Return after how many seconds a refused caller should retry.

    By then the prefill that delays the request has ended, but the second try
    must still have most of its time.
    """
    max_s = (timing.deadline - now) * MAX_RETRY_AFTER_SHARE
    return max(0, min(pending_prefill_s, max_s))


def decide_unplaced(
    timing: Timing,
    now: float,
    *,
    any_target: bool,
) -> Decision:
    """Return what happens to a request that no target can take now."""
    max_wait_s = MAX_TARGET_WAIT_S
    refusal = Decision.no_target
    if any_target:
        total_s = timing.deadline - timing.arrived_at
        max_wait_s = total_s * MAX_MEMORY_WAIT_SHARE
        refusal = Decision.no_memory
    may_wait = timing.get_waited_s(now) <= max_wait_s
    return Decision.wait if may_wait else refusal
