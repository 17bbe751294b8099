"""
The configuration
=================

The frozen data classes that a configuration file is read into.  Every field is
declared here once: names, types and defaults; `check_configuration` reads and
checks a document against them.
"""

from dataclasses import dataclass
from enum import Enum

from trestledock.request import Model
from trestledock.version._selector import Selector


class TargetKind(str, Enum):
    """What the instances of a pool are."""

    engine = 'engine'
    service = 'service'


@dataclass(frozen=True)
class Team:
    """A team: its weight, its limit and its defaults.

    `limit` is in engine seconds a second, over all instances; zero means no
    limit.  `home` names the data centre that decides on the team's
    idempotency keys where the caller names none.
    """

    name: str
    weight: float = 1
    limit: float = 0
    deadline_ms: int = 30_000
    home: str = ''


@dataclass(frozen=True)
class Pool:
    """A pool of targets: the instances that `select` names.

    A pool of engines holds `models`; a pool of services answers for
    `service`.  `checks_fencing` says whether its engines refuse an order with
    an old fencing number.  `idempotent_paths` lists the paths of a service
    whose calls may be repeated.
    """

    name: str
    kind: TargetKind = TargetKind.engine
    select: Selector = ()
    models: tuple[Model, ...] = ()
    service: str = ''
    idempotent_paths: tuple[str, ...] = ()
    checks_fencing: bool = False
    giant_share: float = 0.34


@dataclass(frozen=True)
class Rule:
    """Work that `work` selects may run only where `instances` selects.

    Rules hold together: a target must meet every rule whose `work` matches.
    `prefer` ranks the permitted targets.  Work has the labels `team`,
    `model`, `adapter`, `version`, `service`, `length` and `data_centre` (of
    the entry instance).
    """

    name: str
    work: Selector = ()
    instances: Selector = ()
    prefer: Selector = ()


@dataclass(frozen=True)
class Claims:
    """How long the outcome of a non-idempotent call is remembered.

    `keep_s` must exceed the time over which callers repeat a key.  It is
    also how long the keys of a data centre whose instances were all lost at
    once are answered `unknown`.
    """

    keep_s: float = 600
    replicas: int = 2


@dataclass(frozen=True)
class Configuration:
    """A whole configuration, the unit that is published and accepted."""

    data_centres: tuple[str, ...]
    teams: tuple[Team, ...]
    pools: tuple[Pool, ...]
    rules: tuple[Rule, ...] = ()
    claims: Claims = Claims()

    def get_team_by_name(self, name: str) -> Team | None:
        """Return the team called `name`."""
        return next((team for team in self.teams if team.name == name), None)

    def get_pool_by_model(self, model: Model) -> Pool | None:
        """Return the first pool that holds `model`."""
        return next(
            (pool for pool in self.pools if model in pool.models),
            None,
        )

    def get_pool_by_service(self, service: str) -> Pool | None:
        """Return the pool that answers for `service`."""
        return next(
            (
                pool
                for pool in self.pools
                if pool.kind is TargetKind.service and pool.service == service
            ),
            None,
        )
