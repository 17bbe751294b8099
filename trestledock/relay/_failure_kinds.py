"""
Failure kinds
=============

How the connection to a target failed when an attempt ended without an answer.
"""

from enum import Enum


class FailureKind(str, Enum):
    """How the connection to a target failed (`sign` in the log).

    `closed` is a close or a reset by the target, `silent` a timeout on this
    side, `refused` a closed port, `unreachable` a connection that was not
    established, `garbled` bytes that are no valid answer, and `endless` more of
    them than an answer has, or nothing but repeated events. `no_link` means
    that this instance has no way to the target.
    """

    none = ''
    closed = 'closed'
    silent = 'silent'
    refused = 'refused'
    unreachable = 'unreachable'
    garbled = 'garbled'
    endless = 'endless'
    no_link = 'no_link'


#: The errors of a connection that the target has closed.
ENDED_BY_PEER = (ConnectionResetError, BrokenPipeError)


def classify_connect_error(exc: Exception) -> FailureKind:
    """Distinguish a closed port from an unreachable address."""
    is_refused = isinstance(exc.__cause__, ConnectionRefusedError)
    return FailureKind.refused if is_refused else FailureKind.unreachable


def classify_disconnect(exc: Exception) -> FailureKind:
    """Distinguish a close by the target from a timeout on this side."""
    is_ended = isinstance(exc.__cause__, ENDED_BY_PEER)
    return FailureKind.closed if is_ended else FailureKind.silent
