"""
Platform
========

What the platform's services say: the instance list and the log.  Silence
changes nothing; a list that lags only adds, replaces and marks.
"""

from trestledock.process._actions import AppendRecord, Published
from trestledock.process._answers import drop_replaced
from trestledock.process._applying import (
    apply_accepted,
    settle_publications,
)
from trestledock.process._dispatching import pump_all
from trestledock.process._guarding import prepare_block
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
from trestledock.process._state import PublishWait, State
from trestledock.version import (
    CONFIGURATION,
    Record,
    check_configuration,
)


def on_instances(message: InstancesListed, state: State, now: float) -> None:
    """Fold the instance list."""
    before = len(state.fleet.leaving)
    for info in state.fleet.take_targets(message.targets, now):
        state.note('target_replaced', info.key)
        drop_replaced(state, info.name, now)
    if len(state.fleet.leaving) > before:
        state.note('targets_leaving', 'platform')
    state.fleet.take_peers(message.peers, now)
    listed = {peer.name for peer in message.peers if not peer.leaving}
    state.duties.delisted = {
        member
        for member in _get_epoch_members(state)
        if member.partition('#')[0] not in listed
    }


def on_load(message: LoadReported, state: State, now: float) -> None:
    """Fold a target's report; work may have a place now."""
    state.fleet.take_report(message.target, message.report, now)
    target = state.get_targets().get(message.target)
    if target and message.report.capacity_tokens:
        prepare_block(state, target, now)
        pump_all(state, now)


def on_cache_event(message: CacheReported, state: State, now: float) -> None:
    """Fold a target's cache event."""
    target = state.get_targets().get(message.target)
    if target:
        target.take_cache_event(message.event)


def on_log_read(message: LogRead, state: State, now: float) -> None:
    """Fold what the log has, and put it in force."""
    state.duties.log_read_at = now
    state.reader.feed(message.batch)
    apply_accepted(state, now)
    settle_publications(state)
    append_publications(state, now)
    pump_all(state, now)


def on_mark_leaving(message: MarkDraining, state: State, now: float) -> None:
    """Mark a target as leaving on an operator's word."""
    target = state.get_targets().get(message.target)
    if target and state.fleet.mark_draining(target.info.key):
        state.note('target_leaving', 'operator', target.info.key)


def on_publish(message: Publish, state: State, now: float) -> None:
    """Check a configuration and begin to publish it."""
    base = message.base
    checked = check_configuration(message.body)
    errors = checked.swap().value_or(None)
    if errors is not None:
        number = state.version.number
        detail = str(errors)
        state.act(
            Published(message.publish_id, False, number, base, detail),
        )
        return
    if base < 0:
        base = state.reader.fold.get_base_by_scope(CONFIGURATION)
    state.publishing.setdefault(
        message.publish_id,
        PublishWait(base, message.body),
    )
    settle_publications(state)
    append_publications(state, now)


def on_order_answered(
    message: OrderAnswered,
    state: State,
    now: float,
) -> None:
    """Take a target's answer to an order."""
    state.count('orders', 'refused' if message.refused else 'taken')
    if message.refused:
        state.note('order_refused', message.target)


def on_shutdown(message: Shutdown, state: State, now: float) -> None:
    """Take no new work, finish what there is, and leave the epoch."""
    if not state.shutting_down:
        state.shutting_down = True
        state.note('shutting_down')


def append_publications(state: State, now: float) -> None:
    """Append what operators publish, again only from the tail of the log.

    Appending twice does no harm: both records have one id and one base, so
    the fold accepts one of them at the most.
    """
    if not state.reader.at_tail:
        return
    for publish_id, wait in state.publishing.items():
        if now - wait.appended_at >= state.timing.append_retry_s:
            wait.appended_at = now
            record = Record(publish_id, CONFIGURATION, wait.base, wait.body)
            state.act(AppendRecord(record))


def _get_epoch_members(state: State) -> tuple[str, ...]:
    epoch = state.claims.epoch
    if epoch is None:
        return ()
    members = set(epoch.members).union(
        *(set(one.members) for one in state.claims.handovers.values()),
    )
    return tuple(sorted(members))
