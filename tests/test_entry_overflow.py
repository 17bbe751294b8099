"""What an entry counts at another data centre before a short prompt goes there.

The local engines all prefill long prompts, the others are idle.
"""

import unittest

from tests.test_entry_selecting import (
    ASKED,
    EACH,
    ENGINE,
    OWN,
    SHORT,
    make_job,
    make_reading,
    make_state,
)
from tests.virtual_loop import run_virtually
from trestledock.entry._overflow import find_overflow, needs_overflow
from trestledock.relay import Flight, Member, Membership, Phase, RemoteLoad

NAMES = tuple(f'{ASKED}-{number}' for number in range(EACH))
#: Prompts of a data centre that may be at the idle other one.
ALLOWED = EACH * (ENGINE.batch - 1) // 4


def make_flight(number):
    return Flight(
        f'f{number}', NAMES[number % EACH], 5_000, 700, Phase.decode, 0.0, 0.8
    )


class OverflowTest(unittest.TestCase):
    """Whether a prompt goes to the data centre that answered."""

    def goes(self, prepare):
        """Prepare the state and the job of a prompt; return if it goes."""

        async def main():
            state, job = make_state(), make_job(SHORT)
            state.remote_loads[ASKED] = RemoteLoad(0.0, (), {})
            prepare(state, job)
            return find_overflow(state, job, ENGINE, None, 0.0) is not None

        return run_virtually(main)

    def test_idle_targets(self):
        self.assertTrue(self.goes(lambda state, job: None))

    def test_requests_of_near_entries(self):
        """They tell theirs, which the answer leaves out."""

        def put(count):
            def prepare(state, job):
                changes = [
                    (f'f{number}', make_flight(number))
                    for number in range(count)
                ]
                state.load_table.apply_update('near', 1, changes, whole=True)

            return prepare

        self.assertTrue(self.goes(put(ALLOWED - 1)))
        self.assertFalse(self.goes(put(ALLOWED)))

    def test_own_share(self):
        """With more entries than allowed prompts, each may have one."""

        def share(own_count, data_centre=OWN):
            def prepare(state, job):
                own, *others = [
                    Member(f'e{number}', data_centre) for number in range(20)
                ]
                state.throttle.get_members = lambda: Membership(
                    own, tuple(others)
                )
                for number in range(own_count):
                    state.load_table.put(make_flight(number))

            return prepare

        self.assertTrue(self.goes(share(0)))
        self.assertFalse(self.goes(share(1)))
        self.assertTrue(self.goes(share(1, 'elsewhere')))

    def test_avoided_targets(self):
        """Targets that failed for this prompt, or that are suspect."""

        def suspect(state, job):
            for name in NAMES:
                state.health.record_silence(name, 0.0)

        self.assertFalse(self.goes(lambda state, job: job.tried.update(NAMES)))
        self.assertFalse(self.goes(suspect))

    def test_few_local_targets(self):
        """With less than 8, all targets are considered without a query."""

        async def main():
            state, job = make_state(), make_job(SHORT)
            found = [needs_overflow(state, job, None, 0.0)]
            for number in range(3):
                state.fleet.record_removal(f'{OWN}-{number}', 0, 0)
            found.append(needs_overflow(state, job, None, 0.0))
            return found

        self.assertEqual(run_virtually(main), [True, False])

    def test_other_prefill_there(self):
        """It stays where the other data centre is as busy as its own."""

        def put_prefill(state, job):
            state.load_table.set_remote_load(ASKED, map(make_reading, NAMES))

        self.assertFalse(self.goes(put_prefill))
