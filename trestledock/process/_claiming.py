"""
Claiming
========

The claimant's side of claims.  A call with an idempotency key asks the first
replica of the key in the key's home data centre, repeats the same claim while
answers are lost or epochs change, and is given up at once where the platform
is away and a replica is gone, because nothing can change that soon.

A key whose claim can't be read may have run before, through another instance.
Its call is therefore refused as `unknown`, unless the caller says that it is
the first attempt; then `not_run` is certain.
"""

from trestledock.process._choosing import choose_service
from trestledock.process._claims import ClaimDecision
from trestledock.process._dispatching import start_call
from trestledock.process._ending import end, refuse, send
from trestledock.process._epoch import Epoch
from trestledock.process._live import ClaimWait, Live, Phase
from trestledock.process._payloads import ClaimAnswer, ClaimAsk
from trestledock.process._state import State
from trestledock.process._timers import ClaimDue
from trestledock.request import Outcome, Reason, Verdict

#: The part of the time that outcomes are kept which a claim may live.
TTL_PART = 0.5
#: How long to wait for a home in another data centre without any answer.
REMOTE_PATIENCE_S = 2.0
#: When to come back where the claim can't be read, in seconds.
CLAIM_WAIT_S = 5.0


def make_claim_key(live: Live) -> str:
    """Return the key under which a call runs at most once."""
    req = live.req
    return f'{req.team}/{req.service}/{req.idempotency_key}'


def ask_claim(state: State, live: Live, now: float) -> None:
    """Ask for the claim on a call's key, again where need be."""
    if live.claim is None:
        ttl_s = min(
            live.req.deadline - now,
            state.claims.keep_s * TTL_PART,
        )
        live.claim = ClaimWait(
            f'{state.member}/{live.req.req_id}',
            make_claim_key(live),
            not_after=now + ttl_s,
            heard_at=now,
        )
    wait = live.claim
    epoch = state.epochs.get(live.req.home)
    if _is_vain(state, epoch, wait, now):
        give_up_claim(state, live, Reason.claim_unverified, CLAIM_WAIT_S)
        return
    if epoch:
        ask = ClaimAsk(
            wait.key,
            wait.claim_id,
            epoch.offset,
            wait.not_after - now,
        )
        send(state, epoch.get_replicas_by_key(wait.key)[0], ask)
    due = now + state.timing.claim_retry_s
    state.set_timer(due, ClaimDue(live.req.req_id))


def on_claim_due(message: ClaimDue, state: State, now: float) -> None:
    """Ask again while there is no usable answer."""
    live = state.requests.get(message.req_id)
    if live and live.phase is Phase.claiming:
        ask_claim(state, live, now)


def on_claim_answer(state: State, answer: ClaimAnswer, now: float) -> None:
    """Take the answer of a key's first replica."""
    req_id = answer.claim_id.removeprefix(f'{state.member}/')
    live = state.requests.get(req_id)
    if live is None or live.phase is not Phase.claiming or not live.claim:
        return
    if live.claim.claim_id == answer.claim_id:
        live.claim.heard_at = now
        _TAKERS[ClaimDecision(answer.grant)](state, live, answer, now)


def give_up_claim(
    state: State,
    live: Live,
    reason: Reason,
    wait_s: float,
) -> None:
    """Refuse a call whose claim can't be had, honestly.

    Where the state of the key is lost, the caller is not told to come back:
    once it is forgotten that the state was lost, the key would run again.
    """
    refuse(state, live, reason, wait_s)


def _is_vain(
    state: State,
    epoch: Epoch | None,
    wait: ClaimWait,
    now: float,
) -> bool:
    if now >= wait.not_after:
        return True
    if epoch is None:
        impatient = now - wait.heard_at > REMOTE_PATIENCE_S
        return impatient or not state.is_log_fresh(now)
    peers = state.fleet.peers
    replicas = epoch.get_replicas_by_key(wait.key)
    known = [peers[name] for name in replicas if name in peers]
    home = state.identity.data_centre
    if any(peer.info.data_centre != home for peer in known):
        return now - wait.heard_at > REMOTE_PATIENCE_S
    missing = any(peer.gone for peer in known)
    unknown = len(known) + (state.member in replicas) < len(replicas)
    return (missing or unknown) and not state.is_log_fresh(now)


def _run(state: State, live: Live, answer: ClaimAnswer, now: float) -> None:
    wait = live.claim
    if wait is None or now >= wait.not_after:
        give_up_claim(state, live, Reason.claim_unverified, CLAIM_WAIT_S)
        return
    field = choose_service(state, live.req, now)
    if not field.candidates:
        refuse(state, live, field.reason, CLAIM_WAIT_S, field.detail)
        return
    wait.granted = True
    start_call(state, live, field.candidates, wait.not_after, now)


def _wait(state: State, live: Live, answer: ClaimAnswer, now: float) -> None:
    if live.claim:
        live.claim.refused = Reason.claim_pending.value


def _repeat(state: State, live: Live, answer: ClaimAnswer, now: float) -> None:
    state.count('claims', 'repeated')
    outcome = Outcome(answer.outcome)
    reason = Reason.none
    if outcome is not Outcome.answered:
        reason = Reason.claim_taken
    end(
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


def _end_unknown(
    state: State,
    live: Live,
    answer: ClaimAnswer,
    now: float,
) -> None:
    state.count('refused', Reason.claim_taken.value)
    verdict = Verdict(
        Outcome.unknown,
        Reason.claim_taken,
        step=live.phase.value,
    )
    end(state, live, verdict)


def _be_blind(
    state: State,
    live: Live,
    answer: ClaimAnswer,
    now: float,
) -> None:
    wait = live.claim
    if wait is None or now + answer.wait_s >= wait.not_after:
        give_up_claim(state, live, Reason.claim_state_lost, 0)


def _ignore(state: State, live: Live, answer: ClaimAnswer, now: float) -> None:
    state.count('claims', 'stale')


_TAKERS = {  # noqa: WPS407 - read only by name
    ClaimDecision.granted: _run,
    ClaimDecision.pending: _wait,
    ClaimDecision.done: _repeat,
    ClaimDecision.unknown: _end_unknown,
    ClaimDecision.blind: _be_blind,
    ClaimDecision.stale: _ignore,
}
