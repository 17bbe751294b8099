"""
Placement permissions
=====================

A strict filter that enforces the operators' configuration.  A pool decides
which instances may hold a model or serve a service, and every rule whose work
selector matches restricts them further.  A request that no instance may run is
rejected, naming the selector that excluded it; it never runs on other
instances.
"""

from dataclasses import dataclass

from trestledock.request import Kind, Request
from trestledock.version._schema import Configuration, Pool, Rule
from trestledock.version._selector import (
    Labels,
    find_failing_term,
    matches,
)


@dataclass(frozen=True)
class Permission:
    """Whether a request may run on an instance, or what forbids it."""

    allowed: bool
    forbidden_by: str = ''
    preference: int = 0


def get_work_labels(req: Request, data_centre: str) -> Labels:
    """Return the labels of a request that work selectors match."""
    return {
        'team': req.team,
        'model': req.model.name,
        'adapter': req.model.adapter,
        'version': req.model.version,
        'service': req.service,
        'length': req.length_class.value,
        'data_centre': data_centre,
    }


def get_pool_by_request(cfg: Configuration, req: Request) -> Pool | None:
    """Return the pool that serves a request, or None."""
    if req.kind is Kind.call:
        return cfg.get_pool_by_service(req.service)
    return cfg.get_pool_by_model(req.model)


def get_rules_by_work(cfg: Configuration, work: Labels) -> tuple[Rule, ...]:
    """Return the rules that apply to work with these labels."""
    return tuple(rule for rule in cfg.rules if matches(rule.work, work))


def get_permission(
    pool: Pool,
    rules: tuple[Rule, ...],
    labels: Labels,
) -> Permission:
    """Decide whether an instance with `labels` may run the work.

    `preference` is the number of rules whose `prefer` selector matches.
    """
    term = find_failing_term(pool.select, labels)
    if term:
        return Permission(allowed=False, forbidden_by=f'{pool.name}: {term}')
    for rule in rules:
        term = find_failing_term(rule.instances, labels)
        if term:
            return Permission(
                allowed=False,
                forbidden_by=f'{rule.name}: {term}',
            )
    preferred = sum(
        bool(rule.prefer) and matches(rule.prefer, labels) for rule in rules
    )
    return Permission(allowed=True, preference=preferred)
