"""
Signs of a connection's end
===========================

What was seen of a target where a sending ended without its answer.
"""

from enum import Enum


class Sign(str, Enum):
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
