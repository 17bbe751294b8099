"""
Events of a stream
==================

Cuts the bytes of an event stream into whole events, so that an answer can be
continued by another target after the last whole one.
"""

from dataclasses import dataclass

END = b'\n\n'
END_CRLF = b'\r\n\r\n'
ID_FIELD = b'id:'


@dataclass(frozen=True)
class StreamEvent:
    """One whole event: its bytes as they came, and its id if it has one."""

    raw: bytes
    event_id: str = ''


@dataclass
class EventSplitter:
    """Collects bytes and gives out whole events.

    >>> EventSplitter().push(b'id: 1')
    []
    """

    remainder: bytes = b''

    def push(self, raw: bytes) -> list[StreamEvent]:
        """Take bytes; return the events that are whole now."""
        buffered = b''.join((self.remainder, raw))
        end = END_CRLF if b'\r' in buffered else END
        *whole, self.remainder = buffered.split(end)
        return [_make_event(b''.join((one, end))) for one in whole]


def _make_event(raw: bytes) -> StreamEvent:
    for line in raw.splitlines():
        if line.lower().startswith(ID_FIELD):
            return StreamEvent(
                raw, line[len(ID_FIELD) :].strip().decode('latin-1')
            )
    return StreamEvent(raw)
