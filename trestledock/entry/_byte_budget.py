"""
Byte budgets
============

Bounds the bytes that all requests of an entry hold together for one purpose.
"""

import math
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Iterator


@dataclass
class ByteBudget:
    """A bound on bytes, and how many are held now.

    With a `share`, one request may hold that many times what is then left, so
    that a single one never takes all.

    >>> budget = ByteBudget(10)
    >>> with budget.hold() as held:
    ...     held.take(8), held.take(3), budget.used
    (True, False, 8)
    >>> budget.used
    0
    """

    limit: int
    used: int = 0
    share: float = math.inf

    def has_room(self, count: int, own: int) -> bool:
        """Return whether a request that holds `own` may hold more bytes."""
        left = self.limit - self.used - count
        return left >= 0 and own + count <= left * self.share

    @contextmanager
    def hold(self) -> Iterator['HeldBytes']:
        """Hold bytes for one request, until its end."""
        held = HeldBytes(self)
        try:
            yield held
        finally:
            held.release()


@dataclass
class HeldBytes:
    """The bytes that one request holds."""

    budget: ByteBudget
    count: int = 0

    def take(self, count: int) -> bool:
        """Hold more bytes; return False and hold none of them without room."""
        if not self.budget.has_room(count, self.count):
            return False
        self.budget.used += count
        self.count += count
        return True

    def release(self) -> None:
        """Release all bytes held."""
        self.budget.used -= self.count
        self.count = 0
