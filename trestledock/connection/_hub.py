"""
Core event loop
===============

The single task that owns the core.  All other tasks send messages to it; it
steps the core and passes the resulting actions to the tasks that own the
sockets.
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
    LogEvent,
    Node,
    Published,
    Tick,
)

#: The most messages queued for the core, and replies for a slow caller.
MAX_QUEUED_MESSAGES = 10_000
MAX_QUEUED_REPLIES = 4096

log = logging.getLogger('trestledock')


@dataclass
class Exchange:
    """The state of a caller's connection for one request.

    `prompt` and `body` are stored only here; the core sees sizes and hashes.
    `reservations` are the ids of the reservations (`holds` on the wire) whose
    engines have received the prompt.
    """

    send: MemoryObjectSendStream[Any]
    receive: MemoryObjectReceiveStream[Any]
    prompt: str = ''
    sent_texts: list[str] = field(default_factory=list)
    reservations: set[str] = field(default_factory=set)
    prefix: tuple[str, ...] = ()
    body: bytes = b''
    method: str = ''
    path: str = ''
    query: str = ''
    content_type: str = ''
    idempotency_key: str = ''
    deadline: float = 0
    arrived_at: float = 0
    length_class: str = ''


@dataclass
class Hub:
    """The core and the components that carry out its actions."""

    node: Node
    settings: Settings
    metrics: Metrics
    group: TaskGroup
    exchanges: dict[str, Exchange] = field(default_factory=dict)
    publications: dict[str, anyio.Event] = field(default_factory=dict)
    published: dict[str, Published] = field(default_factory=dict)
    links: dict[type, Any] = field(default_factory=dict)
    _message_sender: MemoryObjectSendStream[Any] = field(init=False)
    _message_receiver: MemoryObjectReceiveStream[Any] = field(init=False)

    def __post_init__(self) -> None:
        """Create the message queue."""
        self._message_sender, self._message_receiver = (
            anyio.create_memory_object_stream[Any](
                MAX_QUEUED_MESSAGES,
            )
        )

    async def send(self, message: Any) -> None:
        """Send a message to the core."""
        await self._message_sender.send(message)

    async def run(self) -> None:
        """Step the core until cancelled."""
        while True:
            now = anyio.current_time()
            wait_s = max(0, self.node.get_next_timer() - now)
            message: Any = Tick()
            with anyio.move_on_after(wait_s):
                message = await self._message_receiver.receive()
            for action in self.node.step(message, anyio.current_time()):
                self._perform(action)

    def open_exchange(self, req_id: str) -> Exchange:
        """Open the exchange of a new request."""
        send, receive = anyio.create_memory_object_stream[Any](
            MAX_QUEUED_REPLIES
        )
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
        """Run a link; an unexpected error must not stop the process.

        The affected request still ends at its own deadline.
        """
        try:
            await link(action)
        except Exception:
            self.metrics.add('link_errors')
            log.exception('link_failed')


@singledispatch
def perform(action: Any, hub: Hub) -> None:
    """Carry out an action that needs no socket."""
    raise TypeError(f'no handler for action {type(action).__name__}')


@perform.register
def _(action: EmitChunks, hub: Hub) -> None:
    exchange = hub.exchanges.get(action.req_id)
    if exchange is None:
        return
    if not exchange.sent_texts:
        waited_s = anyio.current_time() - exchange.arrived_at
        hub.metrics.observe_first_token(exchange.length_class, waited_s)
    exchange.sent_texts.extend(chunk.text for chunk in action.chunks)
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
