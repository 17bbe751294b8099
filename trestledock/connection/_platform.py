"""
Platform connections
====================

Reads the log and the instance list, and appends records.  The core repeats
failed appends; a failed poll is repeated after a delay.
"""

from dataclasses import dataclass, fields
from typing import Any, Awaitable, Callable

import anyio
import httpx

from trestledock.connection._hub import Hub
from trestledock.process import (
    AppendRecord,
    InstancesListed,
    LogRead,
    PeerInfo,
    TargetInfo,
)
from trestledock.version import (
    CONVERTER,
    DecodeError,
    decode,
    read_batch,
)

#: The delay after a failed poll, in seconds.
RETRY_DELAY_S = 0.5
ENTRY_ROLE = 'entry'
#: The keys read from each listed instance; the platform may add others.
TARGET_INFO_KEYS = frozenset(field.name for field in fields(TargetInfo))


class PlatformLink:
    """The connections of an instance to the platform."""

    def __init__(self, hub: Hub, client: httpx.AsyncClient) -> None:
        """Set the hub, and the client that owns the connections."""
        self.hub = hub
        self.client = client

    async def run(self) -> None:
        """Poll the log and the instance list until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._poll_forever, self.read_log)
            group.start_soon(self._poll_forever, self.read_list)

    async def append(self, action: AppendRecord) -> None:
        """Append a record; a later read of the log shows if it was accepted."""
        try:
            await self.client.post(
                '/v1/log',
                json=CONVERTER.unstructure(action.record),
                timeout=self.hub.settings.platform_timeout_s,
            )
        except httpx.HTTPError:
            self.hub.metrics.add('lost_appends')

    async def read_log(self) -> None:
        """Read the log from the core's next offset."""
        offset = self.hub.node.state.reader.next_read
        data = await self._get('/v1/log', {'from': offset})
        batch = read_batch(data)
        await self.hub.send(LogRead(batch))
        while self.hub.node.state.reader.next_read < batch.first:
            await anyio.sleep(0)
        await anyio.sleep(0)

    async def read_list(self) -> None:
        """Read the instance list."""
        data = await self._get('/v1/instances', {})
        await self.hub.send(decode_instances(data))
        await anyio.sleep(self.hub.settings.poll_list_s)

    async def _get(self, path: str, params: dict[str, Any]) -> Any:
        response = await self.client.get(
            path,
            params=params,
            timeout=self.hub.settings.platform_timeout_s,
        )
        response.raise_for_status()
        self.hub.metrics.control_bytes.labels('platform').inc(
            len(response.content),
        )
        return response.json()

    async def _poll_forever(self, poll: Callable[[], Awaitable[None]]) -> None:
        while True:
            try:
                await poll()
            except (httpx.HTTPError, ValueError):
                await anyio.sleep(RETRY_DELAY_S)


@dataclass(frozen=True)
class InstanceList:
    """The instance list before its rows are decoded."""

    instances: tuple[dict[str, Any], ...]


def decode_instances(data: Any) -> InstancesListed:
    """Decode the instance list; entry instances are peers, others are targets.

    Invalid rows are skipped, so that they don't affect the others.
    """
    targets = []
    peers = []
    for row in decode(data, InstanceList).instances:
        known = {key: row[key] for key in row if key in TARGET_INFO_KEYS}
        try:
            listed = decode(known, TargetInfo)
        except DecodeError:
            continue
        if listed.labels.get('role') == ENTRY_ROLE:
            peers.append(_to_peer(listed))
        else:
            targets.append(listed)
    return InstancesListed(tuple(targets), tuple(peers))


def _to_peer(listed: TargetInfo) -> PeerInfo:
    return PeerInfo(
        listed.name,
        listed.incarnation,
        listed.address,
        listed.labels.get('data_centre', ''),
        listed.leaving,
    )
