"""
Peer connections
================

Sends payloads to peers as JSON over HTTP.  The message contains the class name
of its payload, by which the receiver finds the class.
"""

from dataclasses import dataclass
from typing import Any

import httpx

from trestledock.connection._hub import Hub
from trestledock.connection._parsing import BadRequest
from trestledock.process import PAYLOADS, PeerMessage, SendToPeer
from trestledock.relay import encode_json
from trestledock.version import (
    CONVERTER,
    DecodeError,
    decode,
    load_json,
)

#: How long a message to a peer may take, in seconds.
PEER_TIMEOUT_S = 2.0

_PAYLOAD_TYPES = {kind.__name__: kind for kind in PAYLOADS}  # noqa: WPS407


@dataclass(frozen=True)
class PeerEnvelope:
    """A message between instances: its sender, payload type and payload."""

    sender: str
    type: str  # noqa: WPS125 - the wire name
    payload: dict[str, Any]


class PeerLink:
    """Sends messages of an instance to its peers."""

    def __init__(self, hub: Hub, client: httpx.AsyncClient) -> None:
        """Set the hub, and the client that owns the connections."""
        self.hub = hub
        self.client = client

    async def send(self, action: SendToPeer) -> None:
        """Send a payload; messages may be lost, and the core tolerates it."""
        if not action.address:
            return
        body = encode_json(
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


def decode_peer_message(body: bytes) -> PeerMessage:
    """Decode a message from a peer."""
    try:
        envelope = load_json(body, PeerEnvelope)
        payload: Any = decode(envelope.payload, _PAYLOAD_TYPES[envelope.type])
    except (DecodeError, KeyError) as exc:
        raise BadRequest(f'invalid peer message: {exc!r}') from exc
    return PeerMessage(envelope.sender, payload)
