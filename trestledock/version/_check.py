"""
Document validation
===================

Reads YAML or JSON documents into frozen data classes and reports every error
with its path.  Used for settings and configurations, both of which report
errors as `ValidationError`.
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

#: Types that are never converted into one another.
SCALAR_TYPES = (str, int, float, bool)

#: Enumerations.  Their members are also of type `str`, so they need a hook of
#: their own.
ENUM_TYPES = (TargetKind, Op)

_EXTRA_FIELDS = re.compile(r'extra fields found \((.+)\) @ (.*)')


class ValidationError(Exception):
    """A document is invalid; `errors` has a line for each error."""

    def __init__(self, errors: tuple[str, ...]) -> None:
        """Set the errors, one line each."""
        super().__init__('; '.join(errors))
        self.errors = errors


def _structure_scalar(raw: Any, kind: type) -> Any:
    if isinstance(raw, bool) is not (kind is bool):
        raise ValueError(f'expected {kind.__name__}, got {raw!r}')
    allowed = (int, float) if kind is float else kind
    if not isinstance(raw, allowed):
        raise ValueError(f'expected {kind.__name__}, got {raw!r}')
    return kind(raw)


def _structure_enum(raw: Any, kind: type[Enum]) -> Enum:
    known = [member.value for member in kind]
    if raw not in known:
        raise ValueError(f'expected one of {known}, got {raw!r}')
    return kind(raw)


def make_converter() -> cattrs.Converter:
    """Return the strict converter for documents; it forbids unknown keys."""
    converter = cattrs.Converter(forbid_extra_keys=True)
    for kind in SCALAR_TYPES:
        converter.register_structure_hook(kind, _structure_scalar)
    for choice in ENUM_TYPES:
        converter.register_structure_hook(choice, _structure_enum)
    return converter


CONVERTER = make_converter()


def _list_field_names(kind: Any) -> list[str]:
    """Return all field names of a data class, including nested classes."""
    names: list[str] = []
    for field in fields(kind):
        names.append(field.name)
        for inner in (field.type, *getattr(field.type, '__args__', ())):
            if is_dataclass(inner):
                names.extend(_list_field_names(inner))
            names.extend(
                name
                for deep in getattr(inner, '__args__', ())
                if is_dataclass(deep)
                for name in _list_field_names(deep)
            )
    return names


def _format_error(exc: BaseException, kind: type | None) -> str:
    if isinstance(exc, ValueError) and exc.args:
        return str(exc)
    return format_exception(exc, kind)


def _add_key_hints(line: str, kind: type) -> str:
    match = _EXTRA_FIELDS.match(line)
    if not match:
        return line
    names = _list_field_names(kind)
    hints = []
    for key in match.group(1).split(', '):
        near = difflib.get_close_matches(key, names, n=1, cutoff=0)
        hints.append(f'unknown key {key}, nearest known: {near[0]}')
    joined = '; '.join(hints)
    return f'{joined} @ {match.group(2)}'


def load_document(
    text: str,
    kind: type[Document],
) -> Result[Document, ValidationError]:
    """Read YAML or JSON text into the data class `kind`.

    On failure the result holds a `ValidationError` with a line for each error.
    """
    try:
        raw = yaml.safe_load(text)
    except yaml.YAMLError as exc:
        return Failure(ValidationError((f'not YAML: {exc}',)))
    if not isinstance(raw, dict):
        return Failure(ValidationError(('expected a mapping @ $',)))
    try:
        return Success(CONVERTER.structure(raw, kind))
    except Exception as exc:
        lines = cattrs.transform_error(exc, '$', _format_error)
        return Failure(
            ValidationError(
                tuple(_add_key_hints(line, kind) for line in lines)
            ),
        )


def _check_names(cfg: Configuration) -> Iterator[str]:
    for section, names in (
        ('data_centres', cfg.data_centres),
        ('teams', tuple(team.name for team in cfg.teams)),
        ('pools', tuple(pool.name for pool in cfg.pools)),
        ('rules', tuple(rule.name for rule in cfg.rules)),
    ):
        if len(set(names)) < len(names):
            yield f'names must be unique @ $.{section}'
        if '' in names:
            yield f'a name is empty @ $.{section}'


def _check_teams(cfg: Configuration) -> Iterator[str]:
    for index, team in enumerate(cfg.teams):
        path = f'$.teams[{index}]'
        if team.weight <= 0:
            yield f'weight must be greater than 0 @ {path}.weight'
        if team.limit < 0:
            yield f'limit must not be negative @ {path}.limit'
        if team.deadline_ms <= 0:
            yield f'deadline_ms must be greater than 0 @ {path}.deadline_ms'
        if team.home and team.home not in cfg.data_centres:
            yield f'home is not a listed data centre @ {path}.home'


def _check_engine_pool(cfg: Configuration, index: int) -> Iterator[str]:
    pool = cfg.pools[index]
    if not pool.models:
        yield f'an engine pool needs models @ $.pools[{index}].models'
    if not 0 <= pool.giant_share <= 1:
        yield f'giant_share must be in [0, 1] @ $.pools[{index}].giant_share'


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
        yield 'keep_s must be greater than 0 @ $.claims.keep_s'
    if cfg.claims.replicas < 1:
        yield 'replicas must be at least 1 @ $.claims.replicas'
    if not cfg.data_centres:
        yield 'at least one data centre is needed @ $.data_centres'


_CHECKS = (_check_names, _check_teams, _check_pools, _check_claims)


def check_configuration(text: str) -> Result[Configuration, ValidationError]:
    """Read and validate a configuration: first types, then values."""
    return load_document(text, Configuration).bind(_check_semantics)


def _check_semantics(
    cfg: Configuration,
) -> Result[Configuration, ValidationError]:
    errors = tuple(line for check in _CHECKS for line in check(cfg))
    return Failure(ValidationError(errors)) if errors else Success(cfg)
