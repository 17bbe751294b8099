"""
Admission
=========

Turns a call into a job, or says why it is refused.  The same check is made
again before each sending, since a request may have waited, or the process may
have stood still.
"""

from trestledock.entry._job import Job, Refusal
from trestledock.entry._state import EntryState
from trestledock.relay import Call, Catalog, Route, TeamKey

NO_TEAM = TeamKey('')


def admit(state: EntryState, call: Call, now: float) -> Job | Refusal:
    """Admit a call by route and key, or return the refusal."""
    catalog = state.catalog
    if catalog is None:
        return Refusal.no_configuration
    route = catalog.get_route_by_path(call.host, call.path)
    refusal = _check(state, catalog, route, call, now)
    if refusal or route is None:
        return refusal or Refusal.no_route
    deadline = call.arrived_at + route.timeout_s
    return Job(
        call=call,
        route=route,
        service=route.draw_service(state.rng),
        team=_get_team(catalog, route, call).team,
        deadline=min(deadline, call.deadline or deadline),
    )


def check_again(state: EntryState, job: Job, now: float) -> Refusal | None:
    """Return why an admitted request must not be sent any more, if so."""
    catalog = state.catalog
    if catalog is None:
        return Refusal.no_configuration
    route = catalog.get_route_by_path(job.call.host, job.call.path)
    refusal = _check(state, catalog, route, job.call, now)
    if refusal is None and route is not None:
        return _move(state, job, catalog, route)
    return refusal or Refusal.no_route


def _move(
    state: EntryState,
    job: Job,
    catalog: Catalog,
    route: Route,
) -> Refusal | None:
    """Follow a route that leads to other services by now."""
    if job.service not in {share.service for share in route.shares}:
        if job.history.sendings:
            return Refusal.not_run
        job.service = route.draw_service(state.rng)
    job.team = _get_team(catalog, route, job.call).team
    return None


def _check(
    state: EntryState,
    catalog: Catalog,
    route: Route | None,
    call: Call,
    now: float,
) -> Refusal | None:
    if route is not None and (catalog.keys is None or route.public):
        return None
    if not state.proof.is_fresh(now):
        return Refusal.stale_proof
    if route is None:
        return Refusal.no_route
    known = catalog.keys is not None and call.key in catalog.keys
    return None if known else Refusal.unknown_key


def _get_team(catalog: Catalog, route: Route, call: Call) -> TeamKey:
    if catalog.keys is None:
        return NO_TEAM
    return catalog.keys.get(call.key, NO_TEAM)
