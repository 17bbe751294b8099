"""
Stand-in platform
=================

Serves the platform's APIs from one process: the append-only log, an instance
list that lags and a weight store with a rate limit.  Outages and lost responses
are switched on through the `/control` route.
"""

from dataclasses import dataclass, field
from typing import Any

import anyio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from trestledock.standin._log_model import LogModel, Overloaded
from trestledock.standin._web import Faults, WaitForStop, serve_app
from trestledock.version import CONVERTER, Record

#: How long a read of the log waits for new entries, in seconds.
LONG_POLL_S = 1.0
#: Interval at which a waiting read checks for new entries, in seconds.
POLL_INTERVAL_S = 0.05
#: Status of a response during an outage.
OUTAGE_STATUS = 503
#: Status of a response when a rate limit is exceeded.
RATE_LIMIT_STATUS = 429

InstanceList = list[dict[str, Any]]


@dataclass
class PlatformServer:
    """One stand-in platform.

    `history` holds the past instance lists with their times.  The fault
    `lose_appends` is the number of appends whose responses are lost.
    """

    log: LogModel = field(default_factory=LogModel)
    instances: dict[str, dict[str, Any]] = field(default_factory=dict)
    history: list[tuple[float, InstanceList]] = field(default_factory=list)
    weights_served_at: float = 0
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
        wait_for_stop: WaitForStop = anyio.sleep_forever,
    ) -> None:
        """Serve until `wait_for_stop` returns."""
        await serve_app(self.make_app(), address, wait_for_stop)

    def make_app(self) -> Starlette:
        """Return the web application."""
        instance = '/v1/instances/{name}'
        return Starlette(
            routes=[
                Route('/v1/log', self.append_record, methods=['POST']),
                Route('/v1/log', self.read_entries, methods=['GET']),
                Route('/v1/instances', self.list_instances),
                Route(instance, self.put_instance, methods=['PUT']),
                Route(instance, self.remove_instance, methods=['DELETE']),
                Route('/v1/weights/{model}', self.get_weights),
                Route('/control', self.faults.handle_control, methods=['POST']),
            ],
        )

    async def append_record(self, request: Request) -> Response:
        """Append a record; the response may be lost after the append."""
        if self.faults.get('outage'):
            return Response(status_code=OUTAGE_STATUS)
        record = CONVERTER.structure(await request.json(), Record)
        try:
            offset = self.log.append(record, anyio.current_time())
        except Overloaded:
            return Response(status_code=RATE_LIMIT_STATUS)
        if self.faults.count_down('lose_appends'):
            return Response(status_code=OUTAGE_STATUS)
        return JSONResponse({'offset': offset})

    async def read_entries(self, request: Request) -> Response:
        """Return entries from an offset on; wait briefly for new entries."""
        offset = int(request.query_params.get('from', '0'))
        with anyio.move_on_after(LONG_POLL_S):
            while offset >= self.log.next_offset and not self.faults.get(
                'outage'
            ):
                await anyio.sleep(POLL_INTERVAL_S)
        if self.faults.get('outage'):
            return Response(status_code=OUTAGE_STATUS)
        batch = self.log.read(offset, anyio.current_time())
        return JSONResponse(CONVERTER.unstructure(batch))

    async def list_instances(self, request: Request) -> Response:
        """Return the instance list as it was `list_lag_s` seconds ago."""
        if self.faults.get('list_outage'):
            return Response(status_code=OUTAGE_STATUS)
        visible_until = anyio.current_time() - self.faults.get('list_lag_s')
        visible = [
            instance_list
            for at, instance_list in self.history
            if at <= visible_until
        ]
        return JSONResponse({'instances': visible[-1] if visible else []})

    async def put_instance(self, request: Request) -> Response:
        """Add or replace an instance, as the platform itself would."""
        name = request.path_params['name']
        self.instances[name] = {**await request.json(), 'name': name}
        return self._record_instance_list()

    async def remove_instance(self, request: Request) -> Response:
        """Remove an instance from the list."""
        self.instances.pop(request.path_params['name'], None)
        return self._record_instance_list()

    async def get_weights(self, request: Request) -> Response:
        """Return model weights, within the rate limit of the store."""
        now = anyio.current_time()
        min_interval_s = 1 / self.faults.get('weights_per_s')
        if now - self.weights_served_at < min_interval_s:
            return Response(status_code=RATE_LIMIT_STATUS)
        self.weights_served_at = now
        return Response(content=b'weights')

    def _record_instance_list(self) -> Response:
        now = anyio.current_time()
        instance_list = [dict(instance) for instance in self.instances.values()]
        self.history.append((now, instance_list))
        return JSONResponse({'instances': len(instance_list)})
