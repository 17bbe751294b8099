"""
Events of the process
=====================

Start and end of the process, changes of its settings, unexpected exceptions,
and log lines that were dropped.
"""

from trestledock.entry._event import Event


class Failed(Event):
    """An unexpected exception; the traceback is in `exc_info`."""

    step: str


class Started(Event):
    """The process has started with its settings.

    Without `counts_suspension` the system has no clock that runs while the
    machine is suspended: a pause goes unnoticed, and state is older by it than
    its computed age.
    """

    member: str
    data_centre: str
    counts_suspension: bool


class Suspended(Event):
    """The machine was suspended for a while, which the clock has counted."""

    pause_ms: int


class ReloadAsked(Event):
    """The settings were read again after a signal."""

    changed: bool


class Draining(Event):
    """The process was asked to stop."""

    in_progress: int


class Ended(Event):
    """The process ends."""

    in_progress: int


class LinesLeftOut(Event):
    """A number of lines of a kind were dropped, for a reason."""

    kind: str
    count: int
    reason: str
