"""
Fleet
=====

The targets and peers that an instance knows, from three sources: the platform's
instance list, their own responses, and the commands of operators.  A target
that one of them reports as draining stays so: that is final for an
incarnation.  An outage of the list changes nothing.
"""

from dataclasses import dataclass, field

from trestledock.process._load import EngineLoad
from trestledock.process._targets import (
    CacheEvent,
    LoadReport,
    PeerInfo,
    TargetInfo,
)
from trestledock.request import CircuitBreaker
from trestledock.version import Labels

#: The time without a response after which an unlisted target gets no new work,
#: in seconds.
UNLISTED_TIMEOUT_S = 5.0
#: The time without a response after which a listed target gets no new work
#: until it responds again, in seconds.  It may have begun to drain meanwhile.
LISTED_TIMEOUT_S = 15.0
#: The maximum number of cached prefixes that are tracked per target.
MAX_CACHED = 4096


@dataclass
class Target:
    """An incarnation of a target, as known to this instance.

    `polled` is true if this instance is the one of its data centre that polls
    the target often and passes its load on to the others.
    """

    info: TargetInfo
    listed: bool = True
    heard_at: float = 0
    load: EngineLoad = field(default_factory=EngineLoad)
    breaker: CircuitBreaker = field(default_factory=CircuitBreaker)
    in_flight: int = 0
    polled: bool = False
    ordered_at: float = float('-inf')
    cached: set[str] = field(default_factory=set)
    cache_sequence: int = -1
    models: frozenset[str] = frozenset()

    def apply_cache_event(self, event: CacheEvent) -> None:
        """Apply a cache event; a gap in the sequence clears the known cache."""
        if event.sequence <= self.cache_sequence:
            return
        if event.sequence != self.cache_sequence + 1:
            self.cached.clear()
        self.cache_sequence = event.sequence
        self.cached.difference_update(event.removed)
        self.cached.update(event.added)
        while len(self.cached) > MAX_CACHED:
            self.cached.pop()


@dataclass
class Peer:
    """An incarnation of a peer, as known to this instance."""

    info: PeerInfo
    heard_at: float
    draining: bool = False
    is_unreachable: bool = False
    demands: dict[str, float] = field(default_factory=dict)
    knows_quarantine: bool = False


@dataclass
class Fleet:
    """All targets by name, and all peers by member name.

    `draining` holds the keys of draining incarnations, `replaced` those of
    targets that have restarted since; `revision` counts changes of the targets.
    """

    targets: dict[str, Target] = field(default_factory=dict)
    peers: dict[str, Peer] = field(default_factory=dict)
    draining: set[str] = field(default_factory=set)
    replaced: set[str] = field(default_factory=set)
    revision: int = 0
    listed_peers: tuple[PeerInfo, ...] = ()

    def merge_targets(
        self,
        infos: tuple[TargetInfo, ...],
        now: float,
    ) -> list[TargetInfo]:
        """Merge the targets of the instance list; return those replaced."""
        replaced = []
        for info in infos:
            if info.key not in self.replaced:
                earlier = self._merge_target(info, now)
                replaced.extend([earlier] if earlier else [])
        self._mark_listed({info.name for info in infos})
        return replaced

    def merge_peers(self, infos: tuple[PeerInfo, ...], now: float) -> None:
        """Merge the peers of the instance list.

        An entry without an incarnation does not affect known peers, because a
        stale list may refer to an earlier incarnation.
        """
        self.listed_peers = infos
        for info in infos:
            if info.incarnation and info.member not in self.peers:
                self.peers[info.member] = Peer(info, heard_at=now)
            peer = self.peers.get(info.member)
            if peer:
                peer.draining = peer.draining or info.draining

    def get_unknown_peers(self) -> list[PeerInfo]:
        """Return the listed peers that have sent no heartbeat."""
        known = {
            peer.info.name
            for peer in self.peers.values()
            if not peer.is_unreachable
        }
        return [
            info
            for info in self.listed_peers
            if info.name not in known and not info.draining
        ]

    def is_superseded(self, member: str) -> bool:
        """Whether a later incarnation of the member is known."""
        name, _, incarnation = member.partition('#')
        return any(
            peer.info.name == name and peer.info.incarnation > incarnation
            for peer in self.peers.values()
        )

    def get_superseded(self, info: PeerInfo) -> list[Peer]:
        """Return the earlier incarnations of a peer that are still reachable.

        Incarnations sort by the time of their start, so a late heartbeat of an
        old incarnation supersedes nothing.
        """
        return [
            peer
            for peer in self.peers.values()
            if peer.info.name == info.name
            and peer.info.incarnation < info.incarnation
            and not peer.is_unreachable
        ]

    def record_heartbeat(self, info: PeerInfo, now: float) -> Peer:
        """Record a heartbeat of a peer, listed or not."""
        peer = self.peers.get(info.member)
        if peer is None:
            peer = Peer(info, heard_at=now)
            self.peers[info.member] = peer
        peer.heard_at = now
        peer.is_unreachable = False
        peer.draining = peer.draining or info.draining
        return peer

    def record_report(self, name: str, report: LoadReport, now: float) -> None:
        """Record a target's load report."""
        target = self.targets.get(name)
        if target is None:
            return
        target.heard_at = now
        target.load.record_report(report, now)
        if report.models:
            target.models = frozenset(report.models)
        if report.leaving:
            self.draining.add(target.info.key)

    def mark_draining(self, key: str) -> bool:
        """Mark an incarnation as draining; return whether it was not yet."""
        is_new = key not in self.draining
        self.draining.add(key)
        return is_new

    def is_draining(self, target: Target) -> bool:
        """Whether a target is draining and gets no new work."""
        return target.info.key in self.draining

    def is_usable(self, target: Target, now: float) -> bool:
        """Whether new work may be sent to a target at `now`."""
        timeout_s = LISTED_TIMEOUT_S if target.listed else UNLISTED_TIMEOUT_S
        is_alive = now - target.heard_at < timeout_s
        is_active = is_alive and not self.is_draining(target)
        return is_active and target.breaker.allows(now)

    def get_labels(self, target: Target) -> Labels:
        """Return a target's labels, with its name as `instance`."""
        return {**target.info.labels, 'instance': target.info.name}

    def get_live_peers(self, data_centre: str) -> list[Peer]:
        """Return the reachable peers of a data centre, sorted by name."""
        return [
            self.peers[name]
            for name in sorted(self.peers)
            if not self.peers[name].is_unreachable
            and self.peers[name].info.data_centre == data_centre
        ]

    def _merge_target(self, info: TargetInfo, now: float) -> TargetInfo | None:
        """Merge an entry; return the incarnation that it replaces, if any."""
        if info.leaving:
            self.draining.add(info.key)
        known = self.targets.get(info.name)
        if known and known.info == info:
            return None
        self.revision += 1
        if known and known.info.key == info.key:
            known.info = info
            return None
        self.targets[info.name] = Target(info, heard_at=now)
        if known is None:
            return None
        self.replaced.add(known.info.key)
        return known.info

    def _mark_listed(self, names: set[str]) -> None:
        for name, target in self.targets.items():
            target.listed = name in names
