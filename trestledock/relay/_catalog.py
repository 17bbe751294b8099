"""
Catalogue
=========

One version of what operators have configured for relayed requests: routes,
the services they lead to, the keys of teams and the limits on callers.  It is
looked up by host, path and key, and never changed in place.
"""

from dataclasses import dataclass, field
from enum import Enum
from random import Random
from typing import Mapping


class RouteKind(str, Enum):
    """What may be repeated on a route."""

    idempotent = 'idempotent'
    non_idempotent = 'non_idempotent'
    streaming = 'streaming'


@dataclass(frozen=True)
class Share:
    """A service that gets a part of a route's requests by weight."""

    service: str
    weight: float = 1


@dataclass(frozen=True)
class Route:
    """Where requests of a host and path prefix go, and what they are owed.

    `timeout_s` bounds the whole request, `objective_s` is the time to the
    first byte (or event) that operators aim at, `pause_s` the longest pause
    between events, and `patience_s` the silence after which callers leave,
    before the first event too.  `max_attempts` bounds the targets that may
    run it, and `priority` is its rank where work waits, 0 first.
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
    patience_s: float = float('inf')
    priority: int | None = None

    @property
    def repeatable(self) -> bool:
        """Whether a second target may run a request that may have run."""
        if self.kind is RouteKind.streaming:
            return self.resumable
        return self.kind is RouteKind.idempotent

    def draw_service(self, rng: Random) -> str:
        """Return one of the services, drawn by weight."""
        if len(self.shares) == 1:
            return self.shares[0].service
        weights = [share.weight for share in self.shares]
        return rng.choices(self.shares, weights)[0].service


@dataclass(frozen=True)
class EngineModel:
    """The arithmetic of an engine, as its operators measured it.

    Work is done in passes: `stride` steps where a request is writing, single
    steps else.  A step takes `step_s`, and `step_request_s` and
    `step_context_s` (a token of context) for each writer; prompts are read at
    `read_rate` tokens a second, plus `pair_s` for each pair of a token with an
    earlier one.
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
    """A set of targets that answer for the same requests."""

    name: str
    engine: EngineModel | None = None


@dataclass(frozen=True)
class TeamKey:
    """Whose a key is; `priority` goes before that of the route."""

    team: str
    priority: int | None = None


@dataclass(frozen=True)
class Limits:
    """How long callers may stay idle."""

    idle_s: float = 15


@dataclass(frozen=True)
class Catalog:
    """A whole version; `keys` is None where no keys are asked for.

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
