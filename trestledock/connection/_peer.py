"""
Peer connections
================

Sends payloads to peers as JSON over HTTP.  The type of a payload travels by
name and is looked up in the list of all payloads.
"""

import json
from dataclasses import dataclass
from typing import Any

import httpx

from trestledock.connection._hub import Hub
from trestledock.connection._parsing import BadRequest
from trestledock.process import PAYLOADS, PeerMessage, SendToPeer
from trestledock.version import (
    CONVERTER,
    DecodeError,
    decode,
    load_json,
)

#: How long a message to a peer may take, in seconds.
PEER_TIMEOUT_S = 2.0

_KINDS = {kind.__name__: kind for kind in PAYLOADS}  # noqa: WPS407


@dataclass(frozen=True)
class Envelope:
    """A message between instances: who sends it, its type and payload."""

    sender: str
    type: str  # noqa: WPS125 - the name on the wire
    payload: dict[str, Any]


class PeerLink:
    """The sender of one instance's messages to its peers."""

    def __init__(self, hub: Hub, client: httpx.AsyncClient) -> None:
        """Keep the client that owns the connections."""
        self.hub = hub
        self.client = client

    async def send(self, action: SendToPeer) -> None:
        """Send a payload; it may be lost, and the core counts on that."""
        if not action.address:
            return
        body = json.dumps(
            {
                'sender': self.hub.node.state.member,
                'type': type(action.payload).__name__,
                'payload': CONVERTER.unstructure(action.payload),
            }
        )
        self.hub.metrics.control_bytes.labels('sent').inc(len(body))
        try:
            await self.client.post(
                f'http://{action.address}/peer/v1/messages',
                content=body,
                timeout=PEER_TIMEOUT_S,
            )
        except httpx.HTTPError:
            self.hub.metrics.add('lost_peer_messages')


def read_envelope_of_peer(body: bytes) -> PeerMessage:
    """Read a message from a peer."""
    try:
        envelope = load_json(body, Envelope)
        payload: Any = decode(envelope.payload, _KINDS[envelope.type])
    except (DecodeError, KeyError) as exc:
        raise BadRequest(f'not a message of a peer: {exc!r}') from exc
    return PeerMessage(envelope.sender, payload)
