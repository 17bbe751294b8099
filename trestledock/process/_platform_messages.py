"""
Messages from the platform
==========================

Handles the instance list, the log, load reports, and the commands of operators.
An outage of the platform changes nothing; a stale list can only add, replace,
and mark targets.
"""

from trestledock.process._actions import AppendRecord, Published
from trestledock.process._application import (
    apply_accepted,
    report_publications,
)
from trestledock.process._attempt_results import fail_replaced
from trestledock.process._dispatch import schedule_dispatch_of_all
from trestledock.process._messages import (
    CacheReported,
    InstancesListed,
    LoadReported,
    LogRead,
    MarkDraining,
    OrderAnswered,
    Publish,
    Shutdown,
)
from trestledock.process._reservation_watch import prepare_block
from trestledock.process._state import PendingPublication, State
from trestledock.version import (
    CONFIGURATION,
    Record,
    check_configuration,
)


def on_instances_listed(
    message: InstancesListed, state: State, now: float
) -> None:
    """Merge the instance list."""
    draining_before = len(state.fleet.draining)
    for info in state.fleet.merge_targets(message.targets, now):
        state.log_event('target_replaced', info.key)
        fail_replaced(state, info.name, now)
    if len(state.fleet.draining) > draining_before:
        state.log_event('targets_leaving', 'platform')
    state.fleet.merge_peers(message.peers, now)
    listed = {peer.name for peer in message.peers if not peer.draining}
    state.bookkeeping.unlisted_members = {
        member
        for member in _get_epoch_members(state)
        if member.partition('#')[0] not in listed
    }


def on_load_reported(message: LoadReported, state: State, now: float) -> None:
    """Record a target's report; queued requests may fit now."""
    state.fleet.record_report(message.target, message.report, now)
    target = state.get_targets().get(message.target)
    if target and message.report.capacity_tokens:
        prepare_block(state, target, now)
        schedule_dispatch_of_all(state, now)


def on_cache_reported(message: CacheReported, state: State, now: float) -> None:
    """Apply a target's cache event."""
    target = state.get_targets().get(message.target)
    if target:
        target.apply_cache_event(message.event)


def on_log_read(message: LogRead, state: State, now: float) -> None:
    """Fold the records that were read, and apply them."""
    state.bookkeeping.log_read_at = now
    state.reader.feed(message.batch)
    apply_accepted(state, now)
    report_publications(state)
    append_publications(state, now)
    schedule_dispatch_of_all(state, now)


def on_mark_draining(message: MarkDraining, state: State, now: float) -> None:
    """Mark a target as draining at an operator's command."""
    target = state.get_targets().get(message.target)
    if target and state.fleet.mark_draining(target.info.key):
        state.log_event('target_leaving', 'operator', target.info.key)


def on_publish(message: Publish, state: State, now: float) -> None:
    """Check a configuration and start its publication."""
    base = message.base
    checked = check_configuration(message.body)
    errors = checked.swap().value_or(None)
    if errors is not None:
        number = state.version.number
        detail = str(errors)
        state.emit(
            Published(message.publish_id, False, number, base, detail),
        )
        return
    if base < 0:
        base = state.reader.fold.get_base_by_scope(CONFIGURATION)
    state.publishing.setdefault(
        message.publish_id,
        PendingPublication(base, message.body),
    )
    report_publications(state)
    append_publications(state, now)


def on_order_answered(
    message: OrderAnswered,
    state: State,
    now: float,
) -> None:
    """Record a target's response to an order."""
    state.count('orders', 'refused' if message.refused else 'taken')
    if message.refused:
        state.log_event('order_refused', message.target)


def on_shutdown(message: Shutdown, state: State, now: float) -> None:
    """Stop accepting requests, finish those in progress, leave the epoch."""
    if not state.shutting_down:
        state.shutting_down = True
        state.log_event('shutting_down')


def append_publications(state: State, now: float) -> None:
    """Append pending publications, and repeat them at the tail of the log.

    Appending twice is harmless: both records have the same id and base, so the
    fold accepts at most one of them.
    """
    if not state.reader.at_tail:
        return
    for publish_id, wait in state.publishing.items():
        if now - wait.appended_at >= state.timing.append_retry_s:
            wait.appended_at = now
            record = Record(publish_id, CONFIGURATION, wait.base, wait.body)
            state.emit(AppendRecord(record))


def _get_epoch_members(state: State) -> tuple[str, ...]:
    epoch = state.claims.epoch
    if epoch is None:
        return ()
    members = set(epoch.members).union(
        *(
            set(handover.members)
            for handover in state.claims.handovers.values()
        ),
    )
    return tuple(sorted(members))
