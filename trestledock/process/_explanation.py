"""
Explanation of decisions
========================

Explains to an operator where a request would be placed, and why.
"""

from trestledock.process._node import Node
from trestledock.process._selection import (
    choose_service,
    find_candidates,
    find_permitted,
)
from trestledock.process._state import State
from trestledock.request import Kind, Reason, Request
from trestledock.version import (
    get_permission,
    get_rules_by_work,
    get_work_labels,
)


def explain(node: Node, req: Request, now: float) -> list[str]:
    """Return lines on the work's labels, its pool, and each target."""
    state = node.state
    cfg = state.version.cfg
    permitted_set = find_permitted(state, req)
    if cfg is None or permitted_set.pool is None:
        return [f'refused: {permitted_set.reason.value}']
    work = get_work_labels(req, state.identity.data_centre)
    rules = get_rules_by_work(cfg, work)
    lines = [f'work {dict(work)}', f'pool {permitted_set.pool.name}']
    lines.extend(f'rule {rule.name} applies' for rule in rules)
    for name, target in sorted(state.get_targets().items()):
        labels = state.fleet.get_labels(target)
        permission = get_permission(permitted_set.pool, rules, labels)
        if not permission.allowed:
            lines.append(f'{name}: forbidden by {permission.forbidden_by}')
        elif not state.fleet.is_usable(target, now):
            lines.append(f'{name}: permitted, but draining or unreachable')
    lines.extend(_explain_candidates(state, req, now))
    return lines


def _explain_candidates(state: State, req: Request, now: float) -> list[str]:
    if req.kind is Kind.call:
        choice = choose_service(state, req, now)
    else:
        choice = find_candidates(state, req, now)
    if choice.reason is not Reason.none:
        return [f'refused: {choice.reason.value} {choice.detail}'.strip()]
    ranked = sorted(choice.candidates, key=lambda candidate: candidate.score_s)
    return [
        f'{candidate.target.info.name}: first token in '
        f'{candidate.ttft_s:.3f} s, penalty {candidate.penalty_s:.3f}, '
        f'{candidate.free_tokens} tokens free'
        for candidate in ranked
    ]
