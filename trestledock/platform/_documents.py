"""
Documents in the store
======================

Decodes what the operator and the targets write: the configuration under
`op/config` and one entry for each target under `servers/`.
"""

from collections import defaultdict
from typing import Any

from trestledock.relay import (
    Catalog,
    EngineModel,
    Limits,
    Listed,
    Route,
    RouteKind,
    Service,
    Share,
    Standing,
    TeamKey,
)

MS = 1000
TOKENS_PER_K = 1000
PAIRS_PER_M = 1_000_000
READY = 'ready'


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
        limits=_decode_limits(plain.get('limits', {})),
    )


def decode_target(target_id: str, plain: dict[str, Any]) -> Listed:
    """Return a target from its entry; `zone` is a data centre."""
    ready = plain.get('state', READY) == READY
    return Listed(
        target_id=target_id,
        service=plain['service'],
        address=plain['address'],
        data_centre=plain.get('zone', ''),
        standing=Standing.ready if ready else Standing.leaving,
        slots=plain.get('slots', 1),
        sequence=plain.get('sequence', 0),
    )


def _decode_route(row: dict[str, Any]) -> Route:
    return Route(
        name=row.get('name', ''),
        host=row['host'].lower(),
        path_prefix=row['pathPrefix'],
        kind=RouteKind(row['kind']),
        shares=_decode_shares(row),
        timeout_s=row.get('timeoutMs', 60_000) / MS,
        objective_s=row.get('sloMs', 1000) / MS,
        max_attempts=row.get('maxAttempts', 1),
        priority=row.get('priority', 0),
        public=row.get('public', False),
        resumable=row.get('resumable', False),
        pause_s=row.get('gapAimMs', 0) / MS,
    )


def _decode_shares(row: dict[str, Any]) -> tuple[Share, ...]:
    if row.get('split'):
        return tuple(
            Share(part['service'], part['weight']) for part in row['split']
        )
    return (Share(row['service']),)


def _decode_service(row: dict[str, Any]) -> Service:
    engine = row.get('engineKind')
    return Service(
        name=row['name'],
        max_connections=row.get('maxConns', 64),
        engine=_decode_engine(engine) if engine else None,
    )


def _decode_engine(row: dict[str, Any]) -> EngineModel:
    return EngineModel(
        batch=row['slots'],
        capacity_tokens=row['kvCapacity'],
        step_s=row['step_ms'] / MS,
        read_rate=row['read_per_s'],
        step_request_s=row.get('per_seq_ms', 0) / MS,
        step_context_s=row.get('context_per_k', 0) / MS / TOKENS_PER_K,
        pair_s=row.get('pairs_per_m', 0) / MS / PAIRS_PER_M,
        chunk_tokens=row.get('chunk', 2048),
        stride=row.get('stride', 1),
        hop_s=row.get('hopMs', 0) / MS,
    )


def _decode_keys(plain: dict[str, Any]) -> dict[str, TeamKey] | None:
    if 'tenants' not in plain:
        return None
    return {
        key: TeamKey(tenant['name'], tenant.get('priority'))
        for tenant in plain['tenants']
        for key in tenant.get('apiKeys', ())
    }


def _decode_limits(plain: dict[str, Any]) -> Limits:
    return Limits(
        header_bytes=plain.get('maxHeaderBytes', 16_384),
        body_bytes=plain.get('maxBodyBytes', 4_194_304),
        idle_s=plain.get('idleTimeoutMs', 15_000) / MS,
    )
