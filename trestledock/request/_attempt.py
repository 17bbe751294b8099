r"""
Attempts
========

The state machine of one attempt to run a request on a target.  The final
outcome of a request is derived from its attempts alone, see
`trestledock.request.derive_outcome`.

::

    planned -> sent -> started -> complete
                  \-> rejected     (proof that the target did not start)
                  \-> lost         (no proof either way)
"""

from dataclasses import dataclass, replace
from enum import Enum
from types import MappingProxyType
from typing import Mapping


class AttemptState(str, Enum):
    """The state of an attempt."""

    planned = 'planned'
    sent = 'sent'
    started = 'started'
    complete = 'complete'
    rejected = 'rejected'
    lost = 'lost'


class AttemptEvent(str, Enum):
    """An event that changes the state of an attempt."""

    write = 'write'
    answer = 'answer'
    finish = 'finish'
    reject = 'reject'
    lose = 'lose'


_State = AttemptState
_Event = AttemptEvent

#: State transitions.  Pairs that are not listed leave the state unchanged,
#: because messages may be duplicated, late or out of order.
TRANSITIONS: Mapping[tuple[AttemptState, AttemptEvent], AttemptState] = (
    MappingProxyType(
        {
            (_State.planned, _Event.write): _State.sent,
            (_State.planned, _Event.reject): _State.rejected,
            (_State.planned, _Event.lose): _State.rejected,
            (_State.sent, _Event.answer): _State.started,
            (_State.sent, _Event.finish): _State.complete,
            (_State.sent, _Event.reject): _State.rejected,
            (_State.sent, _Event.lose): _State.lost,
            (_State.started, _Event.finish): _State.complete,
            (_State.started, _Event.reject): _State.lost,
            (_State.started, _Event.lose): _State.lost,
        }
    )
)

#: States that prove that the target did not start the request.
NOT_STARTED = frozenset((AttemptState.planned, AttemptState.rejected))

#: States in which an attempt may still produce an answer.
LIVE = frozenset(
    (AttemptState.planned, AttemptState.sent, AttemptState.started),
)


@dataclass(frozen=True)
class Attempt:
    """An attempt to run a request on a target, numbered from 1."""

    number: int
    target: str
    state: AttemptState = AttemptState.planned

    @property
    def is_live(self) -> bool:
        """Return whether the attempt may still produce an answer."""
        return self.state in LIVE

    def advance(self, event: AttemptEvent) -> 'Attempt':
        """Return the attempt after `event`, unchanged without a transition.

        >>> Attempt(1, 'e1').advance(AttemptEvent.write).state.value
        'sent'
        """
        state = TRANSITIONS.get((self.state, event), self.state)
        return replace(self, state=state)
