"""
Fair queue
==========

Requests that are admitted but not yet sent to an engine.  Between teams it
shares predicted engine seconds by weight: each team has a virtual time, and
the one furthest behind goes first.  The queue is work-conserving, and an idle
team banks nothing.  Within a team the least slack goes first.

Shorter classes go before longer ones, except for a team that is ahead of the
others by more than `MAX_LEAD_S`: it waits for them.
"""

from dataclasses import dataclass, field
from typing import Iterator

from trestledock.request import LengthClass, Request

#: How far, in weighted engine seconds, a team may run ahead of the others
#: before its short work loses precedence.
MAX_LEAD_S = 2.0
#: The most requests that may wait in one instance.
MAX_QUEUED = 4096


def get_length_rank(req: Request) -> int:
    """Return the rank of a request's length class, the shortest first."""
    return list(LengthClass).index(req.length_class)


@dataclass(frozen=True)
class QueuedRequest:
    """A queued request with its predicted cost in engine seconds.

    `least_s` is the least time that it takes once it is sent, `rank` that of
    its length class.
    """

    req: Request
    cost: float
    weight: float
    least_s: float = 0
    rank: int = 0

    @property
    def latest_start(self) -> float:
        """The instant at which the work must be started at the latest."""
        return self.req.deadline - self.cost


@dataclass
class FairQueue:
    """The queue of one pool."""

    virtual_times: dict[str, float] = field(default_factory=dict)
    waiting: dict[str, QueuedRequest] = field(default_factory=dict)
    running: dict[str, str] = field(default_factory=dict)
    min_virtual_time: float = 0

    def push(self, waiting: QueuedRequest) -> None:
        """Queue a request."""
        team = waiting.req.team
        if not self._is_active(team):
            behind = self.virtual_times.get(team, self.min_virtual_time)
            self.virtual_times[team] = max(behind, self.min_virtual_time)
        self.waiting[waiting.req.req_id] = waiting

    def remove(self, req_id: str) -> QueuedRequest | None:
        """Take a request out without charging its team."""
        return self.waiting.pop(req_id, None)

    def charge(self, waiting: QueuedRequest) -> None:
        """Take a request out to run it and charge its team."""
        team = waiting.req.team
        self.waiting.pop(waiting.req.req_id, None)
        self.running[waiting.req.req_id] = team
        start = self.virtual_times.get(team, self.min_virtual_time)
        self.virtual_times[team] = start + waiting.cost / waiting.weight
        self.min_virtual_time = max(self.min_virtual_time, start)

    def mark_finished(self, req_id: str) -> None:
        """Note that a request no longer runs."""
        self.running.pop(req_id, None)

    def has_waiting_before(self, waiting: QueuedRequest) -> bool:
        """Whether others of its class or a shorter one wait, too."""
        return any(
            other.rank <= waiting.rank and other is not waiting
            for other in self.waiting.values()
        )

    def iter_in_order(self) -> Iterator[QueuedRequest]:
        """Yield the waiting requests in the order to try them."""
        least = self._get_min_waiting_time()
        yield from sorted(
            self.waiting.values(),
            key=lambda waiting: self._get_sort_key(waiting, least),
        )

    def predict_cost_ahead(self, req: Request, weight: float) -> float:
        """Return the engine seconds that will be spent before `req`.

        The own team's work counts in full; that of the others by their
        share while both wait, at most all of it.
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

    def _get_min_waiting_time(self) -> float:
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
        least: float,
    ) -> tuple[bool, int, float, float]:
        clock = self.virtual_times.get(waiting.req.team, self.min_virtual_time)
        ahead = clock - least > MAX_LEAD_S
        return ahead, waiting.rank, clock, waiting.latest_start
