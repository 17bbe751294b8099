"""
Notices in answers
==================

Reads the headers in which a target says something of itself: that it leaves,
how long it wants rest from whoever asked, and how many requests a second it
takes from all entries together.  What can't be read asks for nothing, and takes
nothing back.
"""

import re
from typing import Sequence

from trestledock.entry import Head, RateLimitHeader, BackoffHeader

LIMIT = b'server-limit'
LEAVING = b'server-leaving'
#: Seconds; only the answers of these statuses turn a request away.
RETRY_AFTER = b'retry-after'
TURNED_AWAY = frozenset((429, 503))
LEAVES = '1'
DECIMAL = re.compile(r'[0-9]+(?:\.[0-9]*)?|\.[0-9]+')
#: What a number counts as that no target could mean, in requests a second.
MOST_PER_S = 1e9
#: The longest rest that a target could mean, in seconds.
MOST_REST_S = 86_400.0


def read_limit(head: Head) -> RateLimitHeader:
    """Return the limit that an answer names.

    Of several numbers the lowest counts, beside others that can't be read.
    """
    texts = _read_texts(head, LIMIT)
    numbers = _read_numbers(texts, MOST_PER_S)
    return RateLimitHeader(
        per_s=min(numbers, default=None),
        is_present=bool(texts),
        invalid_text=_join_unreadable(texts),
    )


def read_leaving(head: Head) -> bool:
    """Return whether an answer says that its target leaves."""
    return LEAVES in _read_texts(head, LEAVING)


def read_rest(head: Head) -> BackoffHeader:
    """Return the rest that an answer asks for.

    Of several numbers the highest counts.  A date is no number: it would be
    read by another machine's clock.
    """
    if head.status not in TURNED_AWAY:
        return BackoffHeader()
    texts = _read_texts(head, RETRY_AFTER)
    return BackoffHeader(
        backoff_s=max(_read_numbers(texts, MOST_REST_S), default=0),
        invalid_text=_join_unreadable(texts),
    )


def _read_texts(head: Head, name: bytes) -> list[str]:
    return [text.strip() for text in head.get_headers(name)]


def _read_numbers(texts: Sequence[str], most: float) -> list[float]:
    return [min(float(text), most) for text in texts if DECIMAL.fullmatch(text)]


def _join_unreadable(texts: Sequence[str]) -> str:
    return '; '.join(repr(one) for one in texts if not DECIMAL.fullmatch(one))
