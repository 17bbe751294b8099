"""
Fingerprints of requests
========================

What makes two attempts the same request.  The id says nothing of that: each
attempt of a caller has one of its own.
"""

from hashlib import sha256
from typing import NamedTuple

#: Hexadecimal digits that are kept, 96 bits: of a million requests two share
#: them by chance once in 10^17 fleets.
DIGITS = 24


class RequestIdentity(NamedTuple):
    """What a target works by, beside the body.

    The team stands for the caller, whose key may be replaced meanwhile.
    """

    method: str
    host: str
    path: str
    query: str
    team: str


def get_fingerprint(traits: RequestIdentity, body_digest: bytes) -> str:
    """Return what a request shares with its repeats, whoever takes them.

    Each part counts with its length, so that no two different requests read
    the same.

    >>> traits = RequestIdentity('GET', 'a.example', '/x', '', 'kiosks')
    >>> len(get_fingerprint(traits, sha256(b'').digest()))
    24
    """
    found = sha256(body_digest)
    for part in traits:
        raw = part.encode()
        found.update(b'%d:' % len(raw))
        found.update(raw)
    return found.hexdigest()[:DIGITS]
