"""
Application of accepted records
===============================

Applies the records that the fold has accepted: the configuration, the epochs of
all data centres, and the lease of this one.  Version numbers never decrease.
"""

from trestledock.process._actions import Published
from trestledock.process._epoch import Epoch
from trestledock.process._state import State, Version
from trestledock.version import (
    CONFIGURATION,
    EPOCH_PREFIX,
    LEASE_PREFIX,
    Accepted,
    EpochBody,
    LeaseBody,
    check_configuration,
    load_json,
)


def apply_accepted(state: State, now: float) -> None:
    """Apply all accepted records that are newer than the current state."""
    for scope, accepted in tuple(state.reader.fold.scopes.items()):
        if scope == CONFIGURATION:
            _apply_configuration(state, accepted)
        elif scope.startswith(EPOCH_PREFIX):
            _apply_epoch(state, scope, accepted, now)
        elif scope == LEASE_PREFIX + state.identity.data_centre:
            _apply_lease(state, accepted, now)


def report_publications(state: State) -> None:
    """Report the verdicts on publications that were read back from the log."""
    for publish_id in tuple(state.publishing):
        verdict = state.reader.fold.verdicts.get(publish_id)
        if verdict is None:
            continue
        wait = state.publishing.pop(publish_id)
        detail = '' if verdict else 'another version was accepted before'
        number = state.version.number
        state.emit(Published(publish_id, verdict, number, wait.base, detail))


def _apply_configuration(state: State, accepted: Accepted) -> None:
    if accepted.offset <= state.version.number:
        return
    cfg = check_configuration(accepted.body).unwrap()
    state.version = Version(accepted.offset, cfg)
    state.claims.keep_s = cfg.claims.keep_s
    state.log_event('version_in_force', detail=str(accepted.offset))


def _apply_lease(state: State, accepted: Accepted, now: float) -> None:
    if accepted.offset > state.lease.fencing:
        body = load_json(accepted.body, LeaseBody)
        record_id = accepted.record_id
        state.lease.observe(accepted.offset, record_id, body, now)


def _apply_epoch(
    state: State,
    scope: str,
    accepted: Accepted,
    now: float,
) -> None:
    data_centre = scope.removeprefix(EPOCH_PREFIX)
    known = state.epochs.get(data_centre)
    if known and known.offset >= accepted.offset:
        return
    body = load_json(accepted.body, EpochBody)
    epoch = Epoch(accepted.offset, body)
    state.epochs[data_centre] = epoch
    if data_centre != state.identity.data_centre:
        return
    if state.claims.enter_epoch(epoch, now):
        state.log_event(
            'epoch', detail=f'{accepted.offset} {list(body.members)}'
        )
