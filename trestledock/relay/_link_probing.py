"""
Choice of probes
================

Which targets to probe while links are in doubt. A target that has not failed
may refute the doubt, one that has failed may prove it. Scopes within a wider
one that is in doubt, too, are not probed by themselves.
"""

from dataclasses import dataclass
from typing import Iterator, Sequence

from trestledock.relay._link_health import LinkHealth, get_scopes
from trestledock.relay._target_records import ListedTarget


@dataclass(frozen=True)
class ProbeCandidates:
    """The targets of one doubtful link, by whether they have failed."""

    sound: tuple[ListedTarget, ...]
    failed: tuple[ListedTarget, ...]


def find_probe_candidates(
    links: LinkHealth, targets: Sequence[ListedTarget], now: float
) -> Iterator[ProbeCandidates]:
    """Yield the candidates for each doubtful link, widest first."""
    covered: set[str] = set()
    for scope in links.get_doubted(now):
        members = [
            target
            for target in targets
            if scope in get_scopes(target) and target.incarnation not in covered
        ]
        covered.update(target.incarnation for target in members)
        failures = links.scopes[scope].failures
        candidates = ProbeCandidates(
            tuple([one for one in members if one.incarnation not in failures]),
            tuple([one for one in members if one.incarnation in failures]),
        )
        if members:
            yield candidates


def drop_empty_scopes(
    links: LinkHealth, targets: Sequence[ListedTarget]
) -> None:
    """Forget the links to which no listed target belongs any more."""
    known = {scope for target in targets for scope in get_scopes(target)}
    for scope in links.scopes.keys() - known:
        links.forget(scope)
