"""
Evacuated data centres
======================

The data centres whose targets get no requests, because an operator says so in
the platform's store.  What is known stays in force while the store can't be
reached.  A store that was restored from an older copy may lack the record of an
evacuation until its writer has written it again, so until then nothing ends.
"""

from dataclasses import dataclass


@dataclass(frozen=True)
class EvacuationList:
    """All evacuated data centres, known as of the instant `as_of`.

    The list took some time to arrive and is no newer than `latest_at`.  It is
    not `is_complete` if the copy of the store that it is from may lack some.
    """

    names: frozenset[str]
    as_of: float
    latest_at: float
    is_complete: bool = True


@dataclass
class Evacuations:
    """The evacuated data centres that one instance knows.

    `revision` grows with every change that concerns other instances.  That the
    list is complete concerns them too, as only then evacuations end there.

    >>> evacuations = Evacuations()
    >>> evacuations.apply(EvacuationList(frozenset(['dc-a']), 1, 1))
    True
    >>> evacuations.apply(EvacuationList(frozenset(), 2, 2, is_complete=False))
    True
    >>> sorted(evacuations.names)
    ['dc-a']
    >>> evacuations.apply(EvacuationList(frozenset(), 3, 3)), evacuations.names
    (True, frozenset())
    """

    names: frozenset[str] = frozenset()
    as_of: float = float('-inf')
    latest_at: float = float('-inf')
    is_complete: bool = True
    revision: int = 0

    @property
    def is_known(self) -> bool:
        """Whether this instance ever got a list."""
        return self.as_of > float('-inf')

    def get_age_s(self, now: float) -> float:
        """Return the age of the list, in seconds."""
        return now - self.as_of

    def apply(self, found: EvacuationList) -> bool:
        """Apply a list that is certainly newer; return whether it is.

        While the own list may lack some, the names of any other list are added.
        """
        is_newer = found.as_of > self.latest_at
        if is_newer:
            self.renew(found.as_of, found.latest_at)
            names = found.names
            if not found.is_complete:
                names |= self.names
            self._set(names, is_complete=found.is_complete)
        elif not self.is_complete:
            self._set(self.names | found.names, is_complete=False)
        return is_newer

    def renew(self, as_of: float, latest_at: float) -> None:
        """Record that the list was still valid at a later instant."""
        self.as_of = max(self.as_of, as_of)
        self.latest_at = max(self.latest_at, latest_at)

    def _set(self, names: frozenset[str], *, is_complete: bool) -> None:
        if (names, is_complete) != (self.names, self.is_complete):
            self.names = names
            self.is_complete = is_complete
            self.revision += 1
