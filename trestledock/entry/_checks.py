"""
Validation of JSON values
=========================

Checks the type of a value that another process sent.  Each function raises a
`ValueError` for a value of another type.
"""

import math
import sys
from typing import Any

from trestledock.relay import MAX_AGE_S

#: Numbers beyond this size, of 64 bits, are refused.  Arithmetic with them may
#: overflow, and no count, age or Unix time is that large.
MAX_NUMBER = sys.maxsize


def read_text(json_value: Any) -> str:
    """Return a string."""
    if isinstance(json_value, str):
        return json_value
    raise ValueError(f'not a string: {json_value!r}')


def read_bool(json_value: Any) -> bool:
    """Return a boolean."""
    if isinstance(json_value, bool):
        return json_value
    raise ValueError(f'not a boolean: {json_value!r}')


def read_int(json_value: Any) -> int:
    """Return an integer; a boolean is refused, although it is an `int`."""
    if isinstance(json_value, bool) or not isinstance(json_value, int):
        raise ValueError(f'not an integer: {json_value!r}')
    if abs(json_value) > MAX_NUMBER:
        raise ValueError('number too large')
    return json_value


def read_count(json_value: Any) -> int:
    """Return a non-negative integer."""
    count = read_int(json_value)
    if count < 0:
        raise ValueError(f'negative number: {count}')
    return count


def read_optional_count(json_value: Any) -> int | None:
    """Return a non-negative integer, or None for None.

    >>> read_optional_count(None), read_optional_count(3)
    (None, 3)
    """
    return None if json_value is None else read_count(json_value)


def read_number(json_value: Any) -> float:
    """Return a number of at most `MAX_NUMBER` in size.

    >>> read_number(5), read_number(0.5)
    (5, 0.5)
    """
    if isinstance(json_value, float) and abs(json_value) <= MAX_NUMBER:
        return json_value
    return read_int(json_value)


def read_age_s(json_value: Any) -> float:
    """Return an age in seconds, from 0 to `MAX_AGE_S`.

    Older versions of the program send infinity for an instant that never was.

    >>> read_age_s(-1), read_age_s(0.5), read_age_s(float('inf')) == MAX_AGE_S
    (0, 0.5, True)
    """
    if json_value == math.inf:
        return MAX_AGE_S
    return min(max(0, read_number(json_value)), MAX_AGE_S)


def read_optional_age_s(json_value: Any) -> float | None:
    """Return an age in seconds, or None for None.

    >>> read_optional_age_s(None), read_optional_age_s(0.5)
    (None, 0.5)
    """
    return None if json_value is None else read_age_s(json_value)


def read_list(json_value: Any) -> list[Any]:
    """Return a list."""
    if isinstance(json_value, list):
        return json_value
    raise ValueError(f'not a list: {json_value!r}')
