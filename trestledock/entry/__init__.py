"""
Entry process
=============

The input and output around the decisions of `trestledock.relay`: connections to
callers, targets, other entries and the platform's store.  A platform plugs in
with a `Dialect` for its formats and a `Directory` for its store.
"""

from trestledock.entry._checks import (
    read_age_s,
    read_number,
    read_count,
    read_list,
    read_text,
)
from trestledock.entry._daemon import run_entry
from trestledock.entry._dialect import (
    EntryAnnouncements,
    AnswerMetadata,
    ColdTime,
    Dialect,
    Directory,
    RateLimitHeader,
    BackoffHeader,
    StoreUpdate,
    ControlRequest,
    ForwardingContext,
    LogPosition,
    StoredQuarantine,
    TargetUpdate,
)
from trestledock.entry._events import (
    EVENTS,
    EpochDoubted,
    EvacuationUnreadable,
    HistoryForgotten,
    OldRecord,
    RecordIgnored,
)
from trestledock.entry._store_reader import DirectoryError, DocumentError
from trestledock.entry._logger import emit, set_up_logs
from trestledock.entry._settings import EntrySettings
from trestledock.entry._wire import Head, Headers, Wire, WireError

__all__ = (
    'EVENTS',
    'EntryAnnouncements',
    'AnswerMetadata',
    'ColdTime',
    'Dialect',
    'Directory',
    'DirectoryError',
    'DocumentError',
    'EntrySettings',
    'EpochDoubted',
    'EvacuationUnreadable',
    'Head',
    'Headers',
    'HistoryForgotten',
    'RateLimitHeader',
    'BackoffHeader',
    'StoreUpdate',
    'OldRecord',
    'ControlRequest',
    'ForwardingContext',
    'LogPosition',
    'RecordIgnored',
    'StoredQuarantine',
    'TargetUpdate',
    'Wire',
    'WireError',
    'emit',
    'read_age_s',
    'read_number',
    'read_count',
    'read_list',
    'read_text',
    'run_entry',
    'set_up_logs',
)
