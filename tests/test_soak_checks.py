"""Each check of the soak on a ledger that breaks it, and on a sound one."""

import unittest
from dataclasses import replace

from tests.soak.checks import run_checks
from tests.soak.ledger import (
    ALL_ENTRIES,
    Arrival,
    RequestSpec,
    RequestRecord,
    Change,
    Crash,
    Fault,
    Ledger,
    LimitChange,
    BackoffRequest,
    Run,
)
from tests.soak.targets import get_seal

STREAM = RequestSpec(
    'r1', 'streaming', 'k1', 'desk', 'engines', '/x', '100,86', 2, timeout_s=5
)
BOOKING = RequestSpec('r2', 'non_idempotent', 'k1', 'desk', 'booking')
ENTRY = 'entry-0'
CUT_ONCE = f'lost: r1 at {ENTRY} was cut after 1 runs'


def make_run(spec, began_at=10, **fields):
    """Return a run of a request as it should be."""
    fields.setdefault('seal', get_seal('i-1', spec.req_id))
    fields.setdefault('ended_at', began_at + 1)
    fields.setdefault('team', spec.team)
    return Run(
        spec.req_id,
        'i-1',
        spec.service,
        began_at,
        sizes=spec.sizes,
        status=200,
        **fields,
    )


def make_attempt(spec, **fields):
    """Return a request that was answered whole."""
    known = {
        'status': 200,
        'seal': get_seal('i-1', spec.req_id),
        'whole': True,
        'last_event': spec.events,
        'whole_at': 10,
        'ended_at': 11.2,
    }
    return RequestRecord(spec, ENTRY, 9.9, **{**known, **fields})


def make_cut(**fields):
    """Return a request that was sent whole and cut before any answer."""
    known = {'status': 0, 'whole': False, 'last_event': 0, 'seal': ''}
    return make_attempt(STREAM, **{**known, **fields})


def make_ledger(request, *runs):
    """Return a ledger of one request."""
    ledger = Ledger(requests={request.ask.req_id: request})
    ledger.runs.extend(runs)
    return ledger


class SoundLedgerTest(unittest.TestCase):
    """What is as it should be breaks nothing."""

    def test_answered(self):
        for spec in (STREAM, BOOKING):
            ledger = make_ledger(make_attempt(spec), make_run(spec))
            self.assertEqual(run_checks(ledger), [])

    def test_resumed_stream(self):
        ledger = make_ledger(
            make_attempt(STREAM), make_run(STREAM), make_run(STREAM)
        )
        self.assertEqual(run_checks(ledger), [])

    def test_failure_after_a_run(self):
        request = make_attempt(BOOKING, status=502, seal='')
        self.assertEqual(
            run_checks(make_ledger(request, make_run(BOOKING))), []
        )

    def test_cut_by_its_routes_time(self):
        request = make_attempt(STREAM, whole=False, last_event=1)
        ledger = make_ledger(request, make_run(STREAM))
        ledger.record_timeout(STREAM.path, 8)
        ledger.record_timeout(STREAM.path, 1.2)
        self.assertEqual(run_checks(ledger), [])

    def test_cut_by_a_kill(self):
        request = make_attempt(STREAM, whole=False, last_event=1)
        ledger = make_ledger(request, make_run(STREAM))
        ledger.faults.append(Fault('kill_entry', ENTRY, 11, 11.1))
        self.assertEqual(run_checks(ledger), [])

    def test_taken_slowly(self):
        request = make_attempt(STREAM, slow=True, first_at=11, ended_at=15.9)
        ledger = make_ledger(request, make_run(STREAM))
        self.assertEqual(run_checks(ledger), [])

    def test_cut_by_a_kill_of_its_target(self):
        ledger = make_ledger(make_cut(), make_run(STREAM))
        ledger.faults.append(Fault('crash_target', '', 11, 11.1, 'i-1'))
        self.assertEqual(run_checks(ledger), [])

    def test_cut_by_the_end_of_its_target(self):
        ledger = make_ledger(make_cut(), make_run(STREAM))
        ledger.changes.append(Change('ended', 'i-1', 11.1))
        self.assertEqual(run_checks(ledger), [])

    def test_crosses_the_end_of_its_connection(self):
        ledger = make_ledger(make_cut(ended_at=10.3))
        self.assertEqual(run_checks(ledger), [])

    def test_crosses_the_end_of_a_slow_callers_connection(self):
        ledger = make_ledger(make_cut(ended_at=10.3, slow=True))
        self.assertEqual(run_checks(ledger), [])

    def test_cut_before_it_was_whole(self):
        ledger = make_ledger(make_cut(whole_at=None))
        self.assertEqual(run_checks(ledger), [])

    def test_never_accepted(self):
        ledger = make_ledger(make_cut(unread=True))
        self.assertEqual(run_checks(ledger), [])

    def test_works_past_the_grace_period(self):
        ledger = make_ledger(make_cut(), make_run(STREAM, ended_at=11.2))
        self.ask_to_end(ledger, 4.3)
        self.assertEqual(run_checks(ledger), [CUT_ONCE])
        ledger = make_ledger(make_cut(), make_run(STREAM, ended_at=11.2))
        ledger.requests['r1'].sent_at = 7.2
        self.ask_to_end(ledger, 4.3)
        self.assertEqual(run_checks(ledger), [])

    def ask_to_end(self, ledger, at):
        fault = Fault('restart_entry', f'graceful {ENTRY}', at, at + 8)
        ledger.faults.append(fault)


class BrokenLedgerTest(unittest.TestCase):
    """Each promise that is broken is named."""

    def expect(self, name, ledger):
        found = run_checks(ledger)
        self.assertEqual([one.partition(':')[0] for one in found], [name])

    def test_twice(self):
        runs = (make_run(BOOKING), make_run(BOOKING))
        self.expect('once', make_ledger(make_attempt(BOOKING), *runs))

    def test_refused_though_run(self):
        request = make_attempt(BOOKING, status=503, seal='')
        self.expect('refusals', make_ledger(request, make_run(BOOKING)))

    def test_bytes_of_another(self):
        request = make_attempt(STREAM, problem="event b'id: 9'")
        self.expect('answers', make_ledger(request, make_run(STREAM)))

    def test_foreign_seal(self):
        request = make_attempt(BOOKING, seal='i-9.x')
        self.expect('answers', make_ledger(request, make_run(BOOKING)))

    def test_complete_too_soon(self):
        request = make_attempt(STREAM, last_event=1)
        self.expect('answers', make_ledger(request, make_run(STREAM)))

    def test_failed_inside(self):
        request = make_attempt(BOOKING, status=500, seal='')
        self.expect('failures', make_ledger(request))

    def test_asked_by_nobody(self):
        ledger = make_ledger(make_attempt(STREAM), make_run(STREAM))
        ledger.runs.append(make_run(BOOKING))
        self.expect('runs', ledger)

    def test_wrong_team(self):
        run = make_run(BOOKING, team='audit')
        self.expect('runs', make_ledger(make_attempt(BOOKING), run))

    def test_key_passed_on(self):
        run = make_run(BOOKING, key_seen=True)
        self.expect('runs', make_ledger(make_attempt(BOOKING), run))

    def test_ticket_used_twice(self):
        self.expect('tickets', Ledger(reservation_clashes={'t1'}))

    def test_process_ended(self):
        self.expect('exits', Ledger(exits=['entry-0 ended with 1']))

    def test_body_changed(self):
        run = make_run(BOOKING, digest=7)
        self.expect('runs', make_ledger(make_attempt(BOOKING), run))

    def test_revoked_key(self):
        ledger = make_ledger(make_attempt(BOOKING), make_run(BOOKING))
        ledger.changes.append(Change('revoked', 'k1', 4.8))
        self.expect('revoked', ledger)

    def test_leak(self):
        self.expect('leaks', Ledger(reservation_leaks={'t1 at i-1'}))

    def test_target_has_left(self):
        ledger = make_ledger(make_attempt(BOOKING), make_run(BOOKING))
        ledger.changes.append(Change('leaving', 'i-1', 7.6))
        self.expect('leaving', ledger)

    def test_target_has_left_while_another_entry_stood_still(self):
        ledger = make_ledger(make_attempt(BOOKING), make_run(BOOKING))
        ledger.changes.append(Change('leaving', 'i-1', 7.6))
        ledger.changes.append(Change('leaving', 'i-1', 9.9))
        ledger.faults.append(Fault('freeze_reader', 'entry-1', 7, 10))
        self.expect('leaving', ledger)

    def test_no_end(self):
        request = make_attempt(STREAM, ended_at=15.9)
        self.expect('ends', make_ledger(request, make_run(STREAM)))

    def test_cut_by_a_graceful_end(self):
        request = make_attempt(STREAM, whole=False, last_event=1)
        ledger = make_ledger(request, make_run(STREAM))
        ledger.faults.append(
            Fault('restart_entry', f'graceful {ENTRY}', 10.5, 14)
        )
        self.expect('lost', ledger)

    def test_no_beginning_for_a_slow_caller(self):
        request = make_attempt(STREAM, slow=True, first_at=15.9, ended_at=16)
        self.expect('ends', make_ledger(request, make_run(STREAM)))

    def test_no_answer_for_a_slow_caller(self):
        request = make_cut(slow=True, ended_at=None)
        self.expect('ends', make_ledger(request, make_run(STREAM)))

    def test_cut_in_a_queue(self):
        self.expect('lost', make_ledger(make_cut()))

    def test_cut_on_a_kept_connection(self):
        self.expect('lost', make_ledger(make_cut(ended_at=10.6)))

    def test_cut_while_its_target_reads(self):
        run = replace(make_run(STREAM), status=0)
        self.expect('lost', make_ledger(make_cut(ended_at=10.2), run))

    def test_cut_after_it_was_resumed(self):
        runs = (make_run(STREAM), replace(make_run(STREAM, 11), target='i-2'))
        ledger = make_ledger(make_cut(), *runs)
        ledger.changes.append(Change('ended', 'i-1', 11))
        self.expect('lost', ledger)

    def test_killed_after_the_grace_period(self):
        fault = Fault('freeze_entry', 'entry-1', 19, 20)
        killed = Change('overrun', ENTRY, 20)
        self.expect('graces', Ledger(faults=[fault], changes=[killed]))

    def test_works_on_for_nobody(self):
        ledger = Ledger()
        for number in range(4):
            spec = replace(STREAM, req_id=f'r{number}')
            ledger.requests[spec.req_id] = make_attempt(
                spec, status=0, whole=False, left_at=10.1, ended_at=None
            )
            ledger.runs.append(make_run(spec, ended_at=11))
        found = run_checks(ledger)
        self.assertEqual(len(found), 4)
        self.assertTrue(all(one.startswith('gone') for one in found))

    def test_deadly_request_goes_on(self):
        """Four targets get it later than an entry needs to be in touch."""
        ledger = Ledger(
            crashes=[Crash('/x', f'i-{one}', one) for one in range(3)]
        )
        for number in range(4):
            spec = replace(STREAM, req_id=f'r{number}')
            ledger.requests[spec.req_id] = make_attempt(spec)
            ledger.runs.append(make_run(spec))
        self.assertEqual(
            run_checks(ledger), ['budget: /x reached 4 targets more, ended 3']
        )
        ledger.runs.pop()
        ledger.requests.popitem()
        self.assertEqual(run_checks(ledger), [])

    def make_told(self, *sent_at):
        """Return a ledger of requests to a target that said that it leaves."""
        first = make_attempt(STREAM, first_at=10)
        ledger = make_ledger(first, make_run(STREAM, leaves=True))
        for number, at in enumerate(sent_at):
            spec = replace(STREAM, req_id=f'w{number}')
            request = make_attempt(spec, status=503, seal='', last_event=0)
            request.sent_at = at
            ledger.requests[spec.req_id] = request
            ledger.arrivals.append(Arrival(spec.req_id, 'i-1', at))
        return ledger

    def test_target_that_told_an_entry_that_it_leaves(self):
        """More than 2 s later, whatever the store went through meanwhile."""
        self.assertEqual(run_checks(self.make_told(11, 12.2)), [])
        ledger = self.make_told(12.5)
        ledger.faults.append(Fault('store_down', ALL_ENTRIES, 9, 12))
        self.assertEqual(
            run_checks(ledger), ['words: w0 reached i-1 after 2.5 s']
        )
        ledger.faults.append(Fault('freeze_entry', ENTRY, 11, 12))
        self.assertEqual(run_checks(ledger), [])

    def test_target_that_asked_an_entry_for_rest(self):
        """Two requests may come in it, three may not."""
        ledger = self.make_told(10.7, 11, 11.5, 12)
        ledger.runs[0].leaves = False
        ledger.backoffs.append(BackoffRequest('r1', 'i-1', 10, 13))
        self.assertEqual(
            run_checks(ledger), [f'rests: i-1 got 3 in a rest from {ENTRY}']
        )
        ledger.arrivals.pop()
        self.assertEqual(run_checks(ledger), [])

    def test_limited_target_gets_too_much(self):
        """From contact on; twelve in 4 s, where eleven are allowed."""
        ledger = Ledger(
            limit_changes=[
                LimitChange('i-1', 1, 6),
                LimitChange('i-1', None, 20),
            ]
        )
        for number in range(12):
            spec = replace(STREAM, req_id=f'r{number}')
            ledger.requests[spec.req_id] = make_attempt(spec)
            ledger.runs.append(make_run(spec, 10 + number / 4))
        self.assertEqual(
            run_checks(ledger), ['limit: i-1 takes 1 a second, got 12']
        )
        ledger.limit_changes[1] = LimitChange('i-1', None, 12.7)
        self.assertEqual(run_checks(ledger), [])
