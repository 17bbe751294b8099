"""
Codec
=====

Frozen data classes to JSON text and back, by library.
"""

import json
from typing import Any, TypeVar

import cattrs

from trestledock.version._check import CONVERTER

Decoded = TypeVar('Decoded')


def dump_json(typed: Any) -> str:
    """Return a data class as compact JSON text."""
    return json.dumps(CONVERTER.unstructure(typed), separators=(',', ':'))


class DecodeError(ValueError):
    """What came from outside does not fit its data class."""


def decode(plain: Any, kind: type[Decoded]) -> Decoded:
    """Turn plain lists and mappings into `kind`, or raise `DecodeError`."""
    try:
        return CONVERTER.structure(plain, kind)
    except (cattrs.BaseValidationError, ValueError, TypeError) as exc:
        raise DecodeError(f'no {kind}: {exc!r}') from exc


def load_json(text: str | bytes, kind: type[Decoded]) -> Decoded:
    """Read JSON text into the data class `kind`, or raise `DecodeError`."""
    try:
        plain = json.loads(text)
    except ValueError as exc:
        raise DecodeError(f'not JSON: {exc}') from exc
    return decode(plain, kind)
