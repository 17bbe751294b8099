"""
Checked documents
=================

Reads YAML or JSON documents into frozen data classes and reports every error
with its path.  Settings and configurations share this one place; both raise
the one `ValidationError`.
"""

import difflib
import re
from dataclasses import fields, is_dataclass
from enum import Enum
from types import MappingProxyType
from typing import Any, Callable, Iterator, Mapping, TypeVar

import cattrs
import yaml
from cattrs.v import format_exception
from returns.result import Failure, Result, Success

from trestledock.version._schema import Configuration, TargetKind
from trestledock.version._selector import Op

Document = TypeVar('Document')

#: The kinds that are never converted from one another.
PLAIN_KINDS = (str, int, float, bool)

#: The choices; they are texts, too, and are told apart from them here.
CHOICES = (TargetKind, Op)

_EXTRA = re.compile(r'extra fields found \((.+)\) @ (.*)')


class ValidationError(Exception):
    """A document that does not fit its data class, with all its errors."""

    def __init__(self, errors: tuple[str, ...]) -> None:
        """Keep the errors, one line each."""
        super().__init__('; '.join(errors))
        self.errors = errors


def _strict(raw: Any, kind: type) -> Any:
    if isinstance(raw, bool) is not (kind is bool):
        raise ValueError(f'expected {kind.__name__}, got {raw!r}')
    allowed = (int, float) if kind is float else kind
    if not isinstance(raw, allowed):
        raise ValueError(f'expected {kind.__name__}, got {raw!r}')
    return kind(raw)


def _choose(raw: Any, kind: type[Enum]) -> Enum:
    known = [member.value for member in kind]
    if raw not in known:
        raise ValueError(f'expected one of {known}, got {raw!r}')
    return kind(raw)


def make_converter() -> cattrs.Converter:
    """Return the converter of all documents: strict, no unknown keys."""
    converter = cattrs.Converter(forbid_extra_keys=True)
    for kind in PLAIN_KINDS:
        converter.register_structure_hook(kind, _strict)
    for choice in CHOICES:
        converter.register_structure_hook(choice, _choose)
    return converter


CONVERTER = make_converter()


def _known_names(kind: Any) -> list[str]:
    """Return every field name that occurs in a data class, nested too."""
    names: list[str] = []
    for field in fields(kind):
        names.append(field.name)
        for inner in (field.type, *getattr(field.type, '__args__', ())):
            if is_dataclass(inner):
                names.extend(_known_names(inner))
            names.extend(
                name
                for deep in getattr(inner, '__args__', ())
                if is_dataclass(deep)
                for name in _known_names(deep)
            )
    return names


def _describe(exc: BaseException, kind: type | None) -> str:
    if isinstance(exc, ValueError) and exc.args:
        return str(exc)
    return format_exception(exc, kind)


def _explain(line: str, kind: type) -> str:
    found = _EXTRA.match(line)
    if not found:
        return line
    names = _known_names(kind)
    hints = []
    for key in found.group(1).split(', '):
        near = difflib.get_close_matches(key, names, n=1, cutoff=0)
        hints.append(f'unknown key {key}, nearest known: {near[0]}')
    joined = '; '.join(hints)
    return f'{joined} @ {found.group(2)}'


def load_document(
    text: str,
    kind: type[Document],
) -> Result[Document, ValidationError]:
    """Read a YAML (or JSON) text into the data class `kind`.

    The failure holds an `ValidationError` with a line for each error.
    """
    try:
        raw = yaml.safe_load(text)
    except yaml.YAMLError as exc:
        return Failure(ValidationError((f'not YAML: {exc}',)))
    if not isinstance(raw, dict):
        return Failure(ValidationError(('a mapping is expected @ $',)))
    try:
        return Success(CONVERTER.structure(raw, kind))
    except Exception as exc:
        lines = cattrs.transform_error(exc, '$', _describe)
        return Failure(
            ValidationError(tuple(_explain(line, kind) for line in lines)),
        )


def _check_names(cfg: Configuration) -> Iterator[str]:
    for section, names in (
        ('data_centres', cfg.data_centres),
        ('teams', tuple(team.name for team in cfg.teams)),
        ('pools', tuple(pool.name for pool in cfg.pools)),
        ('rules', tuple(rule.name for rule in cfg.rules)),
    ):
        if len(set(names)) < len(names):
            yield f'names must differ @ $.{section}'
        if '' in names:
            yield f'a name is empty @ $.{section}'


def _check_teams(cfg: Configuration) -> Iterator[str]:
    for index, team in enumerate(cfg.teams):
        path = f'$.teams[{index}]'
        if team.weight <= 0:
            yield f'weight must be above zero @ {path}.weight'
        if team.limit < 0:
            yield f'limit must not be negative @ {path}.limit'
        if team.deadline_ms <= 0:
            yield f'deadline_ms must be above zero @ {path}.deadline_ms'
        if team.home and team.home not in cfg.data_centres:
            yield f'home is no data centre @ {path}.home'


def _check_engine_pool(cfg: Configuration, index: int) -> Iterator[str]:
    pool = cfg.pools[index]
    if not pool.models:
        yield f'an engine pool needs models @ $.pools[{index}].models'
    if not 0 <= pool.giant_share <= 1:
        yield f'giant_share must be 0 to 1 @ $.pools[{index}].giant_share'


def _check_service_pool(cfg: Configuration, index: int) -> Iterator[str]:
    if not cfg.pools[index].service:
        yield f'a service pool needs a service @ $.pools[{index}].service'


_POOL_CHECKS: Mapping[
    TargetKind, Callable[[Configuration, int], Iterator[str]]
] = MappingProxyType(
    {
        TargetKind.engine: _check_engine_pool,
        TargetKind.service: _check_service_pool,
    }
)


def _check_pools(cfg: Configuration) -> Iterator[str]:
    for index, pool in enumerate(cfg.pools):
        yield from _POOL_CHECKS[pool.kind](cfg, index)


def _check_claims(cfg: Configuration) -> Iterator[str]:
    if cfg.claims.keep_s <= 0:
        yield 'keep_s must be above zero @ $.claims.keep_s'
    if cfg.claims.replicas < 1:
        yield 'replicas must be at least 1 @ $.claims.replicas'
    if not cfg.data_centres:
        yield 'at least one data centre is needed @ $.data_centres'


_CHECKS = (_check_names, _check_teams, _check_pools, _check_claims)


def check_configuration(text: str) -> Result[Configuration, ValidationError]:
    """Read and check a configuration: its shape, then its sense."""
    return load_document(text, Configuration).bind(_check_sense)


def _check_sense(cfg: Configuration) -> Result[Configuration, ValidationError]:
    errors = tuple(line for check in _CHECKS for line in check(cfg))
    return Failure(ValidationError(errors)) if errors else Success(cfg)
