"""
Claim requests
==============

The claimant's side of claims.  A call with an idempotency key requests a claim
from the first replica of the key, in the key's home data centre.  It repeats
the same request while responses are lost or epochs change.  It gives up at once
if the platform is unavailable and a replica is unreachable, because without the
platform no new epoch can replace the replica.

If the claim can't be read, another instance may have run the call before.  The
call is then refused as `unknown`, unless the caller says that this is the first
attempt, which makes `not_run` certain.
"""

from trestledock.process._claims import ClaimDecision
from trestledock.process._completion import (
    finish_request,
    refuse,
    send_to_member,
)
from trestledock.process._dispatch import start_call
from trestledock.process._epoch import Epoch
from trestledock.process._live_request import LiveRequest, PendingClaim, Phase
from trestledock.process._payloads import ClaimAnswer, ClaimAsk
from trestledock.process._selection import choose_service
from trestledock.process._state import State
from trestledock.process._timers import ClaimDue
from trestledock.request import Outcome, Reason, Verdict

#: The time to live of a claim, as a fraction of the time for which outcomes are
#: kept.
CLAIM_TTL_FRACTION = 0.5
#: The timeout for a response from a home in another data centre, in seconds.
REMOTE_TIMEOUT_S = 2.0
#: The Retry-After time if the claim can't be read, in seconds.
CLAIM_RETRY_AFTER_S = 5.0


def make_claim_key(live: LiveRequest) -> str:
    """Return the key under which a call runs at most once."""
    req = live.req
    return f'{req.team}/{req.service}/{req.idempotency_key}'


def request_claim(state: State, live: LiveRequest, now: float) -> None:
    """Request the claim on a call's key, and schedule the next request."""
    if live.claim is None:
        ttl_s = min(
            live.req.deadline - now,
            state.claims.keep_s * CLAIM_TTL_FRACTION,
        )
        live.claim = PendingClaim(
            f'{state.member}/{live.req.req_id}',
            make_claim_key(live),
            not_after=now + ttl_s,
            heard_at=now,
        )
    claim = live.claim
    epoch = state.epochs.get(live.req.home)
    if _is_unobtainable(state, epoch, claim, now):
        refuse_unclaimed(
            state, live, Reason.claim_unverified, CLAIM_RETRY_AFTER_S
        )
        return
    if epoch:
        ask = ClaimAsk(
            claim.key,
            claim.claim_id,
            epoch.offset,
            claim.not_after - now,
        )
        send_to_member(state, epoch.get_replicas_by_key(claim.key)[0], ask)
    due = now + state.timing.claim_retry_s
    state.set_timer(due, ClaimDue(live.req.req_id))


def on_claim_due(message: ClaimDue, state: State, now: float) -> None:
    """Repeat the request while there is no usable response."""
    live = state.requests.get(message.req_id)
    if live and live.phase is Phase.claiming:
        request_claim(state, live, now)


def on_claim_answer(state: State, answer: ClaimAnswer, now: float) -> None:
    """Handle the response of a key's first replica."""
    req_id = answer.claim_id.removeprefix(f'{state.member}/')
    live = state.requests.get(req_id)
    if live is None or live.phase is not Phase.claiming or not live.claim:
        return
    if live.claim.claim_id == answer.claim_id:
        live.claim.heard_at = now
        _ANSWER_HANDLERS[ClaimDecision(answer.grant)](state, live, answer, now)


def refuse_unclaimed(
    state: State,
    live: LiveRequest,
    reason: Reason,
    wait_s: float,
) -> None:
    """Refuse a call whose claim can't be obtained.

    If the key's history is lost, there is no Retry-After time (`wait_s` is 0):
    after the unknown history has expired, the key would run again.
    """
    refuse(state, live, reason, wait_s)


def _is_unobtainable(
    state: State,
    epoch: Epoch | None,
    claim: PendingClaim,
    now: float,
) -> bool:
    if now >= claim.not_after:
        return True
    if epoch is None:
        has_timed_out = now - claim.heard_at > REMOTE_TIMEOUT_S
        return has_timed_out or not state.is_log_fresh(now)
    peers = state.fleet.peers
    replicas = epoch.get_replicas_by_key(claim.key)
    known = [peers[name] for name in replicas if name in peers]
    home = state.identity.data_centre
    if any(peer.info.data_centre != home for peer in known):
        return now - claim.heard_at > REMOTE_TIMEOUT_S
    is_unreachable = any(peer.is_unreachable for peer in known)
    is_unknown = len(known) + (state.member in replicas) < len(replicas)
    return (is_unreachable or is_unknown) and not state.is_log_fresh(now)


def _on_granted(
    state: State, live: LiveRequest, answer: ClaimAnswer, now: float
) -> None:
    claim = live.claim
    if claim is None or now >= claim.not_after:
        refuse_unclaimed(
            state, live, Reason.claim_unverified, CLAIM_RETRY_AFTER_S
        )
        return
    candidate_set = choose_service(state, live.req, now)
    if not candidate_set.candidates:
        refuse(
            state,
            live,
            candidate_set.reason,
            CLAIM_RETRY_AFTER_S,
            candidate_set.detail,
        )
        return
    claim.granted = True
    start_call(state, live, candidate_set.candidates, claim.not_after, now)


def _on_pending(
    state: State, live: LiveRequest, answer: ClaimAnswer, now: float
) -> None:
    if live.claim:
        live.claim.refused = Reason.claim_pending.value


def _on_done(
    state: State, live: LiveRequest, answer: ClaimAnswer, now: float
) -> None:
    state.count('claims', 'repeated')
    outcome = Outcome(answer.outcome)
    reason = Reason.none
    if outcome is not Outcome.answered:
        reason = Reason.claim_taken
    finish_request(
        state,
        live,
        Verdict(
            outcome,
            reason,
            step=live.phase.value,
            status=answer.status,
            body=answer.body,
        ),
    )


def _on_unknown(
    state: State,
    live: LiveRequest,
    answer: ClaimAnswer,
    now: float,
) -> None:
    state.count('refused', Reason.claim_taken.value)
    verdict = Verdict(
        Outcome.unknown,
        Reason.claim_taken,
        step=live.phase.value,
    )
    finish_request(state, live, verdict)


def _on_unknown_history(
    state: State,
    live: LiveRequest,
    answer: ClaimAnswer,
    now: float,
) -> None:
    claim = live.claim
    if claim is None or now + answer.wait_s >= claim.not_after:
        refuse_unclaimed(state, live, Reason.claim_state_lost, 0)


def _on_stale(
    state: State, live: LiveRequest, answer: ClaimAnswer, now: float
) -> None:
    state.count('claims', 'stale')


_ANSWER_HANDLERS = {  # noqa: WPS407 - read only by name
    ClaimDecision.granted: _on_granted,
    ClaimDecision.pending: _on_pending,
    ClaimDecision.done: _on_done,
    ClaimDecision.unknown: _on_unknown,
    ClaimDecision.blind: _on_unknown_history,
    ClaimDecision.stale: _on_stale,
}
