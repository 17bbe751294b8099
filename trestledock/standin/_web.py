"""
HTTP serving and fault injection
================================

Shared by the stand-ins.  Each stand-in is a small web application, usually in a
process of its own, whose faults are switched on through the `/control` route.
"""

import os
from http import HTTPStatus
from typing import Any, Awaitable, Callable

import anyio
from hypercorn.asyncio import serve
from hypercorn.config import Config
from starlette.requests import Request
from starlette.responses import JSONResponse
from starlette.types import ASGIApp

from trestledock.connection._lifespan import WithoutLifespan

#: Status of a response that guarantees that no job was started.
NOT_STARTED_STATUS = 503

#: Exit code of a stand-in that a marked request crashed.
CRASH_EXIT_CODE = 70

#: A coroutine function that returns when the stand-in should stop.
WaitForStop = Callable[[], Awaitable[None]]


class Faults:
    """Named faults that `/control` sets and the stand-in reads."""

    def __init__(self, **defaults: Any) -> None:
        """Declare all faults with their initial values."""
        self._faults = defaults

    def get(self, name: str) -> Any:
        """Return the current value of a fault."""
        return self._faults[name]

    def count_down(self, name: str) -> Any:
        """Return the number of times left for a fault, and decrement it."""
        remaining = self._faults[name]
        if remaining:
            self._faults[name] = remaining - 1
        return remaining

    def crash_if_marked(self, text: str) -> None:
        """Exit at once if a request contains the text set as `crash_on`.

        All connections of the process break, as in a crash.  Whoever started
        the process is responsible for restarting it.
        """
        marker = self._faults['crash_on']
        if marker and marker in text:
            os._exit(CRASH_EXIT_CODE)

    async def handle_control(self, request: Request) -> JSONResponse:
        """Set faults by name; reject the request if a name is unknown."""
        new_values = await request.json()
        unknown = sorted(set(new_values) - set(self._faults))
        if unknown:
            return JSONResponse(
                {'unknown': unknown}, status_code=HTTPStatus.BAD_REQUEST
            )
        self._faults.update(new_values)
        return JSONResponse(self._faults)


def make_config(address: str) -> Config:
    """Return the web server's settings for an address."""
    config = Config()
    config.bind = [address]
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = 1
    return config


async def serve_app(
    app: ASGIApp,
    address: str,
    wait_for_stop: WaitForStop = anyio.sleep_forever,
) -> None:
    """Serve an application on an address until `wait_for_stop` returns."""
    await serve(
        WithoutLifespan(app),
        make_config(address),
        shutdown_trigger=wait_for_stop,
    )
