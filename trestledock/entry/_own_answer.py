"""
Own answers of exchanges
========================

Reads the head of an answer on a connection to a target and returns it only if
it is that of the exchange in progress.  Nothing that any other answer says
counts: it may be old.  Late copies of earlier answers, also without their ids,
are read past, since the own answer follows them.
"""

from dataclasses import dataclass

from trestledock.entry import _events as events
from trestledock.entry._dialect import AnswerMetadata, Dialect
from trestledock.entry._logger import emit
from trestledock.entry._wire import Head, Wire, WireError
from trestledock.relay import AnswerOrigin

#: How many late copies of earlier answers are read past in one exchange.
MAX_COPIES = 4
#: Origins of answers that the own one may follow.
COPY_ORIGINS = frozenset((AnswerOrigin.earlier, AnswerOrigin.unnamed))


@dataclass
class OwnAnswerReader:
    """Reads the answer of the exchange in progress on a connection.

    `peer` is the target, and `req` names the request, or the reservation of an
    order, in the log.
    """

    dialect: Dialect
    wire: Wire
    peer: str
    req: str
    copies: int = 0

    async def read_head(self) -> tuple[Head, AnswerMetadata]:
        """Return the head of the answer.

        Raises a `WireError` for an answer of another exchange, unless it is a
        copy that can be read past.  The wait may be cancelled, and goes on with
        another call.
        """
        while True:
            if self.wire.is_skipping:
                await self.wire.skip_answer()
            head = await self.wire.read_head()
            answer = self.dialect.read_head(head)
            origin = self.wire.names.find_origin(answer.req_id)
            if origin is AnswerOrigin.own:
                return head, answer
            self._log_foreign(head, answer, origin)
            if not self._may_read_past(head, origin):
                detail = f'of another exchange: {origin.value}'
                raise WireError('answer', detail)
            self.wire.is_skipping = True

    def _may_read_past(self, head: Head, origin: AnswerOrigin) -> bool:
        """Count another answer; return whether the own one may follow it.

        No copy comes on a connection that has carried nothing else: an answer
        without an id is then all that the target sends.
        """
        self.copies += 1
        if not head.is_framed or self.copies > MAX_COPIES:
            return False
        has_earlier = self.wire.names.count > 1
        return has_earlier and origin in COPY_ORIGINS and self.wire.may_skip

    def _log_foreign(
        self, head: Head, answer: AnswerMetadata, origin: AnswerOrigin
    ) -> None:
        emit(
            events.ForeignAnswer(
                req=self.req,
                peer=self.peer,
                status=head.status,
                answer_req=answer.req_id,
                origin=origin.value,
                conn=self.wire.number,
                exchange=self.wire.names.count,
            )
        )
