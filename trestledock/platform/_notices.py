"""
Notices in responses
====================

Reads the headers in which a target describes its own state: that it is
draining, how long the sender should back off, for how long it stays cold, and
how many requests per second it accepts from all entries together.  A value that
can't be parsed has no effect, and does not revoke an earlier notice either.
"""

import re
from typing import Sequence

from trestledock.entry import BackoffHeader, ColdTime, Head, RateLimitHeader

RATE_LIMIT = b'server-limit'
DRAINING = b'server-leaving'
#: A back-off in seconds, read only from responses with one of these statuses.
RETRY_AFTER = b'retry-after'
REJECTED_STATUSES = frozenset((429, 503))
#: How many milliseconds a target stays cold after its start.
COLD_MS = b'trestledock-cold-ms'
MS = 1000
DRAINING_VALUE = '1'
DECIMAL = re.compile(r'[0-9]+(?:\.[0-9]*)?|\.[0-9]+')
#: Higher rates are implausible and are lowered to this one, in requests per
#: second.
MAX_RATE_PER_S = 1e9
#: Longer back-offs are implausible and are shortened to this one, in seconds.
MAX_BACKOFF_S = 86_400.0
#: Longer cold times are shortened to this one, in milliseconds, which is beyond
#: what an entry accepts.
MAX_COLD_MS = 1e9


def read_rate_limit(head: Head) -> RateLimitHeader:
    """Read the rate limit that a response announces.

    The lowest of several numbers applies; values that can't be parsed are
    reported beside it.
    """
    texts = _read_texts(head, RATE_LIMIT)
    numbers = _parse_numbers(texts, MAX_RATE_PER_S)
    return RateLimitHeader(
        per_s=min(numbers, default=None),
        is_present=bool(texts),
        invalid_text=_join_invalid(texts),
    )


def read_draining(head: Head) -> bool:
    """Return whether a response says that its target is draining."""
    return DRAINING_VALUE in _read_texts(head, DRAINING)


def read_backoff(head: Head) -> BackoffHeader:
    """Read the back-off that a response requests.

    The highest of several numbers applies.  Dates are not accepted, because the
    clocks of two machines may differ.
    """
    if head.status not in REJECTED_STATUSES:
        return BackoffHeader()
    texts = _read_texts(head, RETRY_AFTER)
    return BackoffHeader(
        backoff_s=max(_parse_numbers(texts, MAX_BACKOFF_S), default=0),
        invalid_text=_join_invalid(texts),
    )


def read_cold_time(head: Head) -> ColdTime:
    """Read for how long a target stays cold; the highest number applies."""
    texts = _read_texts(head, COLD_MS)
    numbers = _parse_numbers(texts, MAX_COLD_MS)
    return ColdTime(
        left_s=max(numbers) / MS if numbers else None,
        invalid_text=_join_invalid(texts),
    )


def _read_texts(head: Head, name: bytes) -> list[str]:
    return [text.strip() for text in head.get_headers(name)]


def _parse_numbers(texts: Sequence[str], maximum: float) -> list[float]:
    return [
        min(float(text), maximum) for text in texts if DECIMAL.fullmatch(text)
    ]


def _join_invalid(texts: Sequence[str]) -> str:
    return '; '.join(
        repr(text) for text in texts if not DECIMAL.fullmatch(text)
    )
