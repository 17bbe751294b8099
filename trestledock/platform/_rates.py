"""
Rate limits in answers
======================

Reads the header in which a target names how many requests a second it takes
from all entries together.  What can't be read is no limit, and takes none back.
"""

import re
from typing import Sequence

from trestledock.entry import Head, NamedLimit

HEADER = b'server-limit'
DECIMAL = re.compile(r'[0-9]+(?:\.[0-9]*)?|\.[0-9]+')
#: What a number counts as that no target could mean, in requests a second.
MOST_PER_S = 1e9


def read_limit(head: Head) -> NamedLimit:
    """Return the limit that an answer names.

    Of several numbers the lowest counts, beside others that can't be read.
    """
    texts = [text.strip() for text in head.get_headers(HEADER)]
    numbers = [
        min(float(text), MOST_PER_S)
        for text in texts
        if DECIMAL.fullmatch(text)
    ]
    return NamedLimit(
        per_s=min(numbers, default=None),
        is_named=bool(texts),
        unreadable=_join_unreadable(texts),
    )


def _join_unreadable(texts: Sequence[str]) -> str:
    return '; '.join(repr(one) for one in texts if not DECIMAL.fullmatch(one))
