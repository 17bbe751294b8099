"""
Fault matrix and soak
=====================

The matrix runs each single fault and each pair of faults, every one a scenario
with all promises checked.  The soak draws longer runs of random faults from a
seed.
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

#: Runs at once.
WORKERS = 6
FIRST_AT_S = 14
SECOND_AT_S = 16
HEAL_AT_S = 45
#: How long a soak's faults last, and how long it goes on afterwards.
SOAK_FAULTS_S = 100
SOAK_TAIL_S = 120
#: From when and how often whatever has ended in a soak starts again.
REVIVE_FROM_S = 20
REVIVE_S = 15

BASE = """
fleet a:2:1:1 b:2:1:1 c:2:1:1
claims keep=90
traffic generate rate=3 from=10 until=40 tokens=500,3000,40000 max=60
traffic call rate=5 from=10 until=40
"""

#: The faults by name; `{0}` is the instant.
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
    """A scenario of the matrix or the soak by its name."""

    name: str
    text: str
    seed: int


@dataclass(frozen=True)
class CellResult:
    """What a cell showed."""

    name: str
    requests: int
    violations: tuple[str, ...]


def make_cells(seed: int) -> list[Cell]:
    """Return a cell for each fault and each pair of faults."""
    cells = [
        Cell(name, _make_text(_at(name, FIRST_AT_S)), seed)
        for name in FAULT_LINES
    ]
    for one, other in combinations(FAULT_LINES, 2):
        lines = (*_at(one, FIRST_AT_S), *_at(other, SECOND_AT_S))
        cells.append(Cell(f'{one} + {other}', _make_text(lines), seed))
    return cells


def make_soak(seed: int, count: int) -> list[Cell]:
    """Return `count` long runs of faults drawn at random."""
    return [
        Cell(f'soak {seed + number}', _draw_soak(seed + number), seed + number)
        for number in range(count)
    ]


def run_cell(cell: Cell) -> CellResult:
    """Run a cell and check every promise."""
    run = read_scenario(cell.text, cell.seed)
    world = run.get_world()
    world.run_until(run.end)
    world.note_memory()
    found = check_all(world.history)
    requests = sum(event.kind is EventType.invoked for event in world.history)
    return CellResult(
        cell.name,
        requests,
        tuple(
            f'{name}: {line}' for name, lines in found.items() for line in lines
        ),
    )


def run_cells(cells: list[Cell]) -> list[CellResult]:
    """Run cells side by side, in their order."""
    with ProcessPoolExecutor(WORKERS) as pool:
        return list(pool.map(run_cell, cells))


def _at(name: str, moment: int) -> tuple[str, ...]:
    return tuple(line.format(moment) for line in FAULT_LINES[name])


def _make_text(lines: tuple[str, ...]) -> str:
    return '\n'.join((BASE, *lines, f'at {HEAL_AT_S} heal', 'end 150'))


def _draw_soak(seed: int) -> str:
    rng = Random(seed)
    stop = 10 + SOAK_FAULTS_S
    lines = [
        'fleet a:2:1:1 b:3:1:1 c:2:1:1',
        'claims keep=90',
        f'traffic generate rate=3 from=10 until={stop} '
        'tokens=500,3000,40000 max=60',
        f'traffic call rate=6 from=10 until={stop}',
    ]
    moment = 12
    while moment < stop:
        name = rng.choice(list(FAULT_LINES))
        lines.extend(
            line.replace('at 45', f'at {moment + 9}').replace(
                'at 30',
                f'at {moment + 6}',
            )
            for line in _at(name, moment)
        )
        lines.append(f'at {moment + 8} heal')
        moment += rng.randint(3, 9)
    names = ('a1', 'a2', 'b1', 'b2', 'c1', 'c2')
    lines.extend(
        f'at {moment} start entry-{name}'
        for moment in range(REVIVE_FROM_S, stop + REVIVE_S, REVIVE_S)
        for name in names
    )
    lines.append(f'end {stop + SOAK_TAIL_S}')
    return '\n'.join(lines)
