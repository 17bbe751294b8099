"""
Requests
========

Requests, their attempts and outcomes, the assembly of streamed answers, and the
limits on retries.
"""

from trestledock.request._attempt import Attempt, AttemptEvent, AttemptState
from trestledock.request._outcome import (
    Outcome,
    Reason,
    Verdict,
    derive_outcome,
)
from trestledock.request._request import (
    PRIORITY_BY_LENGTH,
    URGENT_PRIORITY,
    Kind,
    LengthClass,
    Model,
    Request,
    get_length_class_by_tokens,
)
from trestledock.request._retry import CircuitBreaker, draw_backoff
from trestledock.request._stream import Assembler, Chunk

__all__ = (
    'PRIORITY_BY_LENGTH',
    'URGENT_PRIORITY',
    'Assembler',
    'Attempt',
    'AttemptEvent',
    'AttemptState',
    'Chunk',
    'CircuitBreaker',
    'Kind',
    'LengthClass',
    'Model',
    'Outcome',
    'Reason',
    'Request',
    'Verdict',
    'derive_outcome',
    'draw_backoff',
    'get_length_class_by_tokens',
)
