"""
Fair queue
==========

Holds requests that are admitted but not yet sent to an engine.  Weighted fair
queueing divides the predicted engine seconds among the teams: each team has a
virtual time, and the team with the lowest goes first.  The queue is
work-conserving, and an idle team accumulates no credit.  Within a team the
request with the least slack goes first.

Requests of shorter length classes precede longer ones, except those of a team
whose virtual time leads the lowest by more than `MAX_LEAD_S`.
"""

from dataclasses import dataclass, field
from typing import Iterator

from trestledock.request import LengthClass, Request

#: The lead in virtual time (weighted engine seconds) above which a team's short
#: requests lose their precedence.
MAX_LEAD_S = 2.0
#: The maximum number of requests queued in one pool of an instance.
MAX_QUEUED = 4096


def get_length_rank(req: Request) -> int:
    """Return the rank of a request's length class, the shortest first."""
    return list(LengthClass).index(req.length_class)


@dataclass(frozen=True)
class QueuedRequest:
    """A queued request with its predicted cost in engine seconds.

    `least_s` is the minimum time that it takes once it is sent, `rank` the rank
    of its length class.
    """

    req: Request
    cost: float
    weight: float
    least_s: float = 0
    rank: int = 0

    @property
    def latest_start(self) -> float:
        """The latest instant at which the work can start."""
        return self.req.deadline - self.cost


@dataclass
class FairQueue:
    """The queue of one pool."""

    virtual_times: dict[str, float] = field(default_factory=dict)
    waiting: dict[str, QueuedRequest] = field(default_factory=dict)
    running: dict[str, str] = field(default_factory=dict)
    min_virtual_time: float = 0

    def push(self, waiting: QueuedRequest) -> None:
        """Add a request."""
        team = waiting.req.team
        if not self._is_active(team):
            last_virtual_time = self.virtual_times.get(
                team, self.min_virtual_time
            )
            self.virtual_times[team] = max(
                last_virtual_time, self.min_virtual_time
            )
        self.waiting[waiting.req.req_id] = waiting

    def remove(self, req_id: str) -> QueuedRequest | None:
        """Remove a request without charging its team."""
        return self.waiting.pop(req_id, None)

    def charge(self, waiting: QueuedRequest) -> None:
        """Move a request from waiting to running, and charge its team."""
        team = waiting.req.team
        self.waiting.pop(waiting.req.req_id, None)
        self.running[waiting.req.req_id] = team
        begun_at = self.virtual_times.get(team, self.min_virtual_time)
        self.virtual_times[team] = begun_at + waiting.cost / waiting.weight
        self.min_virtual_time = max(self.min_virtual_time, begun_at)

    def mark_finished(self, req_id: str) -> None:
        """Record that a request no longer runs."""
        self.running.pop(req_id, None)

    def has_waiting_before(self, waiting: QueuedRequest) -> bool:
        """Whether other requests of the same or a shorter class wait."""
        return any(
            other.rank <= waiting.rank and other is not waiting
            for other in self.waiting.values()
        )

    def iter_in_order(self) -> Iterator[QueuedRequest]:
        """Yield the waiting requests in dispatch order."""
        lowest = self._get_lowest_virtual_time()
        yield from sorted(
            self.waiting.values(),
            key=lambda waiting: self._get_sort_key(waiting, lowest),
        )

    def predict_cost_ahead(self, req: Request, weight: float) -> float:
        """Return the engine seconds that will be spent before `req`.

        Work of the same team counts in full; work of another team counts up to
        that team's weighted share while both wait.
        """
        rank = get_length_rank(req)
        own: float = 0
        others: dict[str, float] = {}
        weights: dict[str, float] = {}
        for waiting in self.waiting.values():
            if waiting.rank > rank:
                continue
            team = waiting.req.team
            if team == req.team:
                own += waiting.cost
            else:
                others[team] = others.get(team, 0) + waiting.cost
                weights[team] = waiting.weight
        return own + sum(
            min(cost, (own + 1) * weights[team] / weight)
            for team, cost in others.items()
        )

    def _is_active(self, team: str) -> bool:
        return team in self.running.values() or any(
            waiting.req.team == team for waiting in self.waiting.values()
        )

    def _get_lowest_virtual_time(self) -> float:
        return min(
            (
                self.virtual_times.get(waiting.req.team, self.min_virtual_time)
                for waiting in self.waiting.values()
            ),
            default=self.min_virtual_time,
        )

    def _get_sort_key(
        self,
        waiting: QueuedRequest,
        lowest: float,
    ) -> tuple[bool, int, float, float]:
        virtual_time = self.virtual_times.get(
            waiting.req.team, self.min_virtual_time
        )
        ahead = virtual_time - lowest > MAX_LEAD_S
        return ahead, waiting.rank, virtual_time, waiting.latest_start
