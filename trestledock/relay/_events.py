"""
Events of a stream
==================

Cuts the bytes of an event stream into whole events, so that an answer can be
continued by another target after the last whole one.
"""

from dataclasses import dataclass, field

END = b'\n\n'
ID_FIELD = b'id:'


@dataclass(frozen=True)
class Event:
    """One whole event: its bytes as they came, and its id if it has one."""

    raw: bytes
    event_id: str = ''


@dataclass
class Splitter:
    """Collects bytes and gives out whole events.

    >>> splitter = Splitter()
    >>> [event.event_id for event in splitter.push(b'id: 1\\ndata: a\\n\\nid')]
    ['1']
    >>> splitter.rest
    b'id'
    """

    rest: bytes = b''
    _ended: bool = field(default=False)

    def push(self, raw: bytes) -> list[Event]:
        """Take bytes; return the events that are whole now."""
        buffered = self.rest + raw
        if b'\r' in buffered:
            return self._push_crlf(buffered)
        *whole, self.rest = buffered.split(END)
        return [_make_event(one + END) for one in whole]

    def _push_crlf(self, buffered: bytes) -> list[Event]:
        *whole, self.rest = buffered.split(b'\r\n\r\n')
        return [_make_event(one + b'\r\n\r\n') for one in whole]


def _make_event(raw: bytes) -> Event:
    for line in raw.splitlines():
        if line.lower().startswith(ID_FIELD):
            return Event(raw, line[len(ID_FIELD) :].strip().decode('latin-1'))
    return Event(raw)
