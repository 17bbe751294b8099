"""
Serving a stand-in
==================

What the stand-ins share: they are small web applications, each in a process
of its own, whose faults are switched on through a control route.
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

#: Status of an answer that proves that nothing was started.
NOT_STARTED_STATUS = 503

#: How a stand-in exits that a request has ended.
CRASHED = 70

#: What a stand-in waits for before it ends.
Stop = Callable[[], Awaitable[None]]


class Faults:
    """Switches that the control route sets; each stand-in reads its own."""

    def __init__(self, **defaults: Any) -> None:
        """Declare the faults with their values when switched off."""
        self._faults = defaults

    def get(self, name: str) -> Any:
        """Return the present value of a fault."""
        return self._faults[name]

    def take(self, name: str) -> Any:
        """Return the value of a fault that counts down, and count it."""
        left = self._faults[name]
        if left:
            self._faults[name] = left - 1
        return left

    def end_if_marked(self, text: str) -> None:
        """End the process at once if a request holds the text `crash_on`.

        Its connections end with it, as in a crash, and whoever started it
        starts it again.
        """
        mark = self._faults['crash_on']
        if mark and mark in text:
            os._exit(CRASHED)

    async def control(self, request: Request) -> JSONResponse:
        """Set faults by name; an unknown name is an error."""
        wanted = await request.json()
        unknown = sorted(set(wanted) - set(self._faults))
        if unknown:
            return JSONResponse(
                {'unknown': unknown}, status_code=HTTPStatus.BAD_REQUEST
            )
        self._faults.update(wanted)
        return JSONResponse(self._faults)


def make_config(address: str) -> Config:
    """Return the server's settings for an address."""
    config = Config()
    config.bind = [address]
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = 1
    return config


async def serve_app(
    app: ASGIApp,
    address: str,
    wait_for_stop: Stop = anyio.sleep_forever,
) -> None:
    """Serve an application until `wait_for_stop` returns."""
    await serve(
        WithoutLifespan(app),
        make_config(address),
        shutdown_trigger=wait_for_stop,
    )
