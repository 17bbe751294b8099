"""
Event stream parsing
====================

Splits the bytes of an event stream into whole events, so that another target
can resume the stream after the last whole event.
"""

from dataclasses import dataclass

END = b'\n\n'
END_CRLF = b'\r\n\r\n'
ID_FIELD = b'id:'


@dataclass(frozen=True)
class Event:
    """A whole event: its raw bytes, and its id if it has one."""

    raw: bytes
    event_id: str = ''


@dataclass
class Splitter:
    """Buffers bytes and returns whole events.

    >>> Splitter().push(b'id: 1')
    []
    """

    rest: bytes = b''

    def push(self, raw: bytes) -> list[Event]:
        """Add bytes; return the events that they complete."""
        buffered = b''.join((self.rest, raw))
        end = END_CRLF if b'\r' in buffered else END
        *events, self.rest = buffered.split(end)
        return [_make_event(b''.join((event, end))) for event in events]


def _make_event(raw: bytes) -> Event:
    for line in raw.splitlines():
        if line.lower().startswith(ID_FIELD):
            return Event(raw, line[len(ID_FIELD) :].strip().decode('latin-1'))
    return Event(raw)
