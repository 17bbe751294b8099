"""
Wait queue
==========

If all targets of a service limit their rate, waiting requests are sent by
priority, then alternate between teams, in the order of arrival within a team.
Requests of services with different ranks that wait for room at engines are in
the queue too, with their work; `_turn_order` decides on their order.
"""

from collections import Counter
from dataclasses import dataclass, field
from math import inf

from trestledock.relay._catalog import get_rank
from trestledock.relay._waiting_rows import WaitingRow, WaitingTable


@dataclass(frozen=True)
class WaitingRequest:
    """A request that waits for a service.

    One that waits for room at engines has the seconds of its prefill as its
    `work_s`, and can be in time until the instant `until`.
    """

    req_id: str
    service: str
    team: str
    arrived_at: float
    priority: int | None = None
    work_s: float = 0
    until: float = inf

    @property
    def rank(self) -> int:
        """The priority, 0 first."""
        return get_rank(self.priority)

    @property
    def row(self) -> WaitingRow:
        """The request as it is reported to other instances."""
        return WaitingRow(
            self.service, self.rank, self.team, 1, self.work_s, self.until
        )


@dataclass
class WaitQueue:
    """The waiting requests, and when each team was last served.

    `room` sums those that wait for room at engines.
    """

    waiting: dict[str, WaitingRequest] = field(default_factory=dict)
    last_served_at: dict[tuple[str, str], float] = field(default_factory=dict)
    room: WaitingTable = field(default_factory=WaitingTable)

    def add(self, request: WaitingRequest) -> None:
        """Add a waiting request."""
        self.waiting[request.req_id] = request
        self.room.put(request.req_id, [request.row] if request.work_s else [])

    def remove(self, req_id: str) -> None:
        """Remove a request."""
        self.waiting.pop(req_id, None)
        self.room.drop(req_id)

    def waits_for_room(self, req_id: str) -> bool:
        """Return whether a request waits for room at engines."""
        return req_id in self.room.by_source

    def get_teammates_ahead(
        self, request: WaitingRequest, now: float
    ) -> list[WaitingRow]:
        """Return the earlier requests of a team and rank that wait for room."""
        return [
            other.row
            for other in self.waiting.values()
            if other.work_s
            and other.until > now
            and other.service == request.service
            and other.rank == request.rank
            and _is_earlier_teammate(other, request)
        ]

    def record_served(self, request: WaitingRequest, now: float) -> None:
        """Record that a request was served."""
        self.last_served_at[(request.service, request.team)] = now

    def count_ahead(self, request: WaitingRequest) -> int:
        """Return the number of requests that a rate limit admits before it.

        Those that wait for room at engines don't count: they may be sent to
        another target than one with a rate limit, or can't be placed at all.
        """
        others = [
            waiting
            for waiting in self.waiting.values()
            if waiting.service == request.service
            and waiting.req_id != request.req_id
            and not waiting.work_s
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
