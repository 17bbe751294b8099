"""
Targets elsewhere
=================

Where instances are many, each knows at once what the targets of its own data
centre have to do, and little of the others.  A long prompt that finds no good
place there is worth a question: an instance of another data centre answers with
what its targets have to do, and for a moment these are chosen among as well.
"""

from dataclasses import dataclass, replace
from typing import Container, Iterable, Iterator

from trestledock.relay._board import Flight, Phase
from trestledock.relay._deciding import SMALL_WORTH

#: The part of its worth that a prompt's best place nearby may cost: above that
#: others are asked.  Late prompts cost some two thirds of it, those that wait
#: for others or spoil their pauses a fifth and more, and one alone on idle
#: engines a fiftieth.
NEAR_COST_SHARE = 0.1
#: For how long an answer is used, in seconds: half of what a prompt of 100,000
#: tokens keeps an engine busy for.
USED_S = 0.25
#: What stands for targets in other data centres than the one that answers.
ELSEWHERE = ''


def should_query_remote(worth: float, cost: float | None) -> bool:
    """Whether a request should see the targets of other data centres, too.

    `cost` is that of its best place nearby, None where it can't go there now.

    >>> should_query_remote(20.0, cost=0.6), should_query_remote(20.0, cost=4.0)
    (False, True)
    >>> [should_query_remote(worth, cost=None) for worth in (20.0, 0.5)]
    [True, False]
    """
    if worth <= SMALL_WORTH:
        return False
    return cost is None or cost > worth * NEAR_COST_SHARE


@dataclass(frozen=True)
class RemoteLoad:
    """What the targets of a data centre had to do at the instant `as_of`."""

    as_of: float
    flights: tuple[Flight, ...]

    def is_fresh(self, now: float) -> bool:
        """Whether targets may still be chosen by it."""
        return now - self.as_of <= USED_S


def summarize_load(
    flights: Iterable[Flight],
    targets: Container[str],
    now: float,
) -> Iterator[Flight]:
    """Yield what some targets have to do, in few flights.

    Each prompt that is being read stands for itself at each target: when it
    ends, and what is lost by delaying it, decides.  All answers that one target
    writes stand together for the least pause that one of them bears.
    """
    writing: dict[str, list[Flight]] = {}
    for flight in flights:
        for name in flight.engaged_targets:
            if name not in targets:
                continue
            if flight.phase is Phase.prefill:
                yield _take_part(flight, name)
            else:
                writing.setdefault(name, []).append(flight)
    for name, found in writing.items():
        yield _put_together(name, found, now)


def _take_part(flight: Flight, name: str) -> Flight:
    """Return what one target does of a prompt: its part, and its memory."""
    total = flight.prompt_tokens + flight.output_tokens
    surplus = total - flight.get_held_tokens(name)
    return replace(
        flight,
        flight_id=f'{flight.flight_id}/{name}',
        target=name,
        helpers=tuple([ELSEWHERE for _ in flight.helpers]),
        reservations=((ELSEWHERE, surplus),) if surplus else (),
    )


def _put_together(name: str, found: list[Flight], now: float) -> Flight:
    """Return one flight that stands for all answers that a target writes."""
    return Flight(
        flight_id=name,
        target=name,
        prompt_tokens=sum(one.get_held_tokens(name) for one in found),
        output_tokens=0,
        phase=Phase.decode,
        since=now,
        pause_s=min(one.pause_s for one in found),
        worth=sum(one.worth for one in found),
        patience_s=min(one.patience_s for one in found),
    )
