"""
Events of evacuations
=====================

Start and end of the evacuation of a data centre, invalid records of one, and
requests sent to it nevertheless.
"""

from trestledock.entry._event import Event


class EvacuationBegun(Event):
    """No requests are sent to a data centre's targets from now on.

    `source` is the store or the entry that reported it.
    """

    data_centre: str
    source: str


class EvacuationEnded(Event):
    """Requests may be sent to a data centre's targets again."""

    data_centre: str
    source: str


class EvacuationUnreadable(Event):
    """The value of an evacuation's record is invalid; its key counts."""

    data_centre: str
    detail: str


class SentToEvacuated(Event):
    """A request was sent to an evacuated data centre, which must not happen."""

    req: str
    peer: str
    data_centre: str
