"""
Scenarios
=========

A scenario is a small text file: one verb a line, `#` for comments.  The first
lines build the fleet, `at SECONDS VERB ...` schedules faults, `expect` lines
are checked at the end, and every promise is checked always::

    fleet a:2:1:1 b:2:1:1 c:2:1:1
    traffic call rate=4 from=10 until=30
    at 15 kill entry-a1
    at 20 outage on
    expect answered call 0.9
    end 60

All checks run on a history; nothing looks into the instances.
"""

import shlex
from dataclasses import dataclass, field, replace
from types import MappingProxyType
from typing import Callable, Mapping

from trestledock.process import Timing
from trestledock.proof._callers import Callers, Traffic
from trestledock.proof._checkers import check_all
from trestledock.proof._fleets import Plan, Site, build, publish_marked
from trestledock.proof._history import EventType
from trestledock.proof._performing import make_world
from trestledock.proof._world import World
from trestledock.request import Kind, Outcome
from trestledock.standin import EngineSpec

#: The actions that a pause just before the write can hold back.
STALLED = MappingProxyType(
    {
        'call': 'CallService',
        'job': 'StartJob',
        'order': 'GiveOrder',
        'append': 'AppendRecord',
    }
)

SWITCHES = MappingProxyType({'on': True, 'off': False})


Expectation = Callable[['Run', tuple[str, ...]], list[str]]


class ScenarioError(Exception):
    """A line that is not understood, with its number."""


@dataclass
class Run:
    """A scenario while it is read and run."""

    plan: Plan = field(default_factory=Plan)
    timing: Timing = Timing()
    world: World | None = None
    callers: Callers | None = None
    expectations: list[tuple[str, ...]] = field(default_factory=list)
    end: float = 60

    def get_world(self) -> World:
        """Return the world; the first use builds it."""
        if self.world is None:
            self.world = make_world(self.plan.seed, self.timing)
            self.callers = build(self.plan, self.world)
        return self.world

    def get_callers(self) -> Callers:
        """Return the callers; the first use builds the world."""
        self.get_world()
        if self.callers is None:
            raise ScenarioError('there are no callers')
        return self.callers


def run_scenario(text: str, seed: int | None = None) -> list[str]:
    """Run a scenario; return a line for each violation."""
    return finish_run(read_scenario(text, seed))


def read_scenario(text: str, seed: int | None = None) -> Run:
    """Read a scenario and build its world, without running it."""
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
    world.note_memory()
    violations = [
        f'{name}: {line}'
        for name, lines in check_all(world.history).items()
        for line in lines
    ]
    for words in run.expectations:
        violations.extend(_EXPECTATIONS[words[0]](run, words[1:]))
    return violations


def _split(words: list[str]) -> dict[str, str]:
    pairs = (word.partition('=') for word in words)
    return {name: text for name, _, text in pairs}


def _seed(run: Run, words: list[str]) -> None:
    run.plan.seed = int(words[0])


def _fleet(run: Run, words: list[str]) -> None:
    sites = []
    for word in words:
        name, *numbers = word.split(':')
        instances, engines, services = (int(text) for text in numbers)
        sites.append(Site(name, instances, engines, services))
    run.plan.sites = tuple(sites)


def _engines(run: Run, words: list[str]) -> None:
    options = _split(words)
    run.plan.spec = EngineSpec(
        rate=float(options.get('rate', 16_000)),
        itl_s=float(options.get('itl', 0.01)),
        capacity_tokens=int(options.get('capacity', 400_000)),
        checks_fencing=options.get('fencing') == 'checked',
    )
    run.plan.preloaded = options.get('loaded', 'yes') == 'yes'


def _claims(run: Run, words: list[str]) -> None:
    options = _split(words)
    run.plan.keep_s = float(options.get('keep', 30))
    run.plan.replicas = int(options.get('replicas', 2))


def _log(run: Run, words: list[str]) -> None:
    options = _split(words)
    run.plan.retention_s = float(options['retention'])
    snapshot_s = float(options['snapshot'])
    run.timing = replace(run.timing, snapshot_s=snapshot_s)


def _traffic(run: Run, words: list[str]) -> None:
    options = _split(words[1:])
    kind = Kind(words[0])
    team = 'kiosks' if kind is Kind.call else 'assistant'
    tokens = options.get('tokens', '1000').split(',')
    run.get_callers().begin(
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
            deadly=options.get('deadly') == 'yes',
        ),
    )


def _at(run: Run, words: list[str]) -> None:
    world = run.get_world()
    moment = float(words[0])
    if words[1] == 'publish':
        host_name = words[3] if len(words) > 3 else ''
        publish_marked(run.plan, world, moment, words[2], host_name)
        return
    fault = FAULTS[words[1]]
    world.at(moment, lambda: fault(world, words[2:]))


def _expect(run: Run, words: list[str]) -> None:
    run.expectations.append(tuple(words))


def _end(run: Run, words: list[str]) -> None:
    run.end = float(words[0])


def _kill(world: World, words: list[str]) -> None:
    for name in words:
        if world.hosts[name].alive:
            world.kill(world.hosts[name])


def _start(world: World, words: list[str]) -> None:
    """Start those of the instances that have ended."""
    for name in words:
        if not world.hosts[name].alive:
            world.add_host(name, world.hosts[name].data_centre)


def _stop(world: World, words: list[str]) -> None:
    for name in words:
        if world.hosts[name].alive:
            world.shut_down(world.hosts[name])


def _freeze(world: World, words: list[str]) -> None:
    host = world.hosts[words[0]]
    world.freeze(host)
    world.at(world.now + float(words[1]), lambda: world.thaw(host))


def _stall(world: World, words: list[str]) -> None:
    kind = STALLED[words[2]]
    world.hosts[words[0]].stalls[kind] = float(words[1])


def _hang_up(world: World, words: list[str]) -> None:
    for name in words:
        world.hang_up(world.hosts[name])


def _cut(world: World, words: list[str]) -> None:
    left = frozenset(_expand(world, words[0]))
    right = frozenset(_expand(world, words[1]))
    world.switches.cuts.append((left, right - left))


def _expand(world: World, text: str) -> list[str]:
    """Return the places that a word names: hosts, data centres, or `rest`."""
    places = {'platform': 'platform'}
    for name in (*world.hosts, *world.engines, *world.services):
        places[name] = world.get_data_centre(name)
    names = text.split(',')
    if 'rest' in names:
        return list(places)
    return [
        place
        for place, site in places.items()
        if place in names or site in names
    ]


def _heal(world: World, words: list[str]) -> None:
    world.switches.cuts.clear()
    world.note(EventType.healed)


def _outage(world: World, words: list[str]) -> None:
    world.switches.outage = SWITCHES[words[0]]
    world.switches.list_outage = SWITCHES[words[0]]
    world.note(EventType.healed)


def _lose(world: World, words: list[str]) -> None:
    count = int(words[1])
    if words[0] == 'appends':
        world.switches.lose_appends = count
    elif words[0] == 'cancels':
        world.switches.lose_cancels = count
    else:
        world.services[words[0]].lose_answers = count


def _network(world: World, words: list[str]) -> None:
    options = _split(words)
    world.switches.loss_share = float(options.get('loss', 0))
    world.switches.duplicate_share = float(options.get('duplicates', 0))
    world.switches.reorder_s = float(options.get('reorder', 0))


def _lag(world: World, words: list[str]) -> None:
    options = _split(words)
    world.switches.list_lag_s = float(options.get('list', 0.5))
    world.switches.report_lag_s = float(options.get('reports', 0.2))


def _kill_engine(world: World, words: list[str]) -> None:
    for name in words:
        world.kill_engine(name)


def _revive_engine(world: World, words: list[str]) -> None:
    for name in words:
        world.revive_engine(name)


def _mute(world: World, words: list[str]) -> None:
    for name in words:
        world.engines[name].muted = True


def _leave(world: World, words: list[str]) -> None:
    world.mark_leaving(words[0], listed=words[1] == 'listed')


#: The faults that `at` schedules.
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
    words: tuple[str, ...],
) -> list[str]:
    """Expect a share of the requests of a kind to end so, between instants."""
    kind = Kind(words[0])
    least = float(words[1])
    bounds = [float(text) for text in words[2:]]
    start, stop = bounds or (0, float('inf'))
    events = [
        event
        for event in run.get_world().history
        if event.kind in {EventType.outcome, EventType.broken}
        and run.get_callers().sent[event.req_id][1].kind is kind
        and start <= event.at <= stop
    ]
    met = sum(event.text == outcome.value for event in events)
    share = met / len(events) if events else 0
    if share >= least:
        return []
    return [f'{outcome.value} {kind.value}: {met} of {len(events)} < {least}']


def _expect_refused(run: Run, words: tuple[str, ...]) -> list[str]:
    count = run.get_world().counts.get(('refused', words[0]), 0)
    return [] if count else [f'nothing was refused as {words[0]}']


def _expect_count(run: Run, words: tuple[str, ...]) -> list[str]:
    count = run.get_world().counts.get((words[0], words[1]), 0)
    least = int(words[2])
    if count >= least:
        return []
    return [f'{words[0]} {words[1]}: {count} < {least}']


def _expect_conflicts(run: Run, words: tuple[str, ...]) -> list[str]:
    verdicts = [
        event.text
        for event in run.get_world().history
        if event.kind is EventType.published
    ]
    found = verdicts.count('conflict')
    wanted = int(words[0])
    return [] if found == wanted else [f'{found} conflicts: {verdicts}']


def _make_share_check(outcome: Outcome) -> Expectation:
    def check(run: Run, words: tuple[str, ...]) -> list[str]:  # noqa: WPS430
        return _expect_share(run, outcome, words)

    return check


def _expect_most(run: Run, words: tuple[str, ...]) -> list[str]:
    count = run.get_world().counts.get((words[0], words[1]), 0)
    most = int(words[2])
    if count <= most:
        return []
    return [f'{words[0]} {words[1]}: {count} > {most}']


_EXPECTATIONS: Mapping[str, Expectation] = MappingProxyType(
    {
        **{outcome.value: _make_share_check(outcome) for outcome in Outcome},
        'refused': _expect_refused,
        'count': _expect_count,
        'most': _expect_most,
        'conflicts': _expect_conflicts,
    }
)
