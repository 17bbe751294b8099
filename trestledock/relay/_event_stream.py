"""
Event stream parsing
====================

Splits the bytes of an event stream into whole events, so that another target
can resume the stream after the last whole event.
"""

from dataclasses import dataclass

EVENT_END = b'\n\n'
EVENT_END_CRLF = b'\r\n\r\n'
ID_FIELD = b'id:'


@dataclass(frozen=True)
class StreamEvent:
    """A whole event: its raw bytes, and its id if it has one."""

    raw: bytes
    event_id: str = ''


@dataclass
class EventSplitter:
    """Buffers bytes and returns whole events.

    >>> EventSplitter().push(b'id: 1')
    []
    """

    remainder: bytes = b''

    def push(self, raw: bytes) -> list[StreamEvent]:
        """Add bytes; return the events that they complete."""
        buffered = b''.join((self.remainder, raw))
        end = EVENT_END_CRLF if b'\r' in buffered else EVENT_END
        *events, self.remainder = buffered.split(end)
        return [_make_event(b''.join((event, end))) for event in events]


def _make_event(raw: bytes) -> StreamEvent:
    for line in raw.splitlines():
        if line.lower().startswith(ID_FIELD):
            return StreamEvent(
                raw, line[len(ID_FIELD) :].strip().decode('latin-1')
            )
    return StreamEvent(raw)
