"""
Fleets
======

Builds the worlds of scenarios and of the replay: instances, engines and
services by data centre, and the configuration that is published to them.
"""

from dataclasses import dataclass

from trestledock.proof._callers import MODEL, Callers
from trestledock.proof._world import World
from trestledock.standin import EngineSpec
from trestledock.version import (
    Claims,
    Configuration,
    Op,
    Pool,
    Rule,
    TargetKind,
    Team,
    Term,
    dump_json,
)

#: What a scenario's engines do: tokens a second, seconds between tokens.
RATE = 16_000.0
ITL_S = 0.01
#: When the first configuration is published, in seconds.
PUBLISH_AT_S = 1.0
#: When instances, epochs and leases have settled, in seconds.
SETTLED_AT_S = 10.0


@dataclass(frozen=True)
class Site:
    """A data centre and how many of each it has."""

    name: str
    instances: int
    engines: int
    services: int


@dataclass
class Plan:
    """What a world is built from."""

    seed: int = 0
    sites: tuple[Site, ...] = (
        Site('a', 2, 1, 1),
        Site('b', 2, 1, 1),
        Site('c', 2, 1, 1),
    )
    spec: EngineSpec = EngineSpec(rate=RATE, itl_s=ITL_S)
    keep_s: float = 30
    replicas: int = 2
    retention_s: float = float('inf')
    preloaded: bool = True
    rules: tuple[Rule, ...] = ()
    teams: tuple[Team, ...] = (
        Team('assistant'),
        Team('kiosks', weight=4),
    )


def make_configuration(plan: Plan, marker: str = '') -> Configuration:
    """Return the configuration of a plan; `marker` makes versions differ."""
    teams = plan.teams
    if marker:
        teams = (*teams, Team(f'marker-{marker}'))
    return Configuration(
        data_centres=tuple(site.name for site in plan.sites),
        teams=teams,
        pools=(
            Pool(
                'assistants',
                select=(Term('role', Op.in_, ('assistant',)),),
                models=(MODEL,),
                checks_fencing=plan.spec.checks_fencing,
            ),
            Pool(
                'booking',
                TargetKind.service,
                (Term('role', Op.in_, ('booking',)),),
                service='booking',
            ),
        ),
        rules=plan.rules,
        claims=Claims(plan.keep_s, plan.replicas),
    )


def build(plan: Plan, world: World) -> Callers:
    """Fill a world and publish its first configuration."""
    world.log.retention_s = plan.retention_s
    loaded = frozenset((str(MODEL),)) if plan.preloaded else frozenset()
    for site in plan.sites:
        for number in range(site.engines):
            labels = {'role': 'assistant', 'data_centre': site.name}
            name = f'engine-{site.name}{number + 1}'
            world.add_engine(name, labels, plan.spec, loaded)
        for number in range(site.services):
            labels = {'role': 'booking', 'data_centre': site.name}
            world.add_service(f'service-{site.name}{number + 1}', labels)
    for site in plan.sites:
        for number in range(site.instances):
            world.add_host(f'entry-{site.name}{number + 1}', site.name)
    publish_marked(plan, world, PUBLISH_AT_S, '')
    return Callers(world, tuple(site.name for site in plan.sites))


def publish_marked(
    plan: Plan,
    world: World,
    moment: float,
    marker: str,
    host_name: str = '',
) -> None:
    """Let an operator publish a version that differs by its marker."""
    body = dump_json(make_configuration(plan, marker))

    def publish() -> None:  # noqa: WPS430
        living = [host for host in world.hosts.values() if host.alive]
        host = world.hosts.get(host_name) or world.rng.choice(living)
        world.publish(host, f'publish-{marker}@{moment}', -1, body)

    world.at(moment, publish)
