"""
Recent answers
==============

When targets last began answers that they then completed, by name of request.
A request that was answered did not crash its target, so neither did another one
of its names before: earlier crashes had other causes.
"""

#: How long a request counts as answered lately, in seconds.
ANSWER_TTL_S = 60.0
#: The maximum number of names that are kept, some 150 bytes each; those
#: answered longest ago are dropped first.
MAX_ANSWERS = 4_000


class RecentAnswers:
    """The instants at which answers began, by name.

    >>> answers = RecentAnswers()
    >>> answers.record_answer('f', began_at=5)
    >>> [answers.excuses('f', crashed_at) for crashed_at in (4, 6)]
    [True, False]
    """

    def __init__(self) -> None:
        """Create an empty collection."""
        self._began_at: dict[str, float] = {}

    def record_answer(self, name: str, began_at: float) -> None:
        """Record a complete answer that a target began at an instant."""
        latest_at = max(began_at, self._began_at.pop(name, began_at))
        self._began_at[name] = latest_at
        if len(self._began_at) > MAX_ANSWERS:
            self._began_at.pop(next(iter(self._began_at)))

    def excuses(self, name: str, crashed_at: float) -> bool:
        """Return whether an answer began after a crash."""
        return crashed_at < self._began_at.get(name, float('-inf'))

    def is_recent(self, name: str, now: float) -> bool:
        """Return whether a request was answered lately."""
        began_at = self._began_at.get(name, float('-inf'))
        return now - began_at <= ANSWER_TTL_S
