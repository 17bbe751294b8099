"""
Load of remote targets
======================

In a large deployment each instance knows the load of its own data centre's
targets at once, and little of the others.  A long prompt without a good
placement there asks an instance of another data centre for the load of its
targets, and can be placed on these as well while the answer is fresh.
"""

from dataclasses import dataclass, replace
from typing import Container, Iterable, Iterator

from trestledock.relay._admission import SMALL_WORTH
from trestledock.relay._load_table import Flight, Phase

#: Other data centres are asked if the best placement in the own one costs more
#: than this share of the prompt's worth.  Late prompts cost about two thirds of
#: their worth, prompts that wait for others or exceed the allowed pauses a
#: fifth or more, and a prompt alone on idle engines a fiftieth.
LOCAL_COST_SHARE = 0.1
#: How long an answer is used, in seconds: half of the time that a prompt of
#: 100,000 tokens keeps an engine busy.
LOAD_TTL_S = 0.25
#: The placeholder for targets outside the data centre that answers.
OTHER_TARGET = ''


def should_query_remote(worth: float, cost: float | None) -> bool:
    """Return whether to ask other data centres for the load of their targets.

    `cost` is that of the best placement in the own data centre, None if there
    is none now.

    >>> should_query_remote(20.0, cost=0.6), should_query_remote(20.0, cost=4.0)
    (False, True)
    >>> [should_query_remote(worth, cost=None) for worth in (20.0, 0.5)]
    [True, False]
    """
    if worth <= SMALL_WORTH:
        return False
    return cost is None or cost > worth * LOCAL_COST_SHARE


@dataclass(frozen=True)
class RemoteLoad:
    """The load of a data centre's targets at the instant `as_of`."""

    as_of: float
    flights: tuple[Flight, ...]

    def is_fresh(self, now: float) -> bool:
        """Return whether placements may still rely on this load."""
        return now - self.as_of <= LOAD_TTL_S


def summarize_load(
    flights: Iterable[Flight],
    targets: Container[str],
    now: float,
) -> Iterator[Flight]:
    """Yield the load of some targets as few requests.

    Each prompt in prefill is kept at each of its targets, since its end and the
    loss by delaying it affect placements.  All answers that a target decodes
    are merged into one request with the shortest allowed pause among them.
    """
    decoding: dict[str, list[Flight]] = {}
    for flight in flights:
        for name in flight.engaged_targets:
            if name not in targets:
                continue
            if flight.phase is Phase.prefill:
                yield _get_target_share(flight, name)
            else:
                decoding.setdefault(name, []).append(flight)
    for name, answers in decoding.items():
        yield _merge_answers(name, answers, now)


def _get_target_share(flight: Flight, name: str) -> Flight:
    """Return a target's part of a prompt: its chunk and its memory."""
    total = flight.prompt_tokens + flight.output_tokens
    surplus = total - flight.get_held_tokens(name)
    return replace(
        flight,
        flight_id=f'{flight.flight_id}/{name}',
        target=name,
        helpers=tuple([OTHER_TARGET for _ in flight.helpers]),
        reservations=((OTHER_TARGET, surplus),) if surplus else (),
    )


def _merge_answers(name: str, flights: list[Flight], now: float) -> Flight:
    """Return one request that stands for all answers that a target decodes."""
    return Flight(
        flight_id=name,
        target=name,
        prompt_tokens=sum(flight.get_held_tokens(name) for flight in flights),
        output_tokens=0,
        phase=Phase.decode,
        since=now,
        pause_s=min(flight.pause_s for flight in flights),
        worth=sum(flight.worth for flight in flights),
        event_timeout_s=min(flight.event_timeout_s for flight in flights),
    )
