"""
Codec
=====

Frozen data classes to JSON text and back, by library.
"""

import json
from typing import Any, TypeVar

from trestledock.version._check import CONVERTER

Typed = TypeVar('Typed')


def dump_json(typed: Any) -> str:
    """Return a data class as compact JSON text."""
    return json.dumps(CONVERTER.unstructure(typed), separators=(',', ':'))


def load_json(text: str | bytes, kind: type[Typed]) -> Typed:
    """Read JSON text into the data class `kind`.

    Raises `ValueError` or a `cattrs` error group where the text doesn't fit.
    """
    return CONVERTER.structure(json.loads(text), kind)
