"""
Hosts and fault settings
========================

The hosts of a world, namely instances with their cores, engines and plain
services, and the settings of its faults.
"""

from dataclasses import dataclass, field
from typing import Any

from trestledock.process import CacheEvent, LoadReport, Node, TargetInfo
from trestledock.request import Request
from trestledock.standin import EngineModel


@dataclass
class Host:
    """An instance in the world: its core, its state and its requests.

    `stalls` has the delay of the next action of a type, by the type's name.
    """

    node: Node
    name: str
    data_centre: str
    alive: bool = True
    frozen: bool = False
    draining: bool = False
    inbox: list[Any] = field(default_factory=list)
    tick_at: float = float('inf')
    version: int = -1
    stalls: dict[str, float] = field(default_factory=dict)
    requests: dict[str, Request] = field(default_factory=dict)
    seeds: dict[str, str] = field(default_factory=dict)
    keys: dict[str, str] = field(default_factory=dict)

    @property
    def member(self) -> str:
        """The member name of this incarnation."""
        return self.node.state.member


#: The fingerprint of requests that crash the engines that run them.
CRASHING_FINGERPRINT = 'deadly'


@dataclass
class Route:
    """The receiver of an engine's events for a reservation."""

    host: Host
    req_id: str
    attempt: int


@dataclass
class EngineHost:
    """An engine in the world.

    A `muted` engine sends no events.
    """

    model: EngineModel
    info: TargetInfo
    alive: bool = True
    reports_draining: bool = False
    muted: bool = False
    routes: dict[str, Route] = field(default_factory=dict)
    wake_at: float = float('inf')
    reports: list[tuple[float, LoadReport]] = field(default_factory=list)
    sequence: int = -1
    cache_events: list[CacheEvent] = field(default_factory=list)


@dataclass
class ServiceHost:
    """A plain service in the world.

    The answers of the next `lose_answers` calls get lost.
    """

    info: TargetInfo
    alive: bool = True
    lose_answers: int = 0
    reports_draining: bool = False


@dataclass
class FaultSettings:
    """The faults of the platform and the network, and the lags of reports."""

    outage: bool = False
    list_outage: bool = False
    lose_appends: int = 0
    lose_cancels: int = 0
    list_lag_s: float = 0.5
    report_lag_s: float = 0.2
    cache_gap_share: float = 0.1
    loss_share: float = 0
    duplicate_share: float = 0
    reorder_s: float = 0
    cuts: list[tuple[frozenset[str], frozenset[str]]] = field(
        default_factory=list,
    )
