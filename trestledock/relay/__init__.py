"""
Decisions on relayed requests
=============================

Routes and keys, the fleet of targets and its passive health, placement of
prompts of different lengths, the load table, the outcome of attempts and the
shared retry budget.  The package opens no sockets and reads no clock.
"""

from trestledock.relay._admission import (
    PLACEMENT_RETRY_S,
    Decision,
    Timing,
    decide,
    decide_unplaced,
    get_in_time_s,
    get_retry_after_s,
    get_wait_left_s,
)
from trestledock.relay._answer_bounds import (
    MAX_EVENT_BYTES,
    MAX_NOTE_BYTES,
    UNBOUNDED,
    AnswerMeter,
    Excess,
)
from trestledock.relay._answer_claims import (
    AnswerClaim,
    Verdict,
    judge_answer,
)
from trestledock.relay._answer_ends import (
    UNPROVEN_ENDS,
    AnswerEnd,
    Framing,
    Survival,
    Tail,
    get_framing,
    judge_end,
)
from trestledock.relay._attempts import (
    AttemptHistory,
    AttemptOutcome,
    RelayAttempt,
)
from trestledock.relay._backoff import get_jitter_s
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
    get_rank,
)
from trestledock.relay._claims import (
    CLAIM_DELAY_S,
    find_prior_claim,
    needs_claim,
)
from trestledock.relay._cold_starts import (
    MAX_COLD_S,
    ColdBounds,
    ColdLimit,
    ColdService,
    ColdStart,
)
from trestledock.relay._engine_timing import (
    PassLoad,
    get_decode_pass_s,
    get_decode_s,
    get_prefill_s,
)
from trestledock.relay._evacuations import EvacuationList, Evacuations
from trestledock.relay._event_progress import EventProgress, follows
from trestledock.relay._event_stream import EventSplitter, StreamEvent
from trestledock.relay._exchange_names import (
    MAX_EXCHANGES,
    NO_NAME,
    AnswerOrigin,
    ExchangeNames,
)
from trestledock.relay._failure_kinds import (
    FailureKind,
    classify_connect_error,
    classify_disconnect,
)
from trestledock.relay._fingerprint import RequestIdentity, get_fingerprint
from trestledock.relay._fleet import LOWEST_ORDER, Fleet, RemovedTarget
from trestledock.relay._freshness import MAX_AGE_S, FreshnessProof
from trestledock.relay._health import Health
from trestledock.relay._least_busy import choose_least_busy
from trestledock.relay._link_health import (
    ALL_TARGETS,
    LinkHealth,
    Scope,
    ScopeKind,
    get_scopes,
)
from trestledock.relay._link_probing import (
    drop_empty_scopes,
    find_probe_candidates,
)
from trestledock.relay._load_table import Flight, LoadTable, Phase
from trestledock.relay._notices import (
    Backoff,
    Drain,
    Notice,
    NoticeChange,
    Notices,
    PeerBackoff,
)
from trestledock.relay._placement import Placer, get_idle_fleet_s
from trestledock.relay._placement_cost import Placement, Work
from trestledock.relay._placement_request import (
    PlacementRequest,
    Unplaced,
    pick_cheapest,
)
from trestledock.relay._policy import DEFAULT_POLICY, PlacementPolicy
from trestledock.relay._prompt_parts import get_part_names, is_part
from trestledock.relay._quarantine import Crash, Quarantine, QuarantineRecord
from trestledock.relay._quotas import KnownInstances, Member, Membership
from trestledock.relay._rate_limits import RateLimit
from trestledock.relay._reachability import BEAT_INTERVAL_S, Reachability
from trestledock.relay._readers import (
    ReadSchedule,
    ReaderCandidate,
    choose_reader,
    get_own_read_delay_s,
    get_read_retry_s,
)
from trestledock.relay._remote_load import (
    RemoteLoad,
    should_query_remote,
    summarize_load,
)
from trestledock.relay._rendezvous import rank_by_key
from trestledock.relay._restore_tracker import REWRITE_WAIT_S, RestoreTracker
from trestledock.relay._retry_budget import RetryBudget, RetryLimits
from trestledock.relay._size_tenths import NO_TENTH, SizeTenths
from trestledock.relay._room import get_room, pick_needed
from trestledock.relay._shortage import Turn, make_turn
from trestledock.relay._strict_json import ENCODE_ERRORS, encode_json
from trestledock.relay._target_records import (
    UNKNOWN_BIRTH,
    ListedTarget,
    RecordOrder,
    Standing,
)
from trestledock.relay._throttle import Throttle
from trestledock.relay._timeouts import (
    EARLY_RETRY_LIMITS,
    get_first_event_timeout_s,
    get_pause_timeout_s,
    is_waiting_for_memory,
)
from trestledock.relay._unconfirmed_crashes import UnconfirmedCrashes
from trestledock.relay._turn_order import (
    Standings,
    find_starved_ranks,
    get_rows_ahead,
)
from trestledock.relay._usage import Usage, UsageKey, UsageRow, UsageTable
from trestledock.relay._wait_queue import WaitQueue, WaitingRequest
from trestledock.relay._waiting_rows import WaitingRow, WaitingTable
from trestledock.relay._worth import get_worth

__all__ = (
    'ALL_TARGETS',
    'UNPROVEN_ENDS',
    'AnswerEnd',
    'MAX_EVENT_BYTES',
    'MAX_NOTE_BYTES',
    'UNBOUNDED',
    'AnswerClaim',
    'AnswerMeter',
    'Excess',
    'AnswerOrigin',
    'ExchangeNames',
    'MAX_EXCHANGES',
    'NO_NAME',
    'Framing',
    'Survival',
    'Tail',
    'get_framing',
    'judge_end',
    'LinkHealth',
    'Scope',
    'ScopeKind',
    'drop_empty_scopes',
    'find_probe_candidates',
    'get_scopes',
    'AttemptHistory',
    'AttemptOutcome',
    'BEAT_INTERVAL_S',
    'Backoff',
    'Body',
    'CLAIM_DELAY_S',
    'Call',
    'Catalog',
    'ColdBounds',
    'ColdLimit',
    'ColdService',
    'ColdStart',
    'Crash',
    'DEFAULT_POLICY',
    'Decision',
    'Drain',
    'EARLY_RETRY_LIMITS',
    'ENCODE_ERRORS',
    'EngineModel',
    'EvacuationList',
    'Evacuations',
    'EventProgress',
    'EventSplitter',
    'FailureKind',
    'Fleet',
    'Flight',
    'FreshnessProof',
    'Health',
    'KnownInstances',
    'LOWEST_ORDER',
    'Limits',
    'ListedTarget',
    'LoadTable',
    'MAX_AGE_S',
    'MAX_COLD_S',
    'Member',
    'Membership',
    'NO_TENTH',
    'Notice',
    'NoticeChange',
    'Notices',
    'PLACEMENT_RETRY_S',
    'PassLoad',
    'PeerBackoff',
    'Phase',
    'Placement',
    'PlacementPolicy',
    'PlacementRequest',
    'Placer',
    'PromptSize',
    'Quarantine',
    'QuarantineRecord',
    'REWRITE_WAIT_S',
    'RateLimit',
    'Reachability',
    'ReadSchedule',
    'ReaderCandidate',
    'RecordOrder',
    'RelayAttempt',
    'RemoteLoad',
    'RemovedTarget',
    'RequestIdentity',
    'RestoreTracker',
    'RetryBudget',
    'RetryLimits',
    'Route',
    'RouteKind',
    'Service',
    'Share',
    'SizeTenths',
    'Standing',
    'Standings',
    'StreamEvent',
    'TeamKey',
    'Throttle',
    'Timing',
    'Turn',
    'UNKNOWN_BIRTH',
    'UnconfirmedCrashes',
    'Unplaced',
    'Usage',
    'UsageKey',
    'UsageRow',
    'UsageTable',
    'Verdict',
    'WaitQueue',
    'WaitingRequest',
    'WaitingRow',
    'WaitingTable',
    'Work',
    'choose_least_busy',
    'choose_reader',
    'classify_connect_error',
    'classify_disconnect',
    'decide',
    'decide_unplaced',
    'encode_json',
    'find_prior_claim',
    'find_starved_ranks',
    'follows',
    'get_decode_pass_s',
    'get_decode_s',
    'get_fingerprint',
    'get_part_names',
    'is_part',
    'get_first_event_timeout_s',
    'get_idle_fleet_s',
    'get_in_time_s',
    'get_jitter_s',
    'get_own_read_delay_s',
    'get_pause_timeout_s',
    'get_prefill_s',
    'get_rank',
    'get_read_retry_s',
    'get_retry_after_s',
    'get_room',
    'get_rows_ahead',
    'get_wait_left_s',
    'get_worth',
    'is_waiting_for_memory',
    'judge_answer',
    'make_turn',
    'needs_claim',
    'pick_cheapest',
    'pick_needed',
    'rank_by_key',
    'should_query_remote',
    'summarize_load',
)
