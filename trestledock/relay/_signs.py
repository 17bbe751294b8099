"""
Signs of a connection's end
===========================

What was seen of a target where a sending ended without its answer.
"""

from enum import Enum


class FailureKind(str, Enum):
    """How the way to a target ended.

    `closed` is a close or a reset by the other side, `silent` a wait that was
    given up here, `refused` that nobody listens at the address, `unreachable`
    that no connection came about, `garbled` bytes that are no answer.
    """

    none = ''
    closed = 'closed'
    silent = 'silent'
    refused = 'refused'
    unreachable = 'unreachable'
    garbled = 'garbled'


#: The errors of a connection that the other side has ended.
ENDED_BY_PEER = (ConnectionResetError, BrokenPipeError)


def classify_connect_error(exc: Exception) -> FailureKind:
    """Tell a port where nobody listens from an address that is not reached."""
    is_refused = isinstance(exc.__cause__, ConnectionRefusedError)
    return FailureKind.refused if is_refused else FailureKind.unreachable


def classify_disconnect(exc: Exception) -> FailureKind:
    """Tell the end by the other side from one by our own time-outs."""
    is_ended = isinstance(exc.__cause__, ENDED_BY_PEER)
    return FailureKind.closed if is_ended else FailureKind.silent
