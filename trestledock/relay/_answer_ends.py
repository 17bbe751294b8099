"""
Ends of answers
===============

What the head of an answer says about where its body ends.
"""

from enum import Enum
from http import HTTPStatus

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
