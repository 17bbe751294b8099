"""
Strict JSON
===========

The one encoder of JSON for everything that leaves the process: messages,
updates, records and request bodies.  The standard library writes infinity and
NaN, which are not JSON, so that whoever reads them fails instead of the writer.
"""

import json
from typing import Any

#: Raised for a number that JSON can't express, when it is rounded or encoded.
ENCODE_ERRORS = (ValueError, OverflowError)


def encode_json(plain: Any) -> bytes:
    """Return compact JSON text; raise `ValueError` if a number is not finite.

    >>> encode_json({'age_s': 0.5, 'ends': ('t1',)})
    b'{"age_s":0.5,"ends":["t1"]}'
    """
    text = json.dumps(plain, separators=(',', ':'), allow_nan=False)
    return text.encode()
