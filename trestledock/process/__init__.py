"""
Instance core
=============

The state machine of an entry instance: fleet, load prediction, fair queues,
claims, reservations, leases, and the node that combines them.  It uses no
sockets, reads no clock, and performs no I/O.
"""

from trestledock.process._actions import (
    Action,
    AppendRecord,
    CallService,
    CancelReservations,
    Count,
    EmitChunks,
    Finish,
    GiveOrder,
    Job,
    LogEvent,
    Published,
    ResumeStream,
    SendToPeer,
    StartJob,
)
from trestledock.process._claims import ClaimDecision, ClaimTable
from trestledock.process._epoch import Epoch, Handover
from trestledock.process._explanation import explain
from trestledock.process._fleet import Target
from trestledock.process._identity import Identity, Timing
from trestledock.process._lease import Lease
from trestledock.process._messages import (
    Arrive,
    AttemptFailed,
    CacheReported,
    CallDone,
    CallerDisconnected,
    CancelConfirmed,
    ChunkArrived,
    InstancesListed,
    LoadReported,
    LogRead,
    MarkDraining,
    OrderAnswered,
    PeerMessage,
    PrefillDone,
    Publish,
    Shutdown,
    StreamDone,
    Tick,
)
from trestledock.process._node import Node
from trestledock.process._payloads import PAYLOADS, ClaimAsk, Payload
from trestledock.process._policy import BASELINE, Chooser, Policy
from trestledock.process._targets import (
    CacheEvent,
    LoadReport,
    PeerInfo,
    TargetInfo,
)
from trestledock.relay import rank_by_key

__all__ = (
    'PAYLOADS',
    'BASELINE',
    'Action',
    'AppendRecord',
    'Arrive',
    'AttemptFailed',
    'CacheEvent',
    'CacheReported',
    'CallDone',
    'CallService',
    'CallerDisconnected',
    'CancelConfirmed',
    'CancelReservations',
    'Chooser',
    'ChunkArrived',
    'ClaimAsk',
    'ClaimTable',
    'Count',
    'EmitChunks',
    'Epoch',
    'Finish',
    'GiveOrder',
    'ClaimDecision',
    'Handover',
    'Identity',
    'InstancesListed',
    'Job',
    'Lease',
    'LoadReport',
    'LoadReported',
    'LogRead',
    'MarkDraining',
    'Node',
    'LogEvent',
    'OrderAnswered',
    'Payload',
    'PeerInfo',
    'PeerMessage',
    'PrefillDone',
    'Policy',
    'Publish',
    'Published',
    'ResumeStream',
    'Shutdown',
    'StartJob',
    'StreamDone',
    'Target',
    'TargetInfo',
    'Tick',
    'Timing',
    'SendToPeer',
    'explain',
    'rank_by_key',
)
