"""
Events of crashes
=================

Targets that crashed while they ran a request, and the quarantine of requests
to which too many crashes are attributed.
"""

from trestledock.entry._event import Event


class TargetEnded(Event):
    """A target crashed while it ran a request.

    `sign` is the failure of a new connection, or none if another incarnation of
    the target was listed; `ends` is the number of crashes attributed to the
    request so far.
    """

    peer: str
    fingerprint: str
    sign: str
    ends: int


class CrashExcused(Event):
    """A crash is not attributed to a request that was answered lately."""

    peer: str
    fingerprint: str


class RequestQuarantined(Event):
    """A request goes to no target from now on, after too many crashes.

    `ends` is their number, and `source` the origin of the last one: this entry,
    another one or the store.
    """

    fingerprint: str
    ends: int
    source: str


class RequestCleared(Event):
    """A request with `ends` crashes was answered by a target."""

    fingerprint: str
    ends: int
    source: str


class TrialGranted(Event):
    """A quarantined request goes to one target as a probe."""

    fingerprint: str


class SuspectForgotten(Event):
    """The crashes of a request were dropped, as too many others have some."""

    fingerprint: str
