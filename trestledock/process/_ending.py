"""
Ending requests
===============

The one place where a request gets its final answer, and where everything that
it held is given back: its place in the queue, its attempt, its holds on
engines and its claim.
"""

from trestledock.process._actions import CancelReservations, Finish, SendToPeer
from trestledock.process._live import Live, Phase
from trestledock.process._payloads import ClaimResult
from trestledock.process._state import State
from trestledock.request import Outcome, Reason, Verdict

#: The least and the largest time that a caller is told to wait, in seconds.
MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 60.0
#: Half the band by which times to wait are jittered.
RETRY_JITTER = 0.25


def jitter_wait(state: State, wait_s: float) -> float:
    """Return a bounded, jittered time for the caller to wait."""
    bounded = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
    factor = state.rng.uniform(1 - RETRY_JITTER, 1 + RETRY_JITTER)
    return round(bounded * factor, 1)


def refuse(
    state: State,
    live: Live,
    reason: Reason,
    wait_s: float = 0,
    detail: str = '',
) -> None:
    """End a request with the outcome that its attempts prove."""
    outcome = live.derive_outcome()
    state.count('refused', reason.value)
    end(
        state,
        live,
        Verdict(
            outcome,
            reason,
            step=live.phase.value,
            peer=live.attempt.target if live.attempts else live.req.home,
            retry_after=jitter_wait(state, wait_s) if wait_s else 0,
            detail=detail,
        ),
    )


def end(state: State, live: Live, verdict: Verdict) -> None:
    """Give the caller its final answer and give everything back."""
    if not live.enter(Phase.done):
        return
    req = live.req
    state.requests.pop(req.req_id, None)
    queue = state.get_queue(live.pool)
    queue.remove(req.req_id)
    queue.finish(req.req_id)
    release_attempt(state, live, verdict.outcome is Outcome.answered)
    _settle_claim(state, live, verdict)
    state.count('outcome', verdict.outcome.value)
    state.act(Finish(req, verdict))


def release_attempt(state: State, live: Live, is_whole: bool) -> None:
    """Give back the newest attempt's place and its holds.

    An engine frees the memory of a stream that ended whole by itself; every
    other hold is cancelled until the engine confirms.
    """
    if not live.attempts:
        return
    key = (live.req.req_id, live.attempt.number)
    for name in {share.target for share in live.shares} | {live.attempt.target}:
        target = state.get_targets().get(name)
        if target and key in target.load.sends:
            target.load.remove(key, state.duties.last_step)
            target.in_flight -= 1
    last = live.shares[-1].hold if live.shares else ''
    for share in live.shares:
        if is_whole and share.hold == last:
            state.hold_ids.release(share.hold)
        else:
            cancel_hold(state, share.target, share.hold)
    live.shares = ()


def cancel_hold(state: State, target_name: str, hold: str) -> None:
    """Cancel a hold now and again until the engine confirms.

    That goes for a later incarnation of the engine, too: the job may have
    reached it before the instance list told of it.
    """
    state.guard.add_cancels(target_name, (hold,))
    target = state.get_targets().get(target_name)
    if target:
        state.act(CancelReservations(target_name, target.info.address, (hold,)))


def _settle_claim(state: State, live: Live, verdict: Verdict) -> None:
    wait = live.claim
    epoch = state.epochs.get(live.req.home)
    if wait is None or epoch is None:
        return
    outcome = verdict.outcome if wait.granted else Outcome.not_run
    claim_result = ClaimResult(
        wait.key,
        wait.claim_id,
        epoch.offset,
        outcome.value,
        verdict.status,
        verdict.body,
    )
    for member in epoch.get_replicas_by_key(wait.key):
        send(state, member, claim_result)


def send(state: State, member: str, payload: object) -> None:
    """Send a payload to a member, which may be this instance itself."""
    peer = state.fleet.peers.get(member)
    address = peer.info.address if peer else ''
    state.act(SendToPeer(member, address, payload))  # type: ignore[arg-type]
