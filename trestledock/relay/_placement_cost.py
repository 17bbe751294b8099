"""
Placement costs
===============

A request with all engines that can take it, and the costs by which its plans
are compared.  Costs are in units of worth: the expected loss of the request by
being late, and the loss of requests that are already there or come next.
"""

from dataclasses import dataclass
from functools import cached_property
from typing import Sequence

from trestledock.relay._call import PromptSize
from trestledock.relay._catalog import EngineModel
from trestledock.relay._engine_load import (
    LATE_LOSS,
    PAUSE_SHARE,
    EngineLoad,
    Newcomer,
)
from trestledock.relay._policy import DEFAULT_POLICY, PlacementPolicy
from trestledock.relay._target_records import ListedTarget

#: Batch slots of an engine that are left free if other engines have room.
SPARE_SLOTS = 1
#: The cost of a second before the first token, in units of worth.
COST_PER_SECOND = 0.3
#: The share of the objective that a prediction should stay within.
OBJECTIVE_SHARE = 0.75
#: The least loss of a prediction beyond that, as a share of `LATE_LOSS`.
MIN_LATE_SHARE = 0.5
#: The share of the time until a caller leaves that a prediction must stay
#: within.
ABANDONMENT_SHARE = 0.8
#: The cost of a request whose caller leaves before its first token, as a share
#: of its worth.  It is higher than that of a refused request, which may be
#: retried.
ABANDONED_COST_SHARE = 2.0
#: The least objective that lateness is measured against, in seconds.
MIN_OBJECTIVE_S = 0.05
#: The cost of each slot beyond the batch size of an engine.
QUEUED_COST = 3.0
#: The cost of a target in another data centre, in units of worth: the network
#: path may be cut while the request is in flight.
REMOTE_COST = 0.05


@dataclass(frozen=True)
class Work:
    """A request to be placed: its size, its time limits and its worth.

    The first token is late after `objective_s`, and the caller has left after
    `abandoned_after_s`.
    """

    size: PromptSize
    objective_s: float
    pause_s: float
    worth: float
    abandoned_after_s: float = float('inf')
    rank: int | None = None

    @cached_property
    def newcomer(self) -> Newcomer | None:
        """What the request counts for among others of different ranks."""
        return None if self.rank is None else Newcomer(self.rank, self.worth)


@dataclass(frozen=True)
class Placement:
    """The targets of a request; `cost` is the expected loss of all requests.

    `cost_to_others` is the part of the cost that falls on other requests at
    these engines, and `gain` the worth that the request itself is expected to
    earn.  `cost_to_urgent` is what more urgent requests weigh beyond that; a
    request waits to avoid it, but is not refused for it.

    `first_token_s` is the predicted time to the first token, and `idle_fleet_s`
    that on an idle fleet.  All prefill in progress ends within
    `pending_prefill_s`.  `reservations` are the tokens to reserve at helpers,
    by their ids.
    """

    target: ListedTarget
    helpers: tuple[ListedTarget, ...] = ()
    reservations: tuple[tuple[str, int], ...] = ()
    first_token_s: float = 0
    cost: float = 0
    cost_to_others: float = 0
    cost_to_urgent: float = 0
    gain: float = 0
    idle_fleet_s: float = 0
    pending_prefill_s: float = 0
    candidates: int = 1

    @property
    def engaged_targets(self) -> tuple[ListedTarget, ...]:
        """The target and its helpers."""
        return (self.target, *self.helpers)


@dataclass(frozen=True)
class Problem:
    """A request, all engines that can take it, and its prefill time."""

    work: Work
    engine: EngineModel
    loads: tuple[EngineLoad, ...]
    prefill_s: float
    policy: PlacementPolicy = DEFAULT_POLICY

    def get_lateness(self, first_s: float) -> float:
        """Return the loss of the request by the lateness of its first token.

        Beyond the objective, the rest of the worth is lost gradually until the
        caller leaves, since predictions of long prefills are too short if newer
        prompts go before them.
        """
        limit_s = self.work.objective_s * OBJECTIVE_SHARE
        if first_s <= limit_s:
            return 0
        excess = (first_s - limit_s) / max(limit_s, MIN_OBJECTIVE_S)
        lost_share = LATE_LOSS * min(1, MIN_LATE_SHARE + excess)
        left_s = max(
            self.work.abandoned_after_s * ABANDONMENT_SHARE, MIN_OBJECTIVE_S
        )
        if first_s > left_s:
            return self.work.worth * ABANDONED_COST_SHARE
        return self.work.worth * (
            lost_share + (1 - LATE_LOSS) * first_s / left_s
        )

    def get_gain(self, first_s: float) -> float:
        """Return the worth that the request is expected to earn."""
        return max(0, self.work.worth - self.get_lateness(first_s))

    def get_cost_to_others(self, load: EngineLoad, chunk_s: float) -> float:
        """Return the loss of others if an engine prefills `chunk_s` more."""
        return (
            load.get_cost_to_others(chunk_s, self.work.newcomer)
            if self.policy.weigh_cost_to_others
            else 0
        )

    def get_cost_to_urgent(self, load: EngineLoad, chunk_s: float) -> float:
        """Return the additional cost of delaying more urgent requests."""
        newcomer = self.work.newcomer
        if newcomer is None or not self.policy.weigh_cost_to_others:
            return 0
        return load.get_cost_to_urgent(chunk_s, newcomer)

    def get_remote_cost(self, load: EngineLoad) -> float:
        """Return the cost of an engine in another data centre."""
        return REMOTE_COST * (load.is_remote and self.policy.prefer_local)

    def get_engine_cost(self, load: EngineLoad, chunk_s: float) -> float:
        """Return the loss of all by a prefill of `chunk_s` and the answer."""
        first_s = load.predict_first_token_s(chunk_s)
        own_pause = load.base_s > self.work.pause_s * PAUSE_SHARE
        risk = load.failure_share + own_pause * LATE_LOSS
        return (
            self.get_cost_to_others(load, chunk_s)
            + self.get_cost_to_urgent(load, chunk_s)
            + self.get_lateness(first_s)
            + first_s * COST_PER_SECOND
            + risk * self.work.worth
            + self.get_remote_cost(load)
        )

    def get_queueing_cost(self, load: EngineLoad) -> float:
        """Return the cost of batch slots and memory that are not free yet."""
        excess = load.count - self.engine.batch + SPARE_SLOTS + 1
        cost = QUEUED_COST * max(0, excess)
        if self.work.size.total_tokens > load.free_tokens:
            cost += QUEUED_COST * 2
        return cost

    def get_idle_engine_cost(
        self,
        engines: Sequence[EngineLoad],
        chunk_s: float,
        first_s: float,
    ) -> float:
        """Return the cost of the idle engines that a late plan takes.

        The last idle engines cost most, since the next requests need them.
        """
        if first_s <= self.work.objective_s:
            return 0
        total = len(self.loads)
        busy_count = sum(bool(load.flights) for load in self.loads)
        idle_count = sum(not load.flights for load in engines)
        shares = [
            (busy_count + 1 + position) / total
            for position in range(idle_count)
        ]
        return (
            self.policy.idle_engine_cost
            * chunk_s
            * sum(share**2 for share in shares)
        )

    def get_primary_cost(self, load: EngineLoad, chunk_s: float) -> float:
        """Return the cost of an engine as the primary engine."""
        return self.get_engine_cost(load, chunk_s) + self.get_queueing_cost(
            load
        )
