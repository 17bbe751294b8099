"""
Admission
=========

Turns a call into a job or refuses it.  Route and key are looked up again before
each attempt, since the request may have waited, or the process may have been
suspended.
"""

from trestledock.entry._job import Job, Refusal
from trestledock.entry._state import EntryState
from trestledock.relay import (
    Call,
    Catalog,
    Route,
    TeamKey,
    RequestIdentity,
    get_fingerprint,
)

NO_TEAM = TeamKey('')


def admit(state: EntryState, call: Call, now: float) -> Job | Refusal:
    """Admit a call by its route and key, or return the refusal."""
    catalog = state.catalog
    if catalog is None:
        return Refusal.no_configuration
    route = catalog.get_route_by_path(call.host, call.path)
    if _needs_proof(catalog, route) and not state.proof.is_fresh(now):
        return Refusal.stale_proof
    refusal = _check(catalog, route, call)
    if refusal or route is None:
        return refusal or Refusal.no_route
    deadline = call.arrived_at + route.timeout_s
    team = get_team(catalog, route, call)
    service = route.draw_service(state.rng)
    return Job(
        call=call,
        route=route,
        service=service,
        team=team,
        deadline=min(deadline, call.deadline or deadline),
        fingerprint=_make_fingerprint(call, team),
        is_ranked=service in catalog.ranked_services,
    )


def recheck(state: EntryState, job: Job) -> Refusal | None:
    """Return the refusal if an admitted request must no longer be sent.

    Its key was proven when it arrived, so an old proof alone is no reason to
    refuse it; only what is known to have changed since is.
    """
    catalog = state.catalog
    if catalog is None:
        return Refusal.no_configuration
    if is_quarantined(state, job):
        return Refusal.quarantined
    route = catalog.get_route_by_path(job.call.host, job.call.path)
    refusal = _check(catalog, route, job.call)
    if refusal is None and route is not None:
        return _follow_route(state, job, catalog, route)
    return refusal or Refusal.no_route


def is_quarantined(state: EntryState, job: Job) -> bool:
    """Return whether no target may run a request; a probe has one run."""
    is_probe = job.is_trial and not job.may_have_run
    return not is_probe and state.isolation.is_quarantined(job.names)


def may_resume_elsewhere(state: EntryState, job: Job) -> bool:
    """Return whether the configuration lets another target run a request."""
    catalog = state.catalog
    if catalog is None or is_quarantined(state, job):
        return False
    route = catalog.get_route_by_path(job.call.host, job.call.path)
    if route is None or _check(catalog, route, job.call):
        return False
    return job.service in {share.service for share in route.shares}


def _make_fingerprint(call: Call, team: TeamKey) -> str:
    traits = RequestIdentity(
        call.method, call.host, call.path, call.query, team.team
    )
    return get_fingerprint(traits, call.body.digest)


def _follow_route(
    state: EntryState,
    job: Job,
    catalog: Catalog,
    route: Route,
) -> Refusal | None:
    """Follow a route that has moved to other services."""
    if job.service not in {share.service for share in route.shares}:
        if job.history.attempts:
            return Refusal.not_run
        job.service = route.draw_service(state.rng)
    job.team = get_team(catalog, route, job.call)
    job.is_ranked = job.service in catalog.ranked_services
    return None


def _needs_proof(catalog: Catalog, route: Route | None) -> bool:
    """Return whether the decision depends on a recent configuration."""
    return route is None or (catalog.keys is not None and not route.public)


def _check(
    catalog: Catalog,
    route: Route | None,
    call: Call,
) -> Refusal | None:
    if route is None:
        return Refusal.no_route
    if not _needs_proof(catalog, route):
        return None
    is_known = catalog.keys is not None and call.key in catalog.keys
    return None if is_known else Refusal.unknown_key


def get_team(catalog: Catalog, route: Route, call: Call) -> TeamKey:
    """Return the team that a call's key belongs to, if any."""
    if catalog.keys is None:
        return NO_TEAM
    return catalog.keys.get(call.key, NO_TEAM)
