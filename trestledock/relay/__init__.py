"""
Decisions on relayed requests
=============================

Where a request goes that is passed on as it came: routes and keys, the fleet
of targets and its passive health, placement of prompts of unlike lengths, the
board of what is in flight, the outcome of sendings and the shared budget for
repeats.  No sockets, no clock.
"""

from trestledock.relay._arithmetic import (
    PassLoad,
    get_prefill_s,
    get_decode_pass_s,
    get_decode_s,
)
from trestledock.relay._asking import PlacementRequest, Unplaced, pick_cheapest
from trestledock.relay._board import LoadTable, Flight, Phase
from trestledock.relay._budget import RetryLimits, RetryBudget
from trestledock.relay._call import Body, Call, PromptSize
from trestledock.relay._catalog import (
    Catalog,
    EngineModel,
    Limits,
    Route,
    RouteKind,
    Service,
    Share,
    TeamKey,
)
from trestledock.relay._claims import (
    CLAIM_DELAY_S,
    find_prior_claim,
    needs_claim,
)
from trestledock.relay._deciding import (
    PLACEMENT_RETRY_S,
    Decision,
    Timing,
    decide,
    decide_unplaced,
    get_retry_after_s,
)
from trestledock.relay._events import StreamEvent, EventSplitter
from trestledock.relay._fingerprint import RequestIdentity, get_fingerprint
from trestledock.relay._elsewhere import (
    RemoteLoad,
    should_query_remote,
    summarize_load,
)
from trestledock.relay._fleet import LOWEST_ORDER, Fleet, RemovedTarget
from trestledock.relay._health import Health
from trestledock.relay._listed import (
    UNKNOWN_BIRTH,
    ListedTarget,
    RecordOrder,
    Standing,
)
from trestledock.relay._notices import (
    NoticeChange,
    Drain,
    Notice,
    Notices,
    Backoff,
    PeerBackoff,
)
from trestledock.relay._unconfirmed_crashes import UnconfirmedCrashes
from trestledock.relay._outcome import (
    AttemptOutcome,
    AttemptHistory,
    RelayAttempt,
)
from trestledock.relay._patience import (
    EARLY_RETRY_LIMITS,
    get_first_event_timeout_s,
    get_pause_timeout_s,
    is_waiting_for_memory,
)
from trestledock.relay._placing import Placer
from trestledock.relay._plain import choose_least_busy
from trestledock.relay._problem import Placement, Work
from trestledock.relay._proof import FreshnessProof
from trestledock.relay._quarantine import (
    Crash,
    QuarantineRecord,
    Quarantine,
)
from trestledock.relay._quotas import Member, Membership
from trestledock.relay._rate_limits import RateLimit
from trestledock.relay._reach import BEAT_INTERVAL_S, Reachability
from trestledock.relay._rendezvous import rank_by_key
from trestledock.relay._backoff import get_jitter_s
from trestledock.relay._restores import REWRITE_WAIT_S, RestoreTracker
from trestledock.relay._readers import (
    ReaderCandidate,
    ReadSchedule,
    choose_reader,
    get_own_read_delay_s,
    get_read_retry_s,
)
from trestledock.relay._signs import (
    FailureKind,
    classify_connect_error,
    classify_disconnect,
)
from trestledock.relay._terms import DEFAULT_POLICY, PlacementPolicy
from trestledock.relay._throttle import Throttle
from trestledock.relay._turns import WaitingRequest, WaitQueue
from trestledock.relay._worth import get_worth

__all__ = (
    'PlacementRequest',
    'LOWEST_ORDER',
    'BEAT_INTERVAL_S',
    'LoadTable',
    'Body',
    'RetryLimits',
    'CLAIM_DELAY_S',
    'Call',
    'ReaderCandidate',
    'Catalog',
    'NoticeChange',
    'Decision',
    'EARLY_RETRY_LIMITS',
    'Crash',
    'AttemptOutcome',
    'EngineModel',
    'StreamEvent',
    'Fleet',
    'Flight',
    'RemovedTarget',
    'Health',
    'QuarantineRecord',
    'AttemptHistory',
    'PLACEMENT_RETRY_S',
    'Drain',
    'Limits',
    'ListedTarget',
    'RemoteLoad',
    'Member',
    'Membership',
    'Unplaced',
    'Notice',
    'Notices',
    'UnconfirmedCrashes',
    'RecordOrder',
    'PassLoad',
    'Phase',
    'Placement',
    'Placer',
    'PromptSize',
    'FreshnessProof',
    'Reachability',
    'Quarantine',
    'RateLimit',
    'ReadSchedule',
    'REWRITE_WAIT_S',
    'Backoff',
    'PeerBackoff',
    'RestoreTracker',
    'RetryBudget',
    'Route',
    'RouteKind',
    'RelayAttempt',
    'Service',
    'Share',
    'FailureKind',
    'EventSplitter',
    'Standing',
    'DEFAULT_POLICY',
    'TeamKey',
    'PlacementPolicy',
    'Throttle',
    'Timing',
    'RequestIdentity',
    'WaitingRequest',
    'WaitQueue',
    'UNKNOWN_BIRTH',
    'Work',
    'choose_least_busy',
    'choose_reader',
    'decide',
    'decide_unplaced',
    'find_prior_claim',
    'get_retry_after_s',
    'classify_connect_error',
    'classify_disconnect',
    'get_fingerprint',
    'get_first_event_timeout_s',
    'get_own_read_delay_s',
    'get_pause_timeout_s',
    'get_prefill_s',
    'get_read_retry_s',
    'get_jitter_s',
    'get_worth',
    'get_decode_pass_s',
    'get_decode_s',
    'is_waiting_for_memory',
    'should_query_remote',
    'needs_claim',
    'pick_cheapest',
    'rank_by_key',
    'summarize_load',
)
