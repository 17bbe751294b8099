"""
Periodic tasks
==============

The tasks that an instance runs at each heartbeat: it sends heartbeats, marks
unreachable peers, proposes epochs, requests the lease, and repeats unconfirmed
messages.
"""

from trestledock.process._actions import AppendRecord, SendToPeer
from trestledock.process._attempt_results import fail_silent_streams
from trestledock.process._completion import send_to_member
from trestledock.process._dispatch import schedule_dispatch_of_all
from trestledock.process._fleet import Peer
from trestledock.process._identity import LOCAL_FANOUT, REMOTE_FANOUT
from trestledock.process._orders import send_orders
from trestledock.process._payloads import (
    Digest,
    Heartbeat,
    SealAsk,
    TeamDemand,
)
from trestledock.process._reservation_watch import (
    maintain_blocks,
    mark_unreachable,
    repeat_cancels,
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
    """Run all periodic tasks and schedule the next run."""
    state.set_timer(now + state.timing.heartbeat_s, HeartbeatDue())
    for task in PERIODIC_TASKS:
        task(state, now)


def get_local_peers(state: State) -> list[Peer]:
    """Return the other reachable instances of this data centre."""
    peers = state.fleet.get_live_peers(state.identity.data_centre)
    return [peer for peer in peers if peer.info.member != state.member]


def detect_unreachable_peers(state: State, now: float) -> None:
    """Mark the peers that have timed out.

    This covers the peers of the data centre, the owners of watched blocks and
    the watchers of own blocks; all others send heartbeats too rarely.
    """
    owners = {watched.owner for watched in state.reservation_watch.watched}
    owners |= state.reservation_ids.get_notified_peers()
    watched_peers = [
        peer
        for name, peer in state.fleet.peers.items()
        if name in owners and not peer.is_unreachable
    ]
    for peer in (*get_local_peers(state), *watched_peers):
        member = peer.info.member
        heard_at = now - state.liveness.get_age(member, now)
        if now - max(peer.heard_at, heard_at) > state.timing.peer_dead_s:
            mark_unreachable(state, peer)


def expire_peers(state: State, now: float) -> None:
    """Remove peers that have been unreachable for a long time."""
    retention_s = state.timing.forget_peer_s
    for member, peer in tuple(state.fleet.peers.items()):
        if peer.is_unreachable and now - peer.heard_at > retention_s:
            state.fleet.peers.pop(member)
    state.liveness.expire(now, retention_s)


def send_heartbeats(state: State, now: float) -> None:
    """Send a heartbeat to a few random peers.

    An instance that is not yet in the epoch sends it to all peers of its data
    centre, because the ages in other heartbeats don't cover it.  Owners and
    watchers of reservation blocks always get one.
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
    members |= state.reservation_ids.get_notified_peers()
    members |= {watched.owner for watched in state.reservation_watch.watched}
    for member in sorted(members):
        send_to_member(state, member, heartbeat)
    for info in state.fleet.get_unknown_peers():
        if info.name != state.identity.instance:
            state.emit(SendToPeer(info.member, info.address, heartbeat))


def make_heartbeat(state: State, now: float) -> Heartbeat:
    """Return a heartbeat of this instance."""
    cfg = state.version.cfg
    limited_teams = (
        [team.name for team in cfg.teams if team.limit] if cfg else []
    )
    epoch = state.claims.epoch
    return Heartbeat(
        data_centre=state.identity.data_centre,
        address=state.address,
        offset=state.reader.fold.next_offset,
        epoch=epoch.offset if epoch else -1,
        ages=state.liveness.encode(epoch.members, now) if epoch else '',
        leaving=state.shutting_down,
        leaving_targets=_get_draining(state),
        digests=_get_digests(state, now),
        demands=tuple(
            TeamDemand(name, state.limits.get_demand(name, now))
            for name in limited_teams
        ),
    )


def propose_epoch(state: State, now: float) -> None:
    """Propose the reachable members as the next epoch, once they are stable."""
    desired = _get_desired_members(state)
    if desired != state.bookkeeping.desired_members:
        state.bookkeeping.desired_members = desired
        state.bookkeeping.desired_since = now
    cfg = state.version.cfg
    if not desired or cfg is None or not _may_append(state, now):
        return
    epoch = state.claims.epoch
    replicas = cfg.claims.replicas
    if epoch and epoch.members == desired and epoch.body.replicas == replicas:
        return
    rank = desired.index(state.member) if state.member in desired else 0
    settled_at = state.bookkeeping.desired_since + state.timing.epoch_settle_s
    if now < settled_at + rank * state.timing.append_retry_s:
        return
    if now - state.bookkeeping.epoch_proposed_at < state.timing.append_retry_s:
        return
    state.bookkeeping.epoch_proposed_at = now
    body = EpochBody(desired, replicas)
    if epoch:
        body = EpochBody(
            desired,
            replicas,
            epoch.offset,
            epoch.members,
            epoch.body.replicas,
        )
    _append(state, EPOCH_PREFIX, dump_json(body))


def request_seals(state: State, now: float) -> None:
    """Ask the members of earlier epochs to seal and hand over their claims."""
    terminated = {
        name
        for handover in state.claims.handovers.values()
        for name in handover.members
        if _has_terminated(state, name, now)
    }
    state.claims.expire(terminated, now)
    scope = EPOCH_PREFIX + state.identity.data_centre
    accepted = state.reader.fold.get_accepted_by_scope(scope)
    if accepted is None:
        return
    for member in state.claims.get_unsealed_members():
        if member in state.fleet.peers:
            send_to_member(state, member, SealAsk(accepted))


def request_lease(state: State, now: float) -> None:
    """Request or renew the lease of the data centre."""
    members = state.bookkeeping.desired_members
    if state.member not in members or not _may_append(state, now):
        return
    if state.lease.should_request(now, members.index(state.member)):
        body = LeaseBody(state.member, state.timing.lease_s)
        record_id = _append(state, LEASE_PREFIX, dump_json(body))
        state.lease.record_request(record_id, now)


def append_snapshot(state: State, now: float) -> None:
    """Append a snapshot to the log, well before its records expire."""
    snapshots_seen = state.reader.snapshots_seen
    if (
        snapshots_seen != state.bookkeeping.snapshots_seen
        or not state.bookkeeping.snapshot_due
    ):
        wait_s = state.timing.snapshot_s * state.rng.uniform(1, 2)
        state.bookkeeping.snapshots_seen = snapshots_seen
        state.bookkeeping.snapshot_due = now + wait_s
    if now >= state.bookkeeping.snapshot_due and _may_append(state, now):
        state.bookkeeping.snapshot_due = 0
        record_id = state.make_record_id('snapshot')
        record = make_snapshot_record(record_id, state.reader.fold)
        state.emit(AppendRecord(record))


def maintain_reservations(state: State, now: float) -> None:
    """Keep blocks of reservations watched, and repeat unconfirmed cancels."""
    maintain_blocks(state, now)
    repeat_cancels(state)


def run_housekeeping(state: State, now: float) -> None:
    """Drop old load data and retry queued requests."""
    for target in state.get_targets().values():
        target.load.expire_finished_work(now)
    schedule_dispatch_of_all(state, now)


def is_drained(state: State) -> bool:
    """Whether this instance can terminate without loss."""
    if state.requests or state.reservation_watch.to_cancel:
        return False
    epoch = state.claims.epoch
    if epoch is None:
        return True
    if state.member in epoch.members:
        return not _get_desired_members(state)
    return state.claims.handed_over_to >= set(epoch.members)


def _has_terminated(state: State, member: str, now: float) -> bool:
    """Whether a member has certainly terminated.

    This is the case if it has timed out, and either the platform no longer
    lists it or its instance has restarted since.
    """
    name, _, incarnation = member.partition('#')
    is_own = name == state.identity.instance
    has_restarted = is_own and incarnation < state.identity.incarnation
    is_replaced = (
        has_restarted
        or member in state.bookkeeping.unlisted_members
        or state.fleet.is_superseded(member)
    )
    silent_s = state.liveness.get_age(member, now)
    return is_replaced and silent_s > state.timing.peer_dead_s


def _get_desired_members(state: State) -> tuple[str, ...]:
    names = [
        peer.info.member for peer in get_local_peers(state) if not peer.draining
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
    state.emit(AppendRecord(Record(record_id, scope, base, body)))
    return record_id


def _get_draining(state: State) -> tuple[str, ...]:
    present = {target.info.key for target in state.get_targets().values()}
    return tuple(sorted(state.fleet.draining & present))


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


PERIODIC_TASKS = (
    detect_unreachable_peers,
    expire_peers,
    send_heartbeats,
    propose_epoch,
    request_seals,
    request_lease,
    send_orders,
    append_snapshot,
    maintain_reservations,
    fail_silent_streams,
    run_housekeeping,
)
