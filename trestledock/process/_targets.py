"""
Target data
===========

Entries of the instance list, load reports, and cache events.  Draining is
final for an incarnation.
"""

from dataclasses import dataclass, field
from typing import Mapping


@dataclass(frozen=True)
class TargetInfo:
    """An entry of the platform's instance list.

    `address` is an IP address and a port; `incarnation` differs for every
    start of the target.
    """

    name: str
    address: str
    incarnation: str = ''
    labels: Mapping[str, str] = field(default_factory=dict)
    leaving: bool = False

    @property
    def key(self) -> str:
        """The unique name of this incarnation."""
        return f'{self.name}#{self.incarnation}'


@dataclass(frozen=True)
class PeerInfo:
    """An entry instance.

    The platform's list may lack the incarnation; peers then learn it from the
    heartbeats.
    """

    name: str
    incarnation: str
    address: str
    data_centre: str
    draining: bool = False

    @property
    def member(self) -> str:
        """The unique name of this incarnation."""
        return f'{self.name}#{self.incarnation}'


@dataclass(frozen=True)
class LoadReport:
    """The load of a target, measured `age_s` seconds before it arrived.

    `queued` holds the queued prefill tokens by priority, `itl_s` the
    inter-token latency, `rate` the prefill rate in tokens per second.
    """

    age_s: float
    queued: tuple[int, ...]
    free_tokens: int
    capacity_tokens: int
    rate: float
    itl_s: float
    accepted_tokens: int = 0
    running: int = 0
    models: tuple[str, ...] = ()
    fencing: int = -1
    leaving: bool = False


@dataclass(frozen=True)
class CacheEvent:
    """Prefixes that an engine cached or evicted; `sequence` reveals gaps."""

    sequence: int
    added: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()
