"""What an entry notes of limits that targets name in their answers."""

import unittest
from unittest.mock import patch

import anyio

from tests.relaying import (
    RESUMABLE,
    StubTarget,
    make_answer,
    make_route,
    make_stream,
    run_world,
)
from trestledock.entry import _events as events
from trestledock.entry import _notices
from trestledock.relay import Flight, Phase

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


LEAVING = ('Server-Leaving: 1',)
MISDIRECTED = ('Trestledock-Instance-Id: t1',)


def get_leaving(answer, route=None):
    """Return who leaves after an answer of the first of two targets."""
    found = set()

    async def scenario(world):
        world.state.board.put(Flight('x', 't1', 9, 9, Phase.reading, since=0))
        await world.ask()
        found.update(world.state.fleet.leaving)

    targets = [StubTarget(answer), StubTarget(make_answer())]
    run_world(route or make_route(max_attempts=1), targets, scenario)
    return found


class LeaveTest(unittest.TestCase):
    """Which answers are believed that say that their target leaves."""

    # Guards against a word that is overheard in any answer but a success.
    def test_any_answer_of_the_target_is_believed(self):
        for name, answer in {
            'success': make_answer(more=LEAVING),
            'failure': make_answer(status=500, more=LEAVING),
            'not found': make_answer(status=404, more=LEAVING),
            'refusal': make_answer(
                status=503, req_id='', seal=False, more=(*LEAVING, *NOT_RUN)
            ),
            'without a seal': make_answer(seal=False, more=LEAVING),
        }.items():
            self.assertEqual(get_leaving(answer), {'t0'}, name)

    def test_head_of_a_stream_is_believed(self):
        whole = make_stream(1, 2)
        head = whole.replace(b'\r\n', b'\r\nServer-Leaving: 1\r\n', 1)
        self.assertEqual(get_leaving(head, RESUMABLE), {'t0'})

    # Guards against sound targets that are left for a word of somebody else.
    def test_answer_of_whoever_is_not_believed(self):
        for req_id in ('', 'r2'):
            answer = make_answer(req_id=req_id, seal=False, more=LEAVING)
            self.assertEqual(get_leaving(answer), set(), req_id)

    def test_word_of_the_one_that_has_the_address_is_its_own(self):
        """The one that was asked has ended; that is another matter."""
        answer = make_answer(
            status=421, seal=False, more=(*LEAVING, *MISDIRECTED)
        )
        self.assertEqual(get_leaving(answer), {'t0', 't1'})

    def test_other_texts_say_nothing(self):
        for text in ('0', '', 'no', '1.0', '11'):
            answer = make_answer(more=(f'Server-Leaving: {text}',))
            self.assertEqual(get_leaving(answer), set(), text)


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
