"""
Configuration schema
====================

The frozen data classes of a configuration file.  They declare the name, type
and default of every field; `check_configuration` reads documents into them and
validates the values.
"""

from dataclasses import dataclass
from enum import Enum

from trestledock.request import Model
from trestledock.version._selector import Selector


class TargetKind(str, Enum):
    """The kind of targets in a pool."""

    engine = 'engine'
    service = 'service'


@dataclass(frozen=True)
class Team:
    """A team: its weight, its limit and its defaults.

    `limit` is in engine seconds per second over all instances; zero means no
    limit.  `home` is the data centre that decides about the team's idempotency
    keys if the caller names none.
    """

    name: str
    weight: float = 1
    limit: float = 0
    deadline_ms: int = 30_000
    home: str = ''


@dataclass(frozen=True)
class Pool:
    """A pool of targets: the instances that `select` matches.

    A pool of engines holds `models`; a pool of services serves `service`.
    `checks_fencing` tells whether its engines reject orders with an outdated
    fencing number.  `idempotent_paths` lists the paths of a service whose calls
    may be repeated.
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
    """Restricts work that matches `work` to targets that match `instances`.

    All rules apply: a target must satisfy every rule whose `work` matches.
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
    """How long the outcomes of non-idempotent calls are stored.

    `keep_s` must exceed the time during which callers repeat a key.  If all
    instances of a data centre are lost at once, calls with its keys also get
    the outcome `unknown` for this time.
    """

    keep_s: float = 600
    replicas: int = 2


@dataclass(frozen=True)
class Configuration:
    """A complete configuration; published and accepted as a whole."""

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
        """Return the pool that serves `service`."""
        return next(
            (
                pool
                for pool in self.pools
                if pool.kind is TargetKind.service and pool.service == service
            ),
            None,
        )
