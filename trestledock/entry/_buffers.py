"""
Buffers of an entry
===================

Bounds what an entry holds of requests and answers, by kind of data. The
smallest instances have 200 MB, of which the process needs 60 to 100 MB without
any request.
"""

from dataclasses import dataclass, field

from trestledock.entry._byte_budget import ByteBudget
from trestledock.entry._unread import UnreadAnswers

#: Bodies of requests, from their first byte until the request ends: eight
#: prompts of a million tokens. A body takes twice its size for the moment in
#: which its parts are joined.
BODY_BYTES = 40_000_000
#: Plain answers, which are read whole before they are forwarded.
ANSWER_BYTES = 24_000_000
#: One answer may hold this many times what it leaves to others, so that some
#: that never end leave room for short ones.
ANSWER_SHARE = 4


def _make_bodies() -> ByteBudget:
    return ByteBudget(BODY_BYTES)


def _make_answers() -> ByteBudget:
    return ByteBudget(ANSWER_BYTES, share=ANSWER_SHARE)


@dataclass
class Buffers:
    """The buffers of one entry."""

    bodies: ByteBudget = field(default_factory=_make_bodies)
    answers: ByteBudget = field(default_factory=_make_answers)
    unread: UnreadAnswers = field(default_factory=UnreadAnswers)

    def get_gauges(self) -> dict[str, float]:
        """Return the bytes that are held now."""
        return {
            'body_bytes': self.bodies.used,
            'answer_bytes': self.answers.used,
            'unread_bytes': self.unread.get_total(),
        }
