"""
Replies
=======

The way back to a caller: nothing yet, begun, or finished.  A reply that was
begun and can't be finished is cut, so that it can't look complete.
"""

from typing import Any, Awaitable, Callable

from trestledock.entry._wire import Headers

Send = Callable[[dict[str, Any]], Awaitable[None]]


class CutReply(Exception):
    """A reply can't be completed; the connection has to be closed."""


class Reply:
    """One reply on an ASGI connection."""

    def __init__(
        self,
        send: Send,
        is_draining: Callable[[], bool] = bool,
    ) -> None:
        """Keep where to send, and whether connections should be closed."""
        self._send = send
        self._is_draining = is_draining
        self.status = 0
        self.finished = False

    @property
    def started(self) -> bool:
        """Whether the caller has got a status."""
        return bool(self.status)

    async def start(self, status: int, headers: Headers) -> None:
        """Send the status and the headers."""
        self.status = status
        if self._is_draining():
            headers = (*headers, (b'connection', b'close'))
        await self._send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': list(headers),
            },
        )

    async def write(self, raw: bytes) -> None:
        """Send a part of the body."""
        await self._send(
            {'type': 'http.response.body', 'body': raw, 'more_body': True},
        )

    async def finish(self, raw: bytes = b'') -> None:
        """Send the last part of the body."""
        self.finished = True
        await self._send(
            {'type': 'http.response.body', 'body': raw, 'more_body': False},
        )
