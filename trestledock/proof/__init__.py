"""
Fault-injection tests
=====================

Runs scenarios with faults on a virtual clock, records their histories, and
checks each promise on these.  A scenario is written in a small text language.
"""

from trestledock.proof._callers import MODEL, Callers, Traffic
from trestledock.proof._checkers import CHECKERS, check_all
from trestledock.proof._fleets import (
    SETTLED_AT_S,
    DataCentre,
    Plan,
    make_configuration,
    populate_world,
    schedule_publication,
)
from trestledock.proof._history import Event, EventType, read_lines
from trestledock.proof._matrix import (
    CellResult,
    make_cells,
    make_soak,
    run_cell,
    run_cells,
)
from trestledock.proof._actions import make_world
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
    'DataCentre',
    'Event',
    'EventType',
    'Plan',
    'Run',
    'ScenarioError',
    'Traffic',
    'World',
    'check_all',
    'finish_run',
    'make_cells',
    'make_configuration',
    'make_soak',
    'make_world',
    'populate_world',
    'read_lines',
    'read_scenario',
    'run_cell',
    'run_cells',
    'run_scenario',
    'schedule_publication',
)
