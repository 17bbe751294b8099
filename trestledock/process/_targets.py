"""
Targets
=======

What is known of one target: its entry in the instance list, its last report
and whether it is leaving.  Leaving is final for an incarnation.
"""

from dataclasses import dataclass, field
from typing import Mapping


@dataclass(frozen=True)
class TargetInfo:
    """An entry of the platform's instance list.

    `address` is an IP number and a port; `incarnation` differs for every
    start of the target.
    """

    name: str
    address: str
    incarnation: str = ''
    labels: Mapping[str, str] = field(default_factory=dict)
    leaving: bool = False

    @property
    def key(self) -> str:
        """The name of this incarnation."""
        return f'{self.name}#{self.incarnation}'


@dataclass(frozen=True)
class PeerInfo:
    """An entry instance.

    The platform's list may not know incarnations; an instance then introduces
    itself by its heartbeats.
    """

    name: str
    incarnation: str
    address: str
    data_centre: str
    leaving: bool = False

    @property
    def member(self) -> str:
        """The name of this incarnation among its peers."""
        return f'{self.name}#{self.incarnation}'


@dataclass(frozen=True)
class LoadReport:
    """What an engine said of itself, `age_s` seconds before it arrived.

    `queued` holds the prefill tokens that wait, by priority.  `itl_s` is the
    time between tokens, `rate` the prefill rate in tokens a second.
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
    """Prefixes that an engine cached or dropped; `sequence` shows gaps."""

    sequence: int
    added: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()
