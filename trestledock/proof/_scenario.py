"""
Scenarios
=========

A scenario is a text file with one command a line and comments after `#`.  The
first lines define the fleet and its traffic, `at SECONDS VERB ...` schedules
faults, and `expect` lines are checked at the end.  Every run checks all
promises::

    fleet a:2:1:1 b:2:1:1 c:2:1:1
    traffic call rate=4 from=10 until=30
    at 15 kill entry-a1
    at 20 outage on
    expect answered call 0.9
    end 60

The checks use the history and the counters, but not the state of instances.
"""

import shlex
from dataclasses import dataclass, field, replace
from types import MappingProxyType
from typing import Callable, Mapping

from trestledock.process import Timing
from trestledock.proof._callers import Callers, Traffic
from trestledock.proof._checkers import check_all
from trestledock.proof._fleets import (
    DataCentre,
    Plan,
    populate_world,
    schedule_publication,
)
from trestledock.proof._history import EventType
from trestledock.proof._actions import make_world
from trestledock.proof._world import World
from trestledock.request import Kind, Outcome
from trestledock.standin import EngineSpec

#: The actions that a pause just before their write can delay.
STALLABLE_ACTIONS = MappingProxyType(
    {
        'call': 'CallService',
        'job': 'StartJob',
        'order': 'GiveOrder',
        'append': 'AppendRecord',
    }
)

ON_OFF = MappingProxyType({'on': True, 'off': False})


Expectation = Callable[['Run', tuple[str, ...]], list[str]]


class ScenarioError(Exception):
    """A scenario line that is not valid, with its number."""


@dataclass
class Run:
    """A scenario that is being read or run."""

    plan: Plan = field(default_factory=Plan)
    timing: Timing = Timing()
    world: World | None = None
    callers: Callers | None = None
    expectations: list[tuple[str, ...]] = field(default_factory=list)
    end: float = 60

    def get_world(self) -> World:
        """Return the world, which the first call creates."""
        if self.world is None:
            self.world = make_world(self.plan.seed, self.timing)
            self.callers = populate_world(self.plan, self.world)
        return self.world

    def get_callers(self) -> Callers:
        """Return the callers; the first call creates the world."""
        self.get_world()
        if self.callers is None:
            raise ScenarioError('the world has no callers')
        return self.callers


def run_scenario(text: str, seed: int | None = None) -> list[str]:
    """Run a scenario; return a line for each violation."""
    return finish_run(read_scenario(text, seed))


def read_scenario(text: str, seed: int | None = None) -> Run:
    """Read a scenario and create its world, without running it."""
    run = Run()
    if seed is not None:
        run.plan.seed = seed
    for number, line in enumerate(text.splitlines(), start=1):
        words = shlex.split(line, comments=True)
        if not words:
            continue
        try:
            _VERBS[words[0]](run, words[1:])
        except (KeyError, ValueError, IndexError) as exc:
            raise ScenarioError(f'line {number}: {line}: {exc!r}') from exc
    return run


def finish_run(run: Run) -> list[str]:
    """Run the clock to the end and check every promise."""
    world = run.get_world()
    world.run_until(run.end)
    world.record_memory()
    violations = [
        f'{name}: {line}'
        for name, lines in check_all(world.history).items()
        for line in lines
    ]
    for words in run.expectations:
        violations.extend(_EXPECTATIONS[words[0]](run, words[1:]))
    return violations


def _parse_options(arguments: list[str]) -> dict[str, str]:
    pairs = (argument.partition('=') for argument in arguments)
    return {name: text for name, _, text in pairs}


def _seed(run: Run, arguments: list[str]) -> None:
    run.plan.seed = int(arguments[0])


def _fleet(run: Run, arguments: list[str]) -> None:
    data_centres = []
    for argument in arguments:
        name, *numbers = argument.split(':')
        instances, engines, services = (int(text) for text in numbers)
        data_centres.append(DataCentre(name, instances, engines, services))
    run.plan.data_centres = tuple(data_centres)


def _engines(run: Run, arguments: list[str]) -> None:
    options = _parse_options(arguments)
    run.plan.spec = EngineSpec(
        rate=float(options.get('rate', 16_000)),
        itl_s=float(options.get('itl', 0.01)),
        capacity_tokens=int(options.get('capacity', 400_000)),
        checks_fencing=options.get('fencing') == 'checked',
    )
    run.plan.preloaded = options.get('loaded', 'yes') == 'yes'


def _claims(run: Run, arguments: list[str]) -> None:
    options = _parse_options(arguments)
    run.plan.keep_s = float(options.get('keep', 30))
    run.plan.replicas = int(options.get('replicas', 2))


def _log(run: Run, arguments: list[str]) -> None:
    options = _parse_options(arguments)
    run.plan.retention_s = float(options['retention'])
    snapshot_s = float(options['snapshot'])
    run.timing = replace(run.timing, snapshot_s=snapshot_s)


def _traffic(run: Run, arguments: list[str]) -> None:
    options = _parse_options(arguments[1:])
    kind = Kind(arguments[0])
    team = 'kiosks' if kind is Kind.call else 'assistant'
    tokens = options.get('tokens', '1000').split(',')
    run.get_callers().start_traffic(
        Traffic(
            kind=kind,
            rate=float(options['rate']),
            start=float(options['from']),
            stop=float(options['until']),
            team=options.get('team', team),
            tokens=tuple(int(text) for text in tokens),
            max_tokens=int(options.get('max', 16)),
            deadline_s=float(options.get('deadline', 15)),
            home=options.get('home', ''),
            first_attempt=options.get('first') == 'declared',
            crashes_engines=options.get('deadly') == 'yes',
        ),
    )


def _at(run: Run, arguments: list[str]) -> None:
    world = run.get_world()
    instant = float(arguments[0])
    if arguments[1] == 'publish':
        host_name = arguments[3] if len(arguments) > 3 else ''
        schedule_publication(run.plan, world, instant, arguments[2], host_name)
        return
    fault = FAULTS[arguments[1]]
    world.schedule(instant, lambda: fault(world, arguments[2:]))


def _expect(run: Run, arguments: list[str]) -> None:
    run.expectations.append(tuple(arguments))


def _end(run: Run, arguments: list[str]) -> None:
    run.end = float(arguments[0])


def _kill(world: World, arguments: list[str]) -> None:
    for name in arguments:
        if world.hosts[name].alive:
            world.kill(world.hosts[name])


def _start(world: World, arguments: list[str]) -> None:
    """Start those instances that have ended."""
    for name in arguments:
        if not world.hosts[name].alive:
            world.add_host(name, world.hosts[name].data_centre)


def _stop(world: World, arguments: list[str]) -> None:
    for name in arguments:
        if world.hosts[name].alive:
            world.shut_down(world.hosts[name])


def _freeze(world: World, arguments: list[str]) -> None:
    host = world.hosts[arguments[0]]
    world.freeze(host)
    world.schedule(
        world.now + float(arguments[1]), lambda: world.unfreeze(host)
    )


def _stall(world: World, arguments: list[str]) -> None:
    action = STALLABLE_ACTIONS[arguments[2]]
    world.hosts[arguments[0]].stalls[action] = float(arguments[1])


def _hang_up(world: World, arguments: list[str]) -> None:
    for name in arguments:
        world.disconnect_callers(world.hosts[name])


def _cut(world: World, arguments: list[str]) -> None:
    left = frozenset(_expand_hosts(world, arguments[0]))
    right = frozenset(_expand_hosts(world, arguments[1]))
    world.faults.cuts.append((left, right - left))


def _expand_hosts(world: World, text: str) -> list[str]:
    """Return the hosts that a text names: hosts, data centres, or `rest`."""
    data_centres_by_host = {'platform': 'platform'}
    for name in (*world.hosts, *world.engines, *world.services):
        data_centres_by_host[name] = world.get_data_centre(name)
    names = text.split(',')
    if 'rest' in names:
        return list(data_centres_by_host)
    return [
        host
        for host, data_centre in data_centres_by_host.items()
        if host in names or data_centre in names
    ]


def _heal(world: World, arguments: list[str]) -> None:
    world.faults.cuts.clear()
    world.record(EventType.healed)


def _outage(world: World, arguments: list[str]) -> None:
    world.faults.outage = ON_OFF[arguments[0]]
    world.faults.list_outage = ON_OFF[arguments[0]]
    world.record(EventType.healed)


def _lose(world: World, arguments: list[str]) -> None:
    count = int(arguments[1])
    if arguments[0] == 'appends':
        world.faults.lose_appends = count
    elif arguments[0] == 'cancels':
        world.faults.lose_cancels = count
    else:
        world.services[arguments[0]].lose_answers = count


def _network(world: World, arguments: list[str]) -> None:
    options = _parse_options(arguments)
    world.faults.loss_share = float(options.get('loss', 0))
    world.faults.duplicate_share = float(options.get('duplicates', 0))
    world.faults.reorder_s = float(options.get('reorder', 0))


def _lag(world: World, arguments: list[str]) -> None:
    options = _parse_options(arguments)
    world.faults.list_lag_s = float(options.get('list', 0.5))
    world.faults.report_lag_s = float(options.get('reports', 0.2))


def _kill_engine(world: World, arguments: list[str]) -> None:
    for name in arguments:
        world.kill_engine(name)


def _revive_engine(world: World, arguments: list[str]) -> None:
    for name in arguments:
        world.revive_engine(name)


def _mute(world: World, arguments: list[str]) -> None:
    for name in arguments:
        world.engines[name].muted = True


def _leave(world: World, arguments: list[str]) -> None:
    world.mark_draining(arguments[0], listed=arguments[1] == 'listed')


#: The faults that `at` schedules, by verb.
FAULTS: Mapping[str, Callable[[World, list[str]], None]] = MappingProxyType(
    {
        'kill': _kill,
        'start': _start,
        'stop': _stop,
        'freeze': _freeze,
        'stall': _stall,
        'hang-up': _hang_up,
        'cut': _cut,
        'heal': _heal,
        'outage': _outage,
        'lose': _lose,
        'network': _network,
        'lag': _lag,
        'kill-engine': _kill_engine,
        'revive-engine': _revive_engine,
        'leave': _leave,
        'mute': _mute,
    }
)

_VERBS: Mapping[str, Callable[[Run, list[str]], None]] = MappingProxyType(
    {
        'seed': _seed,
        'fleet': _fleet,
        'engines': _engines,
        'claims': _claims,
        'log': _log,
        'traffic': _traffic,
        'at': _at,
        'expect': _expect,
        'end': _end,
    }
)


def _expect_share(
    run: Run,
    outcome: Outcome,
    arguments: tuple[str, ...],
) -> list[str]:
    """Check the share of requests of a kind that end with an outcome.

    Two optional instants limit the check to the ends between them.
    """
    kind = Kind(arguments[0])
    least = float(arguments[1])
    bounds = [float(text) for text in arguments[2:]]
    start, stop = bounds or (0, float('inf'))
    events = [
        event
        for event in run.get_world().history
        if event.kind in {EventType.outcome, EventType.broken}
        and run.get_callers().sent[event.req_id][1].kind is kind
        and start <= event.at <= stop
    ]
    count = sum(event.text == outcome.value for event in events)
    share = count / len(events) if events else 0
    if share >= least:
        return []
    return [f'{outcome.value} {kind.value}: {count} of {len(events)} < {least}']


def _expect_refused(run: Run, arguments: tuple[str, ...]) -> list[str]:
    count = run.get_world().counts.get(('refused', arguments[0]), 0)
    return [] if count else [f'nothing was refused as {arguments[0]}']


def _expect_count(run: Run, arguments: tuple[str, ...]) -> list[str]:
    count = run.get_world().counts.get((arguments[0], arguments[1]), 0)
    least = int(arguments[2])
    if count >= least:
        return []
    return [f'{arguments[0]} {arguments[1]}: {count} < {least}']


def _expect_conflicts(run: Run, arguments: tuple[str, ...]) -> list[str]:
    verdicts = [
        event.text
        for event in run.get_world().history
        if event.kind is EventType.published
    ]
    count = verdicts.count('conflict')
    wanted = int(arguments[0])
    return [] if count == wanted else [f'{count} conflicts: {verdicts}']


def _make_share_check(outcome: Outcome) -> Expectation:
    def check(  # noqa: WPS430
        run: Run, arguments: tuple[str, ...]
    ) -> list[str]:
        return _expect_share(run, outcome, arguments)

    return check


def _expect_at_most(run: Run, arguments: tuple[str, ...]) -> list[str]:
    count = run.get_world().counts.get((arguments[0], arguments[1]), 0)
    most = int(arguments[2])
    if count <= most:
        return []
    return [f'{arguments[0]} {arguments[1]}: {count} > {most}']


_EXPECTATIONS: Mapping[str, Expectation] = MappingProxyType(
    {
        **{outcome.value: _make_share_check(outcome) for outcome in Outcome},
        'refused': _expect_refused,
        'count': _expect_count,
        'most': _expect_at_most,
        'conflicts': _expect_conflicts,
    }
)
