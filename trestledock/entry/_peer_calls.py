"""
Calls of other entries
======================

Questions between entries that a datagram has no room for: one HTTP request on a
connection of its own, answered with a JSON object.
"""

import json
from typing import Any

from trestledock.entry._datagrams import Address
from trestledock.entry._wire import Wire, WireError

OK = 200
#: What a call raises that fails, or whose answer makes no sense.
CALL_ERRORS = (
    WireError,
    TimeoutError,
    ValueError,
    LookupError,
    TypeError,
    RecursionError,
)


async def call_peer(address: Address, path: str) -> dict[str, Any]:
    """Return the object with which an entry answers a question.

    Raises one of `BAD_ANSWER`.
    """
    host, port = address
    wire = await Wire.connect(f'{host}:{port}')
    try:
        await wire.send('GET', path, ((b'host', host.encode()),), b'')
        head = await wire.read_head()
        body = await wire.read_body()
    finally:
        await wire.close()
    if head.status != OK:
        raise ValueError(f'status {head.status}')
    plain = json.loads(body)
    if not isinstance(plain, dict):
        raise ValueError('no object')
    return plain
