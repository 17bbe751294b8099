"""
Node
====

The core of an entry instance: a deterministic function of its state, a message,
and the time, without sockets, clocks, or global randomness.  The daemon, the
tests, the replay, and programs that embed it all drive `Node.step`.
"""

from random import Random
from typing import Any

from trestledock.process._actions import Action, SendToPeer
from trestledock.process._identity import Identity, Timing
from trestledock.process._messages import PeerMessage
from trestledock.process._periodic_tasks import is_drained
from trestledock.process._policy import Policy
from trestledock.process._registry import handle
from trestledock.process._state import State
from trestledock.process._timers import HeartbeatDue


class Node:
    """An entry instance without sockets.

    >>> from trestledock.process import Tick
    >>> node = Node(Identity('entry-1', 'a', 'halle-passau'), Random(1))
    >>> node.step(Tick(), now=0) != ()
    False
    """

    def __init__(
        self,
        identity: Identity,
        rng: Random,
        timing: Timing = Timing(),
        policy: Policy = Policy(),
        address: str = '',
    ) -> None:
        """Create an empty state; the first step starts the periodic tasks."""
        self.state = State(identity, timing, policy, rng, address)
        self.unready = False
        self._started = False

    def step(self, message: Any, now: float) -> tuple[Action, ...]:
        """Handle a message at the monotonic time `now`; return actions."""
        state = self.state
        state.actions = []
        self._start(now)
        self._detect_pause(now)
        for timer in state.timers.pop_due(now):
            handle(timer, state, now)
        handle(message, state, now)
        return tuple(self._deliver_to_self(now))

    def get_next_timer(self) -> float:
        """Return the latest instant for the next `Tick`."""
        return self.state.timers.get_next()

    def is_ready(self) -> bool:
        """Whether requests can be served.

        This needs a configuration in force and a known target.
        """
        if self.unready or self.state.shutting_down:
            return False
        has_targets = bool(self.state.fleet.targets)
        return has_targets and self.state.version.cfg is not None

    def is_drained(self) -> bool:
        """Whether the instance can terminate without loss."""
        return is_drained(self.state)

    def _start(self, now: float) -> None:
        if not self._started:
            self._started = True
            state = self.state
            state.bookkeeping.last_step = now
            first = now + state.rng.uniform(0, state.timing.heartbeat_s)
            state.set_timer(first, HeartbeatDue())

    def _detect_pause(self, now: float) -> None:
        state = self.state
        if now - state.bookkeeping.last_step > state.timing.pause_s:
            state.count('pauses')
            state.reservation_ids.close_blocks()
        state.bookkeeping.last_step = now

    def _deliver_to_self(self, now: float) -> list[Action]:
        """Handle payloads to this instance itself; return other actions."""
        state = self.state
        external: list[Action] = []
        while state.actions:
            action = state.actions.pop(0)
            if isinstance(action, SendToPeer) and action.peer == state.member:
                handle(PeerMessage(state.member, action.payload), state, now)
            else:
                external.append(action)
        return external
