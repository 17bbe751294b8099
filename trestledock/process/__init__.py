"""
What lives for a process
========================

The core of an entry instance: fleet, load, queues, claims, holds, leases, and
the node that ties them together.  Nothing here knows sockets or clocks.
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
    StartJob,
    SendToPeer,
)
from trestledock.process._claims import ClaimTable, ClaimDecision
from trestledock.process._epoch import Epoch, Handover
from trestledock.process._explaining import explain
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
from trestledock.relay import rank_by_key
from trestledock.process._targets import (
    CacheEvent,
    LoadReport,
    PeerInfo,
    TargetInfo,
)

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
