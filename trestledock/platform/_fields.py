"""
Fields of the platform's documents
==================================

Tables say which wire name becomes which field of a data class and in what
unit; one function reads them.  A name that is missing leaves the data class's
own default in force.
"""

from typing import Any, Callable, Mapping, NamedTuple

MS = 1000


class Field(NamedTuple):
    """A wire name, the field it becomes, and the conversion of its value."""

    wire_name: str
    attribute: str
    convert: Callable[[Any], Any] | None = None


def ms_to_seconds(milliseconds: float) -> float:
    """Return seconds.

    >>> ms_to_seconds(250)
    0.25
    """
    return milliseconds / MS


def read_fields(
    row: Mapping[str, Any],
    fields: tuple[Field, ...],
) -> dict[str, Any]:
    """Return the arguments for a data class from the names that are there."""
    return {
        one.attribute: one.convert(row[one.wire_name])
        if one.convert
        else row[one.wire_name]
        for one in fields
        if one.wire_name in row
    }
