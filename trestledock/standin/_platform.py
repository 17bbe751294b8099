"""
Stand-in platform
=================

The platform's services in one small process: the append-only log, the lagging
instance list and the rate-limited weight store.  Outages and lost answers are
switched on through the control route.
"""

from dataclasses import dataclass, field
from typing import Any

import anyio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from trestledock.standin._log_model import LogModel, Overloaded
from trestledock.standin._web import Faults, Stop, serve_app
from trestledock.version import CONVERTER, Record

#: The longest that a read waits for news, in seconds.
LONG_POLL_S = 1.0
#: How often a waiting read looks again, in seconds.
LOOK_S = 0.05
#: Status of an answer during an outage.
OUTAGE_STATUS = 503
#: Status where a limit is spent.
LIMIT_STATUS = 429

Listing = list[dict[str, Any]]


@dataclass
class PlatformServer:
    """One stand-in platform."""

    log: LogModel = field(default_factory=LogModel)
    instances: dict[str, dict[str, Any]] = field(default_factory=dict)
    history: list[tuple[float, Listing]] = field(default_factory=list)
    weights_at: float = 0
    faults: Faults = field(
        default_factory=lambda: Faults(
            outage=False,
            list_outage=False,
            lose_appends=0,
            list_lag_s=0.2,
            weights_per_s=20.0,
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
        instance = '/v1/instances/{name}'
        return Starlette(
            routes=[
                Route('/v1/log', self.append, methods=['POST']),
                Route('/v1/log', self.read, methods=['GET']),
                Route('/v1/instances', self.list_instances),
                Route(instance, self.put_instance, methods=['PUT']),
                Route(instance, self.drop_instance, methods=['DELETE']),
                Route('/v1/weights/{model}', self.get_weights),
                Route('/control', self.faults.control, methods=['POST']),
            ],
        )

    async def append(self, request: Request) -> Response:
        """Append a record; the answer may get lost after it took effect."""
        if self.faults.get('outage'):
            return Response(status_code=OUTAGE_STATUS)
        record = CONVERTER.structure(await request.json(), Record)
        try:
            offset = self.log.append(record, anyio.current_time())
        except Overloaded:
            return Response(status_code=LIMIT_STATUS)
        if self.faults.take('lose_appends'):
            return Response(status_code=OUTAGE_STATUS)
        return JSONResponse({'offset': offset})

    async def read(self, request: Request) -> Response:
        """Return entries from an offset on; waits a little for news."""
        offset = int(request.query_params.get('from', '0'))
        with anyio.move_on_after(LONG_POLL_S):
            while offset >= self.log.tail and not self.faults.get('outage'):
                await anyio.sleep(LOOK_S)
        if self.faults.get('outage'):
            return Response(status_code=OUTAGE_STATUS)
        batch = self.log.read(offset, anyio.current_time())
        return JSONResponse(CONVERTER.unstructure(batch))

    async def list_instances(self, request: Request) -> Response:
        """Return the instance list as it was a little while ago."""
        if self.faults.get('list_outage'):
            return Response(status_code=OUTAGE_STATUS)
        wanted = anyio.current_time() - self.faults.get('list_lag_s')
        older = [listed for at, listed in self.history if at <= wanted]
        return JSONResponse({'instances': older[-1] if older else []})

    async def put_instance(self, request: Request) -> Response:
        """Add or change an instance, as the platform itself would."""
        name = request.path_params['name']
        self.instances[name] = {**await request.json(), 'name': name}
        return self._remember()

    async def drop_instance(self, request: Request) -> Response:
        """Drop an instance from the list."""
        self.instances.pop(request.path_params['name'], None)
        return self._remember()

    async def get_weights(self, request: Request) -> Response:
        """Hand out weights within the store's rate."""
        now = anyio.current_time()
        pause_s = 1 / self.faults.get('weights_per_s')
        if now - self.weights_at < pause_s:
            return Response(status_code=LIMIT_STATUS)
        self.weights_at = now
        return Response(content=b'weights')

    def _remember(self) -> Response:
        now = anyio.current_time()
        listed = [dict(one) for one in self.instances.values()]
        self.history.append((now, listed))
        return JSONResponse({'instances': len(listed)})
