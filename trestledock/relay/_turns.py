"""
Wait queue
==========

If all targets of a service limit their rate, waiting requests are sent by
priority, then alternate between teams, in the order of arrival within a team.
"""

from collections import Counter
from dataclasses import dataclass, field
from math import inf

#: The rank of a request without a priority, from 0 (first) to 9.
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
        """The priority, 0 first."""
        return USUAL_PRIORITY if self.priority is None else self.priority


@dataclass
class WaitQueue:
    """The waiting requests, and when each team was last served."""

    waiting: dict[str, WaitingRequest] = field(default_factory=dict)
    last_served_at: dict[tuple[str, str], float] = field(default_factory=dict)

    def add(self, turn: WaitingRequest) -> None:
        """Add a waiting request."""
        self.waiting[turn.req_id] = turn

    def remove(self, req_id: str) -> None:
        """Remove a request."""
        self.waiting.pop(req_id, None)

    def record_served(self, turn: WaitingRequest, now: float) -> None:
        """Record that a request was served."""
        self.last_served_at[(turn.service, turn.team)] = now

    def count_ahead(self, turn: WaitingRequest) -> int:
        """Return the number of waiting requests that go before a request."""
        others = [
            waiting
            for waiting in self.waiting.values()
            if waiting.service == turn.service and waiting.req_id != turn.req_id
        ]
        urgent = sum(waiting.rank < turn.rank for waiting in others)
        equals = [waiting for waiting in others if waiting.rank == turn.rank]
        teammates = sum(_is_earlier_mate(waiting, turn) for waiting in equals)
        teams = Counter(
            waiting.team for waiting in equals if waiting.team != turn.team
        )
        return (
            urgent
            + teammates
            + sum(
                min(count, teammates + self._goes_first(team, turn))
                for team, count in teams.items()
            )
        )

    def _goes_first(self, team: str, turn: WaitingRequest) -> bool:
        """Return whether another team is served before that of a request."""
        return self._get_order(turn.service, team) < self._get_order(
            turn.service, turn.team
        )

    def _get_order(self, service: str, team: str) -> tuple[float, str]:
        return self.last_served_at.get((service, team), -inf), team


def _is_earlier_mate(other: WaitingRequest, turn: WaitingRequest) -> bool:
    """Return whether another request of the same team arrived earlier."""
    if other.team != turn.team:
        return False
    return (other.arrived_at, other.req_id) < (turn.arrived_at, turn.req_id)
