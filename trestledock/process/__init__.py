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
    CancelHolds,
    Count,
    EmitChunks,
    Finish,
    GiveOrder,
    Job,
    Note,
    Published,
    ResumeStream,
    StartJob,
    ToPeer,
)
from trestledock.process._claims import ClaimTable, Grant
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
    CallerGone,
    CancelConfirmed,
    ChunkArrived,
    InstancesListed,
    LoadReported,
    LogRead,
    MarkLeaving,
    OrderAnswered,
    PeerMessage,
    PieceDone,
    Publish,
    Shutdown,
    StreamDone,
    Tick,
)
from trestledock.process._node import Node
from trestledock.process._payloads import PAYLOADS, ClaimAsk, Payload
from trestledock.process._policy import PLAIN, Chooser, Policy
from trestledock.process._targets import (
    CacheEvent,
    LoadReport,
    PeerInfo,
    TargetInfo,
)
from trestledock.relay import rank_by_key

__all__ = (
    'PAYLOADS',
    'PLAIN',
    'Action',
    'AppendRecord',
    'Arrive',
    'AttemptFailed',
    'CacheEvent',
    'CacheReported',
    'CallDone',
    'CallService',
    'CallerGone',
    'CancelConfirmed',
    'CancelHolds',
    'Chooser',
    'ChunkArrived',
    'ClaimAsk',
    'ClaimTable',
    'Count',
    'EmitChunks',
    'Epoch',
    'Finish',
    'GiveOrder',
    'Grant',
    'Handover',
    'Identity',
    'InstancesListed',
    'Job',
    'Lease',
    'LoadReport',
    'LoadReported',
    'LogRead',
    'MarkLeaving',
    'Node',
    'Note',
    'OrderAnswered',
    'Payload',
    'PeerInfo',
    'PeerMessage',
    'PieceDone',
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
    'ToPeer',
    'explain',
    'rank_by_key',
)
