"""
Operator routes
===============

The routes that the command line uses: publish a configuration, show the current
state, explain where a request would be placed, and drain a target.
"""

import json
import uuid
from http import HTTPStatus
from typing import Any

import anyio
from starlette.requests import Request as HttpRequest
from starlette.responses import JSONResponse, PlainTextResponse, Response
from starlette.routing import Route

from trestledock.connection._hub import Hub
from trestledock.process import MarkDraining, Publish, explain
from trestledock.request import Kind, Model, Request

#: How long a publication waits for its verdict, in seconds.
PUBLISH_TIMEOUT_S = 20.0
CONFLICT_STATUS = HTTPStatus.CONFLICT
NOT_FOUND_STATUS = HTTPStatus.NOT_FOUND
PENDING_STATUS = HTTPStatus.ACCEPTED


class OperatorRoutes:
    """The part of the web application for operators."""

    def __init__(self, hub: Hub) -> None:
        """Set the hub that the routes use."""
        self.hub = hub

    def make_routes(self) -> list[Route]:
        """Return the routes."""
        return [
            Route('/admin/publish', self.publish, methods=['POST']),
            Route('/admin/configuration', self.get_configuration),
            Route('/admin/fleet', self.get_fleet),
            Route('/admin/explain', self.explain),
            Route('/admin/drain', self.drain, methods=['POST']),
        ]

    async def publish(self, http: HttpRequest) -> Response:
        """Publish a configuration and wait for the verdict of the log."""
        body = (await http.body()).decode()
        params = http.query_params
        publish_id = params.get('id') or uuid.uuid4().hex
        base = int(params.get('base', '-1'))
        event = anyio.Event()
        self.hub.publications[publish_id] = event
        await self.hub.send(Publish(publish_id, base, body))
        with anyio.move_on_after(PUBLISH_TIMEOUT_S):
            await event.wait()
        self.hub.publications.pop(publish_id, None)
        verdict = self.hub.published.pop(publish_id, None)
        if verdict is None:
            return JSONResponse(
                {'verdict': 'unknown', 'id': publish_id},
                status_code=PENDING_STATUS,
            )
        name = 'accepted' if verdict.accepted else 'conflict'
        return JSONResponse(
            {
                'verdict': name,
                'id': publish_id,
                'version': verdict.version,
                'detail': verdict.detail,
            },
            status_code=HTTPStatus.OK if verdict.accepted else CONFLICT_STATUS,
        )

    async def get_configuration(self, http: HttpRequest) -> Response:
        """Return the configuration in force, exactly as it was published."""
        fold = self.hub.node.state.reader.fold
        accepted = fold.get_accepted_by_scope('configuration')
        if accepted is None:
            return PlainTextResponse(
                'no configuration is in force', NOT_FOUND_STATUS
            )
        headers = {'trestledock-version': str(accepted.offset)}
        return PlainTextResponse(accepted.body, headers=headers)

    async def get_fleet(self, http: HttpRequest) -> Response:
        """Return this instance's view of targets and peers."""
        now = anyio.current_time()
        state = self.hub.node.state
        targets = [
            {
                'name': name,
                'usable': state.fleet.is_usable(target, now),
                'leaving': state.fleet.is_draining(target),
                'in_flight': target.in_flight,
                'models': sorted(target.models),
                'labels': dict(target.info.labels),
            }
            for name, target in sorted(state.fleet.targets.items())
        ]
        peers = [
            {
                'member': name,
                'gone': peer.is_unreachable,
                'leaving': peer.draining,
            }
            for name, peer in sorted(state.fleet.peers.items())
        ]
        epoch = state.claims.epoch
        return JSONResponse(
            {
                'member': state.member,
                'version': state.version.number,
                'epoch': list(epoch.members) if epoch else [],
                'lease': {'holder': state.lease.holder},
                'peers': peers,
                'targets': targets,
            }
        )

    async def explain(self, http: HttpRequest) -> Response:
        """Explain where a request would be placed."""
        params = http.query_params
        service = params.get('service', '')
        req = Request(
            req_id='explain',
            team=params.get('team', ''),
            kind=Kind.call if service else Kind.generate,
            deadline=float('inf'),
            model=Model(
                params.get('model', ''),
                params.get('adapter', ''),
                params.get('version', ''),
            ),
            service=service,
            prompt_tokens=int(params.get('tokens', '1000')),
            max_tokens=int(params.get('max_tokens', '256')),
        )
        lines = explain(self.hub.node, req, anyio.current_time())
        return JSONResponse({'lines': lines})

    async def drain(self, http: HttpRequest) -> Response:
        """Drain a target."""
        data: dict[str, Any] = json.loads(await http.body())
        name = data.get('target', '')
        if name not in self.hub.node.state.fleet.targets:
            return JSONResponse(
                {'detail': f'unknown target {name}'},
                status_code=NOT_FOUND_STATUS,
            )
        await self.hub.send(MarkDraining(name))
        return JSONResponse({'leaving': name})
