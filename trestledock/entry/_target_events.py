"""
Events of targets
=================

Changes in what is known of a target, by its record, its answers or its silence,
and requests sent to a draining, backed-off, cold or rate-limited one.
"""

from trestledock.entry._event import Event


class TargetListed(Event):
    """A target is new or its record has changed; `again` after a removal.

    `leaves` says that it is known to be draining, by its record or a notice.
    """

    peer: str
    service: str
    standing: str
    leaves: bool
    sequence: int
    source: str
    again: bool


class TargetGone(Event):
    """A target's record was removed."""

    peer: str
    source: str


class TargetHeld(Event):
    """A target is retained: its record is missing, but may only have lapsed."""

    peer: str
    source: str
    left_ms: int


class ListDisturbed(Event):
    """Records that are missing from a list of targets may only have lapsed."""

    source: str
    gap_ms: int


class OldRecord(Event):
    """A record of a target was written after a newer one of it."""

    peer: str
    born: int
    sequence: int


class RecordIgnored(Event):
    """A record is invalid and was ignored."""

    peer: str
    detail: str


class TargetDoubted(Event):
    """A target did not answer in time, and another one is asked."""

    peer: str


class TargetSuspected(Event):
    """A target is silent and is not used for a while."""

    peer: str
    data_centre: str


class LimitHeard(Event):
    """The rate limit that a target reported has changed.

    It is in requests a second from all entries together. `change` is learnt,
    changed or lifted; the rates are None without a limit. `source` is the entry
    that received the notice, this one (`self`) or another, and `age_ms` the
    maximum age of the notice.
    """

    peer: str
    change: str
    before_per_s: float | None
    per_s: float | None
    source: str
    age_ms: int


class NoticeIgnored(Event):
    """A notice in an answer is invalid, or not the target's own.

    `notice` is its kind: limit, rest or leave.
    """

    peer: str
    notice: str
    detail: str


class LeaveHeard(Event):
    """A target reported in an answer that it is draining.

    `source` is the entry that received the notice, this one (`self`) or
    another, and `age_ms` the maximum age of the notice.
    """

    peer: str
    source: str
    age_ms: int


class RestHeard(Event):
    """A target refused a request and asked an entry to back off.

    The back-off lasts for `rest_ms` from now on; `before_ms` was left of an
    earlier one. `source` is the entry that was refused, this one (`self`) with
    `status`, or another.
    """

    peer: str
    rest_ms: int
    before_ms: int
    status: int
    source: str


class RestEnded(Event):
    """A target answered a request sent `after_ms` after its back-off."""

    peer: str
    after_ms: int


class SentAgainstNotice(Event):
    """A request was sent to a draining or backed-off target.

    `notice` says which, as received `age_ms` ago.
    """

    req: str
    peer: str
    notice: str
    age_ms: int


class ColdHeard(Event):
    """A target is cold, or stays so for longer than known.

    `source` is the entry that was told so, this one (`self`) or another, the
    start of the target (`start`) or the end of an evacuation (`evacuation`).
    """

    peer: str
    left_ms: int
    change: str
    source: str


class ColdEnded(Event):
    """A target is cold no more."""

    peer: str


class SentToCold(Event):
    """A request went to a cold target, within this entry's quota there."""

    req: str
    peer: str
    left_ms: int
    quota_per_s: float


class ColdWaited(Event):
    """A request waits for its turn at targets of which some are cold."""

    req: str
    service: str


class SentUnderLimit(Event):
    """A request was sent to a target with a rate limit.

    `quota_per_s` is the share of this entry in it.
    """

    req: str
    peer: str
    per_s: float
    quota_per_s: float
    age_ms: int


class SurvivalChecked(Event):
    """A target that ended an answer by closing was connected to again.

    `survival` is survived, ended (nothing listens there) or unknown.
    """

    peer: str
    survival: str
    took_ms: int


class OrderAnswered(Event):
    """An order for a reservation got an answer.

    It was the `exchange`-th on the connection `conn` of this process.
    """

    peer: str
    operation: str
    reservation: str
    status: int
    conn: int
    exchange: int


class OrderLost(Event):
    """An order to an engine got no answer."""

    peer: str
    detail: str
