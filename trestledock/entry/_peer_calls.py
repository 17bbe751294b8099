"""
Calls between entries
=====================

Requests between entries whose answers don't fit into a datagram: one HTTP
request on a connection of its own, answered with a JSON object.
"""

import json
from typing import Any

from trestledock.entry._datagrams import Address
from trestledock.entry._wire import Wire, WireError

OK = 200
#: The exceptions of a call that fails or has an invalid answer.
CALL_ERRORS = (
    WireError,
    TimeoutError,
    ValueError,
    LookupError,
    TypeError,
    RecursionError,
)


async def call_peer(address: Address, path: str) -> dict[str, Any]:
    """Return the JSON object with which another entry answers.

    Raises one of `CALL_ERRORS`.
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
        raise ValueError(f'unexpected status {head.status}')
    answer = json.loads(body)
    if not isinstance(answer, dict):
        raise ValueError('answer is not a JSON object')
    return answer
