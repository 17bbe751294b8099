"""
Progress of streams
===================

Tells new events of a stream from repeated ones and comments. Both are bounded
in bytes; a comment also shows that its target works on the next event.
"""

from dataclasses import dataclass
from typing import Iterable

from trestledock.relay._answer_bounds import MAX_EVENT_BYTES
from trestledock.relay._event_stream import StreamEvent


@dataclass
class EventProgress:
    """How far a stream of one target has come.

    An event is new if this target has not sent its id yet. So a target that is
    asked for what comes after an event, and begins earlier, makes progress.

    >>> progress = EventProgress()
    >>> one = StreamEvent(b'id: 1', '1')
    >>> progress.record([one]), progress.record([one])
    (True, False)
    """

    last_id: str = ''
    idle_bytes: int = 0
    is_repeating: bool = False

    @property
    def is_idle(self) -> bool:
        """Whether more has come since the last new event than one may have."""
        return self.idle_bytes > MAX_EVENT_BYTES

    def record(self, events: Iterable[StreamEvent]) -> bool:
        """Record events; return whether any of them shows a working target.

        Comments do: targets send them while an event takes its time.
        """
        return any([self._record(event) for event in events])

    def _record(self, event: StreamEvent) -> bool:
        if event.is_comment:
            self.idle_bytes += len(event.raw)
            return True
        self.is_repeating = not follows(event.event_id, self.last_id)
        if self.is_repeating:
            self.idle_bytes += len(event.raw)
            return False
        self.last_id = event.event_id or self.last_id
        self.idle_bytes = 0
        return True


def follows(event_id: str, last: str) -> bool:
    """Return whether an event comes after the last one.

    >>> follows('3', '2'), follows('2', '2'), follows('', '2')
    (True, False, True)
    """
    if event_id.isdigit() and last.isdigit():
        return int(event_id) > int(last)
    return True
