"""
Share of the event loop
=======================

Answers in many small pieces take processor time that the requests of all other
callers wait for. After some pieces of one connection, its reader waits; all
readers together get so many pieces a second, each in turn.
"""

from dataclasses import dataclass

import anyio
from anyio.lowlevel import RunVar

#: How many pieces are read without a pause: a millisecond or two of work.
PIECES_PER_TURN = 64
#: How many pieces all readers of a process together get a second beyond that,
#: a tenth of one processor, and for how long unused turns are kept, in seconds.
PIECES_PER_S = 5000
BURST_S = 0.2


@dataclass
class LoopShare:
    """The turns of all readers of an event loop."""

    due_at: float

    async def take_turn(self) -> None:
        """Wait until the next pieces may be read."""
        now = anyio.current_time()
        turn_s = PIECES_PER_TURN / PIECES_PER_S
        self.due_at = max(self.due_at, now - BURST_S) + turn_s
        await anyio.sleep(max(0, self.due_at - now))


_share: RunVar[LoopShare] = RunVar('trestledock_loop_share')


def get_loop_share() -> LoopShare:
    """Return the share of the running event loop."""
    share = _share.get(None)
    if share is None:
        share = LoopShare(anyio.current_time() - BURST_S)
        _share.set(share)
    return share
