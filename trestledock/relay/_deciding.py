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

from trestledock.relay._placing import GONE_SHARE, Placement

#: The part of its objective that a request may wait for a better place.
PATIENCE_SHARE = 0.3
#: Waiting ends when the prediction fills this part of what is left of the
#: objective.
OBJECTIVE_SHARE = 0.75
#: The part of the time until its caller leaves that a request may wait that
#: can't be in time any more, and the harm to others, as a part of its worth,
#: for which it does.  Prompts that need the whole fleet go one after the other
#: so, each over all engines that are free, in place of side by side over few.
LATE_PATIENCE_SHARE = 0.45
LATE_HARM_SHARE = 0.1
#: The part of the time left that the reading on an idle fleet must fit into.
IDEAL_SHARE = 0.6
#: The part of its time that a request may wait for memory.
MEMORY_PATIENCE_SHARE = 0.4
#: The cost, as a part of a request's worth, for which it is worth waiting.
WAIT_COST_SHARE = 0.3
#: How often a waiting request is placed anew without any news, in seconds.
LOOK_S = 0.03
#: How long to look for any target at all, in seconds.
TARGET_PATIENCE_S = 0.2


class Decision(str, Enum):
    """What is done with a request now."""

    send = 'send'
    wait = 'wait'
    no_target = 'no_target'
    no_memory = 'no_memory'
    no_time = 'no_time'


@dataclass(frozen=True)
class Timing:
    """The instants that a request is judged by.

    Its first event is late after `due`; at `gone` its caller has left, and at
    `deadline` it must be answered whole.  `write_s` is what its answer takes
    after the first event.
    """

    arrived_at: float
    due: float
    gone: float
    deadline: float
    write_s: float = 0

    def get_waited_s(self, now: float) -> float:
        """Return how long the request has been waiting."""
        return now - self.arrived_at

    def get_objective_left_s(self, now: float) -> float:
        """Return what is left until the first event would be late."""
        return self.due - now

    def get_left_s(self, now: float) -> float:
        """Return how long the first event may take to be of any use."""
        return min(self.gone, self.deadline - self.write_s) - now


def decide(
    timing: Timing,
    worth: float,
    placement: Placement,
    now: float,
) -> Decision:
    """Return what to do where `placement` is the best that there is."""
    if is_worth_waiting(timing, worth, placement, now):
        return Decision.wait
    if is_worth_queueing(timing, worth, placement, now):
        return Decision.wait
    if placement.first_s > timing.get_left_s(now):
        return Decision.no_time
    return Decision.send


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
    objective_s = timing.due - timing.arrived_at
    if timing.get_waited_s(now) > objective_s * PATIENCE_SHARE:
        return False
    if placement.cost <= worth * WAIT_COST_SHARE:
        return False
    left_s = timing.get_objective_left_s(now)
    soon_s = left_s * OBJECTIVE_SHARE - LOOK_S
    is_late = placement.first_s > left_s
    hoped_s = placement.ideal_s if is_late else placement.first_s
    return hoped_s < soon_s


def is_worth_queueing(
    timing: Timing,
    worth: float,
    placement: Placement,
    now: float,
) -> bool:
    """Whether a request that will be late should let others finish first."""
    left_s = timing.get_left_s(now)
    if placement.first_s <= timing.get_objective_left_s(now):
        return False
    whole_s = timing.gone - timing.arrived_at
    if timing.get_waited_s(now) > whole_s * LATE_PATIENCE_SHARE:
        return False
    if placement.ideal_s > left_s * IDEAL_SHARE:
        return False
    harms = placement.harm > worth * LATE_HARM_SHARE
    return harms or placement.first_s > left_s * GONE_SHARE


def decide_without_place(
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
