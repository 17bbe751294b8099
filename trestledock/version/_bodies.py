"""
Bodies of records
=================

What the records of each scope hold, besides configurations.  They are checked
by the fold, so that a record that makes no sense is refused by every reader
alike.
"""

from dataclasses import dataclass


@dataclass(frozen=True)
class EpochBody:
    """The body of an epoch record: its members and those of the one before."""

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
