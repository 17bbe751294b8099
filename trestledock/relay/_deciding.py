"""
Deciding on a placement
=======================

Whether a request takes the best place there is now, waits for a better one,
or is refused.  A caller that would leave before its first event is refused at
once: an engine would read its prompt for nobody, and those that could still be
in time would wait for it.
"""

from dataclasses import dataclass
from enum import Enum

from trestledock.relay._problem import GONE_SHARE, Placement
from trestledock.relay._terms import DEFAULT_POLICY, PlacementPolicy

#: The part of its objective that a request may wait for a better place.
PATIENCE_SHARE = 0.3
#: Waiting ends when the prediction fills this part of what is left of the
#: objective.
OBJECTIVE_SHARE = 0.75
#: The harm to others, as a part of its worth, for which a request that would be
#: late waits for them, as long as it may still be in time.
LATE_HARM_SHARE = 0.1
#: For which part of the time that its caller waits a request queues that is
#: late in any case, and the part of the time left that reading it on an idle
#: fleet must fit into.  Only prompts above a worth of 2 (some 14,000 tokens)
#: do: a short one that waits is in the way of those that may be in time.
LATE_PATIENCE_SHARE = 0.4
IDEAL_SHARE = 0.6
SMALL_WORTH = 2.0
#: The part of the time left after which a refused caller comes back at the
#: latest; callers don't wait for longer than a third.
COME_BACK_SHARE = 0.3
#: The part of its time that a request may wait for memory.
MEMORY_PATIENCE_SHARE = 0.4
#: The cost, as a part of a request's worth, for which it is worth waiting.
WAIT_COST_SHARE = 0.3
#: How often a waiting request is placed anew without any news, in seconds.
PLACEMENT_RETRY_S = 0.03
#: How long to look for any target at all, in seconds.
TARGET_PATIENCE_S = 0.2


class Decision(str, Enum):
    """What is done with a request now."""

    send = 'send'
    wait = 'wait'
    no_target = 'no_target'
    no_memory = 'no_memory'
    no_time = 'no_time'
    no_room = 'no_room'


@dataclass(frozen=True)
class Timing:
    """The instants that a request is judged by.

    Its first event is late after `due_at`; at `abandoned_at` its caller has
    left, and at `deadline` it must be answered whole.  `write_s` is what its
    answer takes after the first event.  One that has `started` may have been
    run, or answered in part.
    """

    arrived_at: float
    due_at: float
    abandoned_at: float
    deadline: float
    write_s: float = 0
    started: bool = False

    def get_waited_s(self, now: float) -> float:
        """Return how long the request has been waiting."""
        return now - self.arrived_at

    def get_objective_left_s(self, now: float) -> float:
        """Return what is left until the first event would be late."""
        return self.due_at - now

    def get_left_s(self, now: float) -> float:
        """Return how long the first event may take to be of any use."""
        return min(self.abandoned_at, self.deadline - self.write_s) - now


def decide(
    timing: Timing,
    worth: float,
    placement: Placement,
    now: float,
    terms: PlacementPolicy = DEFAULT_POLICY,
) -> Decision:
    """Return what to do where `placement` is the best that there is."""
    if terms.waiting and is_worth_waiting(timing, worth, placement, now):
        return Decision.wait
    refusal = _get_refusal(timing, placement, now, terms)
    if refusal or _is_in_the_way(timing, worth, placement, now):
        if terms.waiting and _may_be_in_time(timing, placement, now):
            return Decision.wait
        may_queue = terms.queueing and worth > SMALL_WORTH
        if may_queue and _has_time_to_queue(timing, placement, now):
            return Decision.wait
    return refusal or Decision.send


def _get_refusal(
    timing: Timing,
    placement: Placement,
    now: float,
    terms: PlacementPolicy,
) -> Decision | None:
    """Return why a placement is worse than none, if so.

    What has begun goes on: its caller has waited, and engines have worked.
    """
    if placement.first_token_s > timing.get_left_s(now) * GONE_SHARE:
        return Decision.no_time
    if timing.started:
        return None
    too_dear = (
        placement.cost_to_others > placement.gain * terms.max_cost_to_others
    )
    return Decision.no_room if too_dear else None


def _is_in_the_way(
    timing: Timing,
    worth: float,
    placement: Placement,
    now: float,
) -> bool:
    """Whether a request that will be late should let others finish first."""
    is_late = placement.first_token_s > timing.get_objective_left_s(now)
    return is_late and placement.cost_to_others > worth * LATE_HARM_SHARE


def is_worth_waiting(
    timing: Timing,
    worth: float,
    placement: Placement,
    now: float,
) -> bool:
    """Whether a better place may come free while there is still time.

    A placement that harms others is put off until it would soon be late, one
    that is late already as long as an idle fleet could still be in time.
    """
    objective_s = timing.due_at - timing.arrived_at
    if timing.get_waited_s(now) > objective_s * PATIENCE_SHARE:
        return False
    if placement.cost <= worth * WAIT_COST_SHARE:
        return False
    left_s = timing.get_objective_left_s(now)
    soon_s = left_s * OBJECTIVE_SHARE - PLACEMENT_RETRY_S
    is_late = placement.first_token_s > left_s
    hoped_s = placement.ideal_s if is_late else placement.first_token_s
    return hoped_s < soon_s


def _may_be_in_time(
    timing: Timing,
    placement: Placement,
    now: float,
) -> bool:
    """Whether it would be in time if others finished now."""
    left_s = min(
        timing.get_objective_left_s(now) * OBJECTIVE_SHARE,
        timing.get_left_s(now) * GONE_SHARE,
    )
    return placement.ideal_s < left_s - PLACEMENT_RETRY_S


def _has_time_to_queue(
    timing: Timing,
    placement: Placement,
    now: float,
) -> bool:
    """Whether a late request should wait for others to finish."""
    whole_s = timing.abandoned_at - timing.arrived_at
    if timing.get_waited_s(now) > whole_s * LATE_PATIENCE_SHARE:
        return False
    return placement.ideal_s <= timing.get_left_s(now) * IDEAL_SHARE


def get_retry_after_s(timing: Timing, clear_s: float, now: float) -> float:
    """Return when a refused caller should come back, in seconds.

    That is when the reading that is in its way will have ended, but early
    enough for its second try to have most of its time.
    """
    most_s = (timing.deadline - now) * COME_BACK_SHARE
    return max(0, min(clear_s, most_s))


def decide_unplaced(
    timing: Timing,
    now: float,
    *,
    any_target: bool,
) -> Decision:
    """Return what to do where nothing can take a request now."""
    patience_s = TARGET_PATIENCE_S
    refusal = Decision.no_target
    if any_target:
        whole_s = timing.deadline - timing.arrived_at
        patience_s = whole_s * MEMORY_PATIENCE_SHARE
        refusal = Decision.no_memory
    waits_on = timing.get_waited_s(now) <= patience_s
    return Decision.wait if waits_on else refusal
