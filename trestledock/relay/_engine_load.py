"""
Engine load
===========

The current work of an engine, and what more work there would cost: the time to
its first token, and the loss of the requests that are already there.
"""

from dataclasses import dataclass
from typing import Iterable

from trestledock.relay._catalog import EngineModel
from trestledock.relay._engine_timing import (
    PassLoad,
    get_decode_pass_s,
    get_prefill_s,
)
from trestledock.relay._health import Health
from trestledock.relay._load_table import Flight, LoadTable, Phase
from trestledock.relay._target_records import ListedTarget

#: The share of its worth that a late answer loses, as callers value it.
LATE_LOSS = 0.75
#: The share of an allowed pause that a pass may fill.
PAUSE_SHARE = 0.8
#: The shares of the time left up to which a prediction is certainly in time,
#: and from which on it is certainly late.
SAFE_SHARE = 0.75
LATE_SHARE = 1.05
#: The loss of a prompt in prefill by a delay of one second, as a share of its
#: worth, even if it would still be in time.
DELAY_LOSS = 0.15
#: The largest share of an engine's memory that placements use.
MEMORY_SHARE = 0.97


@dataclass(frozen=True)
class EngineLoad:
    """The work of an engine at the instant `now`.

    `base_s` is the duration of a pass without prefill, `pending_prefill_s` the
    prefill that is left, and `count` the number of requests with this engine as
    their primary.
    """

    target: ListedTarget
    count: int
    decoding: int
    base_s: float
    pending_prefill_s: float
    free_tokens: float
    flights: tuple[Flight, ...]
    failure_share: float
    is_remote: bool
    now: float

    @property
    def helper_wait_s(self) -> float:
        """The time until a helper's chunk begins, before all other prefill."""
        return self.base_s / 2 if self.decoding else 0

    @property
    def wait_s(self) -> float:
        """The time until own prefill begins: half a pass and pending work."""
        return self.helper_wait_s + self.pending_prefill_s

    def predict_first_token_s(self, chunk_s: float) -> float:
        """Return the time to the first token after a prefill of `chunk_s`."""
        return self.wait_s + chunk_s + self.base_s

    def predict_chunk_s(self, chunk_s: float) -> float:
        """Return the time until a helper's chunk of `chunk_s` is prefilled."""
        return self.helper_wait_s + chunk_s

    def get_cost_to_others(
        self, chunk_s: float, newcomer: 'Newcomer | None' = None
    ) -> float:
        """Return the loss of others if `chunk_s` more is prefilled here.

        A less urgent request counts at most as much as a ranked newcomer.
        """
        before_s = self.base_s + self.pending_prefill_s
        worths = [
            newcomer.get_worth_of_other(flight) if newcomer else flight.worth
            for flight in self.flights
        ]
        return sum(
            worth * _get_lost_share(flight, before_s + chunk_s, self.now)
            - worth * _get_lost_share(flight, before_s, self.now)
            for flight, worth in zip(self.flights, worths, strict=True)
        ) + sum(
            worth * LATE_LOSS * DELAY_LOSS * min(1, chunk_s)
            for flight, worth in zip(self.flights, worths, strict=True)
            if flight.phase is Phase.prefill
        )

    def get_cost_to_urgent(self, chunk_s: float, newcomer: 'Newcomer') -> float:
        """Return the additional cost of delaying more urgent requests.

        Each counts at least as much as the newcomer.
        """
        before_s = self.base_s + self.pending_prefill_s
        return sum(
            newcomer.get_surcharge(flight)
            * (
                _get_lost_share(flight, before_s + chunk_s, self.now)
                - _get_lost_share(flight, before_s, self.now)
            )
            for flight in self.flights
            if newcomer.get_surcharge(flight)
        )


@dataclass(frozen=True)
class Newcomer:
    """The rank and worth of a request to be placed, 0 being most urgent.

    Worth by tokens values a prompt of 700,000 as much as 80 prompts of 5,000,
    but operators put the short ones first by their ranks.  So between requests
    of different ranks, the more urgent one counts at least as much as the other
    one: short prompts would otherwise be refused to spare long ones.
    """

    rank: int
    worth: float

    def get_worth_of_other(self, flight: Flight) -> float:
        """Return what a request in flight counts for at most."""
        if flight.rank is None or flight.rank <= self.rank:
            return flight.worth
        return min(flight.worth, self.worth)

    def get_surcharge(self, flight: Flight) -> float:
        """Return what a more urgent request counts for beyond its worth."""
        if flight.rank is None or flight.rank >= self.rank:
            return 0
        return max(0, self.worth - flight.worth)


class LoadEstimator:
    """Derives the load of engines from the requests in flight."""

    def __init__(
        self, load_table: LoadTable, health: Health, data_centre: str
    ) -> None:
        """Store the inputs."""
        self.load_table = load_table
        self.health = health
        self.data_centre = data_centre

    def estimate(
        self, engine: EngineModel, target: ListedTarget, now: float
    ) -> EngineLoad:
        """Return the load of an engine now."""
        name = target.incarnation
        flights = tuple(self.load_table.get_flights(name))
        own = [flight for flight in flights if flight.target == name]
        held = sum(flight.get_held_tokens(name) for flight in flights)
        health = self.health.get(name)
        base_s = get_decode_pass_s(engine, PassLoad(len(own) + 1, held))
        return EngineLoad(
            target=target,
            count=len(own),
            decoding=sum(flight.phase is Phase.decode for flight in own),
            base_s=base_s,
            pending_prefill_s=_get_pending_prefill_s(engine, flights, now),
            free_tokens=engine.capacity_tokens * MEMORY_SHARE - held,
            flights=flights,
            failure_share=health.get_failure_share(now),
            is_remote=target.data_centre != self.data_centre,
            now=now,
        )


def _get_pending_prefill_s(
    engine: EngineModel,
    flights: Iterable[Flight],
    now: float,
) -> float:
    """Return the seconds of prefill that an engine still has to do."""
    left_s: float = 0
    at = now
    prefilling = [flight for flight in flights if flight.phase is Phase.prefill]
    for flight in sorted(prefilling, key=lambda flight: flight.since):
        chunk_s = (
            get_prefill_s(engine, flight.prompt_tokens) / flight.chunk_count
        )
        left_s = max(0, left_s - max(0, flight.since - at)) + chunk_s
        at = flight.since
    return max(0, left_s - max(0, now - at))


def _get_lost_share(flight: Flight, pass_s: float, now: float) -> float:
    """Return the share of its worth that a request loses by a pass.

    To a decoding request the pass is a pause; to one in prefill it delays the
    first token, since newer chunks go before older ones.
    """
    if flight.phase is Phase.decode:
        late: float = pass_s > flight.pause_s * PAUSE_SHARE
        abandoned_after_s = flight.event_timeout_s
    else:
        late = _get_late_probability(pass_s, flight.due_at - now)
        abandoned_after_s = flight.abandoned_at - now
    share = late * LATE_LOSS
    return 1 if pass_s > abandoned_after_s else share


def _get_late_probability(first_s: float, left_s: float) -> float:
    """Return the probability that a prediction for a part of its time is late.

    A request with hardly any time left may still be delayed by the next one.
    """
    if left_s <= 0:
        return 1
    excess = first_s / left_s - SAFE_SHARE
    return min(1, max(0, excess / (LATE_SHARE - SAFE_SHARE)))
