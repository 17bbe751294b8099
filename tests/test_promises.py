"""
Each promise fails when its mechanism is switched off, and holds with it.

The switch is a patch inside the test, never a flag of the product.
"""

import unittest
from contextlib import ExitStack
from pathlib import Path
from unittest import mock

from nose2.tools import params

from trestledock.process._claims import ClaimTable
from trestledock.process._fleet import Fleet
from trestledock.process._holds import Guard
from trestledock.process._lease import Lease
from trestledock.process._state import State
from trestledock.proof import run_scenario
from trestledock.relay import Quarantine
from trestledock.request import Assembler, Outcome
from trestledock.version import Fold

FOLDER = Path(__file__).parent.parent / 'scenarios'


def without_deadline_timers(self, at, timer):
    if type(timer).__name__ != 'DeadlinePassed':
        self.timers.push(at, timer)


def push_as_it_comes(self, attempt, chunk):
    self.next_index += chunk.tokens
    return (chunk,)


def accept_always(self, offset, record):
    self.next_offset = offset + 1
    known = type(self).__dict__['get_base_by_scope'](self, record.scope)
    self.scopes[record.scope] = mock.Mock(
        offset=max(offset, known),
        record_id=record.record_id,
        body=record.body,
    )
    self._remember(record.record_id, verdict=True)
    return True


LIVE = 'trestledock.process._live'

#: promise, scenario, and the patches that switch the mechanism off
MUTANTS = (
    (
        'in_time',
        'mute_engine',
        (mock.patch.object(State, 'set_timer', without_deadline_timers),),
    ),
    (
        'memory',
        'lost_cancels',
        (mock.patch.object(Guard, 'take_up', return_value=[]),),
    ),
    (
        'memory',
        'lost_cancels',
        (mock.patch.object(Guard, 'add_cancels'),),
    ),
    (
        'whole',
        'bad_network',
        (mock.patch.object(Assembler, 'push', push_as_it_comes),),
    ),
    (
        'not_run',
        'lost_answers',
        (
            mock.patch(
                f'{LIVE}.derive_outcome',
                return_value=Outcome.not_run,
            ),
        ),
    ),
    (
        'at_most_once',
        'lost_answers',
        (mock.patch.object(ClaimTable, '_check', return_value=None),),
    ),
    (
        'at_most_once',
        'whole_data_centre_restarts',
        (mock.patch.object(ClaimTable, 'get_blind_left', return_value=0),),
    ),
    (
        'leaving',
        'leaving_target',
        (mock.patch.object(Fleet, 'is_draining', return_value=False),),
    ),
    (
        'leaving',
        'paused_before_write',
        (mock.patch('trestledock.process._dispatching.WRITE_WITHIN_S', 1e9),),
    ),
    (
        'shutdown',
        'graceful_shutdown',
        (
            mock.patch(
                'trestledock.process._node.is_drained',
                return_value=True,
            ),
        ),
    ),
    (
        'versions',
        'racing_operators',
        (mock.patch.object(Fold, 'apply', accept_always),),
    ),
    (
        'orders',
        'old_holder_unchecked',
        (mock.patch.object(Lease, 'get_order_deadline', return_value=1e9),),
    ),
    (
        'ends deadly',
        'query_of_death',
        (mock.patch.object(Quarantine, 'is_quarantined', return_value=False),),
    ),
)


class Mutants(unittest.TestCase):
    """The checker of a promise notices that its mechanism is gone."""

    @params(*range(len(MUTANTS)))
    def test_switched_off(self, number):
        promise, scenario, patches = MUTANTS[number]
        text = (FOLDER / f'{scenario}.txt').read_text()
        with ExitStack() as stack:
            for patch in patches:
                stack.enter_context(patch)
            found = run_scenario(text)
        broken = {line.partition(':')[0] for line in found}
        self.assertIn(promise, broken, found[:3])
