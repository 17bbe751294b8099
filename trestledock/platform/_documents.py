"""
Documents in the store
======================

Decodes what the operator writes: the configuration under `op/config`.
"""

from collections import defaultdict
from dataclasses import replace
from typing import Any

from trestledock.platform._fields import Field, seconds_of, read_fields
from trestledock.relay import (
    Catalog,
    EngineModel,
    Limits,
    Route,
    RouteKind,
    Service,
    Share,
    TeamKey,
)

TOKENS_PER_K = 1000
PAIRS_PER_M = 1_000_000
#: Callers of this platform abandon a stream, also before its first event, after
#: a gap of so many seconds, or so many times its objective or its longest
#: pause, whichever is longest.
LEAST_GAP_S = 2.0
GAP_OBJECTIVES = 4
GAP_PAUSES = 8
#: Callers of plain services leave at their deadline only.
FOREVER_S = float('inf')


def _per_k_seconds_of(milliseconds: float) -> float:
    return seconds_of(milliseconds) / TOKENS_PER_K


def _per_m_seconds_of(milliseconds: float) -> float:
    return seconds_of(milliseconds) / PAIRS_PER_M


ROUTE_FIELDS = (
    Field('name', 'name'),
    Field('host', 'host', str.lower),
    Field('pathPrefix', 'path_prefix'),
    Field('kind', 'kind', RouteKind),
    Field('timeoutMs', 'timeout_s', seconds_of),
    Field('sloMs', 'objective_s', seconds_of),
    Field('maxAttempts', 'max_attempts'),
    Field('public', 'public'),
    Field('resumable', 'resumable'),
    Field('gapAimMs', 'pause_s', seconds_of),
    Field('priority', 'priority'),
)

#: `slots` of an engine is its batch; `kvCapacity` counts prompt and answer.
ENGINE_FIELDS = (
    Field('slots', 'batch'),
    Field('kvCapacity', 'capacity_tokens'),
    Field('step_ms', 'step_s', seconds_of),
    Field('read_per_s', 'read_rate'),
    Field('per_seq_ms', 'step_request_s', seconds_of),
    Field('context_per_k', 'step_context_s', _per_k_seconds_of),
    Field('pairs_per_m', 'pair_s', _per_m_seconds_of),
    Field('stride', 'stride'),
)

LIMIT_FIELDS = (Field('idleTimeoutMs', 'idle_s', seconds_of),)


def decode_catalog(plain: dict[str, Any]) -> Catalog:
    """Return a version of the configuration."""
    routes: dict[str, list[Route]] = defaultdict(list)
    for row in plain.get('routes', ()):
        route = _decode_route(row)
        routes[route.host].append(route)
    services = [_decode_service(row) for row in plain.get('services', ())]
    return Catalog(
        version=plain['version'],
        routes={host: tuple(some) for host, some in routes.items()},
        services={service.name: service for service in services},
        keys=_decode_keys(plain),
        limits=Limits(**read_fields(plain.get('limits', {}), LIMIT_FIELDS)),
    )


def _decode_route(row: dict[str, Any]) -> Route:
    found = read_fields(row, ROUTE_FIELDS)
    route = Route(shares=_decode_shares(row), **found)
    return replace(route, patience_s=_get_patience_s(route))


def _get_patience_s(route: Route) -> float:
    """Return how long a silence callers of a route bear."""
    if route.kind is not RouteKind.streaming:
        return FOREVER_S
    return max(
        LEAST_GAP_S,
        GAP_OBJECTIVES * route.objective_s,
        GAP_PAUSES * route.pause_s,
    )


def _decode_shares(row: dict[str, Any]) -> tuple[Share, ...]:
    if row.get('split'):
        return tuple(
            Share(part['service'], part['weight']) for part in row['split']
        )
    return (Share(row['service']),)


def _decode_service(row: dict[str, Any]) -> Service:
    kind = row.get('engineKind')
    engine = EngineModel(**read_fields(kind, ENGINE_FIELDS)) if kind else None
    return Service(row['name'], engine)


def _decode_keys(plain: dict[str, Any]) -> dict[str, TeamKey] | None:
    if 'tenants' not in plain:
        return None
    return {
        key: TeamKey(tenant['name'], tenant.get('priority'))
        for tenant in plain['tenants']
        for key in tenant.get('apiKeys', ())
    }
