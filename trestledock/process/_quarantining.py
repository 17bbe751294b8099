"""
Quarantine of queries of death
==============================

Requests that crash the targets that run them are not sent to other targets.
Instances report each crash to their peers, and send new peers the whole
quarantine.  From time to time, one instance probes a quarantined request.
"""

from trestledock.process._completion import send_to_member
from trestledock.process._fleet import Peer
from trestledock.process._live_request import LiveRequest
from trestledock.process._payloads import TargetEnds
from trestledock.process._state import State
from trestledock.relay import Crash, QuarantineRecord, rank_by_key
from trestledock.request import Request


def record_crash(
    state: State, live: LiveRequest, target_name: str, now: float
) -> None:
    """Attribute the crash of a target to the names of a request it ran."""
    target = state.get_targets().get(target_name)
    if target is None:
        return
    for name in live.req.names:
        if state.quarantine.is_blamed(Crash(name, target.info.key, now)):
            crashes = TargetEnds(name, (target.info.key,))
            merge_crashes(state, crashes, now)
            _broadcast(state, crashes)


def merge_crashes(state: State, crashes: TargetEnds, now: float) -> None:
    """Merge the target crashes under a name, as seen here or by a peer."""
    record = QuarantineRecord(
        crashes.fingerprint,
        crashes.targets,
        cleared=crashes.cleared,
        ages_s=crashes.ages_s,
    )
    before = set(state.quarantine.get_blamed())
    state.quarantine.merge(record, now)
    for suspects in state.quarantine.get_blamed():
        if suspects not in before:
            detail = ' '.join(sorted(suspects))
            state.log_event('request_quarantined', detail=detail)
    for forgotten in state.quarantine.evict_excess():
        state.log_event('suspect_forgotten', detail=forgotten)


def send_quarantine(state: State, peer: Peer, now: float) -> None:
    """Send the quarantine to a peer that does not have it yet."""
    if peer.knows_quarantine:
        return
    peer.knows_quarantine = True
    for record in state.quarantine.get_records(now):
        crashes = TargetEnds(
            record.name, record.incarnations, record.cleared, record.ages_s
        )
        send_to_member(state, peer.info.member, crashes)


def record_completion(state: State, req: Request, began_at: float) -> None:
    """Record that a target completed a request, which clears its names.

    Its attempt began at `began_at`.
    """
    for name in req.names:
        cleared = state.quarantine.record_answer(name, began_at)
        if cleared:
            state.log_event('request_cleared', detail=name)
            _broadcast(state, TargetEnds(name, (), cleared))


def is_quarantined(state: State, live: LiveRequest) -> bool:
    """Whether a request must not be sent; a probe allows one attempt."""
    is_probe = live.is_trial and not live.attempts
    return not is_probe and state.quarantine.refuses(live.req.names)


def get_retry_after_s(state: State, req: Request, now: float) -> float:
    """Return after how many seconds a refused caller should retry."""
    suspects = state.quarantine.find_suspects(req.names) or ()
    return max(
        (state.quarantine.get_retry_after_s(name, now) for name in suspects),
        default=0,
    )


def start_due_probe(state: State, live: LiveRequest, now: float) -> None:
    """Let a quarantined request through to one target if a probe is due.

    Among instances that can reach each other, the same one always does so.
    """
    suspects = sorted(state.quarantine.find_suspects(live.req.names) or ())
    are_due = [state.quarantine.is_probe_due(name, now) for name in suspects]
    if not suspects or not all(are_due):
        return
    members = [
        state.member,
        *(peer.info.member for peer in _get_reachable_peers(state)),
    ]
    if rank_by_key(suspects[0], members)[0] == state.member:
        live.is_trial = True
        for name in suspects:
            state.quarantine.record_probe(name, now)


def _broadcast(state: State, crashes: TargetEnds) -> None:
    for peer in _get_reachable_peers(state):
        send_to_member(state, peer.info.member, crashes)


def _get_reachable_peers(state: State) -> list[Peer]:
    return [
        peer
        for member, peer in state.fleet.peers.items()
        if member != state.member and not peer.is_unreachable
    ]
