"""
Runs in progress
================

Requests that targets run now.  One whose answer has gone on for a while did not
crash its target as it began.
"""

from contextlib import contextmanager
from dataclasses import dataclass
from typing import Iterable, Iterator

import anyio

#: How long a target must have written an answer, in seconds, until the request
#: is no reason for its crash: deadly ones crash it as it begins to write.
MIN_WRITING_S = 0.5


@dataclass(eq=False)
class Run:
    """One request at one target.

    It was sent at `sent_at` and its answer began at `began_at`.  It
    `is_success` once the answer is complete and neither a failure nor empty.
    """

    names: tuple[str, ...]
    sent_at: float
    began_at: float | None = None
    is_success: bool = False

    @property
    def proven_at(self) -> float:
        """The instant at which the target had not yet crashed, at least."""
        return self.sent_at if self.began_at is None else self.began_at

    def has_lasted(self, now: float) -> bool:
        """Return whether the answer has gone on for a while."""
        if self.began_at is None:
            return False
        return now - self.began_at >= MIN_WRITING_S


class Runs:
    """The runs of one entry."""

    def __init__(self) -> None:
        """Start without runs."""
        self._runs: set[Run] = set()

    @contextmanager
    def track(self, names: tuple[str, ...]) -> Iterator[Run]:
        """Keep a run for as long as the context."""
        run = Run(names, anyio.current_time())
        self._runs.add(run)
        try:
            yield run
        finally:
            self._runs.discard(run)

    def get_proofs(self, names: Iterable[str], now: float) -> dict[str, float]:
        """Return when lasting answers to requests of some names began last."""
        wanted = set(names)
        proofs: dict[str, float] = {}
        for run in self._runs:
            if not run.has_lasted(now):
                continue
            for name in wanted.intersection(run.names):
                proofs[name] = max(run.proven_at, proofs.get(name, 0))
        return proofs
