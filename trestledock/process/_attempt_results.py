"""
Results of attempts
===================

Handles what targets report of their attempts: prefill progress, chunks, ends
of streams, complete responses, and failures.  Each leads to the next prefill
chunk, to tokens for the caller, to a resumed stream, or to an attempt on
another target.
"""

from trestledock.process._actions import EmitChunks, ResumeStream
from trestledock.process._completion import (
    finish_request,
    refuse,
    release_attempt,
)
from trestledock.process._dispatch import (
    make_queued_request,
    schedule_dispatch,
    send_prefill_chunk,
    send_reservation,
    start_call,
)
from trestledock.process._live_request import LiveRequest, Phase
from trestledock.process._messages import (
    AttemptFailed,
    CallDone,
    CancelConfirmed,
    ChunkArrived,
    PrefillDone,
    StreamDone,
)
from trestledock.process._quarantining import (
    is_quarantined,
    record_completion,
    record_crash,
)
from trestledock.process._selection import choose_service
from trestledock.process._state import State
from trestledock.process._timers import GapDue, RetryDue, SilenceDue
from trestledock.request import (
    AttemptEvent,
    Kind,
    Outcome,
    Reason,
    Verdict,
    draw_backoff,
)

#: How long chunks may be missing after the end of a stream, in seconds.
GAP_TIMEOUT_S = 0.5
#: The Retry-After time after a lost attempt, in seconds.
LOST_RETRY_AFTER_S = 1.0
#: The timeout between two tokens of a stream, in seconds.
STREAM_TIMEOUT_S = 5.0
#: The step that failures of a stream name; only these are resumed.
STREAM_STEP = 'stream'


def on_prefill_done(message: PrefillDone, state: State, now: float) -> None:
    """Send the next reservation or prefill chunk."""
    live = state.requests.get(message.req_id)
    if live is None or live.phase is not Phase.running:
        return
    if (message.hold, message.stop) != live.awaited_job:
        return
    if live.advance_attempt(message.attempt, AttemptEvent.answer):
        _continue_prefill(state, live, message.stop, now)
        schedule_dispatch(state, live.pool, now)


def on_chunk_arrived(message: ChunkArrived, state: State, now: float) -> None:
    """Send the caller the chunks that are in order."""
    live = state.requests.get(message.req_id)
    if live is None or live.phase is not Phase.running:
        return
    if not live.advance_attempt(message.attempt, AttemptEvent.answer):
        return
    live.heard_at = now
    if live.first_token_at is None:
        live.first_token_at = now
    _mark_prefilled(state, live, now)
    ready = live.assembler.push(message.attempt, message.chunk)
    if ready:
        state.emit(EmitChunks(message.req_id, ready))
    _finish_if_complete(state, live, now)


def on_stream_done(message: StreamDone, state: State, now: float) -> None:
    """Record the end of a stream, and wait a little for missing chunks."""
    live = state.requests.get(message.req_id)
    if live is None or live.phase is not Phase.running:
        return
    if not live.advance_attempt(message.attempt, AttemptEvent.answer):
        return
    live.assembler.finish(message.attempt, message.count)
    _finish_if_complete(state, live, now)
    due = GapDue(message.req_id, message.attempt)
    state.set_timer(now + GAP_TIMEOUT_S, due)


def on_gap_due(message: GapDue, state: State, now: float) -> None:
    """Treat chunks that are still missing as a failure of the stream."""
    failed = AttemptFailed(
        message.req_id,
        message.attempt,
        not_started=False,
        step=STREAM_STEP,
        peer='',
        detail='chunks are missing',
    )
    on_attempt_failed(failed, state, now)


def on_silence_due(message: SilenceDue, state: State, now: float) -> None:
    """Fail an attempt whose engine has not responded to a job."""
    live = state.requests.get(message.req_id)
    if live is None or live.phase is not Phase.running:
        return
    is_same_job = live.awaited_job == (message.hold, message.stop)
    if is_same_job and live.emitted == message.emitted:
        failed = AttemptFailed(
            message.req_id,
            message.attempt,
            not_started=False,
            step='silence',
            peer=live.attempt.target,
        )
        on_attempt_failed(failed, state, now)


def fail_silent_streams(state: State, now: float) -> None:
    """Resume silent streams, or continue them on another engine."""
    for live in tuple(state.requests.values()):
        is_streaming = live.phase is Phase.running and live.heard_at > 0
        if is_streaming and now - live.heard_at > STREAM_TIMEOUT_S:
            live.heard_at = now
            failed = AttemptFailed(
                live.req.req_id,
                live.attempt.number,
                not_started=False,
                step=STREAM_STEP,
                peer=live.attempt.target,
            )
            on_attempt_failed(failed, state, now)


def on_call_done(message: CallDone, state: State, now: float) -> None:
    """Send the caller the response of a plain service."""
    live = state.requests.get(message.req_id)
    if live is None or not live.advance_attempt(
        message.attempt, AttemptEvent.finish
    ):
        return
    target = state.get_targets()[live.attempt.target]
    target.breaker.succeed()
    record_completion(state, live.req, live.attempt_at)
    verdict = Verdict(
        Outcome.answered,
        peer=live.attempt.target,
        status=message.status,
        body=message.body,
    )
    finish_request(state, live, verdict)


def on_attempt_failed(
    message: AttemptFailed,
    state: State,
    now: float,
) -> None:
    """Resume the stream, retry on another target, or end the request."""
    live = state.requests.get(message.req_id)
    if live is None or live.phase is not Phase.running:
        return
    if message.attempt != live.attempt.number:
        return
    if message.ended:
        record_crash(state, live, message.peer, now)
    if _try_resume(state, live, message):
        return
    event = AttemptEvent.reject if message.not_started else AttemptEvent.lose
    if not live.advance_attempt(message.attempt, event):
        return
    target = state.get_targets()[live.attempt.target]
    target.breaker.fail(now)
    if message.not_started and live.shares:
        state.reservation_ids.record_rejection(live.shares[0].hold)
    release_attempt(state, live, is_complete=False)
    _retry_or_refuse(state, live, message, now)


def on_retry_due(message: RetryDue, state: State, now: float) -> None:
    """Make the next attempt after the backoff."""
    live = state.requests.get(message.req_id)
    if live is None or live.phase is not Phase.backoff:
        return
    if live.req.kind is Kind.call:
        _retry_call(state, live, now)
        return
    live.enter_phase(Phase.queued)
    state.get_queue(live.pool).push(make_queued_request(state, live))
    schedule_dispatch(state, live.pool, now)


def on_cancel_confirmed(
    message: CancelConfirmed,
    state: State,
    now: float,
) -> None:
    """Record that an engine has released these reservations."""
    state.reservation_watch.confirm_cancels(message.target, message.holds)
    for hold in message.holds:
        state.reservation_ids.release(hold)


def _continue_prefill(
    state: State, live: LiveRequest, stop: int, now: float
) -> None:
    key = (live.req.req_id, live.attempt.number)
    target = state.get_targets()[live.get_current_share().target]
    target.load.mark_prefilled(key, now)
    if len(live.shares) > 1 and live.reserved_engines < len(live.shares):
        live.reserved_engines += 1
    else:
        live.prefilled_tokens = stop
    if 1 < len(live.shares) and live.reserved_engines < len(live.shares):
        send_reservation(state, live, now)
    else:
        send_prefill_chunk(state, live, now)


def _mark_prefilled(state: State, live: LiveRequest, now: float) -> None:
    key = (live.req.req_id, live.attempt.number)
    target = state.get_targets()[live.shares[-1].target]
    work = target.load.sent_work.get(key)
    if work and work.prefilled_at is None:
        target.load.mark_prefilled(key, now)
        schedule_dispatch(state, live.pool, now)


def _finish_if_complete(state: State, live: LiveRequest, now: float) -> None:
    if not live.assembler.is_complete:
        return
    live.advance_attempt(live.attempt.number, AttemptEvent.finish)
    name = live.shares[-1].target
    state.get_targets()[name].breaker.succeed()
    record_completion(state, live.req, live.attempt_at)
    verdict = Verdict(Outcome.answered, peer=name, tokens=live.emitted)
    finish_request(state, live, verdict)
    schedule_dispatch(state, live.pool, now)


def _try_resume(
    state: State, live: LiveRequest, message: AttemptFailed
) -> bool:
    """Ask the same engine once to resume a broken stream."""
    has_started = live.first_token_at is not None and live.shares
    if not has_started or live.resumed or message.not_started:
        return False
    if message.ended:
        return False
    if message.step != STREAM_STEP:
        return False
    live.resumed = True
    share = live.shares[-1]
    target = state.get_targets()[share.target]
    state.count('retries', 'resume')
    state.emit(
        ResumeStream(
            live.req.req_id,
            live.attempt.number,
            share.target,
            target.info.address,
            share.hold,
            live.emitted,
        ),
    )
    return True


def _retry_or_refuse(
    state: State,
    live: LiveRequest,
    message: AttemptFailed,
    now: float,
) -> None:
    reason = Reason.target_lost
    if message.not_started:
        reason = Reason.target_rejected
    if is_quarantined(state, live):
        refuse(state, live, Reason.quarantined, detail=message.detail)
    elif not (live.req.idempotent or message.not_started):
        refuse(state, live, reason, LOST_RETRY_AFTER_S, message.detail)
    elif state.get_budget(live.pool).try_spend(now, instances=1):
        state.count('retries', reason.value)
        live.enter_phase(Phase.backoff)
        state.get_queue(live.pool).mark_finished(live.req.req_id)
        backoff = draw_backoff(len(live.attempts), state.rng)
        state.set_timer(now + backoff, RetryDue(live.req.req_id))
    else:
        refuse(
            state, live, Reason.retry_budget, LOST_RETRY_AFTER_S, reason.value
        )


def _retry_call(state: State, live: LiveRequest, now: float) -> None:
    not_after = live.claim.not_after if live.claim else live.req.deadline
    candidate_set = choose_service(state, live.req, now)
    if is_quarantined(state, live):
        refuse(state, live, Reason.quarantined)
    elif not candidate_set.candidates:
        refuse(
            state,
            live,
            candidate_set.reason,
            LOST_RETRY_AFTER_S,
            candidate_set.detail,
        )
    elif now >= not_after:
        refuse(state, live, Reason.deadline_passed, LOST_RETRY_AFTER_S)
    else:
        start_call(state, live, candidate_set.candidates, not_after, now)


def fail_replaced(state: State, target_name: str, now: float) -> None:
    """Fail the attempts on a target whose incarnation was replaced."""
    for live in tuple(state.requests.values()):
        used = {share.target for share in live.shares}
        if live.phase is Phase.running and target_name in used:
            live.resumed = True
            failed = AttemptFailed(
                live.req.req_id,
                live.attempt.number,
                not_started=False,
                step='incarnation',
                peer=target_name,
            )
            on_attempt_failed(failed, state, now)
