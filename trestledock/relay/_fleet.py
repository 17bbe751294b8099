"""
Fleet of targets
================

The targets that relayed requests may go to, as the platform's directory lists
them.  Leaving is final for an incarnation, and so is the removal of its entry,
but for an entry that vanished while the directory was disturbed: it may only
have lapsed, so it is held for a little longer.
"""

from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Iterator

from trestledock.relay._watch import Watch


class Standing(str, Enum):
    """What the directory says of a target."""

    ready = 'ready'
    leaving = 'leaving'


@dataclass(frozen=True)
class Listed:
    """One incarnation of a target, as listed; `sequence` grows with time."""

    target_id: str
    service: str
    address: str
    data_centre: str = ''
    standing: Standing = Standing.ready
    slots: int = 1
    sequence: int = 0


@dataclass
class Fleet:
    """The targets by id, and until when those are held that are missing.

    `gone` keeps the last known sequence of what was dropped, so that a record
    that is written late brings nothing back.  `revision` grows with every
    change that matters to others; that a target is only held is one of them,
    since others must judge for themselves whether to hold it, too.
    """

    targets: dict[str, Listed] = field(default_factory=dict)
    held: dict[str, float] = field(default_factory=dict)
    leaving: set[str] = field(default_factory=set)
    gone: dict[str, int] = field(default_factory=dict)
    watch: Watch = field(default_factory=Watch)
    revision: int = 0

    def put(self, listed: Listed) -> bool:
        """Take an entry; return whether it changes anything but its age."""
        name = listed.target_id
        if listed.standing is Standing.leaving:
            self.leaving.add(name)
        known = self.targets.get(name)
        if listed.sequence < self._get_least_sequence(name):
            return False
        was_held = self.held.pop(name, None) is not None
        self.targets[name] = listed
        same = known and replace(known, sequence=listed.sequence) == listed
        if same and not was_held:
            return False
        self.revision += 1
        return True

    def get_last_sequence(self, target_id: str) -> int:
        """Return the last known sequence of a target, or less than any."""
        known = self.targets.get(target_id)
        return known.sequence if known else self.gone.get(target_id, -1)

    def note_past(self, listed: Listed) -> None:
        """Take a record that a removal has followed since."""
        name = listed.target_id
        known = self.targets.get(name)
        if known:
            newest = max(known.sequence, listed.sequence)
            self.targets[name] = replace(known, sequence=newest)
        else:
            self.gone[name] = max(self.gone.get(name, 0), listed.sequence)

    def hold(self, listed: Listed, until: float) -> bool:
        """Take a target that another instance holds, if it is news here."""
        name = listed.target_id
        if name in self.targets or name in self.gone:
            return False
        self.targets[name] = listed
        self.held[name] = until
        self.revision += 1
        return True

    def drop(self, target_id: str, until: float, now: float) -> bool:
        """Take the removal of an entry; return whether it is gone at once.

        It may only have lapsed until the instant `until`.
        """
        if target_id not in self.targets:
            return False
        if now >= until:
            self._remove(target_id)
            return True
        if target_id not in self.held:
            self.held[target_id] = until
            self.revision += 1
        return False

    def expire(self, now: float) -> list[str]:
        """Drop held targets that did not come back; return their ids."""
        over = [one for one, until in self.held.items() if now >= until]
        for target_id in over:
            self._remove(target_id)
        return over

    def get_listed(self) -> Iterator[Listed]:
        """Return the targets that the directory lists."""
        return (
            listed
            for name, listed in self.targets.items()
            if name not in self.held
        )

    def get_held(self) -> Iterator[tuple[Listed, float]]:
        """Return the missing targets, with until when they are held."""
        return (
            (self.targets[name], until) for name, until in self.held.items()
        )

    def get_usable(self, service: str) -> Iterator[Listed]:
        """Return the targets of a service that may get new work."""
        return (
            listed
            for listed in self.targets.values()
            if listed.service == service and self.is_usable(listed.target_id)
        )

    def is_usable(self, target_id: str) -> bool:
        """Whether a target may get new work now."""
        return target_id in self.targets and target_id not in self.leaving

    def get_id_by_address(self, name: str) -> str:
        """Return the id of the target that is named by id or by address."""
        if name in self.targets:
            return name
        for listed in self.targets.values():
            if listed.address == name:
                return listed.target_id
        return ''

    def _get_least_sequence(self, target_id: str) -> int:
        """Return the least sequence of a record that says something new."""
        known = self.targets.get(target_id)
        if known:
            return known.sequence
        return self.gone.get(target_id, -1) + 1

    def _remove(self, target_id: str) -> None:
        self.gone[target_id] = self.targets.pop(target_id).sequence
        self.held.pop(target_id, None)
        self.revision += 1
