"""
Proven requests
===============

Requests that targets have answered lately.  What many callers ask for is at
each target that ends, and would be blamed for all of them; that others have
answered it meanwhile is the stronger word.
"""

from dataclasses import dataclass

#: For how long an answer speaks for a request, in seconds: what has become
#: deadly since, by another version of its targets, is known after that.
ANSWER_TTL_S = 60.0
#: How many ends it outweighs at most, until there is another answer: as many as
#: hold a request that nobody has answered.
MAX_EXCUSED = 3
#: How many requests are known by their answers, some 150 bytes each; the oldest
#: answers are forgotten first.
MAX_ANSWERS = 2_000


@dataclass
class _Answer:
    """When a request was answered last, and how many ends that excused."""

    answered_at: float
    excused: int = 0


class RecentAnswers:
    """The requests that were answered here lately.

    >>> proven = RecentAnswers()
    >>> proven.record_answer('f', now=0)
    >>> [proven.excuses('f', now=1) for _ in range(4)]
    [True, True, True, False]
    """

    def __init__(self) -> None:
        """Begin with no answer."""
        self._answers: dict[str, _Answer] = {}

    def record_answer(self, fingerprint: str, now: float) -> None:
        """Note that a target has answered a request."""
        self._answers.pop(fingerprint, None)
        self._answers[fingerprint] = _Answer(now)
        if len(self._answers) > MAX_ANSWERS:
            self._answers.pop(next(iter(self._answers)))

    def excuses(self, fingerprint: str, now: float) -> bool:
        """Whether the end of a target is not put down to a request."""
        answer = self._answers.get(fingerprint)
        if answer is None or now - answer.answered_at > ANSWER_TTL_S:
            return False
        answer.excused += 1
        return answer.excused <= MAX_EXCUSED
