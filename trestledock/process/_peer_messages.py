"""
Messages from peers
===================

Handles the payloads of peers: heartbeats with load, demand and draining
targets, the log's state for instances that are behind, claims, watched
reservations, and crashes of targets.
"""

from functools import singledispatch

from trestledock.process import _payloads as payloads
from trestledock.process._application import apply_accepted
from trestledock.process._claim_requests import on_claim_answer
from trestledock.process._completion import send_to_member
from trestledock.process._epoch import Epoch
from trestledock.process._messages import PeerMessage
from trestledock.process._quarantining import merge_crashes, send_quarantine
from trestledock.process._reservation_watch import (
    mark_unreachable,
    on_hold_block,
    on_hold_block_kept,
)
from trestledock.process._state import State
from trestledock.process._targets import LoadReport, PeerInfo
from trestledock.version import EpochBody, load_json


def on_peer_message(message: PeerMessage, state: State, now: float) -> None:
    """Handle a message from a peer."""
    handle_payload(message.payload, message.sender, state, now)


@singledispatch
def handle_payload(
    payload: object,
    sender: str,
    state: State,
    now: float,
) -> None:
    """Handle one payload; each type has its handler below."""
    raise TypeError(f'no handler for payload {type(payload).__name__}')


@handle_payload.register
def _(
    payload: payloads.Heartbeat,
    sender: str,
    state: State,
    now: float,
) -> None:
    name, _, incarnation = sender.partition('#')
    info = PeerInfo(
        name,
        incarnation,
        payload.address,
        payload.data_centre,
        payload.leaving,
    )
    for earlier in state.fleet.get_superseded(info):
        mark_unreachable(state, earlier)
    peer = state.fleet.record_heartbeat(info, now)
    send_quarantine(state, peer, now)
    peer.demands = {item.team: item.demand for item in payload.demands}
    for key in payload.leaving_targets:
        if state.fleet.mark_draining(key):
            state.log_event('target_leaving', sender, key)
    for digest in payload.digests:
        _merge_digest(state, digest, now)
    if payload.data_centre == state.identity.data_centre:
        _merge_ages(state, sender, payload, now)
    if payload.offset > state.reader.fold.next_offset:
        send_to_member(
            state, sender, payloads.StateAsk(state.reader.fold.next_offset)
        )


@handle_payload.register
def _(
    payload: payloads.StateAsk,
    sender: str,
    state: State,
    now: float,
) -> None:
    if state.reader.fold.next_offset > payload.offset:
        snapshot = state.reader.fold.get_snapshot()
        send_to_member(state, sender, payloads.StateAnswer(snapshot))


@handle_payload.register
def _(
    payload: payloads.StateAnswer,
    sender: str,
    state: State,
    now: float,
) -> None:
    state.reader.install_snapshot(payload.snapshot)
    apply_accepted(state, now)


@handle_payload.register
def _(
    payload: payloads.ClaimAsk,
    sender: str,
    state: State,
    now: float,
) -> None:
    if has_quorum(state, now):
        _send_all(state, state.claims.handle_ask(sender, payload, now))


@handle_payload.register
def _(
    payload: payloads.ClaimCopy,
    sender: str,
    state: State,
    now: float,
) -> None:
    if has_quorum(state, now):
        _send_all(state, state.claims.handle_copy(sender, payload, now))


@handle_payload.register
def _(
    payload: payloads.ClaimCopied,
    sender: str,
    state: State,
    now: float,
) -> None:
    if has_quorum(state, now):
        _send_all(state, state.claims.handle_copied(sender, payload))


@handle_payload.register
def _(
    payload: payloads.ClaimAnswer,
    sender: str,
    state: State,
    now: float,
) -> None:
    on_claim_answer(state, payload, now)


@handle_payload.register
def _(
    payload: payloads.ClaimResult,
    sender: str,
    state: State,
    now: float,
) -> None:
    state.claims.handle_result(payload)


@handle_payload.register
def _(
    payload: payloads.SealAsk,
    sender: str,
    state: State,
    now: float,
) -> None:
    body = load_json(payload.accepted.body, EpochBody)
    epoch = Epoch(payload.accepted.offset, body)
    state.claims.enter_epoch(epoch, now)
    if state.claims.epoch and state.claims.epoch.offset == epoch.offset:
        send_to_member(state, sender, state.claims.seal(sender, now))


@handle_payload.register
def _(
    payload: payloads.SealAnswer,
    sender: str,
    state: State,
    now: float,
) -> None:
    state.claims.import_claims(sender, payload, now)


@handle_payload.register
def _(
    payload: payloads.HoldBlock,
    sender: str,
    state: State,
    now: float,
) -> None:
    on_hold_block(state, sender, payload)


@handle_payload.register
def _(
    payload: payloads.HoldBlockKept,
    sender: str,
    state: State,
    now: float,
) -> None:
    on_hold_block_kept(state, sender, payload)


@handle_payload.register
def _(
    payload: payloads.TargetEnds,
    sender: str,
    state: State,
    now: float,
) -> None:
    merge_crashes(state, payload, now)


def has_quorum(state: State, now: float) -> bool:
    """Whether this member may grant claims, as it is certainly not isolated.

    Either the log was read recently, so that a newer epoch would be known, or
    more than half of the epoch's members were heard recently.
    """
    epoch = state.claims.epoch
    if epoch is None:
        return False
    if state.is_log_fresh(now) and state.reader.at_tail:
        return True
    live_count = sum(
        name == state.member
        or state.liveness.get_age(name, now) < state.timing.peer_dead_s
        for name in epoch.members
    )
    return live_count * 2 > len(epoch.members)


def _send_all(state: State, sends: list) -> None:
    for member, payload in sends:
        send_to_member(state, member, payload)


def _merge_ages(
    state: State,
    sender: str,
    payload: payloads.Heartbeat,
    now: float,
) -> None:
    epoch = state.claims.epoch
    current = epoch.offset if epoch else -1
    if payload.epoch > current:
        return
    state.liveness.record_heard(sender, now)
    if epoch and payload.epoch == current:
        state.liveness.merge(epoch.members, payload.ages, now)


def _merge_digest(state: State, digest: payloads.Digest, now: float) -> None:
    target = state.get_targets().get(digest.target)
    known = target.load.report if target else None
    if target is None or known is None:
        return
    report = LoadReport(
        digest.age_s,
        digest.queued,
        digest.free_tokens,
        known.capacity_tokens,
        known.rate,
        known.itl_s,
        digest.accepted_tokens,
        models=known.models,
    )
    target.load.record_report(report, now)
