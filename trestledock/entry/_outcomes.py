"""
Outcomes of requests
====================

Logs for each request, once for all its attempts, how it ended for its caller,
with its team, rank and size.
"""

from contextlib import contextmanager
from dataclasses import dataclass, field
from enum import Enum
from http import HTTPStatus
from types import MappingProxyType
from typing import Iterator, Mapping

import anyio

from trestledock.entry import _events as events
from trestledock.entry._admission import get_team
from trestledock.entry._job import STATUSES, Job, Refusal
from trestledock.entry._logger import emit
from trestledock.entry._reply import Reply
from trestledock.entry._state import EntryState
from trestledock.relay import NO_TENTH, Call, RouteKind, SizeTenths

MS = 1000


class Outcome(str, Enum):
    """How a request ended for its caller.

    An answer is in time if its first event, or the whole of a plain one, met
    the objective of the route, and no pause of a stream was above the route's.
    Refused requests have certainly not run, failed ones may have.
    """

    in_time = 'in_time'
    late = 'late'
    refused = 'refused'
    failed = 'failed'
    caller_left = 'caller_left'


#: The class of each refusal, as a label of metrics.
REFUSAL_CLASSES: Mapping[Refusal, str] = MappingProxyType(
    {
        Refusal.no_configuration: 'configuration',
        Refusal.stale_proof: 'configuration',
        Refusal.unknown_key: 'caller',
        Refusal.no_route: 'caller',
        Refusal.no_target: 'capacity',
        Refusal.no_link: 'link',
        Refusal.no_memory: 'capacity',
        Refusal.no_time: 'capacity',
        Refusal.no_room: 'capacity',
        Refusal.no_buffer: 'capacity',
        Refusal.no_turn: 'capacity',
        Refusal.limited: 'limit',
        Refusal.backing_off: 'limit',
        Refusal.cold: 'limit',
        Refusal.evacuated: 'evacuation',
        Refusal.quarantined: 'quarantine',
        Refusal.not_run: 'not_run',
        Refusal.not_run_in_time: 'not_run',
    }
)
OTHER_CLASS = 'other'


def _is_failure(refusal: Refusal) -> bool:
    """Return whether a refused request may have run."""
    status = STATUSES[refusal]
    return (
        status >= HTTPStatus.INTERNAL_SERVER_ERROR
        and status != HTTPStatus.SERVICE_UNAVAILABLE
    )


@dataclass
class OutcomeLog:
    """Logs the outcome of each request of one entry process."""

    state: EntryState
    tenths: SizeTenths = field(default_factory=SizeTenths)

    @contextmanager
    def track(self, job: Job, reply: Reply) -> Iterator[None]:
        """Log the outcome of an admitted request once its relaying ends."""
        try:
            yield
        finally:
            now = anyio.current_time()
            self._log(job, _get_outcome(job, reply, now), now)

    def record_refused(self, call: Call, refusal: Refusal) -> None:
        """Log the outcome of a request that was not admitted."""
        now = anyio.current_time()
        catalog = self.state.catalog
        route = catalog and catalog.get_route_by_path(call.host, call.path)
        if not catalog or not route:
            self._emit(call, Outcome.refused, now, refusal=refusal)
            return
        service = route.shares[0].service if len(route.shares) == 1 else ''
        team = get_team(catalog, route, call)
        job = Job(call, route, service, team, now, refusal=refusal)
        self._log(job, Outcome.refused, now)

    def _log(self, job: Job, outcome: Outcome, now: float) -> None:
        size = job.call.size
        self._emit(
            job.call,
            outcome,
            job.placed_at or now,
            refusal=job.refusal if outcome is Outcome.refused else None,
            route=job.route.name,
            service=job.service,
            rank=job.priority,
            team=job.team.team,
            tenth=(
                self.tenths.place(job.service, size.prompt_tokens)
                if size
                else NO_TENTH
            ),
        )

    def _emit(
        self,
        call: Call,
        outcome: Outcome,
        waited_until: float,
        *,
        refusal: Refusal | None,
        route: str = '',
        service: str = '',
        rank: int | None = None,
        team: str = '',
        tenth: int = NO_TENTH,
    ) -> None:
        emit(
            events.RequestEnded(
                req=call.req_id,
                outcome=outcome.value,
                reason=_get_class(refusal),
                route=route,
                service=service,
                rank=rank,
                team=team,
                prompt_tokens=call.size.prompt_tokens if call.size else 0,
                tenth=tenth,
                data_centre=self.state.settings.data_centre,
                waited_ms=round((waited_until - call.arrived_at) * MS),
            )
        )


def _get_class(refusal: Refusal | None) -> str:
    return REFUSAL_CLASSES.get(refusal, OTHER_CLASS) if refusal else ''


def _get_outcome(job: Job, reply: Reply, now: float) -> Outcome:
    if job.refusal:
        is_failure = _is_failure(job.refusal)
        return Outcome.failed if is_failure else Outcome.refused
    if reply.finished:
        return Outcome.in_time if _is_in_time(job, now) else Outcome.late
    return Outcome.caller_left if reply.caller_left else Outcome.failed


def _is_in_time(job: Job, now: float) -> bool:
    """Return whether a complete answer met the route's time limits."""
    first_at = job.first_event_at or now
    if first_at > job.timing.due_at:
        return False
    has_pauses = job.route.kind is RouteKind.streaming and job.route.pause_s
    return not has_pauses or job.longest_pause_s <= job.route.pause_s
