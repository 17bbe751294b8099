"""
Answers of targets
==================

Takes what a target answers and passes it on, or says how the sending ended.
An answer counts only if it belongs to the request, bears the target's seal and
is whole.
"""

from http import HTTPStatus

import anyio

from trestledock.entry._dialect import AnswerMetadata, Dialect
from trestledock.entry._job import Answer, Job
from trestledock.entry._limits import Limit, Limits
from trestledock.entry._pool import get_idle_s
from trestledock.entry._notices import record_answer_notices
from trestledock.entry._reply import Reply
from trestledock.entry._state import EntryState
from trestledock.entry._streaming import StreamPassing
from trestledock.entry._wire import Head, Wire, WireError
from trestledock.relay import AttemptOutcome, Placement, RouteKind, RelayAttempt

#: The statuses that promise that nothing has run.
PROMISES = frozenset((408, 421, 429, 503))


class Answering:
    """Receives answers for one entry process."""

    def __init__(self, state: EntryState, dialect: Dialect) -> None:
        """Keep the state and the platform's formats."""
        self.state = state
        self.dialect = dialect
        self.limits = Limits(state)

    async def receive(
        self,
        job: Job,
        placement: Placement,
        wire: Wire,
        reply: Reply,
        asked_at: float,
    ) -> tuple[RelayAttempt, float]:
        """Take an answer; return the ending and how long `wire` may idle.

        The request was written at the instant `asked_at` or later.
        """
        limit = self.limits.get_first(job, placement)
        head = await self._read_head(job, placement, wire, limit)
        answer = self.dialect.read_head(head)
        if answer.req_id and answer.req_id != job.call.req_id:
            raise WireError('answer', 'of another request')
        record_answer_notices(
            self.state, job, placement, head.status, answer, asked_at
        )
        idle_s = get_idle_s(answer.keep_alive, answer.connection)
        if _is_stream(job, head, answer):
            passing = StreamPassing(
                self.state, self.dialect, job, placement, reply
            )
            sending = await passing.run(head, wire.iter_body, limit)
        else:
            sending = await self._take_whole(
                job, placement, wire, head, answer, reply
            )
        return sending, idle_s

    def note_success(self, peer: str) -> None:
        """Note that a target did its work."""
        self.state.record_success(peer, anyio.current_time())

    def note_failure(self, peer: str) -> None:
        """Note that a target failed."""
        self.state.health.record_failure(peer, anyio.current_time())

    async def _read_head(
        self,
        job: Job,
        placement: Placement,
        wire: Wire,
        limit: Limit,
    ) -> Head:
        again = limit
        while True:
            held_up = self.limits.is_held_up(job, placement)
            step = self.limits.get_again(job) if held_up else again
            with self.limits.wait(job, placement, step):
                return await wire.read_head()
            if held_up and not self.limits.is_over(job, placement):
                continue
            if self.limits.may_leave(job, placement):
                peer = placement.target.incarnation
                raise self.limits.give_up('answer', peer, limit)
            again = self.limits.get_again(job)

    def _note_silence(self, peer: str) -> None:
        self.state.record_silence(peer, anyio.current_time())

    def _blame(
        self,
        job: Job,
        placement: Placement,
        status: int,
        answer: AnswerMetadata,
    ) -> str:
        """Have the next sending avoid the target at fault; return its name.

        A rejection may name a helper, which is then left alone for a while.
        421 says that another incarnation has the address: this one has gone.
        """
        peer = placement.target.incarnation
        found = self._get_sent_to(placement, answer.at_fault)
        at_fault = found or peer
        job.tried.add(at_fault)
        # One that says how long it wants rest, or that it leaves, is not ill.
        if found and not answer.rest.backoff_s and not answer.leaves:
            self._note_silence(found)
        if status == HTTPStatus.MISDIRECTED_REQUEST:
            now = anyio.current_time()
            self.state.fleet.record_draining(at_fault, now)
            self.state.isolation.record_replaced(at_fault)
        return at_fault

    def _get_sent_to(self, placement: Placement, named: str) -> str:
        """Return the incarnation that an answer names by id or address.

        It may have started again since it was sent to.
        """
        for one in placement.engaged_targets:
            if one.is_named(named):
                return one.incarnation
        return self.state.fleet.get_incarnation_by_name(named)

    async def _take_whole(
        self,
        job: Job,
        placement: Placement,
        wire: Wire,
        head: Head,
        answer: AnswerMetadata,
        reply: Reply,
    ) -> RelayAttempt:
        peer = placement.target.incarnation
        body = await wire.read_body()
        if answer.not_run:
            at_fault = self._blame(job, placement, head.status, answer)
            detail = f'{head.status} at {at_fault}'
            return RelayAttempt(AttemptOutcome.rejected, 'answer', peer, detail)
        if head.status in PROMISES or not answer.sealed or answer.encoded:
            self.note_failure(peer)
            return RelayAttempt(
                AttemptOutcome.lost, 'answer', peer, f'{head.status}'
            )
        if (
            head.status >= HTTPStatus.INTERNAL_SERVER_ERROR
            and not reply.started
        ):
            return self._take_failure(job, peer, Answer(head, body))
        if reply.started:
            return RelayAttempt(
                AttemptOutcome.lost, 'answer', peer, f'{head.status}'
            )
        self.note_success(peer)
        job.note_event(anyio.current_time())
        await reply.start(head.status, self.dialect.make_reply_headers(head))
        await reply.finish(body)
        return RelayAttempt(
            AttemptOutcome.answered, 'answer', peer, f'{head.status}'
        )

    def _take_failure(
        self, job: Job, peer: str, answer: Answer
    ) -> RelayAttempt:
        """Keep a target's own failure in case nothing better comes."""
        job.fallback = answer
        if answer.head.status != HTTPStatus.GATEWAY_TIMEOUT:
            self.note_failure(peer)
        return RelayAttempt(
            AttemptOutcome.failed, 'answer', peer, f'{answer.head.status}'
        )


def _is_stream(job: Job, head: Head, answer: AnswerMetadata) -> bool:
    if (
        job.route.kind is not RouteKind.streaming
        or head.status != HTTPStatus.OK
    ):
        return False
    return answer.sealed and not answer.encoded
