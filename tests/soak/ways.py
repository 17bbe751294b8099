"""
Ways to serve callers
=====================

Runs the entry with one of several ways, for comparisons. For entries without
links, compared by `tests.soak.cuts`: `none` puts each failure down to its
target, `unready` reports unready and closes callers' connections between two
answers, `tunnel` goes through other entries (the product), and `both` does
both.

For answers that only a close has ended, compared by `tests.soak.closes`:
`complete` takes each for whole, `framing` gives callers the same framing,
`evidence` asks whether the target lives on, `alike` does both (the product),
and `resume` also has another target go on with each stream that may be resumed.
"""

import sys
from types import MappingProxyType
from typing import Any, Callable, Mapping

import anyio

from tests.soak.bound import bind_connections
from tests.soak.mutants import partitions, survival
from trestledock.entry import Head, _answer_ends
from trestledock.entry._connector import Connector
from trestledock.entry._state import EntryState
from trestledock.entry._streaming import StreamForwarder
from trestledock.platform import run
from trestledock.relay import (
    AnswerEnd,
    AttemptOutcome,
    LinkHealth,
    RelayAttempt,
    Survival,
)


def _use_no_tunnels() -> None:
    Connector._get_offering = lambda connector, now: []


def none() -> None:
    """Never doubt a link."""
    partitions()
    LinkHealth.is_cut_off = lambda links, now: False


def leave() -> None:
    """Report unready while all links are in doubt, and close connections."""
    is_ready, is_draining = EntryState.is_ready, EntryState.is_draining

    def is_ready_with_links(state: Any, now: float) -> bool:
        return is_ready(state, now) and not state.links.are_all_doubted(now)

    def closes_connections(state: Any) -> bool:
        now = anyio.current_time()
        return is_draining(state) or state.links.are_all_doubted(now)

    EntryState.is_ready = is_ready_with_links
    EntryState.is_draining = closes_connections


def unready() -> None:
    """Have callers go elsewhere, without tunnels."""
    _use_no_tunnels()
    leave()


def tunnel() -> None:
    """Leave the product as it is."""


def complete() -> None:
    """Take the close of a connection for the end of an answer."""
    _answer_ends.judge_end = lambda framing, tail: AnswerEnd.whole
    Head.is_framed = True


def framing() -> None:
    """Never ask whether a target lives on."""
    survival()


def evidence() -> None:
    """Take answers for whole unless their targets have ended."""
    Head.is_framed = True
    _answer_ends.UNPROVEN_ENDS = MappingProxyType(
        {
            Survival.survived: AnswerEnd.whole,
            Survival.unknown: AnswerEnd.whole,
        }
    )


def alike() -> None:
    """Leave the product as it is."""


def resume() -> None:
    """Have another target go on with each stream that a close has ended."""
    finish = StreamForwarder._finish

    async def finish_elsewhere(stream: Any, head: Head) -> RelayAttempt:
        if head.is_framed or stream.job.history.is_last_attempt(
            stream.job.route
        ):
            return await finish(stream, head)
        return RelayAttempt(AttemptOutcome.lost, 'events', stream.peer)

    StreamForwarder._finish = finish_elsewhere


WAYS: Mapping[str, Callable[[], None]] = MappingProxyType(
    {'none': none, 'unready': unready, 'tunnel': tunnel, 'both': leave}
)
CLOSING_WAYS: Mapping[str, Callable[[], None]] = MappingProxyType(
    {way.__name__: way for way in (complete, framing, evidence, alike, resume)}
)


if __name__ == '__main__':
    bind_connections()
    {**WAYS, **CLOSING_WAYS}[sys.argv[1]]()
    run()
