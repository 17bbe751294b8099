"""
Requests
========

The immutable description of what a caller asked for, and the length classes
that the policy and the metrics tell apart.  A request knows no sockets: its
prompt text stays with the connection that received it, and the policy sees
only the prompt's size and the hashes of its leading blocks.

Token counts are tokens, instants are monotonic seconds of the instance that
holds the request.
"""

from dataclasses import dataclass
from enum import Enum
from functools import cached_property
from types import MappingProxyType
from typing import Mapping


class Kind(str, Enum):
    """What sort of target a request needs."""

    generate = 'generate'
    call = 'call'


class LengthClass(str, Enum):
    """Prompt length classes, shortest first."""

    short = 'short'
    medium = 'medium'
    long = 'long'  # noqa: WPS125 - the usual word for the class
    giant = 'giant'


#: Upper bounds, in prompt tokens, of the classes below `giant`.
CLASS_BOUNDS: Mapping[LengthClass, int] = MappingProxyType(
    {
        LengthClass.short: 8_000,
        LengthClass.medium: 32_000,
        LengthClass.long: 200_000,
    }
)

#: The priority that an engine is asked for, per class (lower runs first).
PRIORITY_BY_LENGTH: Mapping[LengthClass, int] = MappingProxyType(
    {
        LengthClass.short: 1,
        LengthClass.medium: 2,
        LengthClass.long: 3,
        LengthClass.giant: 4,
    }
)

#: The priority of work whose slack is nearly spent.
URGENT_PRIORITY = 0


def get_length_class_by_tokens(tokens: int) -> LengthClass:
    """Return the length class of a prompt of `tokens` tokens.

    >>> get_length_class_by_tokens(1_000).value
    'short'
    """
    for name, bound in CLASS_BOUNDS.items():
        if tokens <= bound:
            return name
    return LengthClass.giant


@dataclass(frozen=True)
class Model:
    """A model with its adapter and version, as the operators name them."""

    name: str
    adapter: str = ''
    version: str = ''

    def __str__(self) -> str:
        """Return the name that an engine reports for what it has loaded."""
        return f'{self.name}:{self.adapter}:{self.version}'


@dataclass(frozen=True)
class Request:
    """One admitted request.

    `deadline` is a monotonic instant of the instance that admitted it.
    `idempotency_key` is empty where the caller gave none; `home` names the
    data centre whose members decide on the key.  `prefix` holds hashes of the
    prompt's leading blocks, longest prefix last.  `fingerprint` is that of each
    attempt at the same request, empty where it is not known.
    """

    req_id: str
    team: str
    kind: Kind
    deadline: float
    model: Model = Model('')
    service: str = ''
    path: str = ''
    prompt_tokens: int = 0
    max_tokens: int = 0
    prefix: tuple[str, ...] = ()
    idempotent: bool = True
    idempotency_key: str = ''
    home: str = ''
    first_attempt: bool = False
    fingerprint: str = ''

    @cached_property
    def length_class(self) -> LengthClass:
        """The prompt's length class."""
        return get_length_class_by_tokens(self.prompt_tokens)

    @property
    def total_tokens(self) -> int:
        """The KV tokens that the request needs at its largest."""
        return self.prompt_tokens + self.max_tokens
