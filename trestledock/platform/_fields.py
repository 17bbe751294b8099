"""
Field mapping for the platform's documents
==========================================

Tables map wire names to attributes of data classes and convert units;
`read_fields` applies them.  The data class's default applies to a missing name.
"""

import math
from typing import Any, Callable, Mapping, NamedTuple

MS = 1000


class Field(NamedTuple):
    """A wire name, its attribute, and the conversion of its value."""

    wire_name: str
    attribute: str
    convert: Callable[[Any], Any] | None = None


def ms_to_seconds(milliseconds: float) -> float:
    """Convert milliseconds to seconds; raise `ValueError` if not finite.

    >>> ms_to_seconds(250)
    0.25
    """
    if not math.isfinite(milliseconds):
        raise ValueError(f'not a finite time: {milliseconds}')
    return milliseconds / MS


def read_fields(
    row: Mapping[str, Any],
    fields: tuple[Field, ...],
) -> dict[str, Any]:
    """Return keyword arguments for a data class from the fields present."""
    return {
        field.attribute: field.convert(row[field.wire_name])
        if field.convert
        else row[field.wire_name]
        for field in fields
        if field.wire_name in row
    }
