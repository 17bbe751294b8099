"""
Record bodies
=============

The contents of log records in each scope other than the configuration.  The
fold validates them, so that every reader rejects the same invalid records.
"""

from dataclasses import dataclass


@dataclass(frozen=True)
class EpochBody:
    """The body of an epoch record: its members and the previous members."""

    members: tuple[str, ...]
    replicas: int = 2
    previous_offset: int = -1
    previous: tuple[str, ...] = ()
    previous_replicas: int = 2


@dataclass(frozen=True)
class LeaseBody:
    """The body of a lease record."""

    holder: str
    ttl_s: float
