"""
JSON codec
==========

Converts frozen data classes to JSON text and back.
"""

import json
from typing import Any, TypeVar

import cattrs

from trestledock.relay import encode_json
from trestledock.version._check import CONVERTER

Decoded = TypeVar('Decoded')


def dump_json(typed: Any) -> str:
    """Encode a data class as compact JSON text."""
    return encode_json(CONVERTER.unstructure(typed)).decode()


class DecodeError(ValueError):
    """External data does not match its data class."""


def decode(data: Any, kind: type[Decoded]) -> Decoded:
    """Convert plain lists and mappings to `kind`, or raise `DecodeError`."""
    try:
        return CONVERTER.structure(data, kind)
    except (cattrs.BaseValidationError, ValueError, TypeError) as exc:
        raise DecodeError(f'not a valid {kind}: {exc!r}') from exc


def load_json(text: str | bytes, kind: type[Decoded]) -> Decoded:
    """Decode JSON text as the data class `kind`, or raise `DecodeError`."""
    try:
        data = json.loads(text)
    except ValueError as exc:
        raise DecodeError(f'not JSON: {exc}') from exc
    return decode(data, kind)
