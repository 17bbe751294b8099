"""
Fleet of targets
================

The targets that requests may be relayed to, as listed by the platform's
directory.  Draining is final for an incarnation, and so is the removal of its
record, unless the record vanished while the directory was disturbed.  Its lease
may only have lapsed then, so the target is retained for a little longer.  Only
the newest incarnation of each id is kept; records of older ones change nothing.
"""

from dataclasses import dataclass, field, replace
from typing import Collection, Iterable, Iterator

from trestledock.relay._evacuations import Evacuations
from trestledock.relay._list_watch import ListWatch
from trestledock.relay._notices import Backoff, Drain, Notices
from trestledock.relay._target_records import (
    UNKNOWN_BIRTH,
    ListedTarget,
    RecordOrder,
    Standing,
)

#: Lower than the order of any record.
LOWEST_ORDER: RecordOrder = (UNKNOWN_BIRTH, -1)


@dataclass(frozen=True)
class RemovedTarget:
    """A removed target, with the order of its last record."""

    target_id: str
    order: RecordOrder


@dataclass
class Fleet:
    """The targets by incarnation, and how long missing ones are retained.

    `newest` maps each id to its incarnation.  `removed` has the order of the
    last record of each removed id, so that a record that arrives late does not
    bring the target back.  `revision` grows with every change that concerns
    other instances.  That a target is only retained concerns them too, since
    they must decide for themselves whether to retain it.  `known_births` counts
    the targets with a known birth.  `notices` has what targets announced about
    themselves, here or to others; `backoffs` has the back-offs of ids that are
    not listed now, for their next incarnation.  `evacuations` has the data
    centres whose targets get no requests.
    """

    targets: dict[str, ListedTarget] = field(default_factory=dict)
    newest: dict[str, str] = field(default_factory=dict)
    retained: dict[str, float] = field(default_factory=dict)
    notices: Notices = field(default_factory=Notices)
    backoffs: dict[str, Backoff] = field(default_factory=dict)
    removed: dict[str, RecordOrder] = field(default_factory=dict)
    evacuations: Evacuations = field(default_factory=Evacuations)
    watch: ListWatch = field(default_factory=ListWatch)
    revision: int = 0
    known_births: int = 0

    @property
    def draining(self) -> Collection[str]:
        """The draining incarnations, which take no new requests."""
        return self.notices.get_all(Drain).keys()

    def is_draining(self, incarnation: str) -> bool:
        """Return whether an incarnation is draining."""
        return incarnation in self.draining

    def count_draining(self) -> int:
        """Return the number of known targets that are draining."""
        return len(self.targets.keys() & self.draining)

    def are_all_draining(self, service: str) -> bool:
        """Return whether a service has targets and all of them are draining."""
        names = [
            name
            for name, listed in self.targets.items()
            if listed.service == service
        ]
        return bool(names) and all(map(self.is_draining, names))

    def is_evacuated(self, listed: ListedTarget) -> bool:
        """Return whether the data centre of a target is evacuated."""
        return listed.data_centre in self.evacuations.names

    def are_all_evacuated(self, service: str) -> bool:
        """Return whether only evacuations keep a service from any target."""
        if not self.evacuations.names:
            return False
        accepting = list(self._get_accepting(service))
        return bool(accepting) and all(map(self.is_evacuated, accepting))

    def record_draining(self, incarnation: str, heard_at: float) -> None:
        """Record a draining target; all instances learn of it by themselves."""
        self.notices.record(
            incarnation, Drain(heard_at, heard_at, is_shared=True)
        )

    def put(self, listed: ListedTarget) -> bool:
        """Add or update a record; return whether more than its age differs."""
        self._record_standing(listed)
        known = self.get_by_id(listed.target_id)
        if listed.order < self._get_min_order(listed.target_id):
            return False
        was_retained = self.retained.pop(listed.incarnation, None) is not None
        self._store(listed)
        same = known and replace(known, sequence=listed.sequence) == listed
        if same and not was_retained:
            return False
        self.revision += 1
        return True

    def get_by_id(self, target_id: str) -> ListedTarget | None:
        """Return the newest incarnation of a target, if it is known."""
        return self.targets.get(self.newest.get(target_id, ''))

    def is_superseded(self, listed: ListedTarget) -> bool:
        """Return whether the target has restarted since."""
        return self.get_last_order(listed.target_id)[0] > listed.born

    def get_last_order(self, target_id: str) -> RecordOrder:
        """Return the order of a target's last record, or the lowest order."""
        known = self.get_by_id(target_id)
        return (
            known.order if known else self.removed.get(target_id, LOWEST_ORDER)
        )

    def record_outdated(self, listed: ListedTarget) -> None:
        """Process a record that was followed by a removal."""
        self._record_standing(listed)
        known = self.get_by_id(listed.target_id)
        if known is None:
            last = self.get_last_order(listed.target_id)
            self.removed[listed.target_id] = max(last, listed.order)
        elif listed.born > known.born:
            self._store(listed)
        elif listed.order > known.order:
            self._store(replace(known, sequence=listed.sequence))

    def retain(self, listed: ListedTarget, until: float) -> bool:
        """Retain a target that another instance retains, if it is new here."""
        name = listed.target_id
        is_known = name in self.newest or name in self.removed
        if is_known and not self._is_newer_birth(listed):
            return False
        self._store(listed)
        self.retained[listed.incarnation] = until
        self.revision += 1
        return True

    def record_removal(self, target_id: str, until: float, now: float) -> bool:
        """Process a removal; return whether the target is removed at once.

        Until the instant `until` its lease may only have lapsed.
        """
        known = self.get_by_id(target_id)
        if known is None:
            return False
        if now >= until:
            self._remove(known)
            return True
        if known.incarnation not in self.retained:
            self.retained[known.incarnation] = until
            self.revision += 1
        return False

    def expire_retained(self, now: float) -> list[str]:
        """Remove retained targets that were not listed again in time.

        Return their incarnations.
        """
        expired = [
            incarnation
            for incarnation, until in self.retained.items()
            if now >= until
        ]
        for incarnation in expired:
            self._remove(self.targets[incarnation])
        return expired

    def get_listed(self) -> Iterator[ListedTarget]:
        """Return the targets that the directory lists."""
        return (
            listed
            for name, listed in self.targets.items()
            if name not in self.retained
        )

    def get_retained(self) -> Iterator[tuple[ListedTarget, float]]:
        """Return the retained targets, and until when each is retained."""
        return (
            (self.targets[name], until) for name, until in self.retained.items()
        )

    def get_removed(self) -> Iterator[RemovedTarget]:
        """Yield the removed targets, for instances that never knew them."""
        for target_id, order in self.removed.items():
            yield RemovedTarget(target_id, order)

    def merge_removed(
        self, removed_targets: Iterable[RemovedTarget]
    ) -> list[str]:
        """Merge the removed targets that another instance knows.

        Return the incarnations that were removed here, known by older records.
        """
        removed = []
        for target in removed_targets:
            known = self.get_by_id(target.target_id)
            if known and known.order <= target.order:
                self._remove(known)
                removed.append(known.incarnation)
            if known is None or known.order <= target.order:
                last = self.removed.get(target.target_id, LOWEST_ORDER)
                self.removed[target.target_id] = max(last, target.order)
        return removed

    def get_usable(self, service: str) -> Iterator[ListedTarget]:
        """Return the targets of a service that may get new requests."""
        accepting = self._get_accepting(service)
        if not self.evacuations.names:
            return accepting
        return (listed for listed in accepting if not self.is_evacuated(listed))

    def is_usable(self, incarnation: str) -> bool:
        """Return whether a target may get new requests."""
        listed = self.targets.get(incarnation)
        if listed is None or self.is_draining(incarnation):
            return False
        if self.is_evacuated(listed):
            return False
        return listed.born != UNKNOWN_BIRTH or not self._are_births_reported()

    def get_incarnation_by_name(self, name: str) -> str:
        """Return the incarnation of a target that is named by id or address."""
        if name in self.newest:
            return self.newest[name]
        for listed in self.targets.values():
            if listed.address == name:
                return listed.incarnation
        return ''

    def _get_accepting(self, service: str) -> Iterator[ListedTarget]:
        """Return the targets of a service that accept new requests."""
        births_are_reported = self._are_births_reported()
        draining = self.draining
        return (
            listed
            for name, listed in self.targets.items()
            if listed.service == service
            and name not in draining
            and (listed.born != UNKNOWN_BIRTH or not births_are_reported)
        )

    def _are_births_reported(self) -> bool:
        """Return whether the targets here report their birth, as most do.

        A record without a birth then has another origin and is no target.  On a
        platform where no target reports its birth, all count as born at the
        same time.
        """
        return self.known_births * 2 >= len(self.targets)

    def _is_newer_birth(self, listed: ListedTarget) -> bool:
        return listed.born > self.get_last_order(listed.target_id)[0]

    def _record_standing(self, listed: ListedTarget) -> None:
        """Record that a target is listed as draining, even by an old record."""
        if listed.standing is Standing.draining:
            self.record_draining(listed.incarnation, self.watch.read_at)

    def _get_min_order(self, target_id: str) -> RecordOrder:
        """Return the lowest order that a new record of a target can have."""
        known = self.get_by_id(target_id)
        if known:
            return known.order
        born, sequence = self.removed.get(target_id, LOWEST_ORDER)
        return born, sequence + 1

    def _store(self, listed: ListedTarget) -> None:
        """Store an incarnation and forget the previous one."""
        previous = self.get_by_id(listed.target_id)
        if previous and previous.born == listed.born:
            self.targets[listed.incarnation] = listed
            return
        if previous:
            self._forget(previous)
            self.retained.pop(previous.incarnation, None)
        self.targets[listed.incarnation] = listed
        self.newest[listed.target_id] = listed.incarnation
        self.known_births += listed.born != UNKNOWN_BIRTH
        backoff = self.backoffs.pop(listed.target_id, None)
        if backoff:
            self.notices.record(listed.incarnation, backoff)

    def _forget(self, listed: ListedTarget) -> None:
        self.targets.pop(listed.incarnation)
        self.newest.pop(listed.target_id)
        self.known_births -= listed.born != UNKNOWN_BIRTH
        self._keep_backoff(listed)

    def _keep_backoff(self, listed: ListedTarget) -> None:
        """Keep the back-off of a target for its next incarnation.

        An answer names the id only, so another incarnation than the listed one
        may have asked for it.
        """
        backoff = self.notices.get(Backoff, listed.incarnation)
        if backoff is None:
            return
        self.backoffs = {
            name: kept
            for name, kept in self.backoffs.items()
            if not kept.is_over(backoff.heard_at)
        }
        self.backoffs[listed.target_id] = backoff

    def _remove(self, listed: ListedTarget) -> None:
        self._forget(listed)
        self.retained.pop(listed.incarnation, None)
        self.removed[listed.target_id] = listed.order
        self.revision += 1
