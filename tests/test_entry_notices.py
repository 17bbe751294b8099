"""What an entry notes of limits that targets name in their answers."""

import unittest
from unittest.mock import patch

import anyio

from tests.relaying import StubTarget, make_answer, make_route, run_world
from trestledock.entry import _events as events
from trestledock.entry import _notices

LIMITED = ('Server-Limit: 2',)
NOT_RUN = ('Trestledock-Not-Executed: 1',)


def ask_in_turn(*answers, pause_s=0):
    """Ask one target once for each answer; return the lines on limits."""
    lines = []

    async def scenario(world):
        for number, _ in enumerate(answers):
            await world.ask(f'r{number}')
            await anyio.sleep(pause_s)

    with patch.object(_notices, 'emit', lines.append):
        run_world(make_route(max_attempts=1), [StubTarget(*answers)], scenario)
    return lines


def get_changes(lines):
    return [
        (one.change, one.per_s)
        for one in lines
        if isinstance(one, events.LimitHeard)
    ]


class NotedTest(unittest.TestCase):
    """Lines on what is learnt, changed, lifted and ignored."""

    def test_learnt_and_lifted(self):
        lines = ask_in_turn(
            make_answer(req_id='r0', more=LIMITED),
            make_answer(req_id='r1'),
            pause_s=1.2,
        )
        self.assertEqual(get_changes(lines), [('learnt', 2), ('lifted', None)])
        sent = [one for one in lines if isinstance(one, events.SentUnderLimit)]
        self.assertEqual([one.req for one in sent], ['r1'])

    def test_refusal_and_failure_name_it_too(self):
        for status, more in ((503, NOT_RUN), (500, ()), (421, ())):
            lines = ask_in_turn(
                make_answer(status=status, req_id='r0', more=(*LIMITED, *more))
            )
            self.assertEqual(get_changes(lines), [('learnt', 2)], status)

    def test_nonsense_has_one_line_and_lifts_nothing(self):
        more = ('Server-Limit: -3',)
        lines = ask_in_turn(
            make_answer(req_id='r0', more=LIMITED),
            make_answer(req_id='r1', more=more),
            make_answer(req_id='r2', more=more),
            pause_s=1.2,
        )
        self.assertEqual(get_changes(lines), [('learnt', 2)])
        ignored = [
            one for one in lines if isinstance(one, events.NoticeIgnored)
        ]
        self.assertEqual([one.detail for one in ignored], ["'-3'"])

    def test_refusal_or_failure_lifts_nothing(self):
        """Whatever refuses may know of no limit."""
        for status, more in ((503, NOT_RUN), (500, ())):
            lines = ask_in_turn(
                make_answer(req_id='r0', more=LIMITED),
                make_answer(status=status, req_id='r1', more=more),
                pause_s=1.2,
            )
            self.assertEqual(get_changes(lines), [('learnt', 2)], status)

    def test_what_is_not_its_own_lifts_nothing(self):
        lines = ask_in_turn(
            make_answer(req_id='r0', more=LIMITED),
            make_answer(req_id='r1', seal=False),
            pause_s=1.2,
        )
        self.assertEqual(get_changes(lines), [('learnt', 2)])
