"""
Bounds of answers
=================

Counts what is read of one answer, and decides when it is none: bytes that a
target sends without end, in a head or a body. Time limits end them too, but a
connection that brings many small pieces takes processor time from all others
long before.

>>> meter = AnswerMeter(max_bytes=100)
>>> meter.add_piece(60).value, meter.add_piece(60).value
('', 'too many bytes')
"""

import math
from dataclasses import dataclass
from enum import Enum

#: The most interim answers (status 1xx) before an answer.
MAX_INTERIM_ANSWERS = 16
#: An answer may have this many pieces, and one more for each
#: `MIN_PIECE_BYTES` of it, which is less than the smallest event of a stream.
FREE_PIECES = 4096
MIN_PIECE_BYTES = 16
#: The longest body of an answer unless its reader sets another limit, in bytes:
#: the longest page of the store, and a list of targets, several times over.
MAX_BODY_BYTES = 16_777_216
#: The longest body of an answer of which only the head counts, in bytes.
MAX_NOTE_BYTES = 65_536
#: The longest event of a stream, in bytes.
MAX_EVENT_BYTES = 1_048_576
UNBOUNDED = math.inf


class Excess(str, Enum):
    """What an answer has too much of."""

    none = ''
    interim = 'too many interim answers'
    pieces = 'too many small pieces'
    size = 'too many bytes'


@dataclass
class AnswerMeter:
    """What was read of one answer, and how long its body may be."""

    max_bytes: float = MAX_BODY_BYTES
    interim: int = 0
    pieces: int = 0
    body_bytes: int = 0

    def add_interim(self) -> Excess:
        """Count an interim answer."""
        self.interim += 1
        is_over = self.interim > MAX_INTERIM_ANSWERS
        return Excess.interim if is_over else Excess.none

    def add_piece(self, size: int) -> Excess:
        """Count a piece of the body."""
        self.pieces += 1
        self.body_bytes += size
        if self.body_bytes > self.max_bytes:
            return Excess.size
        if self.pieces > FREE_PIECES + self.body_bytes // MIN_PIECE_BYTES:
            return Excess.pieces
        return Excess.none
