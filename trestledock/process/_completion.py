"""
Completion of requests
======================

Every request gets its final result here, and releases its resources: its place
in the queue, its attempt, its reservations on engines, and its claim.
"""

from trestledock.process._actions import CancelReservations, Finish, SendToPeer
from trestledock.process._live_request import LiveRequest, Phase
from trestledock.process._payloads import ClaimResult
from trestledock.process._state import State
from trestledock.request import Outcome, Reason, Verdict

#: The bounds of Retry-After times, in seconds.
MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 60.0
#: The relative jitter of Retry-After times, in both directions.
RETRY_JITTER = 0.25


def jitter_retry_after(state: State, wait_s: float) -> float:
    """Return a bounded and jittered Retry-After time."""
    bounded = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
    factor = state.rng.uniform(1 - RETRY_JITTER, 1 + RETRY_JITTER)
    return round(bounded * factor, 1)


def refuse(
    state: State,
    live: LiveRequest,
    reason: Reason,
    wait_s: float = 0,
    detail: str = '',
) -> None:
    """Refuse a request, with the outcome that its attempts prove."""
    outcome = live.derive_outcome()
    state.count('refused', reason.value)
    finish_request(
        state,
        live,
        Verdict(
            outcome,
            reason,
            step=live.phase.value,
            peer=live.attempt.target if live.attempts else live.req.home,
            retry_after=jitter_retry_after(state, wait_s) if wait_s else 0,
            detail=detail,
        ),
    )


def finish_request(state: State, live: LiveRequest, verdict: Verdict) -> None:
    """Send the caller the final result and release all resources."""
    if not live.enter_phase(Phase.done):
        return
    req = live.req
    state.requests.pop(req.req_id, None)
    queue = state.get_queue(live.pool)
    queue.remove(req.req_id)
    queue.mark_finished(req.req_id)
    release_attempt(state, live, verdict.outcome is Outcome.answered)
    _report_claim_result(state, live, verdict)
    state.count('outcome', verdict.outcome.value)
    state.emit(Finish(req, verdict))


def release_attempt(state: State, live: LiveRequest, is_complete: bool) -> None:
    """Release the newest attempt and its reservations.

    An engine frees the memory of a completed stream by itself; all other
    reservations are cancelled until the engine confirms.
    """
    if not live.attempts:
        return
    key = (live.req.req_id, live.attempt.number)
    for name in {share.target for share in live.shares} | {live.attempt.target}:
        target = state.get_targets().get(name)
        if target and key in target.load.sent_work:
            target.load.remove(key, state.bookkeeping.last_step)
            target.in_flight -= 1
    last_hold = live.shares[-1].hold if live.shares else ''
    for share in live.shares:
        if is_complete and share.hold == last_hold:
            state.reservation_ids.release(share.hold)
        else:
            cancel_reservation(state, share.target, share.hold)
    live.shares = ()


def cancel_reservation(state: State, target_name: str, hold: str) -> None:
    """Cancel a reservation, repeatedly until the engine confirms.

    A later incarnation of the engine is asked too: the job may have reached it
    before it appeared in the instance list.
    """
    state.reservation_watch.add_cancels(target_name, (hold,))
    target = state.get_targets().get(target_name)
    if target:
        state.emit(
            CancelReservations(target_name, target.info.address, (hold,))
        )


def _report_claim_result(
    state: State, live: LiveRequest, verdict: Verdict
) -> None:
    claim = live.claim
    epoch = state.epochs.get(live.req.home)
    if claim is None or epoch is None:
        return
    outcome = verdict.outcome if claim.granted else Outcome.not_run
    claim_result = ClaimResult(
        claim.key,
        claim.claim_id,
        epoch.offset,
        outcome.value,
        verdict.status,
        verdict.body,
    )
    for member in epoch.get_replicas_by_key(claim.key):
        send_to_member(state, member, claim_result)


def send_to_member(state: State, member: str, payload: object) -> None:
    """Send a payload to a member, possibly to this instance itself."""
    peer = state.fleet.peers.get(member)
    address = peer.info.address if peer else ''
    state.emit(SendToPeer(member, address, payload))  # type: ignore[arg-type]
