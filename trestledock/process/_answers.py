"""
Answers
=======

What targets say of the attempts that were sent to them: pieces done, chunks,
final markers, whole answers and failures, and what follows: the next piece,
the caller's tokens, a resumed stream, or another attempt elsewhere.
"""

from trestledock.process._actions import EmitChunks, ResumeStream
from trestledock.process._choosing import choose_service
from trestledock.process._dispatching import (
    make_waiting,
    pump_soon,
    send_piece,
    send_reservation,
    start_call,
)
from trestledock.process._ending import (
    end,
    refuse,
    release_attempt,
)
from trestledock.process._isolating import (
    is_quarantined,
    note_answered,
    note_end,
)
from trestledock.process._live import Live, Phase
from trestledock.process._messages import (
    AttemptFailed,
    CallDone,
    CancelConfirmed,
    ChunkArrived,
    PrefillDone,
    StreamDone,
)
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

#: How long chunks may be missing after the final marker, in seconds.
GAP_PATIENCE_S = 0.5
#: When to come back after an attempt was lost, in seconds.
LOST_WAIT_S = 1.0
#: How long a stream may be silent between two tokens, in seconds.
STREAM_SILENCE_S = 5.0
#: What is counted for a stream that is resumed or continued.
STREAM_STEP = 'stream'


def on_piece_done(message: PrefillDone, state: State, now: float) -> None:
    """Go on with the next reservation or piece."""
    live = state.requests.get(message.req_id)
    if live is None or live.phase is not Phase.running:
        return
    if (message.hold, message.stop) != live.awaited:
        return
    if live.note(message.attempt, AttemptEvent.answer):
        _advance(state, live, message.stop, now)
        pump_soon(state, live.pool, now)


def on_chunk(message: ChunkArrived, state: State, now: float) -> None:
    """Pass on what is in order."""
    live = state.requests.get(message.req_id)
    if live is None or live.phase is not Phase.running:
        return
    if not live.note(message.attempt, AttemptEvent.answer):
        return
    live.heard_at = now
    if live.first_token_at is None:
        live.first_token_at = now
    _mark_prefilled(state, live, now)
    ready = live.assembler.push(message.attempt, message.chunk)
    if ready:
        state.act(EmitChunks(message.req_id, ready))
    _end_if_whole(state, live, now)


def on_stream_done(message: StreamDone, state: State, now: float) -> None:
    """Take the final marker; wait a little for chunks that are missing."""
    live = state.requests.get(message.req_id)
    if live is None or live.phase is not Phase.running:
        return
    if not live.note(message.attempt, AttemptEvent.answer):
        return
    live.assembler.finish(message.attempt, message.count)
    _end_if_whole(state, live, now)
    due = GapDue(message.req_id, message.attempt)
    state.set_timer(now + GAP_PATIENCE_S, due)


def on_gap(message: GapDue, state: State, now: float) -> None:
    """Ask for the chunks that are still missing after the final marker."""
    failed = AttemptFailed(
        message.req_id,
        message.attempt,
        not_started=False,
        step=STREAM_STEP,
        peer='',
        detail='chunks are missing',
    )
    on_attempt_failed(failed, state, now)


def on_silence(message: SilenceDue, state: State, now: float) -> None:
    """Count an engine that has said nothing of a job as lost."""
    live = state.requests.get(message.req_id)
    if live is None or live.phase is not Phase.running:
        return
    same = live.awaited == (message.hold, message.stop)
    if same and live.emitted == message.emitted:
        silent = AttemptFailed(
            message.req_id,
            message.attempt,
            not_started=False,
            step='silence',
            peer=live.attempt.target,
        )
        on_attempt_failed(silent, state, now)


def end_silent_streams(state: State, now: float) -> None:
    """Resume, or go on elsewhere with, streams that have fallen silent."""
    for live in tuple(state.requests.values()):
        streaming = live.phase is Phase.running and live.heard_at > 0
        if streaming and now - live.heard_at > STREAM_SILENCE_S:
            live.heard_at = now
            silent = AttemptFailed(
                live.req.req_id,
                live.attempt.number,
                not_started=False,
                step=STREAM_STEP,
                peer=live.attempt.target,
            )
            on_attempt_failed(silent, state, now)


def on_call_done(message: CallDone, state: State, now: float) -> None:
    """Give the caller the answer of a plain service."""
    live = state.requests.get(message.req_id)
    if live is None or not live.note(message.attempt, AttemptEvent.finish):
        return
    target = state.get_targets()[live.attempt.target]
    target.breaker.succeed()
    note_answered(state, live.req, now)
    verdict = Verdict(
        Outcome.answered,
        peer=live.attempt.target,
        status=message.status,
        body=message.body,
    )
    end(state, live, verdict)


def on_attempt_failed(
    message: AttemptFailed,
    state: State,
    now: float,
) -> None:
    """Resume, retry elsewhere, or end the request."""
    live = state.requests.get(message.req_id)
    if live is None or live.phase is not Phase.running:
        return
    if message.attempt != live.attempt.number:
        return
    if message.ended:
        note_end(state, live, message.peer, now)
    if _resume(state, live, message):
        return
    event = AttemptEvent.reject if message.not_started else AttemptEvent.lose
    if not live.note(message.attempt, event):
        return
    target = state.get_targets()[live.attempt.target]
    target.breaker.fail(now)
    if message.not_started and live.shares:
        state.hold_ids.note_rejection(live.shares[0].hold)
    release_attempt(state, live, is_whole=False)
    _retry(state, live, message, now)


def on_retry_due(message: RetryDue, state: State, now: float) -> None:
    """Make the next attempt."""
    live = state.requests.get(message.req_id)
    if live is None or live.phase is not Phase.backoff:
        return
    if live.req.kind is Kind.call:
        _call_again(state, live, now)
        return
    live.enter(Phase.queued)
    state.get_queue(live.pool).push(make_waiting(state, live))
    pump_soon(state, live.pool, now)


def on_cancel_confirmed(
    message: CancelConfirmed,
    state: State,
    now: float,
) -> None:
    """Note that an engine holds nothing under these ids any more."""
    state.guard.confirm(message.target, message.holds)
    for hold in message.holds:
        state.hold_ids.release(hold)


def _advance(state: State, live: Live, stop: int, now: float) -> None:
    key = (live.req.req_id, live.attempt.number)
    target = state.get_targets()[live.get_share().target]
    target.load.mark_prefilled(key, now)
    if len(live.shares) > 1 and live.reserved < len(live.shares):
        live.reserved += 1
    else:
        live.position = stop
    if 1 < len(live.shares) and live.reserved < len(live.shares):
        send_reservation(state, live, now)
    else:
        send_piece(state, live, now)


def _mark_prefilled(state: State, live: Live, now: float) -> None:
    key = (live.req.req_id, live.attempt.number)
    target = state.get_targets()[live.shares[-1].target]
    sent = target.load.sends.get(key)
    if sent and sent.prefilled_at is None:
        target.load.mark_prefilled(key, now)
        pump_soon(state, live.pool, now)


def _end_if_whole(state: State, live: Live, now: float) -> None:
    if not live.assembler.is_complete:
        return
    live.note(live.attempt.number, AttemptEvent.finish)
    name = live.shares[-1].target
    state.get_targets()[name].breaker.succeed()
    note_answered(state, live.req, now)
    verdict = Verdict(Outcome.answered, peer=name, tokens=live.emitted)
    end(state, live, verdict)
    pump_soon(state, live.pool, now)


def _resume(state: State, live: Live, message: AttemptFailed) -> bool:
    """Ask the same engine once more for a stream that broke off."""
    started = live.first_token_at is not None and live.shares
    if not started or live.resumed or message.not_started:
        return False
    if message.ended:
        return False
    if message.step != STREAM_STEP:
        return False
    live.resumed = True
    share = live.shares[-1]
    target = state.get_targets()[share.target]
    state.count('retries', 'resume')
    state.act(
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


def _retry(
    state: State,
    live: Live,
    message: AttemptFailed,
    now: float,
) -> None:
    reason = Reason.target_lost
    if message.not_started:
        reason = Reason.target_rejected
    if is_quarantined(state, live):
        refuse(state, live, Reason.quarantined, detail=message.detail)
    elif not (live.req.idempotent or message.not_started):
        refuse(state, live, reason, LOST_WAIT_S, message.detail)
    elif state.get_budget(live.pool).try_spend(now, instances=1):
        state.count('retries', reason.value)
        live.enter(Phase.backoff)
        state.get_queue(live.pool).finish(live.req.req_id)
        backoff = draw_backoff(len(live.attempts), state.rng)
        state.set_timer(now + backoff, RetryDue(live.req.req_id))
    else:
        refuse(state, live, Reason.retry_budget, LOST_WAIT_S, reason.value)


def _call_again(state: State, live: Live, now: float) -> None:
    not_after = live.claim.not_after if live.claim else live.req.deadline
    field = choose_service(state, live.req, now)
    if is_quarantined(state, live):
        refuse(state, live, Reason.quarantined)
    elif not field.candidates:
        refuse(state, live, field.reason, LOST_WAIT_S, field.detail)
    elif now >= not_after:
        refuse(state, live, Reason.deadline_passed, LOST_WAIT_S)
    else:
        start_call(state, live, field.candidates, not_after, now)


def drop_replaced(state: State, target_name: str, now: float) -> None:
    """Fail the attempts on an incarnation that has been replaced."""
    for live in tuple(state.requests.values()):
        held = {share.target for share in live.shares}
        if live.phase is Phase.running and target_name in held:
            live.resumed = True
            cancelled = AttemptFailed(
                live.req.req_id,
                live.attempt.number,
                not_started=False,
                step='incarnation',
                peer=target_name,
            )
            on_attempt_failed(cancelled, state, now)
