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
from trestledock.relay import Crash, rank_by_key
from trestledock.request import Request


def record_crash(
    state: State, live: LiveRequest, target_name: str, now: float
) -> None:
    """Attribute the crash of a target to a request that it ran."""
    target = state.get_targets().get(target_name)
    fingerprint = live.req.fingerprint
    if target is None or not fingerprint:
        return
    crash = Crash(fingerprint, target.info.key)
    if state.quarantine.is_blamed(crash, now):
        crashes = TargetEnds(fingerprint, (crash.incarnation,))
        merge_crashes(state, crashes, now)
        _broadcast(state, crashes)


def merge_crashes(state: State, crashes: TargetEnds, now: float) -> None:
    """Merge the target crashes under a request, as seen here or by a peer."""
    state.quarantine.clear_crashes(crashes.fingerprint, crashes.cleared)
    was_quarantined = state.quarantine.is_quarantined(crashes.fingerprint)
    for incarnation in crashes.targets:
        state.quarantine.record_crash(
            Crash(crashes.fingerprint, incarnation), now
        )
    if (
        state.quarantine.is_quarantined(crashes.fingerprint)
        and not was_quarantined
    ):
        state.log_event('request_quarantined', detail=crashes.fingerprint)
    for forgotten in state.quarantine.evict_excess():
        state.log_event('suspect_forgotten', detail=forgotten)


def send_quarantine(state: State, peer: Peer, now: float) -> None:
    """Send the quarantine to a peer that does not have it yet."""
    if peer.knows_quarantine:
        return
    peer.knows_quarantine = True
    for record in state.quarantine.get_records(now):
        crashes = TargetEnds(
            record.fingerprint, record.incarnations, record.cleared
        )
        send_to_member(state, peer.info.member, crashes)


def record_completion(state: State, req: Request, now: float) -> None:
    """Record that a target completed a request, which clears it."""
    if not req.fingerprint:
        return
    cleared = state.quarantine.record_answer(req.fingerprint, now)
    if cleared:
        state.log_event('request_cleared', detail=req.fingerprint)
        _broadcast(state, TargetEnds(req.fingerprint, (), cleared))


def is_quarantined(state: State, live: LiveRequest) -> bool:
    """Whether a request must not be sent; a probe allows one attempt."""
    is_probe = live.is_trial and not live.attempts
    return not is_probe and state.quarantine.is_quarantined(
        live.req.fingerprint
    )


def start_due_probe(state: State, live: LiveRequest, now: float) -> None:
    """Let a quarantined request through to one target if a probe is due.

    Among instances that can reach each other, the same one always does so.
    """
    fingerprint = live.req.fingerprint
    is_due = state.quarantine.is_probe_due(fingerprint, now)
    if not is_due or not is_quarantined(state, live):
        return
    members = [
        state.member,
        *(peer.info.member for peer in _get_reachable_peers(state)),
    ]
    if rank_by_key(fingerprint, members)[0] == state.member:
        live.is_trial = True
        state.quarantine.record_probe(fingerprint, now)


def _broadcast(state: State, crashes: TargetEnds) -> None:
    for peer in _get_reachable_peers(state):
        send_to_member(state, peer.info.member, crashes)


def _get_reachable_peers(state: State) -> list[Peer]:
    return [
        peer
        for member, peer in state.fleet.peers.items()
        if member != state.member and not peer.is_unreachable
    ]
