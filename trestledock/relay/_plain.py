"""
Choosing a plain target
=======================

Calls of plain services go to the target with the least to do; nothing else is
known of them in advance.
"""

from typing import Callable, Sequence

from trestledock.relay._board import LoadTable
from trestledock.relay._listed import ListedTarget
from trestledock.relay._health import Health

#: How many slots' share of work a failing and a remote plain target seem to
#: have more than they do.
FAILURE_LOAD = 2.0
REMOTE_LOAD = 0.15


def choose_least_busy(
    board: LoadTable,
    health: Health,
    targets: Sequence[ListedTarget],
    now: float,
    draw: Callable[[], float],
    data_centre: str = '',
) -> ListedTarget | None:
    """Return the plain target with the fewest requests per slot.

    A target that fails or is in another data centre counts as busier; equals
    are drawn among.
    """

    def load_of(listed: ListedTarget) -> tuple[float, float]:  # noqa: WPS430
        count = sum(1 for _ in board.get_flights(listed.incarnation))
        known = health.get(listed.incarnation)
        busy = (count + 1) / max(1, listed.slots)
        busy += known.get_failure_share(now) * FAILURE_LOAD
        busy += REMOTE_LOAD * (listed.data_centre != data_centre)
        return busy, draw()

    return min(targets, key=load_of, default=None)
