"""Target selection with many entries.

Three data centres have ten engines each.  The local engines all prefill long
prompts; those of the data centre that was queried are idle.
"""

import unittest
from dataclasses import replace
from random import Random

from tests.relaying import HOST, KEY, SETTINGS, make_route
from tests.virtual_loop import run_virtually
from trestledock.entry import _selecting
from trestledock.entry._job import Job
from trestledock.entry._selecting import select
from trestledock.entry._state import EntryState
from trestledock.relay import (
    Body,
    Call,
    Catalog,
    EngineModel,
    Flight,
    ListedTarget,
    RemoteLoad,
    Phase,
    Placement,
    PromptSize,
    Service,
    Standing,
    TeamKey,
)

OWN, ASKED, SILENT = 'dc', 'asked', 'silent'
EACH = 10
ENGINE = EngineModel(8, 400_000, 0.001, 200_000, pair_s=1e-10, stride=40)
LONG = PromptSize(200_000, 700)
SHORT = PromptSize(5_000, 700)


def make_state():
    """Return the state of one of many entries."""
    state = EntryState(SETTINGS, 'entry-1#a', Random(1), None)
    state.many_entries = True
    state.catalog = Catalog(
        1,
        {HOST: (make_route(),)},
        {'svc': Service('svc', engine=ENGINE)},
        {KEY: TeamKey('kiosks')},
    )
    for place in (OWN, ASKED, SILENT):
        for number in range(EACH):
            name = f'{place}-{number}'
            target = ListedTarget(
                name, 'svc', 'a:1', place, Standing.ready, 8, 1
            )
            state.fleet.put(target)
            if place == OWN:
                state.load_table.put(make_reading(name))
    return state


def make_reading(target):
    return Flight(
        target,
        target,
        300_000,
        700,
        Phase.prefill,
        since=0.0,
        pause_s=0.8,
        worth=20,
        due_at=4.0,
    )


def make_job(size):
    route = make_route(objective_s=4.0, timeout_s=15, pause_s=0.8)
    call = Call(
        'r1', 'POST', '/p/', '', HOST, (), Body.from_bytes(b''), 0.0, size=size
    )
    return Job(call, route, 'svc', TeamKey('kiosks'), deadline=15.0)


class SelectingTest(unittest.TestCase):
    """The queries, and the targets that are considered."""

    def choose(self, size):
        """Return a placement, and how often other data centres were queried."""

        async def main():
            state = make_state()
            queries = []

            async def query_loads():
                queries.append(1)
                state.remote_loads[ASKED] = RemoteLoad(0.0, ())

            state.refresh_loads = query_loads
            chosen = await select(state, make_job(size))
            return chosen, len(queries)

        return run_virtually(main)

    def test_long_prompt_goes_where_engines_are_idle(self):
        """Completely: a cut of either of two data centres would end it."""
        chosen, queries = self.choose(LONG)
        self.assertIsInstance(chosen, Placement)
        places = {
            target.data_centre for target in (chosen.target, *chosen.helpers)
        }
        self.assertEqual((places, queries), ({ASKED}, 1))
        self.assertLess(chosen.first_token_s, 4.0)

    def test_short_prompt_stays_local(self):
        """It needs no query, and is placed at a local target."""
        chosen, queries = self.choose(SHORT)
        self.assertIsInstance(chosen, Placement)
        self.assertEqual((chosen.target.data_centre, queries), (OWN, 0))

    def test_few_engines_form_one_group(self):
        """A data centre with too few engines can't hold a plan of its own."""
        state = make_state()
        targets = list(state.fleet.get_usable('svc'))
        job = make_job(LONG)
        group = _selecting._group_by_data_centre
        self.assertEqual(len(group(state, targets, job)), 3)
        few = [target for target in targets if target.target_id != 'asked-1']
        few = [
            target
            for target in few
            if target.target_id not in ('asked-2', 'asked-3')
        ]
        self.assertEqual(group(state, few, job), [few])

    def test_own_data_centre_comes_first(self):
        """Its decision applies if nothing can be placed."""
        state = make_state()
        targets = sorted(
            state.fleet.get_usable('svc'), key=lambda target: target.data_centre
        )
        groups = _selecting._group_by_data_centre(
            state, targets, make_job(LONG)
        )
        self.assertEqual({target.data_centre for target in groups[0]}, {OWN})
        mixed = [replace(target, data_centre=ASKED) for target in groups[0]]
        self.assertEqual(
            _selecting._group_by_data_centre(state, mixed, make_job(LONG)),
            [mixed],
        )


class EvacuatedTest(unittest.TestCase):
    """Prompts at one of many entries of an evacuated data centre.

    Other entries know the load of all targets that are left; those that answer
    a query have all but one that prefill long prompts.
    """

    def setUp(self):
        self.queries = 0
        self.state = make_state()
        self.state.fleet.evacuations.names = frozenset((OWN,))

    async def query_loads(self):
        """Learn that only the last target of two data centres is idle."""
        self.queries += 1
        for place in (ASKED, SILENT):
            names = [f'{place}-{number}' for number in range(EACH - 1)]
            flights = tuple(map(make_reading, names))
            self.state.remote_loads[place] = RemoteLoad(0.0, flights)
            self.state.load_table.set_remote_load(place, flights)

    def choose(self, size):
        """Return the placement of a prompt."""

        async def main():
            self.state.refresh_loads = self.query_loads
            return await select(self.state, make_job(size))

        return run_virtually(main)

    def test_short_prompt(self):
        """Guards against a blind choice among busy targets elsewhere."""
        chosen = self.choose(SHORT)
        self.assertIn(
            chosen.target.target_id, (f'{ASKED}-9', f'{SILENT}-9'), chosen
        )
        self.assertEqual(self.queries, 1)

    def test_answer_of_one_data_centre(self):
        """Guards against targets that look idle, as nothing is known there."""
        query = self.query_loads

        async def query_one():
            await query()
            self.state.remote_loads.pop(SILENT)
            self.state.load_table.set_remote_load(SILENT, ())

        self.query_loads = query_one
        self.assertEqual(self.choose(SHORT).target.target_id, f'{ASKED}-9')

    def test_no_answer(self):
        """Guards against a wait for answers that don't come."""

        async def fail():
            self.queries += 1

        self.query_loads = fail
        chosen = self.choose(SHORT)
        self.assertIn(chosen.target.data_centre, (ASKED, SILENT))
        self.assertEqual(self.queries, 1)

    def test_long_prompt_stays_within_one_data_centre(self):
        """Guards against helpers across a network cut."""

        async def find_idle():
            for place in (ASKED, SILENT):
                self.state.remote_loads[place] = RemoteLoad(0.0, ())

        self.query_loads = find_idle
        chosen = self.choose(LONG)
        places = {
            target.data_centre for target in (chosen.target, *chosen.helpers)
        }
        self.assertTrue(chosen.helpers)
        self.assertEqual(len(places), 1)
