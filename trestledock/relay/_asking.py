"""
Asking for a place
==================

A request with what its route says of times, as the decisions take it: the work
that is placed, the flight that the board is told of, and the choice.
"""

from dataclasses import dataclass, replace
from typing import Sequence

from trestledock.relay._arithmetic import get_decode_s
from trestledock.relay._board import Flight, Phase
from trestledock.relay._call import PromptSize
from trestledock.relay._catalog import EngineModel
from trestledock.relay._deciding import (
    SMALL_WORTH,
    Decision,
    Timing,
    decide,
    decide_unplaced,
    get_retry_after_s,
)
from trestledock.relay._listed import ListedTarget
from trestledock.relay._placing import Placer
from trestledock.relay._problem import Placement, Work
from trestledock.relay._worth import get_worth

#: What a late request is placed as if it still had, in seconds.
LEAST_OBJECTIVE_S = 0.05
#: An instant that never comes.
FOREVER = float('inf')


@dataclass(frozen=True)
class Unplaced:
    """Why a request goes nowhere now, and when its caller may come back."""

    decision: Decision
    retry_after_s: float = 0


def pick_cheapest(
    options: Sequence[Placement | Unplaced],
) -> Placement | Unplaced:
    """Return the placement that costs least; without any the first's word."""
    placements = [one for one in options if isinstance(one, Placement)]
    return min(placements, key=lambda one: one.cost, default=options[0])


@dataclass(frozen=True)
class PlacementRequest:
    """One request; `pause_s` and `patience_s` are those of its route."""

    req_id: str
    size: PromptSize
    timing: Timing
    pause_s: float
    patience_s: float = float('inf')

    @property
    def worth(self) -> float:
        """What the request is worth, in units of a plain call."""
        return get_worth(self.size)

    @property
    def is_small(self) -> bool:
        """Whether little is lost where the request has to be repeated."""
        return self.worth <= SMALL_WORTH

    def choose(
        self,
        placer: Placer,
        engine: EngineModel,
        targets: Sequence[ListedTarget],
        now: float,
    ) -> Placement | Unplaced:
        """Return where the request goes now, or what else is done with it."""
        timing = replace(self.timing, write_s=get_decode_s(engine, self.size))
        if not placer.policy.abandonment:
            timing = replace(timing, abandoned_at=FOREVER, deadline=FOREVER)
        work = self._make_work(timing, now)
        placement = placer.place(work, engine, targets, now)
        if placement is None:
            found = bool(targets)
            return Unplaced(decide_unplaced(timing, now, any_target=found))
        decision = decide(timing, work.worth, placement, now, placer.policy)
        if decision is Decision.send:
            return placement
        return Unplaced(
            decision, get_retry_after_s(timing, placement.clear_s, now)
        )

    def make_flight(
        self,
        placement: Placement,
        phase: Phase,
        now: float,
    ) -> Flight:
        """Return what the board is told of a sending."""
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
            helpers=tuple(one.incarnation for one in placement.helpers),
            reservations=placement.reservations,
            abandoned_at=self.timing.abandoned_at,
            patience_s=self.patience_s,
        )

    def _make_work(self, timing: Timing, now: float) -> Work:
        objective_s = timing.get_objective_left_s(now)
        return Work(
            size=self.size,
            objective_s=max(objective_s, LEAST_OBJECTIVE_S),
            pause_s=self.pause_s,
            worth=get_worth(self.size),
            abandoned_after_s=timing.get_left_s(now),
        )
