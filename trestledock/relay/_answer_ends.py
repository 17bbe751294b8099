"""
Ends of answers
===============

Decides whether an answer is whole once no more bytes of it come. Its framing
decides where it tells; an event left unfinished shows that a stream was broken
off under any framing. Without framing the close of a connection proves nothing
by itself: a whole answer ends in the same way as one that is cut between two
events. If its target has ended since, the answer was broken off.
"""

from enum import Enum
from http import HTTPStatus
from types import MappingProxyType
from typing import Mapping

#: Statuses of answers without a body.
EMPTY_STATUSES = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))


class Framing(str, Enum):
    """What tells the end of an answer's body.

    `empty` answers have none, and those framed by `close` end with their
    connection (RFC 9112, section 6.3).
    """

    empty = 'empty'
    length = 'length'
    chunks = 'chunks'
    close = 'close'


class Tail(Enum):
    """What a stream ends with.

    `none` is the end of an event, also with blank or comment lines behind it,
    and the end of a plain answer. `unbegun` means that no event came at all.
    """

    none = 'none'
    unbegun = 'before the first event'
    comment = 'inside a comment'
    event = 'inside an event'


class AnswerEnd(str, Enum):
    """Whether an answer is whole; `unproven` if nothing tells.

    The target of an `outlived` answer has not crashed with it, but may have cut
    it off.
    """

    whole = 'whole'
    outlived = 'outlived'
    unproven = 'unproven'
    broken = 'broken'


class Survival(str, Enum):
    """Whether a target still ran after it had closed a connection."""

    survived = 'survived'
    ended = 'ended'
    unknown = 'unknown'


#: The end of an answer that nothing proves, by what is known of its target.
UNPROVEN_ENDS: Mapping[Survival, AnswerEnd] = MappingProxyType(
    {
        Survival.survived: AnswerEnd.outlived,
        Survival.ended: AnswerEnd.broken,
        Survival.unknown: AnswerEnd.unproven,
    }
)
#: The end of an answer whose framing tells that all its bytes have come.
FRAMED_ENDS: Mapping[Tail, AnswerEnd] = MappingProxyType(
    {
        Tail.none: AnswerEnd.whole,
        Tail.unbegun: AnswerEnd.whole,
        Tail.comment: AnswerEnd.whole,
        Tail.event: AnswerEnd.broken,
    }
)
#: The end of an answer whose connection was closed without any framing.
CLOSED_ENDS: Mapping[Tail, AnswerEnd] = MappingProxyType(
    {
        Tail.none: AnswerEnd.unproven,
        Tail.unbegun: AnswerEnd.broken,
        Tail.comment: AnswerEnd.broken,
        Tail.event: AnswerEnd.broken,
    }
)


def judge_end(framing: Framing, tail: Tail) -> AnswerEnd:
    """Return whether an answer is whole whose bytes have properly ended.

    A connection that was reset, or closed before its framing allows, is no
    such end.

    >>> judge_end(Framing.chunks, Tail.event).value
    'broken'
    >>> judge_end(Framing.close, Tail.none).value
    'unproven'
    """
    ends = CLOSED_ENDS if framing is Framing.close else FRAMED_ENDS
    return ends[tail]


def get_framing(
    method: str, status: int, *, has_length: bool, is_chunked: bool
) -> Framing:
    """Return what tells the end of the answer to a request.

    Chunks take precedence over a length.

    >>> get_framing('GET', 200, has_length=True, is_chunked=True).value
    'chunks'
    >>> get_framing('HEAD', 200, has_length=False, is_chunked=False).value
    'empty'
    """
    if method == 'HEAD' or status in EMPTY_STATUSES:
        return Framing.empty
    if is_chunked:
        return Framing.chunks
    return Framing.length if has_length else Framing.close
