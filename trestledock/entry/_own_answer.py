"""
Own answers of exchanges
========================

Reads the head of an answer on a connection to a target and returns it only if
it is that of the exchange in progress.  Nothing that any other answer says
counts: it may be old.
"""

from dataclasses import dataclass

from trestledock.entry import _events as events
from trestledock.entry._dialect import AnswerMetadata, Dialect
from trestledock.entry._logger import emit
from trestledock.entry._wire import Head, Wire, WireError
from trestledock.relay import AnswerOrigin


@dataclass(frozen=True)
class OwnAnswerReader:
    """Reads the answer of the exchange in progress on a connection.

    `peer` is the target, and `req` names the request, or the reservation of an
    order, in the log.
    """

    dialect: Dialect
    wire: Wire
    peer: str
    req: str

    async def read_head(self) -> tuple[Head, AnswerMetadata]:
        """Return the head of the answer; raise a `WireError` for another's."""
        head = await self.wire.read_head()
        answer = self.dialect.read_head(head)
        origin = self.wire.names.find_origin(answer.req_id)
        if origin is AnswerOrigin.own:
            return head, answer
        self._log_foreign(head, answer, origin)
        raise WireError('answer', f'of another exchange: {origin.value}')

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
