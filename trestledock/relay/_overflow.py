"""
Overflow of short prompts
=========================

In a large deployment, a short prompt goes to another data centre if its best
placement in the own one would make it or others late, and only where it is
expected to lose nothing.

An instance knows the load there from an answer that may be a quarter of a
second old, so the prompts that go there are bounded: those of one data centre
take at most a quarter of the slots that the answer shows as free.  With three
data centres, the other two together leave at least half of these slots for load
that arrives meanwhile.
Instances of one data centre know each other's requests within milliseconds; to
bound the sum also in that time, each has an equal part of the quarter, and at
least one slot.
"""

from dataclasses import dataclass
from typing import Sequence

from trestledock.relay._catalog import EngineModel
from trestledock.relay._placement import NEGLIGIBLE_COST, Placer
from trestledock.relay._placement_cost import (
    COST_PER_SECOND,
    SPARE_SLOTS,
    Placement,
)
from trestledock.relay._placement_request import (
    PlacementRequest,
    Unplaced,
)
from trestledock.relay._target_records import ListedTarget

#: The share of the free slots of a data centre that another one may use.
MAX_FREE_SHARE = 0.25
#: What the transfer to another data centre adds to the time until a prompt's
#: first token, in seconds: two trips of 4.5 ms, and 20 kB at 16 Mbit/s.
REMOTE_DELAY_S = 0.02


@dataclass(frozen=True)
class RemoteEngine:
    """An engine of another data centre.

    `others` counts the requests of other data centres there, `near` those of
    the own data centre and `own` those of this instance.
    """

    target: ListedTarget
    others: int
    near: int
    own: int


@dataclass(frozen=True)
class OverflowRule:
    """The bounds of a data centre with `instance_count` instances."""

    engine: EngineModel
    instance_count: int

    def pick_targets(
        self, engines: Sequence[RemoteEngine]
    ) -> tuple[ListedTarget, ...]:
        """Return the engines of a data centre that may take a short prompt."""
        free = [self._get_free(engine) for engine in engines]
        allowed = int(sum(free) * MAX_FREE_SHARE)
        own_allowed = max(1, allowed // self.instance_count)
        if sum(engine.near for engine in engines) >= allowed:
            return ()
        if sum(engine.own for engine in engines) >= own_allowed:
            return ()
        return tuple(
            engine.target
            for engine, count in zip(engines, free, strict=True)
            if engine.near < count
        )

    def _get_free(self, engine: RemoteEngine) -> int:
        """Return the slots without requests of other data centres."""
        return max(0, self.engine.batch - SPARE_SLOTS - engine.others)


def loses_nothing(chosen: Placement | Unplaced | None) -> bool:
    """Return whether neither the request nor others are expected to lose."""
    if not isinstance(chosen, Placement):
        return False
    loss = chosen.cost - chosen.first_token_s * COST_PER_SECOND
    return loss < NEGLIGIBLE_COST


def may_gain_by_overflow(
    request: PlacementRequest,
    chosen: Placement | Unplaced | None,
    now: float,
) -> bool:
    """Return whether to look for a placement in another data centre.

    `chosen` is the best placement in the own one.
    """
    left_s = request.timing.get_remaining_objective_s(now)
    return (
        request.is_small
        and not loses_nothing(chosen)
        and left_s > REMOTE_DELAY_S
    )


def choose_overflow(
    request: PlacementRequest,
    placer: Placer,
    rule: OverflowRule,
    data_centres: Sequence[Sequence[RemoteEngine]],
    now: float,
) -> Placement | None:
    """Return the best placement in another data centre, if nothing is lost."""
    groups = [rule.pick_targets(engines) for engines in data_centres]
    options = [
        request.choose(placer, rule.engine, group, now + REMOTE_DELAY_S)
        for group in groups
        if group
    ]
    free = [
        option
        for option in options
        if isinstance(option, Placement) and loses_nothing(option)
    ]
    return min(free, key=lambda placement: placement.cost, default=None)
