"""
Placement requests
==================

A request with the time limits of its route, as the placement decisions need it:
the work to place, the entry in the load table, and the choice of a target.
"""

from dataclasses import dataclass, replace
from typing import Sequence

from trestledock.relay._admission import (
    SMALL_WORTH,
    Decision,
    Timing,
    decide,
    decide_unplaced,
    get_retry_after_s,
)
from trestledock.relay._call import PromptSize
from trestledock.relay._catalog import EngineModel
from trestledock.relay._engine_timing import get_decode_s
from trestledock.relay._load_table import Flight, Phase
from trestledock.relay._placement import Placer
from trestledock.relay._placement_cost import Placement, Work
from trestledock.relay._target_records import ListedTarget
from trestledock.relay._worth import get_worth

#: The objective, in seconds, that a request which is already late is placed
#: with.
MIN_OBJECTIVE_S = 0.05
#: An instant that is never reached.
NEVER = float('inf')


@dataclass(frozen=True)
class Unplaced:
    """Why a request is not placed now, and when its caller should retry."""

    decision: Decision
    retry_after_s: float = 0


def pick_cheapest(
    options: Sequence[Placement | Unplaced],
) -> Placement | Unplaced:
    """Return the cheapest placement, or the first refusal if there is none."""
    placements = [option for option in options if isinstance(option, Placement)]
    return min(
        placements, key=lambda placement: placement.cost, default=options[0]
    )


@dataclass(frozen=True)
class PlacementRequest:
    """A request to be placed.

    `pause_s` and `event_timeout_s` are the limits of its route, and `rank` its
    rank if its service has different ones.
    """

    req_id: str
    size: PromptSize
    timing: Timing
    pause_s: float
    event_timeout_s: float = float('inf')
    rank: int | None = None

    @property
    def worth(self) -> float:
        """The worth of the request, in units of a plain call."""
        return get_worth(self.size)

    @property
    def is_small(self) -> bool:
        """Whether repeating the request would cost little."""
        return self.worth <= SMALL_WORTH

    def choose(
        self,
        placer: Placer,
        engine: EngineModel,
        targets: Sequence[ListedTarget],
        now: float,
    ) -> Placement | Unplaced:
        """Return the placement of the request, or why it has none."""
        timing = replace(self.timing, decode_s=get_decode_s(engine, self.size))
        if not placer.policy.abandonment:
            timing = replace(timing, abandoned_at=NEVER, deadline=NEVER)
        work = self._make_work(timing, now)
        placement = placer.place(work, engine, targets, now)
        if placement is None:
            any_target = bool(targets)
            return Unplaced(decide_unplaced(timing, now, any_target=any_target))
        decision = decide(timing, work.worth, placement, now, placer.policy)
        if decision is Decision.send:
            return placement
        return Unplaced(
            decision,
            get_retry_after_s(timing, placement.pending_prefill_s, now),
        )

    def make_flight(
        self,
        placement: Placement,
        phase: Phase,
        now: float,
    ) -> Flight:
        """Return the entry of an attempt in the load table."""
        return Flight(
            flight_id=self.req_id,
            target=placement.target.incarnation,
            prompt_tokens=self.size.prompt_tokens,
            output_tokens=self.size.output_tokens,
            phase=phase,
            since=now,
            pause_s=self.pause_s,
            worth=get_worth(self.size),
            due_at=self.timing.due_at,
            helpers=tuple(helper.incarnation for helper in placement.helpers),
            reservations=placement.reservations,
            abandoned_at=self.timing.abandoned_at,
            event_timeout_s=self.event_timeout_s,
            rank=self.rank,
        )

    def _make_work(self, timing: Timing, now: float) -> Work:
        objective_s = timing.get_remaining_objective_s(now)
        return Work(
            size=self.size,
            objective_s=max(objective_s, MIN_OBJECTIVE_S),
            pause_s=self.pause_s,
            worth=get_worth(self.size),
            abandoned_after_s=timing.get_remaining_s(now),
            rank=self.rank,
        )
