"""
Events of requests
==================

Decisions about a request and its attempts, from its admission to its end.
"""

from trestledock.entry._event import Event


class Admitted(Event):
    """A request was admitted with its route, its team and its time limits.

    Its `fingerprint` is the same for each attempt at the same request; other
    requests may share the `parts` of its prompt.
    """

    req: str
    route: str
    service: str
    team: str
    version: int
    left_ms: int
    objective_ms: int
    pause_ms: int
    worth: float
    fingerprint: str
    parts: tuple[str, ...]


class Placed(Event):
    """A target was chosen; the other fields are what the choice depended on.

    `tickets` is the number of memory reservations at helpers.
    """

    req: str
    peer: str
    helpers: tuple[str, ...]
    tickets: int
    prompt_tokens: int
    predicted_ms: int
    cost: float
    waited_ms: int
    candidates: int
    list_age_ms: int


class Yielded(Event):
    """A request left engines to more urgent ones, or to those of other teams.

    `ahead` requests go first, whose work takes all engines `turn_ms`; the
    request could wait for `left_ms`.
    """

    req: str
    service: str
    team: str
    rank: int
    ahead: int
    turn_ms: int
    left_ms: int


class MemoryRefused(Event):
    """Not all engines of a prompt granted memory for it."""

    req: str
    granted: int
    asked: int


class FirstEvent(Event):
    """The first event of a stream arrived, with its predicted time."""

    req: str
    peer: str
    took_ms: int
    predicted_ms: int


class SendingEnded(Event):
    """An attempt ended without an answer that can be passed on.

    `ending` and `step` say how and at which step, `sign` is the kind of failure
    of the connection, if it failed. `framing` is as in `Answered`, empty if
    no head of an answer was read. `conn`, `exchange` and `named` are as in
    `Answered`.
    """

    req: str
    ending: str
    step: str
    peer: str
    detail: str
    took_ms: int
    sign: str
    framing: str
    conn: int
    exchange: int
    named: bool
    fingerprint: str


class ForeignAnswer(Event):
    """An answer was read that is not that of the request that waits for one.

    It has the id `answer_req`, or none. `origin` is earlier if an answer with
    it, or without any, came on this connection before, or else unknown. For an
    order, `req` is its reservation.
    """

    req: str
    peer: str
    status: int
    answer_req: str
    origin: str
    conn: int
    exchange: int


class Repeated(Event):
    """A request goes to another target, after `sendings` attempts."""

    req: str
    sendings: int
    resume_after: str


class Answered(Event):
    """The target's answer was passed on completely.

    `first_ms` is the time from admission to its first part, `longest_ms` the
    longest pause after that. `framing` is what told where the answer ends:
    its length, its chunks, the close of the connection, or none as it is empty.
    `end` is whole, or, after a close alone, outlived if its target lived on and
    unproven if that isn't known. The request was the `exchange`-th on the
    connection `conn` of this process, both 0 if it was not written. `named` is
    true if the answer bore the request's id.
    """

    req: str
    peer: str
    detail: str
    took_ms: int
    first_ms: int
    longest_ms: int
    framing: str
    end: str
    conn: int
    exchange: int
    named: bool


class FailurePassedOn(Event):
    """An answer was passed on for lack of a better one.

    It is a target's own error, or an answer whose target may have ended.
    """

    req: str
    status: int


class Refused(Event):
    """A request was given up after `sendings` attempts.

    Status 503 says that nothing has run.
    """

    req: str
    reason: str
    status: int
    proof_age_ms: int
    version: int
    sendings: int


class Cut(Event):
    """A reply that had begun could not be completed."""

    req: str
    reason: str


class CallerLeft(Event):
    """The caller closed its connection, and its work was cancelled."""

    req: str


class CallerCut(Event):
    """A connection was closed, since its caller had read nothing for a while.

    `reason` is stalled, or room where others needed the `unread_bytes`.
    """

    reason: str
    unread_bytes: int
    unread_ms: int


class RequestEnded(Event):
    """A request ended, once for all its attempts: how, and whose it was.

    `outcome` is in_time, late, refused, failed or caller_left, and `reason` the
    class of a refusal. `rank` is None without one, `tenth` the tenth of the
    prompt's size within its service, 0 if unknown, and `data_centre` that of
    this entry. `waited_ms` is the time to the first choice of a target, or to
    the end.
    """

    req: str
    outcome: str
    reason: str
    route: str
    service: str
    rank: int | None
    team: str
    prompt_tokens: int
    tenth: int
    data_centre: str
    waited_ms: int
