"""
Route catalogue
===============

One version of the operators' configuration of relayed requests: routes, their
services, the keys of teams and the limits on callers.  Routes are looked up by
host and path, keys by their text; a version is never modified.
"""

from collections import defaultdict
from dataclasses import dataclass, field
from enum import Enum
from functools import cached_property
from random import Random
from typing import Mapping

from trestledock.relay._cold_starts import ColdService


#: The rank of a request without a priority, from 0 (first) to 9.
DEFAULT_PRIORITY = 5


def get_rank(priority: int | None) -> int:
    """Return the rank of a priority, 0 first."""
    return DEFAULT_PRIORITY if priority is None else priority


class RouteKind(str, Enum):
    """The semantics of a route's requests, which decide on retries."""

    idempotent = 'idempotent'
    non_idempotent = 'non_idempotent'
    streaming = 'streaming'


@dataclass(frozen=True)
class Share:
    """A service that gets a weighted share of a route's requests."""

    service: str
    weight: float = 1


@dataclass(frozen=True)
class Route:
    """The target services and the service level of a host and path prefix.

    `timeout_s` bounds the whole request, `objective_s` is the intended time to
    the first byte or event, and `pause_s` the longest allowed pause between
    events.  Callers leave after a silence of `event_timeout_s`, also before the
    first event.  `max_attempts` bounds the number of targets that may run a
    request, and `priority` is its rank in a queue, 0 first.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    shares: tuple[Share, ...]
    timeout_s: float = 60
    objective_s: float = 1
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    pause_s: float = 0
    event_timeout_s: float = float('inf')
    priority: int | None = None

    @property
    def repeatable(self) -> bool:
        """Whether another target may run a request that may have run."""
        if self.kind is RouteKind.streaming:
            return self.resumable
        return self.kind is RouteKind.idempotent

    def draw_service(self, rng: Random) -> str:
        """Return a service drawn by weight."""
        if len(self.shares) == 1:
            return self.shares[0].service
        weights = [share.weight for share in self.shares]
        return rng.choices(self.shares, weights)[0].service


@dataclass(frozen=True)
class EngineModel:
    """The timing model of an engine, as measured by its operators.

    An engine works in passes of `stride` steps while any request decodes, and
    of single steps otherwise.  A step takes `step_s`, plus `step_request_s` for
    each decoding request and `step_context_s` for each token of its context.
    Prompts are prefilled at `read_rate` tokens a second, plus `pair_s` for each
    pair of a token and an earlier token.
    """

    batch: int
    capacity_tokens: int
    step_s: float
    read_rate: float
    step_request_s: float = 0
    step_context_s: float = 0
    pair_s: float = 0
    stride: int = 1


@dataclass(frozen=True)
class Service:
    """A set of interchangeable targets.

    `cold` tells how many requests they take after a start, None if any number.
    """

    name: str
    engine: EngineModel | None = None
    cold: ColdService | None = None


@dataclass(frozen=True)
class TeamKey:
    """The team that owns a key.

    `priority` overrides the priority of the route.
    """

    team: str
    priority: int | None = None


@dataclass(frozen=True)
class Limits:
    """Limits on callers: how long they may stay idle."""

    idle_s: float = 15


@dataclass(frozen=True)
class Catalog:
    """A version of the configuration; `keys` is None if no keys are required.

    >>> route = Route('r', 'a.example', '/x/', RouteKind.idempotent, ())
    >>> catalog = Catalog(1, {'a.example': (route,)}, {}, None)
    >>> catalog.get_route_by_path('a.example', '/x/y').name
    'r'
    """

    version: int
    routes: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, Service]
    keys: Mapping[str, TeamKey] | None
    limits: Limits = field(default_factory=Limits)

    @cached_property
    def ranked_services(self) -> frozenset[str]:
        """The services whose routes, and requests, have different ranks.

        Ranks of teams alone don't count.  They are common, and engines order
        their queues by them in any case.
        """
        of_routes: dict[str, set[int]] = defaultdict(set)
        of_requests: dict[str, set[int]] = defaultdict(set)
        for routes in self.routes.values():
            for route in routes:
                for share in route.shares:
                    of_routes[share.service].add(get_rank(route.priority))
                    of_requests[share.service].update(self._get_ranks(route))
        return frozenset(
            service
            for service, ranks in of_routes.items()
            if len(ranks) > 1 and len(of_requests[service]) > 1
        )

    def get_route_by_path(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest matching prefix."""
        matching = [
            route
            for route in self.routes.get(host, ())
            if path.startswith(route.path_prefix)
        ]
        return max(
            matching,
            key=lambda route: len(route.path_prefix),
            default=None,
        )

    def _get_ranks(self, route: Route) -> set[int]:
        """Return the ranks that the requests of a route can have."""
        priorities: set[int | None] = {None}
        if self.keys is not None:
            priorities = {team.priority for team in self.keys.values()}
            if route.public:
                priorities.add(None)
        return {
            get_rank(route.priority if priority is None else priority)
            for priority in priorities
        }
