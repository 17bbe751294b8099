"""
Choosing a target
=================

The strict filter of the operators' selectors first, then the prediction of
the time to first token for each permitted engine; plain services go to the
less busy of two drawn at random.
"""

from dataclasses import dataclass

from trestledock.process._fleet import STALE_S, Target
from trestledock.process._policy import Chooser
from trestledock.relay import rank_by_key
from trestledock.process._state import State
from trestledock.request import (
    PRIORITY_BY_LENGTH,
    URGENT_PRIORITY,
    Reason,
    Request,
)
from trestledock.version import (
    Labels,
    Pool,
    get_permission,
    get_pool_by_request,
    get_rules_by_work,
    get_work_labels,
)

#: Prompt tokens in a block whose hash is remembered for affinity.
PREFIX_BLOCK = 512
#: Sets of work labels whose permits are remembered.
MAX_PERMITS = 1024


@dataclass(frozen=True)
class Permitted:
    """A target that some work may run on, and how much it is preferred."""

    target: Target
    preference: int


@dataclass(frozen=True)
class Permits:
    """Where work with certain labels may run; `stamp` says as of when.

    `near` is this instance's own subset of `targets`: it bounds the cost of a
    request, and every target is in the subsets of several instances.
    """

    stamp: tuple[int, int]
    pool: Pool | None
    targets: tuple[Permitted, ...] = ()
    near: tuple[Permitted, ...] = ()
    reason: Reason = Reason.none
    detail: str = ''


@dataclass(frozen=True)
class Candidate:
    """A permitted, live engine with what is predicted for the work there."""

    target: Target
    wait_s: float
    prefill_s: float
    decode_s: float
    penalty_s: float
    free_tokens: int

    @property
    def ttft_s(self) -> float:
        """The predicted time to the first token."""
        return self.wait_s + self.prefill_s

    @property
    def rank(self) -> float:
        """What candidates are compared by, in seconds."""
        return self.ttft_s + self.penalty_s


@dataclass(frozen=True)
class Field:
    """The permitted candidates of a request, or why there are none."""

    pool: Pool | None
    candidates: tuple[Candidate, ...] = ()
    reason: Reason = Reason.none
    detail: str = ''

    @property
    def capacity(self) -> int:
        """The KV tokens of the largest candidate."""
        return max(
            (
                one.target.load.report.capacity_tokens
                for one in self.candidates
                if one.target.load.report
            ),
            default=0,
        )


def get_priority(state: State, req: Request, now: float, need: float) -> int:
    """Return the priority that engines are asked for.

    Work whose slack, after the `need` seconds it still takes, is nearly spent
    goes before everything else.
    """
    if not state.policy.priorities:
        return 1
    if req.deadline - now - need < state.policy.urgent_slack_s:
        return URGENT_PRIORITY
    return PRIORITY_BY_LENGTH[req.length_class]


def find_permitted(state: State, req: Request) -> Permits:
    """Apply the selectors in force; the reason says why nothing is left.

    The answer holds for all work with the same labels, until the version in
    force or the fleet changes.
    """
    labels = get_work_labels(req, state.identity.data_centre)
    work = tuple(labels.values())
    stamp = (state.version.number, state.fleet.revision)
    known = state.permits.get(work)
    if known is None or known.stamp != stamp:
        known = _apply_selectors(state, req, labels, stamp)
        state.permits[work] = known
        if len(state.permits) > MAX_PERMITS:
            state.permits.pop(next(iter(state.permits)))
    return known


def _apply_selectors(
    state: State,
    req: Request,
    work: Labels,
    stamp: tuple[int, int],
) -> Permits:
    cfg = state.version.cfg
    if cfg is None:
        return Permits(stamp, None, reason=Reason.no_configuration)
    pool = get_pool_by_request(cfg, req)
    if pool is None:
        reason = Reason.unknown_service if req.service else Reason.unknown_model
        return Permits(stamp, None, reason=reason)
    rules = get_rules_by_work(cfg, work)
    permitted = []
    forbidden_by = ''
    for target in state.get_targets().values():
        permission = get_permission(
            pool,
            rules,
            state.fleet.get_labels(target),
        )
        if permission.allowed:
            permitted.append(Permitted(target, permission.preference))
        else:
            forbidden_by = permission.forbidden_by
    if permitted:
        near = _get_subset(state, permitted)
        return Permits(stamp, pool, tuple(permitted), near)
    reason = Reason.no_permitted_target
    return Permits(stamp, pool, reason=reason, detail=forbidden_by)


def find_candidates(state: State, req: Request, now: float) -> Field:
    """Return the live permitted engines with their predictions."""
    permits = find_permitted(state, req)
    if permits.pool is None or not permits.targets:
        return Field(permits.pool, (), permits.reason, permits.detail)
    field = _predict_all(state, req, permits.pool, permits.near, now)
    too_small = field.capacity < req.total_tokens
    if too_small and len(permits.near) < len(permits.targets):
        return _predict_all(state, req, permits.pool, permits.targets, now)
    return field


def _predict_all(
    state: State,
    req: Request,
    pool: Pool,
    permitted: tuple[Permitted, ...],
    now: float,
) -> Field:
    model = str(req.model)
    usable = [
        one
        for one in permitted
        if state.fleet.is_usable(one.target, now)
        and model in one.target.models
        and now - one.target.load.reported_at < STALE_S
    ]
    if not usable:
        return Field(pool, reason=Reason.no_live_target)
    best = max(one.preference for one in usable)
    candidates = tuple(_predict(state, req, one, now, best) for one in usable)
    return Field(pool, candidates)


def _get_subset(
    state: State,
    permitted: list[Permitted],
) -> tuple[Permitted, ...]:
    """Return the targets that this instance looks at first.

    Of the preferred ones as many as the subset holds, by rendezvous hashing.
    """
    by_name = {one.target.info.name: one for one in permitted}
    ranked = rank_by_key(state.member, by_name)
    ordered = sorted(
        (by_name[name] for name in ranked),
        key=lambda one: -one.preference,
    )
    return tuple(ordered[: state.policy.subset_size])


def choose_engine(
    state: State,
    candidates: tuple[Candidate, ...],
) -> Candidate:
    """Pick one of the candidates as the policy says."""
    return _CHOOSERS[state.policy.chooser](state, candidates)


def choose_service(state: State, req: Request, now: float) -> Field:
    """Return a field with the live permitted services."""
    permits = find_permitted(state, req)
    usable = [
        one for one in permits.targets if state.fleet.is_usable(one.target, now)
    ]
    if permits.targets and not usable:
        return Field(permits.pool, reason=Reason.no_live_target)
    best = max((one.preference for one in usable), default=0)
    candidates = tuple(
        Candidate(one.target, 0, 0, 0, float(one.target.in_flight), 0)
        for one in usable
        if one.preference == best
    )
    return Field(permits.pool, candidates, permits.reason, permits.detail)


def draw_two(state: State, candidates: tuple[Candidate, ...]) -> Candidate:
    """Return the less busy of two candidates drawn at random."""
    drawn = state.rng.sample(candidates, min(2, len(candidates)))
    return min(drawn, key=lambda one: one.rank)


def _predict(
    state: State,
    req: Request,
    permitted: Permitted,
    now: float,
    best: int,
) -> Candidate:
    target = permitted.target
    report = target.load.report
    if report is None:
        raise LookupError(f'{target.info.name} has not reported')
    missing = req.prompt_tokens - _count_cached(state, req, target)
    prefill_s = missing / report.rate
    decode_s = req.max_tokens * report.itl_s
    priority = get_priority(state, req, now, prefill_s + decode_s)
    wait_s = target.load.predict_wait(priority, now)
    if state.policy.uses_pace and missing > state.policy.max_unchunked_tokens:
        paced_s = missing * target.load.get_pace(priority, now)
        prefill_s = max(prefill_s, paced_s - wait_s)
    penalty_s = (
        best - permitted.preference
    ) * state.policy.preference_penalty_s
    return Candidate(
        target,
        wait_s,
        prefill_s,
        decode_s,
        penalty_s,
        target.load.predict_free(),
    )


def _count_cached(state: State, req: Request, target: Target) -> int:
    if not state.policy.affinity:
        return 0
    known = 0
    for count, block in enumerate(req.prefix, start=1):
        if block not in target.cached:
            break
        known = count * PREFIX_BLOCK
    return min(known, max(0, req.prompt_tokens - 1))


def _choose_predicted(
    state: State,
    candidates: tuple[Candidate, ...],
) -> Candidate:
    least = min(one.rank for one in candidates)
    near = [one for one in candidates if one.rank <= least + state.policy.tie_s]
    return state.rng.choice(near)


def _choose_round_robin(
    state: State,
    candidates: tuple[Candidate, ...],
) -> Candidate:
    ordered = sorted(candidates, key=lambda one: one.target.info.name)
    state.duties.round_robin += 1
    return ordered[state.duties.round_robin % len(ordered)]


def _choose_least_in_flight(
    state: State,
    candidates: tuple[Candidate, ...],
) -> Candidate:
    least = min(one.target.in_flight for one in candidates)
    near = [one for one in candidates if one.target.in_flight == least]
    return state.rng.choice(near)


_CHOOSERS = {  # noqa: WPS407 - read only by name
    Chooser.predicted: _choose_predicted,
    Chooser.round_robin: _choose_round_robin,
    Chooser.least_in_flight: _choose_least_in_flight,
}
