"""
Choice of a plain target
========================

A request to a plain service goes to the least busy target, since its duration
is not known in advance.
"""

from typing import Callable, Sequence

from trestledock.relay._health import Health
from trestledock.relay._load_table import LoadTable
from trestledock.relay._target_records import ListedTarget

#: The load, in requests per slot, that is added to a target that always fails,
#: and to a target in another data centre.
FAILURE_LOAD = 2.0
REMOTE_LOAD = 0.15


def choose_least_busy(
    load_table: LoadTable,
    health: Health,
    targets: Sequence[ListedTarget],
    now: float,
    draw: Callable[[], float],
    data_centre: str = '',
) -> ListedTarget | None:
    """Return the plain target with the fewest requests per slot.

    A target that fails or is in another data centre counts as busier; ties are
    broken at random.
    """

    def load_of(target: ListedTarget) -> tuple[float, float]:  # noqa: WPS430
        count = sum(1 for _ in load_table.get_flights(target.incarnation))
        target_health = health.get(target.incarnation)
        load = (count + 1) / max(1, target.slots)
        load += target_health.get_failure_share(now) * FAILURE_LOAD
        load += REMOTE_LOAD * (target.data_centre != data_centre)
        return load, draw()

    return min(targets, key=load_of, default=None)
