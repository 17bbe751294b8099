"""
The problem of a placement
==========================

One request with all engines that may take it, and the prices by which its
plans are compared.  Everything is in worth: what the request would lose by
being late, and what others would, who are there already or come next.
"""

from dataclasses import dataclass
from typing import Sequence

from trestledock.relay._call import PromptSize
from trestledock.relay._catalog import EngineModel
from trestledock.relay._listed import ListedTarget
from trestledock.relay._terms import DEFAULT_POLICY, PlacementPolicy
from trestledock.relay._view import LATE_LOSS, PAUSE_SHARE, View

#: Places of an engine that are left free where others have room.
SPARE_PLACES = 1
#: The cost of a second before the first token, in units of worth.
SECOND_COST = 0.3
#: Part of the objective that a prediction should stay within.
OBJECTIVE_SHARE = 0.75
#: What a prediction beyond that loses at least, as a part of `LATE_LOSS`.
LATE_AT_LEAST = 0.5
#: Part of the time until a caller leaves that a prediction must stay within.
GONE_SHARE = 0.8
#: What a request costs that is read though its caller will have left, as a part
#: of its worth: more than one that is refused, which may come back.
LOST_SHARE = 2.0
#: The least objective that lateness is measured against, in seconds.
LEAST_OBJECTIVE_S = 0.05
#: The cost of a place beyond those that an engine works on at once.
QUEUED_COST = 3.0
#: The cost of a target in another data centre, in units of worth: the way
#: there may be cut while the request is on it.
REMOTE_COST = 0.05


@dataclass(frozen=True)
class Work:
    """What is to be placed: sizes, times left, and what it is worth.

    Its first token is late after `objective_s`, and nobody waits for it any
    more after `abandoned_after_s`.
    """

    size: PromptSize
    objective_s: float
    pause_s: float
    worth: float
    abandoned_after_s: float = float('inf')


@dataclass(frozen=True)
class Placement:
    """Where a request goes; `cost` is what all are expected to lose.

    `cost_to_others` is the part of it that others lose who are at the engines
    already, and `gain` what the request itself is expected to earn.

    `first_token_s` predicts the first token, `ideal_s` what an idle fleet would
    do; after `clear_s` everything that is being read now will have been.
    `reservations` are the tokens to be reserved at helpers, by their ids.
    """

    target: ListedTarget
    helpers: tuple[ListedTarget, ...] = ()
    reservations: tuple[tuple[str, int], ...] = ()
    first_token_s: float = 0
    cost: float = 0
    cost_to_others: float = 0
    gain: float = 0
    ideal_s: float = 0
    clear_s: float = 0
    candidates: int = 1

    @property
    def engaged_targets(self) -> tuple[ListedTarget, ...]:
        """The target and those that help it to read the prompt."""
        return (self.target, *self.helpers)


@dataclass(frozen=True)
class Problem:
    """One request with all engines that may take it, and its reading time."""

    work: Work
    engine: EngineModel
    views: tuple[View, ...]
    read_s: float
    terms: PlacementPolicy = DEFAULT_POLICY

    def get_lateness(self, first_s: float) -> float:
        """Return what the work loses by a first token after `first_s`.

        Beyond the objective the rest of its worth is lost bit by bit until
        its caller leaves, since predictions of long reads are too short where
        newer prompts go before them.
        """
        limit_s = self.work.objective_s * OBJECTIVE_SHARE
        if first_s <= limit_s:
            return 0
        over = (first_s - limit_s) / max(limit_s, LEAST_OBJECTIVE_S)
        share = LATE_LOSS * min(1, LATE_AT_LEAST + over)
        left_s = max(
            self.work.abandoned_after_s * GONE_SHARE, LEAST_OBJECTIVE_S
        )
        if first_s > left_s:
            return self.work.worth * LOST_SHARE
        return self.work.worth * (share + (1 - LATE_LOSS) * first_s / left_s)

    def get_gain(self, first_s: float) -> float:
        """Return what the work earns by a first token after `first_s`."""
        return max(0, self.work.worth - self.get_lateness(first_s))

    def get_harm(self, view: View, part_s: float) -> float:
        """Return what others lose when an engine reads `part_s` more."""
        return view.get_harm(part_s) if self.terms.weigh_cost_to_others else 0

    def get_remoteness(self, view: View) -> float:
        """Return the cost of an engine in another data centre."""
        return REMOTE_COST * (view.remote and self.terms.prefer_local)

    def get_cost(self, view: View, part_s: float) -> float:
        """Return what all lose when an engine reads `part_s` and writes."""
        first_s = view.predict_first_s(part_s)
        own_pause = view.base_s > self.work.pause_s * PAUSE_SHARE
        risk = view.failure_share + own_pause * LATE_LOSS
        return (
            self.get_harm(view, part_s)
            + self.get_lateness(first_s)
            + first_s * SECOND_COST
            + risk * self.work.worth
            + self.get_remoteness(view)
        )

    def get_crowding(self, view: View) -> float:
        """Return the cost of places and memory that are not there yet."""
        over = view.count - self.engine.batch + SPARE_PLACES + 1
        cost = QUEUED_COST * max(0, over)
        if self.work.size.total_tokens > view.free_tokens:
            cost += QUEUED_COST * 2
        return cost

    def get_scarcity(
        self,
        engines: Sequence[View],
        part_s: float,
        first_s: float,
    ) -> float:
        """Return what a late plan costs by the idle engines that it takes.

        The last idle ones count most: whatever comes next needs them.
        """
        if first_s <= self.work.objective_s:
            return 0
        total = len(self.views)
        busy = sum(bool(view.flights) for view in self.views)
        taken = sum(not view.flights for view in engines)
        shares = [(busy + 1 + place) / total for place in range(taken)]
        return (
            self.terms.idle_engine_cost
            * part_s
            * sum(share**2 for share in shares)
        )

    def get_whole_cost(self, view: View, part_s: float) -> float:
        """Return the cost of an engine as the first target."""
        return self.get_cost(view, part_s) + self.get_crowding(view)
