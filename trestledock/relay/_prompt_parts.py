"""
Prompt parts
============

Names the parts of a prompt that requests share, such as a system prompt or a
document.  The last part belongs to one request or session and has no name.
"""

from hashlib import sha256
from itertools import islice
from typing import Iterable

#: Begins the name of a part, and distinguishes it from a fingerprint.
PART_PREFIX = 'part:'
#: The maximum number of parts of a request that get a name; further ones are
#: ignored.
MAX_PARTS = 32
#: The maximum length of an id that is used as it is.
MAX_ID_LENGTH = 32
DIGEST_DIGITS = 24


def get_part_names(part_ids: Iterable[str]) -> tuple[str, ...]:
    """Return the names of the shared parts of a prompt, each once.

    Ids in hexadecimal may be written in either case.

    >>> get_part_names(['5C1E', '91bd', '5c1e', 'e440'])
    ('part:5c1e', 'part:91bd')
    """
    ids = list(filter(None, map(_normalize, part_ids)))
    distinct = dict.fromkeys(ids[:-1])
    return tuple(islice(map(_get_name, distinct), MAX_PARTS))


def is_part(name: str) -> bool:
    """Return whether a name is that of a part of a prompt."""
    return name.startswith(PART_PREFIX)


def _normalize(part_id: str) -> str:
    return part_id.strip().lower()


def _get_name(part_id: str) -> str:
    """Return a name of bounded length, without characters of other formats."""
    if (
        len(part_id) <= MAX_ID_LENGTH
        and part_id.isascii()
        and part_id.isalnum()
    ):
        return f'{PART_PREFIX}{part_id}'
    digest = sha256(part_id.encode()).hexdigest()
    return f'{PART_PREFIX}{digest[:DIGEST_DIGITS]}'
