"""
Events of crashes
=================

Targets that crashed while they ran a request, and the quarantine of requests
to which too many crashes are attributed.
"""

from trestledock.entry._event import Event


class TargetEnded(Event):
    """A target crashed while it ran a request.

    `blamed` are the names of the request to which the crash is attributed,
    `ends` the number of crashes of each so far.  `sign` is the failure of a new
    connection, or none if another incarnation of the target was listed.
    """

    peer: str
    blamed: tuple[str, ...]
    sign: str
    ends: tuple[int, ...]


class CrashExcused(Event):
    """A crash is not attributed to a suspect name that was answered since."""

    peer: str
    suspect: str


class RequestQuarantined(Event):
    """Requests with all names in `blamed` go to no target from now on.

    `kind` tells whether these are parts of prompts (`part`) or belong to one
    request.  `ends` is the number of crashes, the first one `first_ms` and the
    last one `last_ms` ago, and `source` the origin of the last one: this entry,
    another one or the store.
    """

    blamed: tuple[str, ...]
    kind: str
    ends: int
    first_ms: int
    last_ms: int
    source: str


class RequestCleared(Event):
    """A request of a name with `ends` crashes was answered by a target."""

    suspect: str
    ends: int
    source: str


class TrialGranted(Event):
    """A request with quarantined names goes to one target as a probe."""

    blamed: tuple[str, ...]


class SuspectForgotten(Event):
    """The crashes of a name were dropped, as too many others have some."""

    suspect: str
