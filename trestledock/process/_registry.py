"""
Handler registry
================

Maps each type of message and timer to its handler.
"""

from functools import singledispatch
from types import MappingProxyType
from typing import Any, Callable, Mapping

from trestledock.process import _messages as messages
from trestledock.process import _timers as timers
from trestledock.process._admission import (
    on_arrive,
    on_caller_disconnected,
    on_deadline_passed,
)
from trestledock.process._attempt_results import (
    on_attempt_failed,
    on_call_done,
    on_cancel_confirmed,
    on_chunk_arrived,
    on_gap_due,
    on_prefill_done,
    on_retry_due,
    on_silence_due,
    on_stream_done,
)
from trestledock.process._claim_requests import on_claim_due
from trestledock.process._dispatch import on_dispatch_due
from trestledock.process._peer_messages import on_peer_message
from trestledock.process._periodic_tasks import on_heartbeat_due
from trestledock.process._platform_messages import (
    on_cache_reported,
    on_instances_listed,
    on_load_reported,
    on_log_read,
    on_mark_draining,
    on_order_answered,
    on_publish,
    on_shutdown,
)
from trestledock.process._state import State

Handler = Callable[[Any, State, float], None]


@singledispatch
def handle(message: Any, state: State, now: float) -> None:
    """Handle a message or timer, see `HANDLERS`."""
    raise TypeError(f'no handler for {type(message).__name__}')


def on_tick(message: messages.Tick, state: State, now: float) -> None:
    """Do nothing: every step runs the due timers first."""


HANDLERS: Mapping[type, Handler] = MappingProxyType(
    {
        messages.Arrive: on_arrive,
        messages.CallerDisconnected: on_caller_disconnected,
        messages.PrefillDone: on_prefill_done,
        messages.ChunkArrived: on_chunk_arrived,
        messages.StreamDone: on_stream_done,
        messages.CallDone: on_call_done,
        messages.AttemptFailed: on_attempt_failed,
        messages.CancelConfirmed: on_cancel_confirmed,
        messages.LoadReported: on_load_reported,
        messages.CacheReported: on_cache_reported,
        messages.InstancesListed: on_instances_listed,
        messages.PeerMessage: on_peer_message,
        messages.LogRead: on_log_read,
        messages.MarkDraining: on_mark_draining,
        messages.OrderAnswered: on_order_answered,
        messages.Publish: on_publish,
        messages.Shutdown: on_shutdown,
        messages.Tick: on_tick,
        timers.DeadlinePassed: on_deadline_passed,
        timers.RetryDue: on_retry_due,
        timers.ClaimDue: on_claim_due,
        timers.GapDue: on_gap_due,
        timers.SilenceDue: on_silence_due,
        timers.DispatchDue: on_dispatch_due,
        timers.HeartbeatDue: on_heartbeat_due,
    }
)

for _kind, _handler in HANDLERS.items():
    handle.register(_kind, _handler)
