"""
Decisions on relayed requests
=============================

Routes and keys, the fleet of targets and its passive health, placement of
prompts of different lengths, the load table, the outcome of attempts and the
shared retry budget.  The package opens no sockets and reads no clock.
"""

from trestledock.relay._arithmetic import (
    PassLoad,
    get_read_s,
    get_write_pass_s,
    get_write_s,
)
from trestledock.relay._asking import Ask, NoPlace, pick_cheapest
from trestledock.relay._board import Board, Flight, Phase
from trestledock.relay._budget import BudgetTerms, RetryWindow
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
from trestledock.relay._claims import CLAIM_S, find_prior, needs_claim
from trestledock.relay._deciding import (
    LOOK_S,
    Decision,
    Timing,
    decide,
    decide_without_place,
    get_come_back_s,
)
from trestledock.relay._events import Event, Splitter
from trestledock.relay._fingerprint import Traits, get_fingerprint
from trestledock.relay._elsewhere import (
    Load,
    is_worth_asking,
    summarize,
)
from trestledock.relay._fleet import BEFORE_ALL, Fleet, GoneTarget
from trestledock.relay._health import Health
from trestledock.relay._listed import UNTOLD, Listed, Order, Standing
from trestledock.relay._notices import (
    Change,
    Leave,
    Notice,
    Notices,
    Rest,
    RestElsewhere,
)
from trestledock.relay._open_ends import OpenEnds
from trestledock.relay._outcome import Ending, History, Sending
from trestledock.relay._patience import (
    EARLY_TERMS,
    get_first_patience_s,
    get_pause_patience_s,
    is_held_up,
)
from trestledock.relay._placing import Placer
from trestledock.relay._plain import choose_least_busy
from trestledock.relay._problem import Placement, Work
from trestledock.relay._proof import Proof
from trestledock.relay._quarantine import (
    End,
    Quarantined,
    Quarantine,
)
from trestledock.relay._quotas import Member, Members
from trestledock.relay._rate_limits import RateLimit
from trestledock.relay._reach import BEAT_S, Reach
from trestledock.relay._rendezvous import rank_by_key
from trestledock.relay._resting import get_spread_s
from trestledock.relay._restores import REWRITE_S, Restores
from trestledock.relay._readers import (
    Candidate,
    ReadPace,
    choose_reader,
    get_own_read_in_s,
    get_retry_s,
)
from trestledock.relay._signs import Sign, get_connect_sign, get_end_sign
from trestledock.relay._terms import TERMS, Terms
from trestledock.relay._throttle import Throttle
from trestledock.relay._turns import Turn, Turns
from trestledock.relay._worth import get_worth

__all__ = (
    'Ask',
    'BEFORE_ALL',
    'BEAT_S',
    'Board',
    'Body',
    'BudgetTerms',
    'CLAIM_S',
    'Call',
    'Candidate',
    'Catalog',
    'Change',
    'Decision',
    'EARLY_TERMS',
    'End',
    'Ending',
    'EngineModel',
    'Event',
    'Fleet',
    'Flight',
    'GoneTarget',
    'Health',
    'Quarantined',
    'History',
    'LOOK_S',
    'Leave',
    'Limits',
    'Listed',
    'Load',
    'Member',
    'Members',
    'NoPlace',
    'Notice',
    'Notices',
    'OpenEnds',
    'Order',
    'PassLoad',
    'Phase',
    'Placement',
    'Placer',
    'PromptSize',
    'Proof',
    'Reach',
    'Quarantine',
    'RateLimit',
    'ReadPace',
    'REWRITE_S',
    'Rest',
    'RestElsewhere',
    'Restores',
    'RetryWindow',
    'Route',
    'RouteKind',
    'Sending',
    'Service',
    'Share',
    'Sign',
    'Splitter',
    'Standing',
    'TERMS',
    'TeamKey',
    'Terms',
    'Throttle',
    'Timing',
    'Traits',
    'Turn',
    'Turns',
    'UNTOLD',
    'Work',
    'choose_least_busy',
    'choose_reader',
    'decide',
    'decide_without_place',
    'find_prior',
    'get_come_back_s',
    'get_connect_sign',
    'get_end_sign',
    'get_fingerprint',
    'get_first_patience_s',
    'get_own_read_in_s',
    'get_pause_patience_s',
    'get_read_s',
    'get_retry_s',
    'get_spread_s',
    'get_worth',
    'get_write_pass_s',
    'get_write_s',
    'is_held_up',
    'is_worth_asking',
    'needs_claim',
    'pick_cheapest',
    'rank_by_key',
    'summarize',
)
