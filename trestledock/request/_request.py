"""
Requests
========

The immutable description of a caller's request, and the prompt length classes
used by the placement policy and the metrics.  A request does not contain the
prompt text, which stays with the connection that received it; the policy sees
only the size of the prompt and the hashes of its leading blocks.

Points in time are in seconds on the monotonic clock of the instance that
handles the request.
"""

from dataclasses import dataclass
from enum import Enum
from functools import cached_property
from types import MappingProxyType
from typing import Mapping


class Kind(str, Enum):
    """The kind of target that a request needs."""

    generate = 'generate'
    call = 'call'


class LengthClass(str, Enum):
    """Prompt length classes, from shortest to longest."""

    short = 'short'
    medium = 'medium'
    long = 'long'  # noqa: WPS125 - the usual name of the class
    giant = 'giant'


#: Maximum prompt tokens of each class below `giant`.
CLASS_BOUNDS: Mapping[LengthClass, int] = MappingProxyType(
    {
        LengthClass.short: 8_000,
        LengthClass.medium: 32_000,
        LengthClass.long: 200_000,
    }
)

#: The priority of a request on its engine, by class (lower runs first).
PRIORITY_BY_LENGTH: Mapping[LengthClass, int] = MappingProxyType(
    {
        LengthClass.short: 1,
        LengthClass.medium: 2,
        LengthClass.long: 3,
        LengthClass.giant: 4,
    }
)

#: The priority of a request with little slack left before its deadline.
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
    """A model, adapter and version, as named by the operators."""

    name: str
    adapter: str = ''
    version: str = ''

    def __str__(self) -> str:
        """Return the name by which an engine reports a loaded model."""
        return f'{self.name}:{self.adapter}:{self.version}'


@dataclass(frozen=True)
class Request:
    """An admitted request.

    `deadline` is a time on the monotonic clock of the instance that admitted
    it.  `idempotency_key` is empty if the caller gave none; `home` is the data
    centre whose members decide about the key.  `prefix` holds hashes of the
    prompt's leading blocks, longest prefix last.  `fingerprint` is the same for
    every attempt at the request, and empty if unknown.  `parts` are the names
    of the parts of its prompt that other requests share.
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
    parts: tuple[str, ...] = ()

    @property
    def names(self) -> tuple[str, ...]:
        """What the request is known by if it crashes targets."""
        return tuple(filter(None, (self.fingerprint, *self.parts)))

    @cached_property
    def length_class(self) -> LengthClass:
        """The prompt's length class."""
        return get_length_class_by_tokens(self.prompt_tokens)

    @property
    def total_tokens(self) -> int:
        """The most tokens that the request occupies in the KV cache."""
        return self.prompt_tokens + self.max_tokens
