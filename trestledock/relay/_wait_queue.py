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
DEFAULT_PRIORITY = 5


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
        return DEFAULT_PRIORITY if self.priority is None else self.priority


@dataclass
class WaitQueue:
    """The waiting requests, and when each team was last served."""

    waiting: dict[str, WaitingRequest] = field(default_factory=dict)
    last_served_at: dict[tuple[str, str], float] = field(default_factory=dict)

    def add(self, request: WaitingRequest) -> None:
        """Add a waiting request."""
        self.waiting[request.req_id] = request

    def remove(self, req_id: str) -> None:
        """Remove a request."""
        self.waiting.pop(req_id, None)

    def record_served(self, request: WaitingRequest, now: float) -> None:
        """Record that a request was served."""
        self.last_served_at[(request.service, request.team)] = now

    def count_ahead(self, request: WaitingRequest) -> int:
        """Return the number of waiting requests that go before a request."""
        others = [
            waiting
            for waiting in self.waiting.values()
            if waiting.service == request.service
            and waiting.req_id != request.req_id
        ]
        urgent = sum(waiting.rank < request.rank for waiting in others)
        equals = [waiting for waiting in others if waiting.rank == request.rank]
        teammates = sum(
            _is_earlier_teammate(waiting, request) for waiting in equals
        )
        teams = Counter(
            waiting.team for waiting in equals if waiting.team != request.team
        )
        return (
            urgent
            + teammates
            + sum(
                min(count, teammates + self._goes_first(team, request))
                for team, count in teams.items()
            )
        )

    def _goes_first(self, team: str, request: WaitingRequest) -> bool:
        """Return whether another team is served before that of a request."""
        return self._get_order(request.service, team) < self._get_order(
            request.service, request.team
        )

    def _get_order(self, service: str, team: str) -> tuple[float, str]:
        return self.last_served_at.get((service, team), -inf), team


def _is_earlier_teammate(
    other: WaitingRequest, request: WaitingRequest
) -> bool:
    """Return whether another request of the same team arrived earlier."""
    if other.team != request.team:
        return False
    return (other.arrived_at, other.req_id) < (
        request.arrived_at,
        request.req_id,
    )
