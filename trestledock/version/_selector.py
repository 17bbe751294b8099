"""
Labels and selectors
====================

A selector is a list of terms, all of which must match a set of labels.  Terms
are written in YAML rather than in a language of their own::

    instances:
      - {key: hardware, op: in, of: [h100, a100]}
      - {key: drained, op: absent}
"""

from dataclasses import dataclass
from enum import Enum
from types import MappingProxyType
from typing import Callable, Mapping

Labels = Mapping[str, str]


class Op(str, Enum):
    """The operator of a term."""

    in_ = 'in'
    not_in = 'not_in'
    present = 'present'
    absent = 'absent'


@dataclass(frozen=True)
class Term:
    """A condition on one label.

    A missing label never satisfies `in` and always satisfies `not_in`.
    """

    key: str
    op: Op = Op.in_
    of: tuple[str, ...] = ()

    def __str__(self) -> str:
        """Return the term as shown to operators and callers."""
        return f'{self.key} {self.op.value} {list(self.of)}'


Selector = tuple[Term, ...]

_CHECKS: Mapping[Op, Callable[[Term, Labels], bool]] = MappingProxyType(
    {
        Op.in_: lambda term, labels: labels.get(term.key) in term.of,
        Op.not_in: lambda term, labels: labels.get(term.key) not in term.of,
        Op.present: lambda term, labels: term.key in labels,
        Op.absent: lambda term, labels: term.key not in labels,
    }
)


def find_failing_term(selector: Selector, labels: Labels) -> Term | None:
    """Return the first term that `labels` don't match, or None."""
    for term in selector:
        if not _CHECKS[term.op](term, labels):
            return term
    return None


def matches(selector: Selector, labels: Labels) -> bool:
    """Return whether `labels` match every term of `selector`.

    >>> matches((Term('hardware', Op.in_, ('h100',)),), {'hardware': 'h100'})
    True
    """
    return find_failing_term(selector, labels) is None
