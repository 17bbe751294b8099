"""
Recently answered requests
==========================

Requests that targets have answered lately.  A popular request is in flight at
every target that crashes, and would be blamed for all of these crashes; an
answer by another target in the meantime outweighs them.
"""

from dataclasses import dataclass

#: How long an answer excuses crashes, in seconds: if the request has become
#: deadly since, with a new version of its targets, crashes count against it
#: after this time at the latest.
ANSWER_TTL_S = 60.0
#: The maximum number of crashes that an answer excuses: as many as quarantine a
#: request without any answer.
MAX_EXCUSED = 3
#: The maximum number of answered requests that are kept, some 150 bytes each;
#: the oldest answers are dropped first.
MAX_ANSWERS = 2_000


@dataclass
class _Answer:
    """The time of a request's last answer, and the crashes that it excused."""

    answered_at: float
    excused: int = 0


class RecentAnswers:
    """The requests that were answered here lately.

    >>> answers = RecentAnswers()
    >>> answers.record_answer('f', now=0)
    >>> [answers.excuses('f', now=1) for _ in range(4)]
    [True, True, True, False]
    """

    def __init__(self) -> None:
        """Create an empty collection."""
        self._answers: dict[str, _Answer] = {}

    def record_answer(self, fingerprint: str, now: float) -> None:
        """Record that a target has answered a request."""
        self._answers.pop(fingerprint, None)
        self._answers[fingerprint] = _Answer(now)
        if len(self._answers) > MAX_ANSWERS:
            self._answers.pop(next(iter(self._answers)))

    def excuses(self, fingerprint: str, now: float) -> bool:
        """Count a crash; return whether an answer excuses the request."""
        answer = self._answers.get(fingerprint)
        if answer is None or now - answer.answered_at > ANSWER_TTL_S:
            return False
        answer.excused += 1
        return answer.excused <= MAX_EXCUSED
