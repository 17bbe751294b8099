"""Which targets a request is placed among, where entries are many.

Three data centres with ten engines each; those of the own one all read long
prompts, those of one that was asked are idle.
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
    """Return the state of an entry among many."""
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
            one = ListedTarget(name, 'svc', 'a:1', place, Standing.ready, 8, 1)
            state.fleet.put(one)
            if place == OWN:
                state.board.put(make_reading(name))
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
    """What is asked, and among which targets is chosen."""

    def choose(self, size):
        """Return a choice, and how often other data centres were asked."""

        async def main():
            state = make_state()
            asked = []

            async def learn():
                asked.append(1)
                state.remote_loads[ASKED] = RemoteLoad(0.0, ())

            state.refresh_loads = learn
            found = await select(state, make_job(size))
            return found, len(asked)

        return run_virtually(main)

    def test_long_prompt_goes_where_engines_are_idle(self):
        """All of it: a plan over two data centres ends with either."""
        found, asked = self.choose(LONG)
        self.assertIsInstance(found, Placement)
        places = {one.data_centre for one in (found.target, *found.helpers)}
        self.assertEqual((places, asked), ({ASKED}, 1))
        self.assertLess(found.first_token_s, 4.0)

    def test_short_one_stays(self):
        """It asks nobody, and is placed among its own."""
        found, asked = self.choose(SHORT)
        self.assertIsInstance(found, Placement)
        self.assertEqual((found.target.data_centre, asked), (OWN, 0))

    def test_few_engines_are_planned_for_together(self):
        """Where a data centre has too few, no plan could stay within it."""
        state = make_state()
        targets = list(state.fleet.get_usable('svc'))
        job = make_job(LONG)
        split = _selecting._split_by_place
        self.assertEqual(len(split(state, targets, job)), 3)
        few = [one for one in targets if one.target_id != 'asked-1']
        few = [
            one for one in few if one.target_id not in ('asked-2', 'asked-3')
        ]
        self.assertEqual(split(state, few, job), [few])

    def test_own_data_centre_comes_first(self):
        """Its word counts where nothing can be placed."""
        state = make_state()
        targets = sorted(
            state.fleet.get_usable('svc'), key=lambda one: one.data_centre
        )
        groups = _selecting._split_by_place(state, targets, make_job(LONG))
        self.assertEqual({one.data_centre for one in groups[0]}, {OWN})
        mixed = [replace(one, data_centre=ASKED) for one in groups[0]]
        self.assertEqual(
            _selecting._split_by_place(state, mixed, make_job(LONG)), [mixed]
        )
