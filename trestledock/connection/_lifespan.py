"""
ASGI lifespan
=============

The server runs the lifespan protocol for its start and shutdown, and leaves a
coroutine behind that logs errors if the process exits first.  The applications
here need no lifespan events, so they decline the protocol.
"""

from typing import Any


class WithoutLifespan:
    """ASGI middleware that declines the lifespan protocol."""

    def __init__(self, app: Any) -> None:
        """Set the application that serves requests."""
        self.app = app

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve HTTP requests; return immediately for other scopes."""
        if scope['type'] == 'http':
            await self.app(scope, receive, send)
