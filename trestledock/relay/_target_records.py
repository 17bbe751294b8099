"""
Target records
==============

One incarnation of a target, as listed by the platform's directory.  A target
that restarts under the same id has lost its memory and all its requests, so all
knowledge about a target belongs to one incarnation.
"""

from dataclasses import dataclass
from enum import Enum
from functools import cached_property

#: The order of the records of an id: the birth of the incarnation, then its own
#: sequence.
RecordOrder = tuple[int, int]
#: The birth of a target that does not report it.
UNKNOWN_BIRTH = 0


class Standing(str, Enum):
    """The status of a target in the directory; values go to other entries."""

    ready = 'ready'
    draining = 'leaving'


@dataclass(frozen=True)
class ListedTarget:
    """One incarnation of a target, as listed.

    `born` is the Unix time of its start in milliseconds.  `sequence` counts its
    records and starts again with each incarnation.

    >>> old = ListedTarget('t', 's', 'a', sequence=90, born=1_000)
    >>> new = ListedTarget('t', 's', 'a', sequence=1, born=2_000)
    >>> new.order > old.order, new.incarnation
    (True, 't@2000')
    """

    target_id: str
    service: str
    address: str
    data_centre: str = ''
    standing: Standing = Standing.ready
    slots: int = 1
    sequence: int = 0
    born: int = UNKNOWN_BIRTH

    @cached_property
    def incarnation(self) -> str:
        """The name of the incarnation, to which all knowledge of it belongs."""
        if self.born == UNKNOWN_BIRTH:
            return self.target_id
        return f'{self.target_id}@{self.born}'

    def is_named(self, name: str) -> bool:
        """Return whether a name is the target's id or address."""
        return name in (self.target_id, self.address)

    @property
    def order(self) -> RecordOrder:
        """The order of this record among all records of the same id."""
        return self.born, self.sequence
