"""
Proofs
======

Histories, a checker for each promise, scenarios in a small text language and
the world that runs them on a virtual clock.
"""

from trestledock.proof._callers import MODEL, Callers, Traffic
from trestledock.proof._checkers import CHECKERS, check_all
from trestledock.proof._fleets import (
    SETTLED_AT_S,
    Plan,
    Site,
    build,
    make_configuration,
    publish_marked,
)
from trestledock.proof._history import Event, EventType, read_lines
from trestledock.proof._matrix import (
    CellResult,
    make_cells,
    make_soak,
    run_cell,
    run_cells,
)
from trestledock.proof._performing import make_world
from trestledock.proof._scenario import (
    FAULTS,
    Run,
    ScenarioError,
    finish_run,
    read_scenario,
    run_scenario,
)
from trestledock.proof._world import World

__all__ = (
    'CHECKERS',
    'FAULTS',
    'MODEL',
    'SETTLED_AT_S',
    'Callers',
    'CellResult',
    'Event',
    'EventType',
    'Plan',
    'Run',
    'ScenarioError',
    'Site',
    'Traffic',
    'World',
    'build',
    'check_all',
    'finish_run',
    'make_cells',
    'make_configuration',
    'make_soak',
    'make_world',
    'publish_marked',
    'read_lines',
    'read_scenario',
    'run_cell',
    'run_cells',
    'run_scenario',
)
