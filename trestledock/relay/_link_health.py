"""
Links to targets
================

Whether this instance reaches the targets over its own network links. A failed
connection may be the fault of the target or of the link to it. Several targets
that fail without any success in between make a link doubtful; another instance
that reaches one of them at the same time proves that the link is lost.

Targets share links by their data centre, by their service or altogether, so the
same evidence is collected for each of these scopes.
"""

from dataclasses import dataclass, field
from enum import Enum
from typing import Iterable, Iterator

from trestledock.relay._target_records import ListedTarget

#: The number of targets in a scope that must have failed since the last success
#: there, and the number of failures in a row for a single target.
MIN_FAILURES = 2
#: The number of failed targets from which on an instance without any way around
#: takes itself for cut off, and refuses requests at once.
MIN_CUT_OFF_FAILURES = 3
#: Failures that are older than this, in seconds, say nothing: with no requests
#: in between there was no chance of a success.
MAX_FAILURE_AGE_S = 5.0
#: How recently a target must have failed here, in seconds, for another instance
#: that reaches it to prove anything.
MAX_PROOF_AGE_S = 1.0


class ScopeKind(str, Enum):
    """What the targets of a scope have in common."""

    all = 'all'
    data_centre = 'data_centre'
    service = 'service'
    target = 'target'


@dataclass(frozen=True)
class Scope:
    """The targets that may share a link, widest first in `get_scopes`."""

    kind: ScopeKind
    name: str = ''


#: The scope of all targets.
ALL_TARGETS = Scope(ScopeKind.all)


@dataclass(frozen=True)
class LinkFailure:
    """The last failure of a target, and how many it had in a row.

    `is_new` is true if a new connection failed: only the success of another
    new connection refutes that, as open ones may outlive a cut.
    """

    failed_at: float
    count: int
    is_new: bool


@dataclass
class ScopeLinks:
    """The failures in a scope since its last success.

    `is_lost` is true once another instance has proved that the link is lost.
    """

    kind: ScopeKind
    since: float
    failures: dict[str, LinkFailure] = field(default_factory=dict)
    is_lost: bool = False

    @property
    def has_many_failures(self) -> bool:
        """Whether enough targets have failed to doubt a shared link."""
        return len(self.failures) >= MIN_FAILURES

    def add(self, incarnation: str, now: float, *, is_new: bool) -> None:
        """Add a failure of a target."""
        known = self.failures.get(incarnation)
        self.failures[incarnation] = LinkFailure(
            now,
            known.count + 1 if known else 1,
            is_new or (known is not None and known.is_new),
        )

    def drop_old_connections(self) -> None:
        """Drop the failures that a success on an open connection refutes."""
        for incarnation, failure in tuple(self.failures.items()):
            if not failure.is_new:
                self.failures.pop(incarnation)

    def is_doubted(self, now: float) -> bool:
        """Return whether the link may be lost."""
        if self.is_lost:
            return True
        recent = self.get_recent(now)
        if self.kind is ScopeKind.target:
            return any(failure.count >= MIN_FAILURES for failure in recent)
        return len(recent) >= MIN_FAILURES

    def get_recent(self, now: float) -> list[LinkFailure]:
        """Return the failures that are not outdated."""
        return [
            failure
            for failure in self.failures.values()
            if now - failure.failed_at <= MAX_FAILURE_AGE_S
        ]

    def is_proved(self, incarnation: str, now: float) -> bool:
        """Return whether reaching a target elsewhere proves the loss."""
        failure = self.failures.get(incarnation)
        if failure is None or not self.is_doubted(now):
            return False
        return now - failure.failed_at <= MAX_PROOF_AGE_S

    def is_outdated(self, now: float) -> bool:
        """Return whether nothing that counts is left."""
        return not self.is_lost and not self.get_recent(now)


@dataclass
class LinkHealth:
    """The links of this instance to all targets.

    >>> links = LinkHealth()
    >>> for name in ('t1', 't2'):
    ...     target = ListedTarget(name, 'svc', '127.0.0.1:1', 'dc')
    ...     links.record_failure(target, now=0, is_new=True)
    >>> links.is_doubted(target, now=0), links.is_lost(target)
    (True, False)
    >>> [scope.kind.value for scope in links.record_reached(target, now=0)]
    ['all', 'data_centre', 'service']
    >>> links.is_lost(target)
    True
    """

    scopes: dict[Scope, ScopeLinks] = field(default_factory=dict)

    def record_failure(
        self, target: ListedTarget, now: float, *, is_new: bool
    ) -> None:
        """Record that a target could not be reached or fell silent."""
        self._forget_outdated(now)
        for scope in get_scopes(target):
            links = self.scopes.setdefault(scope, ScopeLinks(scope.kind, now))
            links.add(target.incarnation, now, is_new=is_new)

    def record_success(
        self, target: ListedTarget, *, is_new: bool
    ) -> list[Scope]:
        """Record an answer of a target; return the links that are back.

        If the link to its data centre was in doubt, the targets that have
        failed there get another chance, too.
        """
        regained: list[Scope] = []
        if not self.scopes:
            return regained
        for scope in get_scopes(target):
            links = self.scopes.get(scope)
            if links is None:
                continue
            if not is_new:
                links.drop_old_connections()
                continue
            self.scopes.pop(scope)
            if scope.kind is ScopeKind.data_centre and links.has_many_failures:
                self._forget_targets(links.failures)
            if links.is_lost:
                regained.append(scope)
        return regained

    def record_reached(self, target: ListedTarget, now: float) -> list[Scope]:
        """Record that another instance reaches a target.

        Return the links that are known to be lost by this, widest first; none
        if the link to the target was known to be lost.
        """
        was_lost = self.is_lost(target)
        lost: list[Scope] = []
        for scope in get_scopes(target):
            links = self.scopes.get(scope)
            if links is None or links.is_lost:
                continue
            if links.is_proved(target.incarnation, now):
                links.is_lost = True
                lost.append(scope)
        return [] if was_lost else lost

    def is_doubted(self, target: ListedTarget, now: float) -> bool:
        """Return whether the link to a target may be lost."""
        return any(
            links.is_doubted(now) for links in self._get_links_of(target)
        )

    def is_lost(self, target: ListedTarget) -> bool:
        """Return whether the link to a target is known to be lost."""
        return any(links.is_lost for links in self._get_links_of(target))

    def are_all_doubted(self, now: float) -> bool:
        """Return whether the links to all targets may be lost."""
        links = self.scopes.get(ALL_TARGETS)
        return links is not None and links.is_doubted(now)

    def is_cut_off(self, now: float) -> bool:
        """Return whether no target can be reached over the own links."""
        links = self.scopes.get(ALL_TARGETS)
        if links is None:
            return False
        is_failing = len(links.get_recent(now)) >= MIN_CUT_OFF_FAILURES
        return links.is_lost or is_failing

    def get_doubted(self, now: float) -> list[Scope]:
        """Return the scopes whose link may be lost, widest first."""
        self._forget_outdated(now)
        return [
            scope
            for scope, links in self.scopes.items()
            if links.is_doubted(now)
        ]

    def forget_failures(self, incarnation: str) -> None:
        """Forget the failures of a target, which say nothing of its links."""
        for scope, links in tuple(self.scopes.items()):
            links.failures.pop(incarnation, None)
            if not links.failures and not links.is_lost:
                self.forget(scope)

    def forget(self, scope: Scope) -> None:
        """Forget a scope without targets."""
        self.scopes.pop(scope, None)

    def _forget_targets(self, incarnations: Iterable[str]) -> None:
        for incarnation in incarnations:
            self.forget(Scope(ScopeKind.target, incarnation))

    def _forget_outdated(self, now: float) -> None:
        for scope, links in tuple(self.scopes.items()):
            if links.is_outdated(now):
                self.scopes.pop(scope)

    def _get_links_of(self, target: ListedTarget) -> Iterator[ScopeLinks]:
        if not self.scopes:
            return
        for scope in get_scopes(target):
            links = self.scopes.get(scope)
            if links:
                yield links


def get_scopes(target: ListedTarget) -> tuple[Scope, ...]:
    """Return the scopes that a target belongs to, widest first."""
    return (
        ALL_TARGETS,
        Scope(ScopeKind.data_centre, target.data_centre),
        Scope(ScopeKind.service, target.service),
        Scope(ScopeKind.target, target.incarnation),
    )
