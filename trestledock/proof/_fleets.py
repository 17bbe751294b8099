"""
Fleets
======

Populates the worlds of scenarios and of the replay with instances, engines and
services in each data centre, and publishes their configuration.
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

#: The engines of scenarios: prefill rate in tokens a second, and the time
#: between output tokens in seconds.
RATE = 16_000.0
ITL_S = 0.01
#: The instant of the first publication, in seconds.
PUBLISH_AT_S = 1.0
#: The instant by which membership, epochs and leases are stable, in seconds.
SETTLED_AT_S = 10.0


@dataclass(frozen=True)
class DataCentre:
    """A data centre and its numbers of instances and targets."""

    name: str
    instances: int
    engines: int
    services: int


@dataclass
class Plan:
    """The parameters of a world."""

    seed: int = 0
    data_centres: tuple[DataCentre, ...] = (
        DataCentre('a', 2, 1, 1),
        DataCentre('b', 2, 1, 1),
        DataCentre('c', 2, 1, 1),
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
    """Return the configuration of a plan, made distinct by a marker."""
    teams = plan.teams
    if marker:
        teams = (*teams, Team(f'marker-{marker}'))
    return Configuration(
        data_centres=tuple(
            data_centre.name for data_centre in plan.data_centres
        ),
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


def populate_world(plan: Plan, world: World) -> Callers:
    """Populate a world and schedule its first publication."""
    world.log.retention_s = plan.retention_s
    loaded = frozenset((str(MODEL),)) if plan.preloaded else frozenset()
    for data_centre in plan.data_centres:
        for number in range(data_centre.engines):
            labels = {'role': 'assistant', 'data_centre': data_centre.name}
            name = f'engine-{data_centre.name}{number + 1}'
            world.add_engine(name, labels, plan.spec, loaded)
        for number in range(data_centre.services):
            labels = {'role': 'booking', 'data_centre': data_centre.name}
            world.add_service(f'service-{data_centre.name}{number + 1}', labels)
    for data_centre in plan.data_centres:
        for number in range(data_centre.instances):
            world.add_host(
                f'entry-{data_centre.name}{number + 1}', data_centre.name
            )
    schedule_publication(plan, world, PUBLISH_AT_S, '')
    return Callers(
        world, tuple(data_centre.name for data_centre in plan.data_centres)
    )


def schedule_publication(
    plan: Plan,
    world: World,
    instant: float,
    marker: str,
    host_name: str = '',
) -> None:
    """Schedule a publication that is distinct by its marker.

    Without a host name, it goes through a random running instance.
    """
    body = dump_json(make_configuration(plan, marker))

    def publish() -> None:  # noqa: WPS430
        living = [host for host in world.hosts.values() if host.alive]
        host = world.hosts.get(host_name) or world.rng.choice(living)
        world.publish(host, f'publish-{marker}@{instant}', -1, body)

    world.schedule(instant, publish)
