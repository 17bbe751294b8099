"""
Node
====

The core of an entry instance: a function of its state, a message and the
time, without sockets, clocks or global randomness.  The daemon, the tests, the
replay and programs that embed it drive the same `Node.step`.
"""

from random import Random
from typing import Any

from trestledock.process._actions import Action, SendToPeer
from trestledock.process._duties import is_drained
from trestledock.process._identity import Identity, Timing
from trestledock.process._messages import PeerMessage
from trestledock.process._policy import Policy
from trestledock.process._registry import handle
from trestledock.process._state import State
from trestledock.process._timers import HeartbeatDue


class Node:
    """One entry instance without its sockets.

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
        """Begin with an empty state; the first step starts the duties."""
        self.state = State(identity, timing, policy, rng, address)
        self.unready = False
        self._started = False

    def step(self, message: Any, now: float) -> tuple[Action, ...]:
        """Take a message at the monotonic instant `now`; return actions."""
        state = self.state
        state.out = []
        self._start(now)
        self._notice_pause(now)
        for timer in state.timers.pop_due(now):
            handle(timer, state, now)
        handle(message, state, now)
        return tuple(self._loop_back(now))

    def get_next_timer(self) -> float:
        """Return the instant at which a `Tick` is due at the latest."""
        return self.state.timers.get_next()

    def is_ready(self) -> bool:
        """Whether requests can be served.

        A version must be in force and the instance list must be known.
        """
        if self.unready or self.state.shutting_down:
            return False
        known = bool(self.state.fleet.targets)
        return known and self.state.version.cfg is not None

    def is_drained(self) -> bool:
        """Whether the instance can end without cutting anything short."""
        return is_drained(self.state)

    def _start(self, now: float) -> None:
        if not self._started:
            self._started = True
            state = self.state
            state.duties.last_step = now
            first = now + state.rng.uniform(0, state.timing.heartbeat_s)
            state.set_timer(first, HeartbeatDue())

    def _notice_pause(self, now: float) -> None:
        state = self.state
        if now - state.duties.last_step > state.timing.pause_s:
            state.count('pauses')
            state.hold_ids.close_all()
        state.duties.last_step = now

    def _loop_back(self, now: float) -> list[Action]:
        """Hand what the instance sends to itself back to it at once."""
        state = self.state
        done: list[Action] = []
        while state.out:
            action = state.out.pop(0)
            if isinstance(action, SendToPeer) and action.peer == state.member:
                handle(PeerMessage(state.member, action.payload), state, now)
            else:
                done.append(action)
        return done
