"""
Fleet of targets
================

The targets that relayed requests may go to, as the platform's directory lists
them.  Leaving is final for an incarnation.  An entry that vanished while the
directory was disturbed may only have lapsed, so it counts for a little longer.
"""

from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Iterator, Mapping

#: How long a vanished entry counts after a disturbance of the directory, in
#: seconds; lapsed entries of live targets are back within about two.
LAPSE_GRACE_S = 2.2
#: A gap between two reads above this is a disturbance, in seconds.
DISTURBED_GAP_S = 1.8


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
    """The listed targets by id, and the lapsed ones that may still live.

    `revision` grows with every change that matters to others.
    """

    targets: dict[str, Listed] = field(default_factory=dict)
    lapsing: dict[str, float] = field(default_factory=dict)
    leaving: set[str] = field(default_factory=set)
    gone: set[str] = field(default_factory=set)
    revision: int = 0
    read_at: float = float('-inf')
    disturbed_at: float = float('-inf')

    def note_read(self, sent_at: float, now: float) -> None:
        """Note a read that the directory answered, sent at `sent_at`."""
        if now - self.read_at > DISTURBED_GAP_S:
            self.disturbed_at = now
        self.read_at = max(self.read_at, sent_at)

    def note_trouble(self, now: float) -> None:
        """Note a read that failed."""
        self.disturbed_at = now

    def put(self, listed: Listed) -> bool:
        """Take an entry; return whether it changes anything but its age."""
        known = self.targets.get(listed.target_id)
        if known and listed.sequence < known.sequence:
            return False
        if listed.standing is Standing.leaving:
            self.leaving.add(listed.target_id)
        self.lapsing.pop(listed.target_id, None)
        self.targets[listed.target_id] = listed
        if known and replace(known, sequence=listed.sequence) == listed:
            return False
        self.revision += 1
        return True

    def drop(
        self,
        target_id: str,
        now: float,
        *,
        settled: bool = False,
    ) -> bool:
        """Take the removal of an entry; return whether it is gone at once.

        What is `settled` comes from an instance that has waited itself for
        entries that had only lapsed.
        """
        if target_id not in self.targets:
            return False
        if not settled and now - self.disturbed_at < LAPSE_GRACE_S:
            until = self.disturbed_at + LAPSE_GRACE_S
            self.lapsing.setdefault(target_id, until)
            return False
        self.targets.pop(target_id)
        self.lapsing.pop(target_id, None)
        self.gone.add(target_id)
        self.revision += 1
        return True

    def keep_only(
        self,
        listed: Mapping[str, Listed],
        now: float,
        *,
        settled: bool = False,
    ) -> list[str]:
        """Take a snapshot of all entries; return the ids that are gone."""
        for entry in listed.values():
            self.put(entry)
        missing = [one for one in self.targets if one not in listed]
        return [one for one in missing if self.drop(one, now, settled=settled)]

    def expire(self, now: float) -> list[str]:
        """Drop lapsed entries that did not come back; return their ids."""
        over = [one for one, until in self.lapsing.items() if now >= until]
        for target_id in over:
            self.lapsing.pop(target_id)
            self.targets.pop(target_id, None)
            self.gone.add(target_id)
            self.revision += 1
        return over

    def get_usable(self, service: str) -> Iterator[Listed]:
        """Return the targets of a service that may get new work."""
        return (
            listed
            for listed in self.targets.values()
            if listed.service == service
            and listed.target_id not in self.leaving
        )

    def get_id_by_address(self, name: str) -> str:
        """Return the id of the target that is named by id or by address."""
        if name in self.targets:
            return name
        for listed in self.targets.values():
            if listed.address == name:
                return listed.target_id
        return ''
