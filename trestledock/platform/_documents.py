"""
Configuration documents
=======================

Decodes the configuration that the operator writes to the store as `op/config`.
"""

from collections import defaultdict
from dataclasses import replace
from typing import Any

from trestledock.entry import RecordIgnored, emit, read_number
from trestledock.platform._fields import Field, ms_to_seconds, read_fields
from trestledock.relay import (
    Catalog,
    ColdService,
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
#: Callers of this platform abandon a stream when no event arrives within a
#: timeout, which also applies to the first event.  The timeout is the longest
#: of a minimum in seconds, a multiple of the route's latency objective and a
#: multiple of its longest allowed pause.
MIN_EVENT_TIMEOUT_S = 2.0
OBJECTIVES_PER_TIMEOUT = 4
PAUSES_PER_TIMEOUT = 8
#: Callers of non-streaming services wait until their deadline.
NO_TIMEOUT_S = float('inf')


def _per_k_ms_to_seconds(milliseconds: float) -> float:
    return ms_to_seconds(milliseconds) / TOKENS_PER_K


def _per_m_ms_to_seconds(milliseconds: float) -> float:
    return ms_to_seconds(milliseconds) / PAIRS_PER_M


ROUTE_FIELDS = (
    Field('name', 'name'),
    Field('host', 'host', str.lower),
    Field('pathPrefix', 'path_prefix'),
    Field('kind', 'kind', RouteKind),
    Field('timeoutMs', 'timeout_s', ms_to_seconds),
    Field('sloMs', 'objective_s', ms_to_seconds),
    Field('maxAttempts', 'max_attempts'),
    Field('public', 'public'),
    Field('resumable', 'resumable'),
    Field('gapAimMs', 'pause_s', ms_to_seconds),
    Field('priority', 'priority'),
)

#: `slots` is the batch size of an engine; `kvCapacity` covers the tokens of
#: both prompt and answer.
ENGINE_FIELDS = (
    Field('slots', 'batch'),
    Field('kvCapacity', 'capacity_tokens'),
    Field('step_ms', 'step_s', ms_to_seconds),
    Field('read_per_s', 'read_rate'),
    Field('per_seq_ms', 'step_request_s', ms_to_seconds),
    Field('context_per_k', 'step_context_s', _per_k_ms_to_seconds),
    Field('pairs_per_m', 'pair_s', _per_m_ms_to_seconds),
    Field('stride', 'stride'),
)

#: How many requests a second a target of a service takes after its start, and
#: for how many seconds.
COLD_FIELDS = ('coldPerS', 'coldStartS')

LIMIT_FIELDS = (Field('idleTimeoutMs', 'idle_s', ms_to_seconds),)


def decode_catalog(document: dict[str, Any]) -> Catalog:
    """Decode one version of the configuration."""
    routes: dict[str, list[Route]] = defaultdict(list)
    for row in document.get('routes', ()):
        route = _decode_route(row)
        routes[route.host].append(route)
    services = [_decode_service(row) for row in document.get('services', ())]
    return Catalog(
        version=document['version'],
        routes={host: tuple(of_host) for host, of_host in routes.items()},
        services={service.name: service for service in services},
        keys=_decode_keys(document),
        limits=Limits(**read_fields(document.get('limits', {}), LIMIT_FIELDS)),
    )


def _decode_route(row: dict[str, Any]) -> Route:
    attributes = read_fields(row, ROUTE_FIELDS)
    route = Route(shares=_decode_shares(row), **attributes)
    return replace(route, event_timeout_s=_get_event_timeout_s(route))


def _get_event_timeout_s(route: Route) -> float:
    """Return the longest gap between events that a route's callers accept."""
    if route.kind is not RouteKind.streaming:
        return NO_TIMEOUT_S
    return max(
        MIN_EVENT_TIMEOUT_S,
        OBJECTIVES_PER_TIMEOUT * route.objective_s,
        PAUSES_PER_TIMEOUT * route.pause_s,
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
    return Service(row['name'], engine, _decode_cold(row))


def _decode_cold(row: dict[str, Any]) -> ColdService | None:
    """Decode what cold targets take; invalid numbers restrain nothing.

    They are no reason to refuse a whole version of the configuration.
    """
    fields = [row.get(name) for name in COLD_FIELDS]
    if None in fields:
        return None
    try:
        per_s, start_s = map(read_number, fields)
    except ValueError as exc:
        emit(RecordIgnored(row['name'], repr(exc)))
        return None
    if per_s > 0 and start_s > 0:
        return ColdService(per_s, start_s)
    emit(RecordIgnored(row['name'], f'cold targets: {fields}'))
    return None


def _decode_keys(document: dict[str, Any]) -> dict[str, TeamKey] | None:
    if 'tenants' not in document:
        return None
    return {
        key: TeamKey(tenant['name'], tenant.get('priority'))
        for tenant in document['tenants']
        for key in tenant.get('apiKeys', ())
    }
