"""
Orders to engines
=================

The holder of a data centre's lease orders engines to load the models of their
pools.  The desired models depend only on the configuration in force and the
fleet, so two holders send the same orders.  The fencing number, and the end of
the lease on the holder's own clock, stop a holder that resumes late.
"""

from trestledock.process._actions import GiveOrder
from trestledock.process._fleet import Target
from trestledock.process._state import State
from trestledock.version import TargetKind, matches

#: The maximum number of engines that load models at once, which limits the load
#: on the weight store.
MAX_CONCURRENT_LOADS = 2
#: The time after which an unfulfilled order is repeated, in seconds.
ORDER_TIMEOUT_S = 30.0


def send_orders(state: State, now: float) -> None:
    """Order missing models, on a few engines at a time."""
    if not state.lease.may_send_orders(now):
        return
    loading = 0
    for target in _get_local_engines(state):
        desired = get_desired_models(state, target)
        if not desired or desired == target.models:
            continue
        loading += 1
        if loading > MAX_CONCURRENT_LOADS:
            break
        if now - target.ordered_at > ORDER_TIMEOUT_S:
            target.ordered_at = now
            _send_order(state, target, desired)


def get_desired_models(state: State, target: Target) -> frozenset[str]:
    """Return the models that the configuration assigns to a target."""
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


def _send_order(state: State, target: Target, desired: frozenset[str]) -> None:
    state.count('orders', 'given')
    state.emit(
        GiveOrder(
            target.info.name,
            target.info.address,
            tuple(sorted(desired)),
            state.lease.fencing,
            state.lease.get_order_deadline(),
        ),
    )
