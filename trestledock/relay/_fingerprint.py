"""
Request fingerprints
====================

Identifies retries of the same request.  The request id can't: each attempt of a
caller has its own.
"""

from hashlib import sha256
from typing import NamedTuple

#: Hexadecimal digits of a fingerprint, 96 bits: among a million requests, two
#: collide by chance in one of 10^17 fleets.
FINGERPRINT_DIGITS = 24


class RequestIdentity(NamedTuple):
    """What identifies a request to a target, apart from the body.

    The team stands for the caller, since keys may be replaced between attempts.
    """

    method: str
    host: str
    path: str
    query: str
    team: str


def get_fingerprint(identity: RequestIdentity, body_digest: bytes) -> str:
    """Return the fingerprint that all retries of a request share.

    Each part is hashed with its length, so that no two different requests
    produce the same input.

    >>> identity = RequestIdentity('GET', 'a.example', '/x', '', 'kiosks')
    >>> len(get_fingerprint(identity, sha256(b'').digest()))
    24
    """
    digest = sha256(body_digest)
    for part in identity:
        raw = part.encode()
        digest.update(b'%d:' % len(raw))
        digest.update(raw)
    return digest.hexdigest()[:FINGERPRINT_DIGITS]
