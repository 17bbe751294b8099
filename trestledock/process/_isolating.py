"""
Isolating deadly requests
=========================

Requests that end the targets that run them go to no other: instances tell their
peers of each end, and those that they hear for the first time of all that is
quarantined.  What is quarantined is tried again now and then, by one instance.
"""

from trestledock.process._ending import send
from trestledock.process._fleet import Peer
from trestledock.process._live import Live
from trestledock.process._payloads import TargetEnds
from trestledock.relay import rank_by_key
from trestledock.process._state import State
from trestledock.relay import Crash
from trestledock.request import Request


def note_end(state: State, live: Live, target_name: str, now: float) -> None:
    """Put the end of a target down to a request that it ran."""
    target = state.get_targets().get(target_name)
    fingerprint = live.req.fingerprint
    if target is None or not fingerprint:
        return
    end = Crash(fingerprint, target.info.key)
    if state.quarantine.is_blamed(end, now):
        ends = TargetEnds(fingerprint, (end.incarnation,))
        take_ends(state, ends, now)
        _tell_all(state, ends)


def take_ends(state: State, ends: TargetEnds, now: float) -> None:
    """Note the targets that ended under a request."""
    state.quarantine.clear_crashes(ends.fingerprint, ends.cleared)
    was_quarantined = state.quarantine.is_quarantined(ends.fingerprint)
    for incarnation in ends.targets:
        state.quarantine.record_crash(Crash(ends.fingerprint, incarnation), now)
    if (
        state.quarantine.is_quarantined(ends.fingerprint)
        and not was_quarantined
    ):
        state.note('request_quarantined', detail=ends.fingerprint)
    for forgotten in state.quarantine.evict_excess():
        state.note('suspect_forgotten', detail=forgotten)


def tell_new_peer(state: State, peer: Peer, now: float) -> None:
    """Have a peer that is heard for the first time know what is quarantined."""
    if peer.knows_quarantine:
        return
    peer.knows_quarantine = True
    for record in state.quarantine.get_records(now):
        ends = TargetEnds(
            record.fingerprint, record.incarnations, record.cleared
        )
        send(state, peer.info.member, ends)


def note_answered(state: State, req: Request, now: float) -> None:
    """Note that a target has answered a request: it ends none."""
    if not req.fingerprint:
        return
    cleared = state.quarantine.record_answer(req.fingerprint, now)
    if cleared:
        state.note('request_cleared', detail=req.fingerprint)
        _tell_all(state, TargetEnds(req.fingerprint, (), cleared))


def is_quarantined(state: State, live: Live) -> bool:
    """Whether a request goes to no target; a trial is for its first one."""
    is_tried = live.is_trial and not live.attempts
    return not is_tried and state.quarantine.is_quarantined(
        live.req.fingerprint
    )


def try_again(state: State, live: Live, now: float) -> None:
    """Give a quarantined request to one target where a trial is due.

    Of all instances that hear one another the same one does.
    """
    fingerprint = live.req.fingerprint
    is_due = state.quarantine.is_probe_due(fingerprint, now)
    if not is_due or not is_quarantined(state, live):
        return
    members = [state.member, *(one.info.member for one in _get_peers(state))]
    if rank_by_key(fingerprint, members)[0] == state.member:
        live.is_trial = True
        state.quarantine.record_probe(fingerprint, now)


def _tell_all(state: State, ends: TargetEnds) -> None:
    for peer in _get_peers(state):
        send(state, peer.info.member, ends)


def _get_peers(state: State) -> list[Peer]:
    return [
        peer
        for member, peer in state.fleet.peers.items()
        if member != state.member and not peer.gone
    ]
