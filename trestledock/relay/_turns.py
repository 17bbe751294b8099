"""
Turns of those that wait
========================

Where all targets of a service take only so many requests, those that wait go
by urgency, then team by team, each team's in the order of their arrival.
"""

from collections import Counter
from dataclasses import dataclass, field
from math import inf

#: The rank of a request that has none, from 0 (first) to 9.
USUAL_PRIORITY = 5


@dataclass(frozen=True)
class WaitingRequest:
    """A request that waits for a service."""

    req_id: str
    service: str
    team: str
    arrived_at: float
    priority: int | None = None

    @property
    def rank(self) -> int:
        """Its urgency, 0 first."""
        return USUAL_PRIORITY if self.priority is None else self.priority


@dataclass
class WaitQueue:
    """The requests that wait, and when each team had its last turn."""

    waiting: dict[str, WaitingRequest] = field(default_factory=dict)
    last_served_at: dict[tuple[str, str], float] = field(default_factory=dict)

    def add(self, turn: WaitingRequest) -> None:
        """Have a request wait."""
        self.waiting[turn.req_id] = turn

    def remove(self, req_id: str) -> None:
        """Have a request wait no more."""
        self.waiting.pop(req_id, None)

    def record_served(self, turn: WaitingRequest, now: float) -> None:
        """Note that a request has had its turn."""
        self.last_served_at[(turn.service, turn.team)] = now

    def count_ahead(self, turn: WaitingRequest) -> int:
        """Return how many of those that wait go before a request."""
        others = [
            one
            for one in self.waiting.values()
            if one.service == turn.service and one.req_id != turn.req_id
        ]
        ahead = sum(one.rank < turn.rank for one in others)
        equals = [one for one in others if one.rank == turn.rank]
        mates = sum(_is_earlier_mate(one, turn) for one in equals)
        teams = Counter(one.team for one in equals if one.team != turn.team)
        return (
            ahead
            + mates
            + sum(
                min(count, mates + self._goes_first(team, turn))
                for team, count in teams.items()
            )
        )

    def _goes_first(self, team: str, turn: WaitingRequest) -> bool:
        """Whether another team's turn comes before that of a request's team."""
        return self._get_order(turn.service, team) < self._get_order(
            turn.service, turn.team
        )

    def _get_order(self, service: str, team: str) -> tuple[float, str]:
        return self.last_served_at.get((service, team), -inf), team


def _is_earlier_mate(one: WaitingRequest, turn: WaitingRequest) -> bool:
    """Whether a request of the same team came before another."""
    if one.team != turn.team:
        return False
    return (one.arrived_at, one.req_id) < (turn.arrived_at, turn.req_id)
