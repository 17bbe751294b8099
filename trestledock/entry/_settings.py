"""
Entry settings
==============

The settings that an entry process reads at start.  Times are in seconds.
"""

from dataclasses import dataclass, field

from trestledock.relay import ColdBounds, RetryLimits


#: The longest plain answer unless the settings say otherwise, in bytes: half of
#: what an entry holds of all (`ANSWER_BYTES`).
MAX_ANSWER_BYTES = 12_000_000


@dataclass(frozen=True)
class EntrySettings:
    """The settings of an entry process; addresses are `IP:PORT`.

    `callers`, `ready` and `peers` are the listening addresses for callers, the
    balancer and other entries, `metrics` the one for metrics, if any.
    `settle_s` is the time within which a change in the store must be in force
    here.  `revoke_s` is how long a revoked key may still be served, zero for no
    limit.  `grace_s` is the time from the request to stop to the exit.
    `cold_bounds` bounds the requests to targets that have just started; None
    for no bound.  `max_answer_bytes` is the longest plain answer that targets
    send: a longer one is given up as no answer.
    """

    instance: str
    data_centre: str
    callers: str
    ready: str
    peers: str
    store: str
    metrics: str = ''
    settle_s: float = 2
    revoke_s: float = 0
    grace_s: float = 8
    budget: RetryLimits = field(default_factory=RetryLimits)
    cold_bounds: ColdBounds | None = None
    max_answer_bytes: int = MAX_ANSWER_BYTES
