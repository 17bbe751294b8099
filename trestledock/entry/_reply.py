"""
Replies to callers
==================

A reply is not started, started or finished.  A started reply that can't be
finished is cut by closing the connection, so that it can't look complete. A
reply without a length or chunks says no more than an answer that its target
ended by closing: the web server ends it likewise, and resets it if it is cut.
"""

from typing import Any, Awaitable, Callable

from trestledock.entry._wire import Headers

#: Asks the web server of an entry to end a reply by closing the connection.
END_BY_CLOSE = (b'trestledock-framing', b'close')

Send = Callable[[dict[str, Any]], Awaitable[None]]


class CutReply(Exception):
    """A reply can't be completed; its connection must be closed."""


class Reply:
    """One reply on an ASGI connection."""

    def __init__(
        self,
        send: Send,
        is_draining: Callable[[], bool] = bool,
    ) -> None:
        """Store the ASGI `send`, and the check for closing connections."""
        self._send = send
        self._is_draining = is_draining
        self.status = 0
        self.finished = False
        self.caller_left = False
        self.is_framed = True

    @property
    def started(self) -> bool:
        """Return whether the caller has been sent a status."""
        return bool(self.status)

    async def start(
        self, status: int, headers: Headers, *, is_framed: bool = True
    ) -> None:
        """Send the status and the headers.

        A reply that is not framed ends with its connection.
        """
        self.status = status
        self.is_framed = is_framed
        if not is_framed:
            headers = (*headers, END_BY_CLOSE)
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
