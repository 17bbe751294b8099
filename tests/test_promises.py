"""
Mutation tests: each promise is broken if its mechanism is disabled.

The tests disable a mechanism by a patch, never by a flag of the product.
"""

import unittest
from contextlib import ExitStack
from pathlib import Path
from unittest import mock

from nose2.tools import params

from trestledock.process._claims import ClaimTable
from trestledock.process._fleet import Fleet
from trestledock.process._lease import Lease
from trestledock.process._reservations import ReservationWatch
from trestledock.process._state import State
from trestledock.proof import run_scenario
from trestledock.relay import Quarantine
from trestledock.request import Assembler, Outcome
from trestledock.version import Fold

FOLDER = Path(__file__).parent.parent / 'scenarios'


def without_deadline_timers(self, at, timer):
    if type(timer).__name__ != 'DeadlinePassed':
        self.timers.push(at, timer)


def push_unordered(self, attempt, chunk):
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


LIVE = 'trestledock.process._live_request'

#: Promise, scenario, and the patches that disable the mechanism.
MUTANTS = (
    (
        'in_time',
        'mute_engine',
        (mock.patch.object(State, 'set_timer', without_deadline_timers),),
    ),
    (
        'memory',
        'lost_cancels',
        (
            mock.patch.object(
                ReservationWatch, 'queue_owner_cancels', return_value=[]
            ),
        ),
    ),
    (
        'memory',
        'lost_cancels',
        (mock.patch.object(ReservationWatch, 'add_cancels'),),
    ),
    (
        'whole',
        'bad_network',
        (mock.patch.object(Assembler, 'push', push_unordered),),
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
        (mock.patch.object(ClaimTable, '_check_grantable', return_value=None),),
    ),
    (
        'at_most_once',
        'whole_data_centre_restarts',
        (
            mock.patch.object(
                ClaimTable, 'get_unknown_history_s', return_value=0
            ),
        ),
    ),
    (
        'leaving',
        'leaving_target',
        (mock.patch.object(Fleet, 'is_draining', return_value=False),),
    ),
    (
        'leaving',
        'paused_before_write',
        (mock.patch('trestledock.process._dispatch.MAX_DECISION_AGE_S', 1e9),),
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
        (mock.patch.object(Quarantine, 'refuses', return_value=False),),
    ),
)


class Mutants(unittest.TestCase):
    """The checker of a promise detects that its mechanism is disabled."""

    @params(*range(len(MUTANTS)))
    def test_disabled_mechanism(self, number):
        promise, scenario, patches = MUTANTS[number]
        text = (FOLDER / f'{scenario}.txt').read_text()
        with ExitStack() as stack:
            for patch in patches:
                stack.enter_context(patch)
            violations = run_scenario(text)
        broken = {line.partition(':')[0] for line in violations}
        self.assertIn(promise, broken, violations[:3])
