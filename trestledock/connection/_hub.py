"""
Hub
===

The one task that owns the core.  Every other task sends it messages; it steps
the core and hands the actions to the tasks that own the sockets.
"""

import logging
from dataclasses import dataclass, field
from functools import singledispatch
from typing import Any

import anyio
from anyio.abc import TaskGroup
from anyio.streams.memory import (
    MemoryObjectReceiveStream,
    MemoryObjectSendStream,
)

from trestledock.connection._metrics import Metrics
from trestledock.connection._settings import Settings
from trestledock.process import (
    Count,
    EmitChunks,
    Finish,
    Node,
    LogEvent,
    Published,
    Tick,
)

#: Messages that may wait for the core, and chunks for a slow caller.
MESSAGE_BUFFER = 10_000
REPLY_BUFFER = 4096

log = logging.getLogger('trestledock')


@dataclass
class Exchange:
    """What a caller's connection keeps for its request.

    `prompt` and `body` stay here; the core sees only sizes and hashes.
    """

    send: MemoryObjectSendStream[Any]
    receive: MemoryObjectReceiveStream[Any]
    prompt: str = ''
    emitted: list[str] = field(default_factory=list)
    holds: set[str] = field(default_factory=set)
    prefix: tuple[str, ...] = ()
    body: bytes = b''
    method: str = ''
    path: str = ''
    query: str = ''
    content_type: str = ''
    idempotency_key: str = ''
    deadline: float = 0
    arrived_at: float = 0
    length: str = ''


@dataclass
class Hub:
    """The core with everything that its actions are handed to."""

    node: Node
    settings: Settings
    metrics: Metrics
    group: TaskGroup
    exchanges: dict[str, Exchange] = field(default_factory=dict)
    publications: dict[str, anyio.Event] = field(default_factory=dict)
    published: dict[str, Published] = field(default_factory=dict)
    links: dict[type, Any] = field(default_factory=dict)
    _send: MemoryObjectSendStream[Any] = field(init=False)
    _receive: MemoryObjectReceiveStream[Any] = field(init=False)

    def __post_init__(self) -> None:
        """Open the queue of messages."""
        self._send, self._receive = anyio.create_memory_object_stream[Any](
            MESSAGE_BUFFER,
        )

    async def tell(self, message: Any) -> None:
        """Send the core a message."""
        await self._send.send(message)

    async def run(self) -> None:
        """Step the core until cancelled."""
        while True:
            now = anyio.current_time()
            wait_s = max(0, self.node.get_next_timer() - now)
            message: Any = Tick()
            with anyio.move_on_after(wait_s):
                message = await self._receive.receive()
            for action in self.node.step(message, anyio.current_time()):
                self._perform(action)

    def open_exchange(self, req_id: str) -> Exchange:
        """Open the exchange of a new request."""
        send, receive = anyio.create_memory_object_stream[Any](REPLY_BUFFER)
        exchange = Exchange(send, receive)
        self.exchanges[req_id] = exchange
        return exchange

    def _perform(self, action: Any) -> None:
        link = self.links.get(type(action))
        if link is None:
            perform(action, self)
        else:
            self.group.start_soon(self._run_link, link, action)

    async def _run_link(self, link: Any, action: Any) -> None:
        """Run a link; what it did not foresee must not end the process.

        The request's own deadline still ends it, whatever was lost here.
        """
        try:
            await link(action)
        except Exception:
            self.metrics.add('link_errors')
            log.exception('link_failed')


@singledispatch
def perform(action: Any, hub: Hub) -> None:
    """Carry out an action that needs no socket."""
    raise TypeError(f'nothing carries out {type(action).__name__}')


@perform.register
def _(action: EmitChunks, hub: Hub) -> None:
    exchange = hub.exchanges.get(action.req_id)
    if exchange is None:
        return
    if not exchange.emitted:
        waited_s = anyio.current_time() - exchange.arrived_at
        hub.metrics.note_first_token(exchange.length, waited_s)
    exchange.emitted.extend(chunk.text for chunk in action.chunks)
    hub.metrics.add('tokens', sum(chunk.tokens for chunk in action.chunks))
    _reply(hub, action.req_id, action)


@perform.register
def _(action: Finish, hub: Hub) -> None:
    _reply(hub, action.req.req_id, action)


@perform.register
def _(action: Count, hub: Hub) -> None:
    hub.metrics.count(action)


@perform.register
def _(action: LogEvent, hub: Hub) -> None:
    log.info(
        action.event,
        extra={'peer': action.peer, 'detail': action.detail},
    )


@perform.register
def _(action: Published, hub: Hub) -> None:
    hub.published[action.publish_id] = action
    event = hub.publications.get(action.publish_id)
    if event:
        event.set()


def _reply(hub: Hub, req_id: str, reply: Any) -> None:
    exchange = hub.exchanges.get(req_id)
    if exchange is None:
        return
    try:
        exchange.send.send_nowait(reply)
    except anyio.WouldBlock:
        hub.metrics.add('slow_callers')
        exchange.send.close()
    except (anyio.BrokenResourceError, anyio.ClosedResourceError):
        return
