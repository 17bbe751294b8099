"""
Registry of handlers
====================

Which function takes which message: one flat table, and the dispatcher made
from it.
"""

from functools import singledispatch
from types import MappingProxyType
from typing import Any, Callable, Mapping

from trestledock.process import _messages as messages
from trestledock.process import _timers as timers
from trestledock.process._answers import (
    on_attempt_failed,
    on_call_done,
    on_cancel_confirmed,
    on_chunk,
    on_gap,
    on_piece_done,
    on_retry_due,
    on_silence,
    on_stream_done,
)
from trestledock.process._arrivals import (
    on_arrive,
    on_caller_gone,
    on_deadline,
)
from trestledock.process._claiming import on_claim_due
from trestledock.process._dispatching import on_pump_due
from trestledock.process._duties import on_heartbeat_due
from trestledock.process._peering import on_peer_message
from trestledock.process._platform import (
    on_cache_event,
    on_instances,
    on_load,
    on_log_read,
    on_mark_leaving,
    on_order_answered,
    on_publish,
    on_shutdown,
)
from trestledock.process._state import State

Handler = Callable[[Any, State, float], None]


@singledispatch
def handle(message: Any, state: State, now: float) -> None:
    """Take one message; the table below holds all that there are."""
    raise TypeError(f'no handler for {type(message).__name__}')


def on_tick(message: messages.Tick, state: State, now: float) -> None:
    """Nothing but the timers, which every step runs first."""


HANDLERS: Mapping[type, Handler] = MappingProxyType(
    {
        messages.Arrive: on_arrive,
        messages.CallerDisconnected: on_caller_gone,
        messages.PrefillDone: on_piece_done,
        messages.ChunkArrived: on_chunk,
        messages.StreamDone: on_stream_done,
        messages.CallDone: on_call_done,
        messages.AttemptFailed: on_attempt_failed,
        messages.CancelConfirmed: on_cancel_confirmed,
        messages.LoadReported: on_load,
        messages.CacheReported: on_cache_event,
        messages.InstancesListed: on_instances,
        messages.PeerMessage: on_peer_message,
        messages.LogRead: on_log_read,
        messages.MarkDraining: on_mark_leaving,
        messages.OrderAnswered: on_order_answered,
        messages.Publish: on_publish,
        messages.Shutdown: on_shutdown,
        messages.Tick: on_tick,
        timers.DeadlinePassed: on_deadline,
        timers.RetryDue: on_retry_due,
        timers.ClaimDue: on_claim_due,
        timers.GapDue: on_gap,
        timers.SilenceDue: on_silence,
        timers.PumpDue: on_pump_due,
        timers.HeartbeatDue: on_heartbeat_due,
    }
)

for _kind, _handler in HANDLERS.items():
    handle.register(_kind, _handler)
