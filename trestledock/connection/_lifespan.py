"""
Applications without a lifespan
===============================

The server tells an application of its start and end, and leaves a coroutine
behind that fails noisily when the process ends first.  Our applications have
nothing to do then, so they decline.
"""

from typing import Any


class WithoutLifespan:
    """An ASGI application that declines the lifespan protocol."""

    def __init__(self, app: Any) -> None:
        """Keep the application that serves requests."""
        self.app = app

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve a request; return at once for anything else."""
        if scope['type'] == 'http':
            await self.app(scope, receive, send)
