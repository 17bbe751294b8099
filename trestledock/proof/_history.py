"""
History
=======

The events of a run as callers, stand-ins and instances saw them, one per line.
They are the only input of the checkers.
"""

import json
from dataclasses import asdict, dataclass
from enum import Enum
from typing import Iterable


class EventType(str, Enum):
    """The types of events."""

    invoked = 'invoked'
    sent = 'sent'
    ran = 'ran'
    chunk = 'chunk'
    outcome = 'outcome'
    broken = 'broken'
    frozen = 'frozen'
    healed = 'healed'
    leaving = 'leaving'
    version = 'version'
    published = 'published'
    shutdown = 'shutdown'
    ended = 'ended'
    memory = 'memory'
    order = 'order'


@dataclass(frozen=True)
class Event:
    """An event at the instant `at`, seen by the host or target `who`.

    `key` is the idempotency key, the target, or the publication; `number` a
    count, a version or a token index; `limit` a deadline or the base version of
    a publication.
    """

    at: float
    kind: EventType
    who: str = ''
    req_id: str = ''
    key: str = ''
    number: int = 0
    text: str = ''
    limit: float = 0

    def to_line(self) -> str:
        """Return the event as a line of JSON."""
        return json.dumps(asdict(self), separators=(',', ':'))


def read_lines(lines: Iterable[str]) -> list[Event]:
    """Read a history from lines of JSON."""
    events = []
    for line in lines:
        fields = json.loads(line)
        kind = EventType(fields.pop('kind'))
        events.append(Event(kind=kind, **fields))
    return events
