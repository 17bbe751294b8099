"""
Messages between entries
========================

The datagrams that entries exchange, as types.
"""

from dataclasses import dataclass

from trestledock.entry._flight_codec import Change
from trestledock.relay import Crash, Notice, UsageRow, WaitingRow


@dataclass(frozen=True)
class Flights:
    """In-flight requests of an entry: changes, or the full state with `whole`.

    `store_age_s` is the age of its copy of the store, `again_s` the longest
    time until its next full state. An entry that is `leaving` is draining, so
    that its later silence is expected. Older versions don't know evacuations,
    and so don't send them in their updates. Entries with `offers_tunnels`
    connect others to targets; older versions, which don't, seem to. `waiting`
    and `served` are all rows of ranked services, the latter in full states
    only.
    """

    sender: str
    sequence: int
    whole: bool
    data_centre: str
    leaving: bool
    store_age_s: float
    again_s: float
    changes: tuple[Change, ...]
    sends_evacuations: bool = True
    offers_tunnels: bool = True
    waiting: tuple[WaitingRow, ...] = ()
    served: tuple[UsageRow, ...] = ()


@dataclass(frozen=True)
class Beat:
    """Heartbeat of an entry."""

    sender: str
    data_centre: str
    leaving: bool


@dataclass(frozen=True)
class Fresh:
    """Notification that an entry has just read the store and can be asked."""

    sender: str
    store_age_s: float


@dataclass(frozen=True)
class Question:
    """Question how current another entry's copy of the store is.

    The answer returns `asked_at` unchanged.
    """

    sender: str
    asked_at: float


@dataclass(frozen=True)
class Reply:
    """Answer to a question: age and version of the sender's copy of the store.

    `proof_age_s` is the age of the last proof that its configuration is
    current, `read_age_s` that of its last read, whether or not that proved
    anything; `epoch` is that of the copy of the store that it read, None if the
    store has no epochs. `evacuated_age_s` is the age of its evacuations, None
    if it knows nothing of them.
    """

    sender: str
    asked_at: float
    proof_age_s: float
    read_age_s: float
    list_age_s: float
    version: int
    revision: int
    epoch: int | None = None
    evacuated_age_s: float | None = None


@dataclass(frozen=True)
class Ends:
    """Crashes of targets during requests, each with its age in seconds."""

    sender: str
    ends: tuple[tuple[Crash, float], ...]


@dataclass(frozen=True)
class Cleared:
    """Notification that a request was answered; `ends` are cleared.

    These are the incarnations of targets that had crashed during it.
    """

    sender: str
    fingerprint: str
    ends: tuple[str, ...]


@dataclass(frozen=True)
class TargetNotice:
    """Notice that a target gave about itself."""

    target: str
    notice: Notice


@dataclass(frozen=True)
class ToldNotices:
    """Notices that targets gave about themselves."""

    sender: str
    notices: tuple[TargetNotice, ...]


Message = (
    ToldNotices | Flights | Beat | Fresh | Question | Reply | Ends | Cleared
)
