"""
Words between entries
=====================

The datagrams that entries send one another, as types.
"""

from dataclasses import dataclass

from trestledock.entry._flight_codec import Change
from trestledock.relay import Crash, Notice


@dataclass(frozen=True)
class Flights:
    """What an entry has in flight: the changes, or with `whole` everything.

    `news_age_s` is the age of what it knows of the store, `again_s` when it
    tells everything again at the latest; an entry that is `leaving` will be
    silent as planned.
    """

    sender: str
    sequence: int
    whole: bool
    data_centre: str
    leaving: bool
    news_age_s: float
    again_s: float
    changes: tuple[Change, ...]


@dataclass(frozen=True)
class Beat:
    """An entry lives."""

    sender: str
    data_centre: str
    leaving: bool


@dataclass(frozen=True)
class Fresh:
    """An entry has just read the store: it can be asked for news."""

    sender: str
    news_age_s: float


@dataclass(frozen=True)
class Question:
    """How fresh is what you know?  `asked_at` comes back as it is."""

    sender: str
    asked_at: float


@dataclass(frozen=True)
class Reply:
    """The answer: the age and the version of what its sender knows.

    `read_age_s` is how long ago it read, whether that proved anything or not;
    `epoch` is that of the copy of the store that it read, if it tells any.
    """

    sender: str
    asked_at: float
    proof_age_s: float
    read_age_s: float
    list_age_s: float
    version: int
    revision: int
    epoch: int | None = None


@dataclass(frozen=True)
class Ends:
    """Targets that ended under requests, each with the age of the end."""

    sender: str
    ends: tuple[tuple[Crash, float], ...]


@dataclass(frozen=True)
class Cleared:
    """A request under which targets had ended was answered by one."""

    sender: str
    fingerprint: str
    ends: tuple[str, ...]


@dataclass(frozen=True)
class TargetNotice:
    """What a target has said of itself."""

    target: str
    notice: Notice


@dataclass(frozen=True)
class ToldNotices:
    """What some targets have said of themselves."""

    sender: str
    notices: tuple[TargetNotice, ...]


Message = (
    ToldNotices | Flights | Beat | Fresh | Question | Reply | Ends | Cleared
)
