"""
Stand-in service
================

A plain service, such as the booking service, that counts how often it ran each
idempotency key.  It can be slow, it can lose responses after a call has taken
effect, and calls that contain a marker text crash its process.
"""

from dataclasses import dataclass, field

import anyio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from trestledock.standin._web import Faults, WaitForStop, serve_app


@dataclass
class ServiceServer:
    """One stand-in service; `runs` counts the calls run by key.

    The fault `lose_answers` is the number of calls whose responses are lost.
    """

    runs: dict[str, int] = field(default_factory=dict)
    faults: Faults = field(
        default_factory=lambda: Faults(
            delay_s=0,
            lose_answers=0,
            leaving=False,
            crash_on='',
        ),
    )

    async def run(
        self,
        address: str,
        wait_for_stop: WaitForStop = anyio.sleep_forever,
    ) -> None:
        """Serve until `wait_for_stop` returns."""
        await serve_app(self.make_app(), address, wait_for_stop)

    def make_app(self) -> Starlette:
        """Return the web application."""
        methods = ['GET', 'POST']
        return Starlette(
            routes=[
                Route('/v1/load', self.get_load),
                Route('/runs', self.get_runs),
                Route('/control', self.faults.handle_control, methods=['POST']),
                Route('/{path:path}', self.run_call, methods=methods),
            ],
        )

    async def run_call(self, request: Request) -> Response:
        """Run a call and count it by its key, or by its path if it has none."""
        body = await request.body()
        key = request.headers.get('idempotency-key', '')
        count_key = key or request.url.path
        self.runs[count_key] = self.runs.get(count_key, 0) + 1
        self.faults.crash_if_marked(f'{request.url.path} {body!r}')
        await anyio.sleep(self.faults.get('delay_s'))
        if self.faults.count_down('lose_answers'):
            raise ConnectionAbortedError('lost by the control route')
        return JSONResponse(
            {'path': request.url.path, 'bytes': len(body), 'key': key},
        )

    async def get_load(self, request: Request) -> Response:
        """Return whether the service is draining (`leaving`)."""
        return JSONResponse({'leaving': self.faults.get('leaving')})

    async def get_runs(self, request: Request) -> Response:
        """Return how often the calls of each key ran."""
        return JSONResponse(self.runs)
