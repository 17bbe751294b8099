"""
Entries of targets
==================

One incarnation of a target, as the platform's directory lists it.  A target
may start again under the id that it had, and then holds and knows nothing of
before; whatever is believed of a target belongs to one incarnation of it.
"""

from dataclasses import dataclass
from enum import Enum
from functools import cached_property

#: What orders the words on one id: the birth of the incarnation that says
#: them, then its own count.
RecordOrder = tuple[int, int]
#: What stands for the birth where a target does not tell it.
UNKNOWN_BIRTH = 0


class Standing(str, Enum):
    """What the directory says of a target."""

    ready = 'ready'
    leaving = 'leaving'


@dataclass(frozen=True)
class ListedTarget:
    """One incarnation of a target, as listed.

    `born` is the Unix time of its start in milliseconds; `sequence` counts its
    words and begins anew with each incarnation.

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
        """The name that all that is believed of this incarnation goes by."""
        if self.born == UNKNOWN_BIRTH:
            return self.target_id
        return f'{self.target_id}@{self.born}'

    def is_named(self, name: str) -> bool:
        """Whether a target's id, or its address, is a name."""
        return name in (self.target_id, self.address)

    @property
    def order(self) -> RecordOrder:
        """The place of this word among all words on the same id."""
        return self.born, self.sequence
