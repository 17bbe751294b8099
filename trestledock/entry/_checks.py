"""
Checks of plain values
======================

What came from another process and claims to be a text, a number or a flag.
Each raises a `ValueError` where it is something else.
"""

import math
from typing import Any


def read_text(plain: Any) -> str:
    """Return a text."""
    if isinstance(plain, str):
        return plain
    raise ValueError(f'no text: {plain!r}')


def read_bool(plain: Any) -> bool:
    """Return a truth value."""
    if isinstance(plain, bool):
        return plain
    raise ValueError(f'no flag: {plain!r}')


def read_int(plain: Any) -> int:
    """Return a whole number; a flag is none, though Python counts with it."""
    if isinstance(plain, int) and not isinstance(plain, bool):
        return plain
    raise ValueError(f'no whole number: {plain!r}')


def read_count(plain: Any) -> int:
    """Return a whole number that is not negative."""
    count = read_int(plain)
    if count < 0:
        raise ValueError(f'negative: {count}')
    return count


def read_optional_count(plain: Any) -> int | None:
    """Return a whole number that is not negative, or None where there is none.

    >>> read_optional_count(None), read_optional_count(3)
    (None, 3)
    """
    return None if plain is None else read_count(plain)


def read_number(plain: Any) -> float:
    """Return a finite number.

    >>> read_number(5), read_number(0.5)
    (5, 0.5)
    """
    if isinstance(plain, float) and math.isfinite(plain):
        return plain
    return read_int(plain)


def read_list(plain: Any) -> list[Any]:
    """Return a list."""
    if isinstance(plain, list):
        return plain
    raise ValueError(f'no list: {plain!r}')
