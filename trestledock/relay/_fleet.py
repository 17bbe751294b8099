"""
Fleet of targets
================

The targets that relayed requests may go to, as the platform's directory lists
them.  Leaving is final for an incarnation, and so is the removal of its entry,
but for an entry that vanished while the directory was disturbed: it may only
have lapsed, so it is held for a little longer.  Of each id only the newest
incarnation is known, and no word of an older one changes anything of it.
"""

from dataclasses import dataclass, field, replace
from typing import Collection, Iterable, Iterator

from trestledock.relay._listed import (
    UNKNOWN_BIRTH,
    ListedTarget,
    RecordOrder,
    Standing,
)
from trestledock.relay._notices import Drain, Notices
from trestledock.relay._watch import ListWatch

#: Less than the order of any word.
LOWEST_ORDER: RecordOrder = (UNKNOWN_BIRTH, -1)


@dataclass(frozen=True)
class RemovedTarget:
    """A target that is gone, with the order of its last word."""

    target_id: str
    order: RecordOrder


@dataclass
class Fleet:
    """The targets by incarnation, and until when those are held that miss.

    `newest` has the incarnation of each id.  `removed` keeps the order of the
    last word of what was dropped, by id, so that a record that is written late
    brings nothing back.  `revision` grows with every change that matters to
    others; that a target is only held is one of them, since others must judge
    for themselves whether to hold it, too.  `known_births` is how many of the
    targets tell when they were born.  `notices` has what targets said of
    themselves, here or to others.
    """

    targets: dict[str, ListedTarget] = field(default_factory=dict)
    newest: dict[str, str] = field(default_factory=dict)
    retained: dict[str, float] = field(default_factory=dict)
    notices: Notices = field(default_factory=Notices)
    removed: dict[str, RecordOrder] = field(default_factory=dict)
    watch: ListWatch = field(default_factory=ListWatch)
    revision: int = 0
    known_births: int = 0

    @property
    def draining(self) -> Collection[str]:
        """The incarnations that take nothing new, whoever said so."""
        return self.notices.get_all(Drain).keys()

    def is_draining(self, incarnation: str) -> bool:
        """Whether an incarnation has said that it leaves."""
        return incarnation in self.draining

    def count_draining(self) -> int:
        """Return how many targets are there that have said that they leave."""
        return len(self.targets.keys() & self.draining)

    def are_all_draining(self, service: str) -> bool:
        """Whether a service has targets, and all have said that they leave."""
        names = [
            name
            for name, listed in self.targets.items()
            if listed.service == service
        ]
        return bool(names) and all(map(self.is_draining, names))

    def record_draining(self, incarnation: str, heard_at: float) -> None:
        """Note that a target leaves, as all entries learn by themselves."""
        self.notices.record(
            incarnation, Drain(heard_at, heard_at, is_shared=True)
        )

    def put(self, listed: ListedTarget) -> bool:
        """Take an entry; return whether it changes anything but its age."""
        self._note_standing(listed)
        known = self.get_by_id(listed.target_id)
        if listed.order < self._get_least_order(listed.target_id):
            return False
        was_held = self.retained.pop(listed.incarnation, None) is not None
        self._set(listed)
        same = known and replace(known, sequence=listed.sequence) == listed
        if same and not was_held:
            return False
        self.revision += 1
        return True

    def get_by_id(self, target_id: str) -> ListedTarget | None:
        """Return the newest incarnation of a target, if it is known."""
        return self.targets.get(self.newest.get(target_id, ''))

    def is_superseded(self, listed: ListedTarget) -> bool:
        """Whether a target has started again since."""
        return self.get_last_order(listed.target_id)[0] > listed.born

    def get_last_order(self, target_id: str) -> RecordOrder:
        """Return the order of the last word on a target, or less than any."""
        known = self.get_by_id(target_id)
        return (
            known.order if known else self.removed.get(target_id, LOWEST_ORDER)
        )

    def record_outdated(self, listed: ListedTarget) -> None:
        """Take a record that a removal has followed since."""
        self._note_standing(listed)
        known = self.get_by_id(listed.target_id)
        if known is None:
            last = self.get_last_order(listed.target_id)
            self.removed[listed.target_id] = max(last, listed.order)
        elif listed.born > known.born:
            self._set(listed)
        elif listed.order > known.order:
            self._set(replace(known, sequence=listed.sequence))

    def retain(self, listed: ListedTarget, until: float) -> bool:
        """Take a target that another instance holds, if it is news here."""
        name = listed.target_id
        is_known = name in self.newest or name in self.removed
        if is_known and not self._is_newer_birth(listed):
            return False
        self._set(listed)
        self.retained[listed.incarnation] = until
        self.revision += 1
        return True

    def record_removal(self, target_id: str, until: float, now: float) -> bool:
        """Take the removal of an entry; return whether it is gone at once.

        It may only have lapsed until the instant `until`.
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
        """Drop held targets that did not come back; return incarnations."""
        over = [one for one, until in self.retained.items() if now >= until]
        for incarnation in over:
            self._remove(self.targets[incarnation])
        return over

    def get_listed(self) -> Iterator[ListedTarget]:
        """Return the targets that the directory lists."""
        return (
            listed
            for name, listed in self.targets.items()
            if name not in self.retained
        )

    def get_retained(self) -> Iterator[tuple[ListedTarget, float]]:
        """Return the missing targets, with until when they are held."""
        return (
            (self.targets[name], until) for name, until in self.retained.items()
        )

    def get_removed(self) -> Iterator[RemovedTarget]:
        """Yield the targets that are gone, for one that never knew them."""
        for target_id, order in self.removed.items():
            yield RemovedTarget(target_id, order)

    def merge_removed(self, gone: Iterable[RemovedTarget]) -> list[str]:
        """Take what another instance knows to be gone.

        Return the incarnations that were known here, by older words.
        """
        dropped = []
        for one in gone:
            known = self.get_by_id(one.target_id)
            if known and known.order <= one.order:
                self._remove(known)
                dropped.append(known.incarnation)
            if known is None or known.order <= one.order:
                last = self.removed.get(one.target_id, LOWEST_ORDER)
                self.removed[one.target_id] = max(last, one.order)
        return dropped

    def get_usable(self, service: str) -> Iterator[ListedTarget]:
        """Return the targets of a service that may get new work."""
        births_are_told = self._are_births_told()
        leaving = self.draining
        return (
            listed
            for name, listed in self.targets.items()
            if listed.service == service
            and name not in leaving
            and (listed.born != UNKNOWN_BIRTH or not births_are_told)
        )

    def is_usable(self, incarnation: str) -> bool:
        """Whether a target may get new work now."""
        listed = self.targets.get(incarnation)
        if listed is None or self.is_draining(incarnation):
            return False
        return listed.born != UNKNOWN_BIRTH or not self._are_births_told()

    def get_incarnation_by_name(self, name: str) -> str:
        """Return the target that is named by id or by address."""
        if name in self.newest:
            return self.newest[name]
        for listed in self.targets.values():
            if listed.address == name:
                return listed.incarnation
        return ''

    def _are_births_told(self) -> bool:
        """Whether targets here tell when they were born, as most show.

        An entry without it is another writer's then, and names no target; on a
        platform where none tells it, all count as born at the same time.
        """
        return self.known_births * 2 >= len(self.targets)

    def _is_newer_birth(self, listed: ListedTarget) -> bool:
        return listed.born > self.get_last_order(listed.target_id)[0]

    def _note_standing(self, listed: ListedTarget) -> None:
        """Note that a target leaves, whenever it said so."""
        if listed.standing is Standing.leaving:
            self.record_draining(listed.incarnation, self.watch.read_at)

    def _get_least_order(self, target_id: str) -> RecordOrder:
        """Return the least order of a word that says something new."""
        known = self.get_by_id(target_id)
        if known:
            return known.order
        born, sequence = self.removed.get(target_id, LOWEST_ORDER)
        return born, sequence + 1

    def _set(self, listed: ListedTarget) -> None:
        """Know an incarnation, and forget the one before it."""
        before = self.get_by_id(listed.target_id)
        if before and before.born == listed.born:
            self.targets[listed.incarnation] = listed
            return
        if before:
            self._forget(before)
            self.retained.pop(before.incarnation, None)
        self.targets[listed.incarnation] = listed
        self.newest[listed.target_id] = listed.incarnation
        self.known_births += listed.born != UNKNOWN_BIRTH

    def _forget(self, listed: ListedTarget) -> None:
        self.targets.pop(listed.incarnation)
        self.newest.pop(listed.target_id)
        self.known_births -= listed.born != UNKNOWN_BIRTH

    def _remove(self, listed: ListedTarget) -> None:
        self._forget(listed)
        self.retained.pop(listed.incarnation, None)
        self.removed[listed.target_id] = listed.order
        self.revision += 1
