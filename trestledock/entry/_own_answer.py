"""
Own answers of exchanges
========================

Reads the head of an answer on a connection to a target and returns it only if
it is that of the exchange in progress.  Nothing that any other answer says
counts: it may be old.  Late copies of earlier answers are read past, since the
own answer follows them.
"""

from dataclasses import dataclass

from trestledock.entry import _events as events
from trestledock.entry._dialect import AnswerMetadata, Dialect
from trestledock.entry._logger import emit
from trestledock.entry._wire import Head, Wire, WireError
from trestledock.relay import AnswerOrigin

#: How many late copies of earlier answers are read past in one exchange.
MAX_COPIES = 4


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
            if not self._is_copy(answer, origin):
                detail = f'of another exchange: {origin.value}'
                raise WireError('answer', detail)
            self.wire.is_skipping = True

    def _is_copy(self, answer: AnswerMetadata, origin: AnswerOrigin) -> bool:
        """Count a late copy; return whether it can be read past.

        One without an id may as well be the own answer, which nothing follows.
        """
        self.copies += 1
        if not answer.req_id or self.copies > MAX_COPIES:
            return False
        return origin is AnswerOrigin.earlier and self.wire.may_skip

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
