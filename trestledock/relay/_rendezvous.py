"""
Rendezvous hashing
==================

Ranks candidates for a key so that all instances that know the same candidates
compute the same order, and a change of one candidate moves only the keys that
it wins or loses.
"""

import hashlib
from typing import Iterable


def _score(key: str, candidate: str) -> bytes:
    text = f'{key}\n{candidate}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def rank_by_key(key: str, candidates: Iterable[str]) -> tuple[str, ...]:
    """Return the candidates in the key's order of preference.

    >>> rank_by_key('k', ['a', 'b']) == rank_by_key('k', ['b', 'a'])
    True
    """
    return tuple(
        sorted(candidates, key=lambda name: _score(key, name), reverse=True),
    )
