"""
Fault matrix and soak
=====================

The matrix runs a scenario for each single fault and each pair of faults, and
checks all promises.  The soak runs longer scenarios, with random faults that
are drawn from a seed.
"""

from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from itertools import combinations
from random import Random
from types import MappingProxyType
from typing import Mapping

from trestledock.proof._checkers import check_all
from trestledock.proof._history import EventType
from trestledock.proof._scenario import read_scenario

#: The number of concurrent runs.
WORKERS = 6
FIRST_FAULT_AT_S = 14
SECOND_FAULT_AT_S = 16
HEAL_AT_S = 45
#: The time of a soak with faults, and the time after that, in seconds.
SOAK_FAULTS_S = 100
SOAK_TAIL_S = 120
#: The first instant at which a soak restarts the instances that have ended, and
#: the interval of further restarts, in seconds.
RESTART_FROM_S = 20
RESTART_INTERVAL_S = 15

BASE = """
fleet a:2:1:1 b:2:1:1 c:2:1:1
claims keep=90
traffic generate rate=3 from=10 until=40 tokens=500,3000,40000 max=60
traffic call rate=5 from=10 until=40
"""

#: The scenario lines of each fault; `{0}` is the instant of the fault.
FAULT_LINES: Mapping[str, tuple[str, ...]] = MappingProxyType(
    {
        'kill': ('at {0} kill entry-a1',),
        'restart': ('at {0} kill entry-b1', 'at {0}.9 start entry-b1'),
        'freeze': ('at {0} freeze entry-a2 11',),
        'stall': (
            'at {0} stall entry-a1 9 call',
            'at {0} stall entry-b2 7 call',
        ),
        'stop': ('at {0} stop entry-b2',),
        'outage': ('at {0} outage on', 'at 45 outage off'),
        'lose-appends': ('at {0} lose appends 9',),
        'cut-centre': ('at {0} cut a rest',),
        'cut-platform': ('at {0} cut a,b platform',),
        'cut-peers': ('at {0} cut entry-a1 entry-a2',),
        'kill-engine': (
            'at {0} kill-engine engine-a1',
            'at 30 revive-engine engine-a1',
        ),
        'mute-engine': ('at {0} mute engine-b1', 'at 30 kill-engine engine-b1'),
        'lose-answers': (
            'at {0} lose service-a1 4',
            'at {0} lose service-b1 4',
            'at {0} lose service-c1 4',
        ),
        'lose-cancels': (
            'at {0} lose cancels 9',
            'at {0}.1 hang-up entry-a1 entry-b1 entry-c1',
        ),
        'bad-network': (
            'at {0} network loss=0.1 duplicates=0.2 reorder=0.05',
            'at 45 network',
        ),
        'leave': (
            'at {0} leave engine-c1 silent',
            'at {0} leave service-a1 silent',
        ),
        'race': (
            'at {0}.2 publish one entry-a1',
            'at {0}.2 publish two entry-b1',
            'at {0}.2 publish three entry-c2',
        ),
        'centre-dies': (
            'at {0} kill entry-c1 entry-c2',
            'at {0}.8 start entry-c1 entry-c2',
        ),
    }
)


@dataclass(frozen=True)
class Cell:
    """A named scenario of the matrix or the soak."""

    name: str
    text: str
    seed: int


@dataclass(frozen=True)
class CellResult:
    """The result of a cell."""

    name: str
    requests: int
    violations: tuple[str, ...]


def make_cells(seed: int) -> list[Cell]:
    """Return a cell for each fault and each pair of faults."""
    cells = [
        Cell(name, _make_text(_format_fault(name, FIRST_FAULT_AT_S)), seed)
        for name in FAULT_LINES
    ]
    for first, second in combinations(FAULT_LINES, 2):
        lines = (
            *_format_fault(first, FIRST_FAULT_AT_S),
            *_format_fault(second, SECOND_FAULT_AT_S),
        )
        cells.append(Cell(f'{first} + {second}', _make_text(lines), seed))
    return cells


def make_soak(seed: int, count: int) -> list[Cell]:
    """Return `count` long scenarios with random faults."""
    return [
        Cell(
            f'soak {seed + number}',
            _make_soak_text(seed + number),
            seed + number,
        )
        for number in range(count)
    ]


def run_cell(cell: Cell) -> CellResult:
    """Run a cell and check every promise."""
    run = read_scenario(cell.text, cell.seed)
    world = run.get_world()
    world.run_until(run.end)
    world.record_memory()
    violations = check_all(world.history)
    requests = sum(event.kind is EventType.invoked for event in world.history)
    return CellResult(
        cell.name,
        requests,
        tuple(
            f'{name}: {line}'
            for name, lines in violations.items()
            for line in lines
        ),
    )


def run_cells(cells: list[Cell]) -> list[CellResult]:
    """Run cells concurrently; return the results in order."""
    with ProcessPoolExecutor(WORKERS) as pool:
        return list(pool.map(run_cell, cells))


def _format_fault(name: str, instant: int) -> tuple[str, ...]:
    return tuple(line.format(instant) for line in FAULT_LINES[name])


def _make_text(lines: tuple[str, ...]) -> str:
    return '\n'.join((BASE, *lines, f'at {HEAL_AT_S} heal', 'end 150'))


def _make_soak_text(seed: int) -> str:
    rng = Random(seed)
    stop = 10 + SOAK_FAULTS_S
    lines = [
        'fleet a:2:1:1 b:3:1:1 c:2:1:1',
        'claims keep=90',
        f'traffic generate rate=3 from=10 until={stop} '
        'tokens=500,3000,40000 max=60',
        f'traffic call rate=6 from=10 until={stop}',
    ]
    instant = 12
    while instant < stop:
        name = rng.choice(list(FAULT_LINES))
        lines.extend(
            line.replace('at 45', f'at {instant + 9}').replace(
                'at 30',
                f'at {instant + 6}',
            )
            for line in _format_fault(name, instant)
        )
        lines.append(f'at {instant + 8} heal')
        instant += rng.randint(3, 9)
    names = ('a1', 'a2', 'b1', 'b2', 'c1', 'c2')
    lines.extend(
        f'at {instant} start entry-{name}'
        for instant in range(
            RESTART_FROM_S, stop + RESTART_INTERVAL_S, RESTART_INTERVAL_S
        )
        for name in names
    )
    lines.append(f'end {stop + SOAK_TAIL_S}')
    return '\n'.join(lines)
