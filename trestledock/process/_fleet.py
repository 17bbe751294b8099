"""
Fleet
=====

The targets and peers that an instance knows, from three witnesses: the
platform's instance list, their own answers and the marks of operators.
`leaving` from any of them is final for that incarnation.  Silence of the list
changes nothing.
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

#: A target that is not listed and not heard for so long gets no new work.
UNSEEN_S = 5.0
#: A listed target that is not heard for so long gets no new work until it has
#: answered again: it may have begun to leave meanwhile.
STALE_S = 15.0
#: How many cached prefixes are remembered for a target.
MAX_CACHED = 4096


@dataclass
class Target:
    """What is known of one incarnation of a target."""

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

    def take_cache_event(self, event: CacheEvent) -> None:
        """Fold a cache event; a gap makes everything known uncertain."""
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
    """What is known of one incarnation of a peer."""

    info: PeerInfo
    heard_at: float
    leaving: bool = False
    gone: bool = False
    demands: dict[str, float] = field(default_factory=dict)
    knows_quarantine: bool = False


@dataclass
class Fleet:
    """All targets by name and all peers by member name."""

    targets: dict[str, Target] = field(default_factory=dict)
    peers: dict[str, Peer] = field(default_factory=dict)
    leaving: set[str] = field(default_factory=set)
    replaced: set[str] = field(default_factory=set)
    revision: int = 0
    listed_peers: tuple[PeerInfo, ...] = ()

    def take_targets(
        self,
        infos: tuple[TargetInfo, ...],
        now: float,
    ) -> list[TargetInfo]:
        """Fold the instance list; return incarnations that were replaced."""
        replaced = []
        for info in infos:
            if info.key not in self.replaced:
                earlier = self._take_target(info, now)
                replaced.extend([earlier] if earlier else [])
        self._mark_listed({info.name for info in infos})
        return replaced

    def take_peers(self, infos: tuple[PeerInfo, ...], now: float) -> None:
        """Fold the peers of the instance list.

        An entry without an incarnation says nothing of those that are known:
        a list that lags may mean an earlier one.
        """
        self.listed_peers = infos
        for info in infos:
            if info.incarnation and info.member not in self.peers:
                self.peers[info.member] = Peer(info, heard_at=now)
            peer = self.peers.get(info.member)
            if peer:
                peer.leaving = peer.leaving or info.leaving

    def get_strangers(self) -> list[PeerInfo]:
        """Return the listed peers that have not introduced themselves."""
        known = {
            peer.info.name for peer in self.peers.values() if not peer.gone
        }
        return [
            info
            for info in self.listed_peers
            if info.name not in known and not info.leaving
        ]

    def is_superseded(self, member: str) -> bool:
        """Whether a later incarnation of a member is known."""
        name, _, incarnation = member.partition('#')
        return any(
            peer.info.name == name and peer.info.incarnation > incarnation
            for peer in self.peers.values()
        )

    def get_superseded(self, info: PeerInfo) -> list[Peer]:
        """Return the earlier incarnations of a peer that still count.

        Incarnations sort by the time of their start, so that a late heartbeat
        of an old one supersedes nothing.
        """
        return [
            peer
            for peer in self.peers.values()
            if peer.info.name == info.name
            and peer.info.incarnation < info.incarnation
            and not peer.gone
        ]

    def hear_peer(self, info: PeerInfo, now: float) -> Peer:
        """Note a sign of life of a peer, listed or not."""
        peer = self.peers.get(info.member)
        if peer is None:
            peer = Peer(info, heard_at=now)
            self.peers[info.member] = peer
        peer.heard_at = now
        peer.gone = False
        peer.leaving = peer.leaving or info.leaving
        return peer

    def take_report(self, name: str, report: LoadReport, now: float) -> None:
        """Fold a target's own report."""
        target = self.targets.get(name)
        if target is None:
            return
        target.heard_at = now
        target.load.take_report(report, now)
        if report.models:
            target.models = frozenset(report.models)
        if report.leaving:
            self.leaving.add(target.info.key)

    def mark_draining(self, key: str) -> bool:
        """Mark an incarnation as leaving; return whether that is news."""
        news = key not in self.leaving
        self.leaving.add(key)
        return news

    def is_draining(self, target: Target) -> bool:
        """Whether a target gets no new work any more."""
        return target.info.key in self.leaving

    def is_usable(self, target: Target, now: float) -> bool:
        """Whether new work may be sent to a target at `now`."""
        patience_s = STALE_S if target.listed else UNSEEN_S
        seen = now - target.heard_at < patience_s
        live = seen and not self.is_draining(target)
        return live and target.breaker.allows(now)

    def get_labels(self, target: Target) -> Labels:
        """Return a target's labels with its name among them."""
        return {**target.info.labels, 'instance': target.info.name}

    def get_live_peers(self, data_centre: str) -> list[Peer]:
        """Return the peers of a data centre that have not gone, by name."""
        return [
            self.peers[name]
            for name in sorted(self.peers)
            if not self.peers[name].gone
            and self.peers[name].info.data_centre == data_centre
        ]

    def _take_target(self, info: TargetInfo, now: float) -> TargetInfo | None:
        """Take an entry; return the incarnation that it replaces, if any."""
        if info.leaving:
            self.leaving.add(info.key)
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
