"""
Orders
======

The placer of a data centre orders engines to hold the models of their pools.
What is wanted is a function of the version in force and the fleet, so two
holders of the lease ask for the same; the fencing number and the lease's end
on the holder's own clock stop one that wakes up late.
"""

from trestledock.process._actions import GiveOrder
from trestledock.process._fleet import Target
from trestledock.process._state import State
from trestledock.version import TargetKind, matches

#: Orders in flight at once, for the weight store's sake.
LOADS_AT_ONCE = 2
#: How long an order may take before it is given again, in seconds.
ORDER_PATIENCE_S = 30.0


def give_orders(state: State, now: float) -> None:
    """Order what is missing, a few engines at a time."""
    if not state.lease.may_send_orders(now):
        return
    loading = 0
    for target in _get_local_engines(state):
        wanted = get_wanted_models(state, target)
        if not wanted or wanted == target.models:
            continue
        loading += 1
        if loading > LOADS_AT_ONCE:
            break
        if now - target.ordered_at > ORDER_PATIENCE_S:
            target.ordered_at = now
            _order(state, target, wanted)


def get_wanted_models(state: State, target: Target) -> frozenset[str]:
    """Return the models that the version in force wants on a target."""
    cfg = state.version.cfg
    if cfg is None:
        return frozenset()
    labels = state.fleet.get_labels(target)
    return frozenset(
        str(model)
        for pool in cfg.pools
        if pool.kind is TargetKind.engine and matches(pool.select, labels)
        for model in pool.models
    )


def _get_local_engines(state: State) -> list[Target]:
    return [
        target
        for name, target in sorted(state.get_targets().items())
        if target.info.labels.get('data_centre') == state.identity.data_centre
        and target.load.report
        and not state.fleet.is_draining(target)
    ]


def _order(state: State, target: Target, wanted: frozenset[str]) -> None:
    state.count('orders', 'given')
    state.act(
        GiveOrder(
            target.info.name,
            target.info.address,
            tuple(sorted(wanted)),
            state.lease.fencing,
            state.lease.get_order_deadline(),
        ),
    )
