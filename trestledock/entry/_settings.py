"""
Settings of an entry
====================

What an entry process learns about itself and its platform at start.  Times
are in seconds.
"""

from dataclasses import dataclass, field

from trestledock.relay import RetryLimits


@dataclass(frozen=True)
class EntrySettings:
    """The settings; addresses are `IP:PORT`.

    `callers` and `ready` are where callers and the balancer come, `peers`
    where other entries do, `metrics` where metrics are read, if anywhere.
    `settle_s` is the time within which a change in the store must be in force
    here; `revoke_s` is how long a key that was taken away may still be served,
    zero for any time; `grace_s` is the time between the request to stop and the
    end.
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
