"""
Ends of received answers
========================

Confirms the end of a target's answer before the caller's reply is ended: what
its bytes tell, and, where they tell nothing, whether the target lives on.
"""

from trestledock.entry._job import Job
from trestledock.entry._state import EntryState
from trestledock.entry._survival import SurvivalChecks
from trestledock.entry._wire import WireError
from trestledock.relay import (
    UNPROVEN_ENDS,
    AnswerEnd,
    FailureKind,
    Framing,
    ListedTarget,
    Survival,
    Tail,
    judge_end,
)


class AnswerEnds:
    """Confirms the ends of answers for one entry process."""

    def __init__(self, state: EntryState) -> None:
        """Store the state; each target is checked once at a time."""
        self.survivals = SurvivalChecks(state)

    async def confirm(
        self,
        job: Job,
        target: ListedTarget,
        framing: Framing,
        tail: Tail = Tail.none,
    ) -> AnswerEnd:
        """Return whether an answer whose bytes have ended is whole.

        Raises a `WireError` if it was broken off.
        """
        end = judge_end(framing, tail)
        if end is AnswerEnd.broken:
            is_closed = framing is Framing.close
            kind = FailureKind.closed if is_closed else FailureKind.garbled
            raise WireError('end', tail.value, kind)
        if end is AnswerEnd.whole:
            return end
        survival = await self.survivals.check(target, job.deadline)
        if survival is Survival.ended:
            raise WireError('end', 'its target has ended', FailureKind.closed)
        return UNPROVEN_ENDS[survival]
