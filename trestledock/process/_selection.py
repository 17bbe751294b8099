"""
Target selection
================

Filters the targets by the operators' selectors, then predicts the time to first
token on each permitted engine.  Plain services are chosen by the power of two
choices: the less busy of two drawn at random.
"""

from dataclasses import dataclass

from trestledock.process._fleet import LISTED_TIMEOUT_S, Target
from trestledock.process._policy import Chooser
from trestledock.process._state import State
from trestledock.relay import rank_by_key
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

#: The prompt tokens in a block that is hashed for cache affinity.
PREFIX_BLOCK_TOKENS = 512
#: The maximum number of work labels' permitted sets that are cached.
MAX_CACHED_SETS = 1024


@dataclass(frozen=True)
class PermittedTarget:
    """A permitted target and its preference."""

    target: Target
    preference: int


@dataclass(frozen=True)
class PermittedSet:
    """The targets on which work with certain labels may run.

    `computed_for` holds the version of the configuration and the revision of
    the fleet.  `subset` is this instance's subset of `targets`: it bounds the
    cost of a request, and every target is in the subsets of several instances.
    """

    computed_for: tuple[int, int]
    pool: Pool | None
    targets: tuple[PermittedTarget, ...] = ()
    subset: tuple[PermittedTarget, ...] = ()
    reason: Reason = Reason.none
    detail: str = ''


@dataclass(frozen=True)
class Candidate:
    """A usable permitted target with the predictions for a request there."""

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
    def score_s(self) -> float:
        """The value by which candidates are compared, in seconds."""
        return self.ttft_s + self.penalty_s


@dataclass(frozen=True)
class CandidateSet:
    """The candidates of a request, or the reason why there are none."""

    pool: Pool | None
    candidates: tuple[Candidate, ...] = ()
    reason: Reason = Reason.none
    detail: str = ''

    @property
    def capacity(self) -> int:
        """The KV cache capacity of the largest candidate, in tokens."""
        return max(
            (
                candidate.target.load.report.capacity_tokens
                for candidate in self.candidates
                if candidate.target.load.report
            ),
            default=0,
        )


def get_priority(
    state: State, req: Request, now: float, remaining_s: float
) -> int:
    """Return the priority of a request at engines.

    Work that takes `remaining_s` more seconds and has nearly no slack left
    after that gets the urgent priority.
    """
    if not state.policy.priorities:
        return 1
    if req.deadline - now - remaining_s < state.policy.urgent_slack_s:
        return URGENT_PRIORITY
    return PRIORITY_BY_LENGTH[req.length_class]


def find_permitted(state: State, req: Request) -> PermittedSet:
    """Return the targets that the selectors in force permit.

    The result is cached by work labels, until the configuration or the fleet
    changes.
    """
    labels = get_work_labels(req, state.identity.data_centre)
    work = tuple(labels.values())
    version_key = (state.version.number, state.fleet.revision)
    cached = state.permitted_sets.get(work)
    if cached is None or cached.computed_for != version_key:
        cached = _apply_selectors(state, req, labels, version_key)
        state.permitted_sets[work] = cached
        if len(state.permitted_sets) > MAX_CACHED_SETS:
            state.permitted_sets.pop(next(iter(state.permitted_sets)))
    return cached


def _apply_selectors(
    state: State,
    req: Request,
    work: Labels,
    version_key: tuple[int, int],
) -> PermittedSet:
    cfg = state.version.cfg
    if cfg is None:
        return PermittedSet(version_key, None, reason=Reason.no_configuration)
    pool = get_pool_by_request(cfg, req)
    if pool is None:
        reason = Reason.unknown_service if req.service else Reason.unknown_model
        return PermittedSet(version_key, None, reason=reason)
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
            permitted.append(PermittedTarget(target, permission.preference))
        else:
            forbidden_by = permission.forbidden_by
    if permitted:
        subset = _get_subset(state, permitted)
        return PermittedSet(version_key, pool, tuple(permitted), subset)
    reason = Reason.no_permitted_target
    return PermittedSet(version_key, pool, reason=reason, detail=forbidden_by)


def find_candidates(state: State, req: Request, now: float) -> CandidateSet:
    """Return the usable permitted engines with their predictions.

    All permitted engines are considered if the request is too large for those
    of this instance's subset.
    """
    permitted_set = find_permitted(state, req)
    if permitted_set.pool is None or not permitted_set.targets:
        return CandidateSet(
            permitted_set.pool, (), permitted_set.reason, permitted_set.detail
        )
    candidate_set = _predict_candidates(
        state, req, permitted_set.pool, permitted_set.subset, now
    )
    is_too_small = candidate_set.capacity < req.total_tokens
    if is_too_small and len(permitted_set.subset) < len(permitted_set.targets):
        return _predict_candidates(
            state, req, permitted_set.pool, permitted_set.targets, now
        )
    return candidate_set


def _predict_candidates(
    state: State,
    req: Request,
    pool: Pool,
    permitted: tuple[PermittedTarget, ...],
    now: float,
) -> CandidateSet:
    model = str(req.model)
    usable = [
        choice
        for choice in permitted
        if state.fleet.is_usable(choice.target, now)
        and model in choice.target.models
        and now - choice.target.load.reported_at < LISTED_TIMEOUT_S
    ]
    if not usable:
        return CandidateSet(pool, reason=Reason.no_live_target)
    best = max(choice.preference for choice in usable)
    candidates = tuple(
        _predict_candidate(state, req, choice, now, best) for choice in usable
    )
    return CandidateSet(pool, candidates)


def _get_subset(
    state: State,
    permitted: list[PermittedTarget],
) -> tuple[PermittedTarget, ...]:
    """Return the targets that this instance considers first.

    The most preferred targets come first, then rendezvous hashing decides.
    """
    by_name = {choice.target.info.name: choice for choice in permitted}
    ranked = rank_by_key(state.member, by_name)
    ordered = sorted(
        (by_name[name] for name in ranked),
        key=lambda choice: -choice.preference,
    )
    return tuple(ordered[: state.policy.subset_size])


def choose_engine(
    state: State,
    candidates: tuple[Candidate, ...],
) -> Candidate:
    """Choose a candidate by the policy's chooser."""
    return _CHOOSERS[state.policy.chooser](state, candidates)


def choose_service(state: State, req: Request, now: float) -> CandidateSet:
    """Return the usable permitted services of the highest preference."""
    permitted_set = find_permitted(state, req)
    usable = [
        choice
        for choice in permitted_set.targets
        if state.fleet.is_usable(choice.target, now)
    ]
    if permitted_set.targets and not usable:
        return CandidateSet(permitted_set.pool, reason=Reason.no_live_target)
    best = max((choice.preference for choice in usable), default=0)
    candidates = tuple(
        Candidate(choice.target, 0, 0, 0, float(choice.target.in_flight), 0)
        for choice in usable
        if choice.preference == best
    )
    return CandidateSet(
        permitted_set.pool,
        candidates,
        permitted_set.reason,
        permitted_set.detail,
    )


def choose_of_two(state: State, candidates: tuple[Candidate, ...]) -> Candidate:
    """Return the less busy of two candidates that are drawn at random."""
    drawn = state.rng.sample(candidates, min(2, len(candidates)))
    return min(drawn, key=lambda candidate: candidate.score_s)


def _predict_candidate(
    state: State,
    req: Request,
    permitted: PermittedTarget,
    now: float,
    best: int,
) -> Candidate:
    target = permitted.target
    report = target.load.report
    if report is None:
        raise LookupError(f'{target.info.name} has no load report')
    uncached_tokens = req.prompt_tokens - _count_cached_tokens(
        state, req, target
    )
    prefill_s = uncached_tokens / report.rate
    decode_s = req.max_tokens * report.itl_s
    priority = get_priority(state, req, now, prefill_s + decode_s)
    wait_s = target.load.predict_wait(priority, now)
    if (
        state.policy.uses_pace
        and uncached_tokens > state.policy.max_unchunked_tokens
    ):
        paced_s = uncached_tokens * target.load.get_pace(priority, now)
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
        target.load.predict_free_tokens(),
    )


def _count_cached_tokens(state: State, req: Request, target: Target) -> int:
    if not state.policy.affinity:
        return 0
    cached = 0
    for count, block in enumerate(req.prefix, start=1):
        if block not in target.cached:
            break
        cached = count * PREFIX_BLOCK_TOKENS
    return min(cached, max(0, req.prompt_tokens - 1))


def _choose_predicted(
    state: State,
    candidates: tuple[Candidate, ...],
) -> Candidate:
    lowest = min(candidate.score_s for candidate in candidates)
    tied = [
        candidate
        for candidate in candidates
        if candidate.score_s <= lowest + state.policy.tie_s
    ]
    return state.rng.choice(tied)


def _choose_round_robin(
    state: State,
    candidates: tuple[Candidate, ...],
) -> Candidate:
    ordered = sorted(
        candidates, key=lambda candidate: candidate.target.info.name
    )
    state.bookkeeping.round_robin += 1
    return ordered[state.bookkeeping.round_robin % len(ordered)]


def _choose_least_in_flight(
    state: State,
    candidates: tuple[Candidate, ...],
) -> Candidate:
    lowest = min(candidate.target.in_flight for candidate in candidates)
    tied = [
        candidate
        for candidate in candidates
        if candidate.target.in_flight == lowest
    ]
    return state.rng.choice(tied)


_CHOOSERS = {  # noqa: WPS407 - read only by name
    Chooser.predicted: _choose_predicted,
    Chooser.round_robin: _choose_round_robin,
    Chooser.least_in_flight: _choose_least_in_flight,
}
