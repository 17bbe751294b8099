"""
Peering
=======

What instances tell each other: heartbeats with load, demand and leaving
targets, the state of the log for those that are behind, and claims.
"""

from functools import singledispatch

from trestledock.process import _payloads as payloads
from trestledock.process._applying import apply_accepted
from trestledock.process._claiming import on_claim_answer
from trestledock.process._ending import send
from trestledock.process._epoch import Epoch
from trestledock.process._guarding import mark_gone, note_kept, take_block
from trestledock.process._isolating import take_ends, tell_new_peer
from trestledock.process._messages import PeerMessage
from trestledock.process._state import State
from trestledock.process._targets import LoadReport, PeerInfo
from trestledock.version import EpochBody, load_json


def on_peer_message(message: PeerMessage, state: State, now: float) -> None:
    """Take a payload from a peer."""
    take(message.payload, message.sender, state, now)


@singledispatch
def take(
    payload: object,
    sender: str,
    state: State,
    now: float,
) -> None:
    """Take one payload; the kinds below are all there are."""
    raise TypeError(f'no peer sends {type(payload).__name__}')


@take.register
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
        mark_gone(state, earlier)
    peer = state.fleet.hear_peer(info, now)
    tell_new_peer(state, peer, now)
    peer.demands = {one.team: one.demand for one in payload.demands}
    for key in payload.leaving_targets:
        if state.fleet.mark_draining(key):
            state.note('target_leaving', sender, key)
    for digest in payload.digests:
        _take_digest(state, digest, now)
    if payload.data_centre == state.identity.data_centre:
        _take_ages(state, sender, payload, now)
    if payload.offset > state.reader.fold.next_offset:
        send(state, sender, payloads.StateAsk(state.reader.fold.next_offset))


@take.register
def _(
    payload: payloads.StateAsk,
    sender: str,
    state: State,
    now: float,
) -> None:
    if state.reader.fold.next_offset > payload.offset:
        snapshot = state.reader.fold.get_snapshot()
        send(state, sender, payloads.StateAnswer(snapshot))


@take.register
def _(
    payload: payloads.StateAnswer,
    sender: str,
    state: State,
    now: float,
) -> None:
    state.reader.install_snapshot(payload.snapshot)
    apply_accepted(state, now)


@take.register
def _(
    payload: payloads.ClaimAsk,
    sender: str,
    state: State,
    now: float,
) -> None:
    if has_support(state, now):
        _send_all(state, state.claims.handle_ask(sender, payload, now))


@take.register
def _(
    payload: payloads.ClaimCopy,
    sender: str,
    state: State,
    now: float,
) -> None:
    if has_support(state, now):
        _send_all(state, state.claims.handle_copy(sender, payload, now))


@take.register
def _(
    payload: payloads.ClaimCopied,
    sender: str,
    state: State,
    now: float,
) -> None:
    if has_support(state, now):
        _send_all(state, state.claims.handle_copied(sender, payload))


@take.register
def _(
    payload: payloads.ClaimAnswer,
    sender: str,
    state: State,
    now: float,
) -> None:
    on_claim_answer(state, payload, now)


@take.register
def _(
    payload: payloads.ClaimResult,
    sender: str,
    state: State,
    now: float,
) -> None:
    state.claims.handle_result(payload)


@take.register
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
        send(state, sender, state.claims.seal(sender, now))


@take.register
def _(
    payload: payloads.SealAnswer,
    sender: str,
    state: State,
    now: float,
) -> None:
    state.claims.take_over(sender, payload, now)


@take.register
def _(
    payload: payloads.HoldBlock,
    sender: str,
    state: State,
    now: float,
) -> None:
    take_block(state, sender, payload)


@take.register
def _(
    payload: payloads.HoldBlockKept,
    sender: str,
    state: State,
    now: float,
) -> None:
    note_kept(state, sender, payload)


@take.register
def _(
    payload: payloads.TargetEnds,
    sender: str,
    state: State,
    now: float,
) -> None:
    take_ends(state, payload, now)


def has_support(state: State, now: float) -> bool:
    """Whether this member may grant: it is surely not cut off alone.

    Either the log has answered lately, so that a newer epoch would be known,
    or more than half of the epoch's members were heard lately.
    """
    epoch = state.claims.epoch
    if epoch is None:
        return False
    if state.is_log_fresh(now) and state.reader.at_tail:
        return True
    heard = sum(
        name == state.member
        or state.liveness.get_age(name, now) < state.timing.peer_dead_s
        for name in epoch.members
    )
    return heard * 2 > len(epoch.members)


def _send_all(state: State, sends: list) -> None:
    for member, payload in sends:
        send(state, member, payload)


def _take_ages(
    state: State,
    sender: str,
    payload: payloads.Heartbeat,
    now: float,
) -> None:
    epoch = state.claims.epoch
    current = epoch.offset if epoch else -1
    if payload.epoch > current:
        return
    state.liveness.hear(sender, now)
    if epoch and payload.epoch == current:
        state.liveness.merge(epoch.members, payload.ages, now)


def _take_digest(state: State, digest: payloads.Digest, now: float) -> None:
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
    target.load.take_report(report, now)
