"""
Stand-in service
================

A plain service, such as the booking service, that counts each run by key.  It
can be slow, it can lose answers after the call has taken effect, and calls that
are marked end its process.
"""

from dataclasses import dataclass, field

import anyio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from trestledock.standin._web import Faults, Stop, serve_app


@dataclass
class ServiceServer:
    """One stand-in service; `runs` counts the runs of each key."""

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
        wait_for_stop: Stop = anyio.sleep_forever,
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
                Route('/control', self.faults.control, methods=['POST']),
                Route('/{path:path}', self.call, methods=methods),
            ],
        )

    async def call(self, request: Request) -> Response:
        """Run a call and count it under its key."""
        body = await request.body()
        key = request.headers.get('idempotency-key', '')
        name = key or request.url.path
        self.runs[name] = self.runs.get(name, 0) + 1
        self.faults.end_if_marked(f'{request.url.path} {body!r}')
        await anyio.sleep(self.faults.get('delay_s'))
        if self.faults.take('lose_answers'):
            raise ConnectionAbortedError('lost by the control route')
        return JSONResponse(
            {'path': request.url.path, 'bytes': len(body), 'key': key},
        )

    async def get_load(self, request: Request) -> Response:
        """Say whether the service is leaving."""
        return JSONResponse({'leaving': self.faults.get('leaving')})

    async def get_runs(self, request: Request) -> Response:
        """Return how often each key ran."""
        return JSONResponse(self.runs)
