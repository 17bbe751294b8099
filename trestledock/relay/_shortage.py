"""
Order under shortage
====================

Whether a request of a service with different ranks takes its placement, leaves
the engines to the requests ahead of it, or is refused because its turn would
come too late.

The load is that callers of different ranks compete for engines for some
seconds, while prompts of 5,000, 45,000 and 220,000 to 700,000 tokens share
them.  On average prefill fills a third of the fleet, so a shortage is local and
brief: a request only leaves the engines that the requests ahead can use at this
moment.  It waits no longer than without ranks (`get_wait_left_s`): as long as
it may be in time (the objectives are 0.27 s for the shortest prompts and 8 s
for the longest), or, if it is long, as long as it may queue.
"""

from dataclasses import dataclass
from typing import Sequence

from trestledock.relay._admission import (
    MAX_RETRY_AFTER_SHARE,
    Decision,
    Timing,
)
from trestledock.relay._wait_queue import WaitingRequest
from trestledock.relay._waiting_rows import WaitingRow

#: The largest random part of a Retry-After, as a share of it: callers that are
#: refused together return at different times.
RETRY_AFTER_SPREAD = 0.5


@dataclass(frozen=True)
class Turn:
    """The requests ahead of a request, and how long it may wait for them.

    Its `rivals` are those ahead that compete for the same engines.  `turn_s` is
    their work divided by the engines, and `left_s` the time for which the
    request may still wait.
    """

    ahead: tuple[WaitingRow, ...]
    rivals: tuple[WaitingRow, ...]
    turn_s: float
    left_s: float

    @property
    def count(self) -> int:
        """The number of requests ahead."""
        return sum(row.count for row in self.ahead)

    def decide(self, rank: int, *, has_placement: bool) -> Decision:
        """Return what happens to a request that must leave its engines.

        A request that only a starved, less urgent rank goes before is not
        refused, since that rank would then be served more often.
        """
        if self.turn_s <= self.left_s:
            return Decision.wait
        if all(row.rank > rank for row in self.rivals):
            return Decision.send if has_placement else Decision.wait
        return Decision.no_turn

    def get_retry_after_s(
        self, timing: Timing, now: float, draw: float
    ) -> float:
        """Return when a refused caller should retry, spread by `draw` (0 to 1).

        By then those ahead are served.  It is at most
        `MAX_RETRY_AFTER_SHARE` of the caller's remaining time.
        """
        max_s = (timing.deadline - now) * MAX_RETRY_AFTER_SHARE
        latest_s = min(max_s, self.turn_s * (1 + RETRY_AFTER_SPREAD))
        earliest_s = min(self.turn_s, latest_s / (1 + RETRY_AFTER_SPREAD))
        return max(0, earliest_s + (latest_s - earliest_s) * draw)


def make_turn(
    request: WaitingRequest,
    ahead: Sequence[WaitingRow],
    engine_count: int,
    left_s: float,
) -> Turn:
    """Return the turn of a request behind others.

    Long prompts ahead of a small request don't compete with it: they take idle
    engines, and small ones share engines on which others decode.  Engines that
    long prompts have not taken by the end of its wait are of no use to them.
    """
    is_small = request.row.is_small
    rivals = tuple([row for row in ahead if row.is_small or not is_small])
    work_s = sum(row.work_s for row in rivals)
    return Turn(tuple(ahead), rivals, work_s / max(1, engine_count), left_s)
