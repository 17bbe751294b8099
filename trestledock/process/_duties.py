"""
Duties
======

What an instance does once a heartbeat: it tells its peers that it lives, marks
those that don't, proposes epochs, asks for the lease, and repeats whatever has
not been confirmed.
"""

from trestledock.process._actions import AppendRecord, SendToPeer
from trestledock.process._answers import end_silent_streams
from trestledock.process._dispatching import pump_all
from trestledock.process._ending import send
from trestledock.process._fleet import Peer
from trestledock.process._guarding import (
    keep_blocks,
    mark_gone,
    repeat_cancels,
)
from trestledock.process._identity import LOCAL_FANOUT, REMOTE_FANOUT
from trestledock.process._orders import give_orders
from trestledock.process._payloads import (
    Digest,
    Heartbeat,
    SealAsk,
    TeamDemand,
)
from trestledock.process._state import State
from trestledock.process._timers import HeartbeatDue
from trestledock.version import (
    EPOCH_PREFIX,
    LEASE_PREFIX,
    EpochBody,
    LeaseBody,
    Record,
    dump_json,
    make_snapshot_record,
)


def on_heartbeat_due(
    message: HeartbeatDue,
    state: State,
    now: float,
) -> None:
    """Do every duty once and set the timer for the next time."""
    state.set_timer(now + state.timing.heartbeat_s, HeartbeatDue())
    for duty in DUTIES:
        duty(state, now)


def get_local_peers(state: State) -> list[Peer]:
    """Return the other instances of this data centre that are not gone."""
    peers = state.fleet.get_live_peers(state.identity.data_centre)
    return [peer for peer in peers if peer.info.member != state.member]


def mark_gone_peers(state: State, now: float) -> None:
    """Mark the peers that have fallen silent.

    Those are the peers of the data centre, the owners of guarded holds and
    the guards of own ones; others send heartbeats too seldom for that.
    """
    owners = {watched.owner for watched in state.guard.watched}
    owners |= state.hold_ids.get_guards()
    watched_peers = [
        peer
        for name, peer in state.fleet.peers.items()
        if name in owners and not peer.gone
    ]
    for peer in (*get_local_peers(state), *watched_peers):
        member = peer.info.member
        heard_at = now - state.liveness.get_age(member, now)
        if now - max(peer.heard_at, heard_at) > state.timing.peer_dead_s:
            mark_gone(state, peer)


def forget_peers(state: State, now: float) -> None:
    """Forget peers that have been gone for long."""
    older_s = state.timing.forget_peer_s
    for member, peer in tuple(state.fleet.peers.items()):
        if peer.gone and now - peer.heard_at > older_s:
            state.fleet.peers.pop(member)
    state.liveness.forget(now, older_s)


def send_heartbeats(state: State, now: float) -> None:
    """Tell a few peers that this instance lives, and what they may lack.

    An instance that is not in the epoch yet tells every listed peer of its
    data centre, since the others' ages don't cover it.
    """
    heartbeat = make_heartbeat(state, now)
    local = get_local_peers(state)
    epoch = state.claims.epoch
    if epoch and state.member in epoch.members:
        local = state.rng.sample(local, min(LOCAL_FANOUT, len(local)))
    remote = [
        peer
        for peer in state.fleet.peers.values()
        if peer.info.data_centre != state.identity.data_centre
    ]
    chosen = state.rng.sample(remote, min(REMOTE_FANOUT, len(remote)))
    members = {peer.info.member for peer in (*local, *chosen)}
    members |= state.hold_ids.get_guards()
    members |= {watched.owner for watched in state.guard.watched}
    for member in sorted(members):
        send(state, member, heartbeat)
    for info in state.fleet.get_strangers():
        if info.name != state.identity.instance:
            state.act(SendToPeer(info.member, info.address, heartbeat))


def make_heartbeat(state: State, now: float) -> Heartbeat:
    """Return this instance's heartbeat."""
    cfg = state.version.cfg
    limited = [team.name for team in cfg.teams if team.limit] if cfg else []
    epoch = state.claims.epoch
    return Heartbeat(
        data_centre=state.identity.data_centre,
        address=state.address,
        offset=state.reader.fold.next_offset,
        epoch=epoch.offset if epoch else -1,
        ages=state.liveness.encode(epoch.members, now) if epoch else '',
        leaving=state.shutting_down,
        leaving_targets=_get_leaving(state),
        digests=_get_digests(state, now),
        demands=tuple(
            TeamDemand(name, state.limits.get_demand(name, now))
            for name in limited
        ),
    )


def propose_epoch(state: State, now: float) -> None:
    """Propose the live members as the next epoch, once they have settled."""
    wanted = _get_wanted_members(state)
    if wanted != state.duties.wanted_members:
        state.duties.wanted_members = wanted
        state.duties.wanted_since = now
    cfg = state.version.cfg
    if not wanted or cfg is None or not _may_append(state, now):
        return
    epoch = state.claims.epoch
    replicas = cfg.claims.replicas
    if epoch and epoch.members == wanted and epoch.body.replicas == replicas:
        return
    rank = wanted.index(state.member) if state.member in wanted else 0
    settled_at = state.duties.wanted_since + state.timing.epoch_settle_s
    if now < settled_at + rank * state.timing.append_retry_s:
        return
    if now - state.duties.epoch_asked_at < state.timing.append_retry_s:
        return
    state.duties.epoch_asked_at = now
    body = EpochBody(wanted, replicas)
    if epoch:
        body = EpochBody(
            wanted,
            replicas,
            epoch.offset,
            epoch.members,
            epoch.body.replicas,
        )
    _append(state, EPOCH_PREFIX, dump_json(body))


def ask_for_seals(state: State, now: float) -> None:
    """Ask the members of earlier epochs for what they remember."""
    gone = {
        name
        for handover in state.claims.handovers.values()
        for name in handover.members
        if _has_ended(state, name, now)
    }
    state.claims.forget(gone, now)
    scope = EPOCH_PREFIX + state.identity.data_centre
    accepted = state.reader.fold.get_accepted_by_scope(scope)
    if accepted is None:
        return
    for member in state.claims.get_unheard():
        if member in state.fleet.peers:
            send(state, member, SealAsk(accepted))


def ask_for_lease(state: State, now: float) -> None:
    """Ask for the data centre's lease, or renew it."""
    members = state.duties.wanted_members
    if state.member not in members or not _may_append(state, now):
        return
    if state.lease.should_request(now, members.index(state.member)):
        body = LeaseBody(state.member, state.timing.lease_s)
        record_id = _append(state, LEASE_PREFIX, dump_json(body))
        state.lease.record_request(record_id, now)


def keep_snapshot(state: State, now: float) -> None:
    """Keep the state on the log, well before its records expire."""
    seen = state.reader.snapshots_seen
    if seen != state.duties.snapshots_seen or not state.duties.snapshot_due:
        wait_s = state.timing.snapshot_s * state.rng.uniform(1, 2)
        state.duties.snapshots_seen = seen
        state.duties.snapshot_due = now + wait_s
    if now >= state.duties.snapshot_due and _may_append(state, now):
        state.duties.snapshot_due = 0
        record_id = state.make_record_id('snapshot')
        record = make_snapshot_record(record_id, state.reader.fold)
        state.act(AppendRecord(record))


def keep_holds(state: State, now: float) -> None:
    """Keep hold blocks guarded and repeat cancels."""
    keep_blocks(state, now)
    repeat_cancels(state)


def tidy(state: State, now: float) -> None:
    """Drop what has become old, and try what waits once more."""
    for target in state.get_targets().values():
        target.load.forget_done(now)
    pump_all(state, now)


def is_drained(state: State) -> bool:
    """Whether nothing is lost if this instance ends now."""
    if state.requests or state.guard.to_cancel:
        return False
    epoch = state.claims.epoch
    if epoch is None:
        return True
    if state.member in epoch.members:
        return not _get_wanted_members(state)
    return state.claims.handed_to >= set(epoch.members)


def _has_ended(state: State, member: str, now: float) -> bool:
    """Whether a member surely runs no more.

    The platform has dropped it from its list, or its instance has started
    again since; and it has not been heard lately.
    """
    name, _, incarnation = member.partition('#')
    own = name == state.identity.instance
    restarted = own and incarnation < state.identity.incarnation
    ended = (
        restarted
        or member in state.duties.delisted
        or state.fleet.is_superseded(member)
    )
    silent_s = state.liveness.get_age(member, now)
    return ended and silent_s > state.timing.peer_dead_s


def _get_wanted_members(state: State) -> tuple[str, ...]:
    names = [
        peer.info.member for peer in get_local_peers(state) if not peer.leaving
    ]
    if not state.shutting_down:
        names.append(state.member)
    return tuple(sorted(names))


def _may_append(state: State, now: float) -> bool:
    return state.is_log_fresh(now) and state.reader.at_tail


def _append(state: State, prefix: str, body: str) -> str:
    scope = prefix + state.identity.data_centre
    record_id = state.make_record_id(scope)
    base = state.reader.fold.get_base_by_scope(scope)
    state.act(AppendRecord(Record(record_id, scope, base, body)))
    return record_id


def _get_leaving(state: State) -> tuple[str, ...]:
    present = {target.info.key for target in state.get_targets().values()}
    return tuple(sorted(state.fleet.leaving & present))


def _get_digests(state: State, now: float) -> tuple[Digest, ...]:
    return tuple(
        Digest(
            name,
            round(now - target.load.reported_at, 3),
            target.load.report.queued,
            target.load.report.free_tokens,
            target.load.report.accepted_tokens,
        )
        for name, target in state.get_targets().items()
        if target.polled and target.load.report
    )


DUTIES = (
    mark_gone_peers,
    forget_peers,
    send_heartbeats,
    propose_epoch,
    ask_for_seals,
    ask_for_lease,
    give_orders,
    keep_snapshot,
    keep_holds,
    end_silent_streams,
    tidy,
)
