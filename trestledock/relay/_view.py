"""
Views of engines
================

What one engine has to do now, and what more work there would cost: when its
first token would come, and what the requests lose that are there already.
"""

from dataclasses import dataclass
from typing import Iterable

from trestledock.relay._arithmetic import (
    PassLoad,
    get_prefill_s,
    get_decode_pass_s,
)
from trestledock.relay._board import LoadTable, Flight, Phase
from trestledock.relay._catalog import EngineModel
from trestledock.relay._listed import ListedTarget
from trestledock.relay._health import Health

#: What a late answer loses of its worth, as callers value it.
LATE_LOSS = 0.75
#: The part of an allowed pause that a pass may fill.
PAUSE_SHARE = 0.8
#: The parts of its time left that a prediction may fill to be surely in time,
#: and from which on it is surely late.
SAFE_SHARE = 0.75
LATE_SHARE = 1.05
#: What a prompt that is being read loses by a second's delay, as a part of its
#: worth, though it would still be in time.
READER_LOSS = 0.15
#: Largest share of an engine's memory that is planned for.
MEMORY_SHARE = 0.97


@dataclass(frozen=True)
class View:
    """What one engine has to do at the instant `now`.

    `base_s` is the length of a pass without reading, `pending_s` the reading
    that is left, `count` the requests of which it is the first target.
    """

    listed: ListedTarget
    count: int
    writers: int
    base_s: float
    pending_s: float
    free_tokens: float
    flights: tuple[Flight, ...]
    failure_share: float
    remote: bool
    now: float

    @property
    def helper_wait_s(self) -> float:
        """Until a helper's part begins: it goes ahead of all other reading."""
        return self.base_s / 2 if self.writers else 0

    @property
    def wait_s(self) -> float:
        """Until own reading begins: half a pass and what is being read."""
        return self.helper_wait_s + self.pending_s

    def predict_first_s(self, part_s: float) -> float:
        """Return when the first token comes after reading for `part_s`."""
        return self.wait_s + part_s + self.base_s

    def predict_part_s(self, part_s: float) -> float:
        """Return when a helper's part of `part_s` has been read."""
        return self.helper_wait_s + part_s

    def get_harm(self, part_s: float) -> float:
        """Return what others lose when `part_s` more is read here."""
        before_s = self.base_s + self.pending_s
        return sum(
            _get_loss(one, before_s + part_s, self.now)
            - _get_loss(one, before_s, self.now)
            for one in self.flights
        ) + sum(
            one.worth * LATE_LOSS * READER_LOSS * min(1, part_s)
            for one in self.flights
            if one.phase is Phase.prefill
        )


class Viewer:
    """Makes views from the board and the health of targets."""

    def __init__(
        self, board: LoadTable, health: Health, data_centre: str
    ) -> None:
        """Keep what views are made from."""
        self.board = board
        self.health = health
        self.data_centre = data_centre

    def view(
        self, engine: EngineModel, listed: ListedTarget, now: float
    ) -> View:
        """Return what an engine has to do now."""
        name = listed.incarnation
        flights = tuple(self.board.get_flights(name))
        own = [one for one in flights if one.target == name]
        held = sum(one.get_held_tokens(name) for one in flights)
        health = self.health.get(name)
        base_s = get_decode_pass_s(engine, PassLoad(len(own) + 1, held))
        return View(
            listed=listed,
            count=len(own),
            writers=sum(one.phase is Phase.decode for one in own),
            base_s=base_s,
            pending_s=_get_pending_s(engine, flights, now),
            free_tokens=engine.capacity_tokens * MEMORY_SHARE - held,
            flights=flights,
            failure_share=health.get_failure_share(now),
            remote=listed.data_centre != self.data_centre,
            now=now,
        )


def _get_pending_s(
    engine: EngineModel,
    flights: Iterable[Flight],
    now: float,
) -> float:
    """Return the seconds of reading that an engine still has to do."""
    left_s: float = 0
    at = now
    reading = [one for one in flights if one.phase is Phase.prefill]
    for flight in sorted(reading, key=lambda one: one.since):
        part_s = (
            get_prefill_s(engine, flight.prompt_tokens) / flight.chunk_count
        )
        left_s = max(0, left_s - max(0, flight.since - at)) + part_s
        at = flight.since
    return max(0, left_s - max(0, now - at))


def _get_loss(flight: Flight, pass_s: float, now: float) -> float:
    """Return what a flight loses by a pass that ends after `pass_s`.

    To a writer that is a pause, to a reader its first token: newer parts go
    before older ones.
    """
    if flight.phase is Phase.decode:
        late: float = pass_s > flight.pause_s * PAUSE_SHARE
        gone_s = flight.patience_s
    else:
        late = _get_late_share(pass_s, flight.due_at - now)
        gone_s = flight.abandoned_at - now
    share = late * LATE_LOSS
    if pass_s > gone_s:
        share = 1
    return flight.worth * share


def _get_late_share(first_s: float, left_s: float) -> float:
    """Return how likely a prediction that fills a part of its time is late.

    Whoever has hardly time left is not safe from what comes next.
    """
    if left_s <= 0:
        return 1
    over = first_s / left_s - SAFE_SHARE
    return min(1, max(0, over / (LATE_SHARE - SAFE_SHARE)))
