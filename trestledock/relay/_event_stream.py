"""
Event stream parsing
====================

Splits the bytes of an event stream into whole events, so that another target
can resume the stream after the last whole event.
"""

import re
from dataclasses import dataclass, field

from trestledock.relay._answer_bounds import MAX_EVENT_BYTES
from trestledock.relay._answer_ends import Tail

EVENT_END = b'\n\n'
#: An empty line ends an event; a line ends with LF, CRLF or CR.
EMPTY_LINE = re.compile(rb'(?:\r\n|\n|\r(?!\n)){2}')
#: The longest empty line with the end of the line before it, in bytes.
EMPTY_LINE_BYTES = 4
ID_FIELD = b'id:'
COMMENT_START = b':'
LINE = re.compile(rb'([^\r\n]*)(\r\n|\n|\r|$)')


@dataclass(frozen=True)
class StreamEvent:
    """A whole event: its raw bytes, and its id if it has one.

    `is_comment` is true if it has no field: empty lines and comments.
    """

    raw: bytes
    event_id: str = ''
    is_comment: bool = False


@dataclass
class EventSplitter:
    """Buffers bytes and returns whole events.

    >>> EventSplitter().push(b'id: 1')
    []
    """

    _buffer: bytearray = field(default_factory=bytearray)

    @property
    def remainder(self) -> bytes:
        """The bytes after the last whole event."""
        return bytes(self._buffer)

    @property
    def is_overlong(self) -> bool:
        """Whether the event that has begun is longer than any may be."""
        return len(self._buffer) > MAX_EVENT_BYTES

    def push(self, raw: bytes) -> list[StreamEvent]:
        """Add bytes; return the events that they complete."""
        searched = max(0, len(self._buffer) - EMPTY_LINE_BYTES + 1)
        self._buffer += raw
        ends = [
            match.end() for match in EMPTY_LINE.finditer(self._buffer, searched)
        ]
        if not ends:
            return []
        starts = [0, *ends]
        buffered = bytes(self._buffer[: ends[-1]])
        del self._buffer[: ends[-1]]  # noqa: WPS420
        return [
            _make_event(buffered[start:end]) for start, end in zip(starts, ends)
        ]

    def get_tail(self) -> Tail:
        """Return what the stream ends with if no more bytes come.

        >>> splitter = EventSplitter()
        >>> _ = splitter.push(b'id: 1' + EVENT_END + b': idle')
        >>> splitter.get_tail().value
        'inside a comment'
        """
        tail = Tail.none
        for line, line_end in LINE.findall(self.remainder):
            if _is_field(line):
                return Tail.event
            if line and not line_end:
                tail = Tail.comment
        return tail


def _make_event(raw: bytes) -> StreamEvent:
    lines = raw.splitlines()
    for line in lines:
        if line.lower().startswith(ID_FIELD):
            return StreamEvent(
                raw, line[len(ID_FIELD) :].strip().decode('latin-1')
            )
    is_comment = not any(map(_is_field, lines))
    return StreamEvent(raw, is_comment=is_comment)


def _is_field(line: bytes) -> bool:
    return bool(line) and not line.startswith(COMMENT_START)
