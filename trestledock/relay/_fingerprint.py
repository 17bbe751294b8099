"""
Fingerprints of requests
========================

What makes two attempts the same request.  The id says nothing of that: each
attempt of a caller has one of its own.
"""

from hashlib import sha256

from trestledock.relay._call import Call

#: Hexadecimal digits that are kept, 96 bits: of a million requests two share
#: them by chance once in 10^17 fleets.
DIGITS = 24


def get_fingerprint(call: Call, team: str) -> str:
    """Return what a request shares with its repeats, whoever takes them.

    That is what a target works by: method, host, path, query, team and body,
    each after its length, so that no two different requests read the same.
    The team stands for the caller, whose key may be replaced meanwhile.

    >>> from trestledock.relay._call import Body
    >>> call = Call('r1', 'GET', '/x', '', 'a.example', (), Body(), 0)
    >>> len(get_fingerprint(call, 'kiosks'))
    24
    """
    parts = (call.method, call.host, call.path, call.query, team)
    found = sha256(call.body.digest)
    for part in parts:
        raw = part.encode()
        found.update(b'%d:' % len(raw))
        found.update(raw)
    return found.hexdigest()[:DIGITS]
