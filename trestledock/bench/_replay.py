"""
Replay
======

Runs a trace through the process core of the daemon, on a virtual clock, with
simulated engines of two kinds of hardware, and measures what callers see.
"""

from dataclasses import dataclass, field, replace
from functools import partial
from statistics import quantiles
from typing import Any, TypeVar

from trestledock.bench._trace import (
    Arrival,
    get_mean_tokens,
    keep_short,
    make_trace,
)
from trestledock.process import Policy
from trestledock.proof import (
    MODEL,
    DataCentre,
    Event,
    Plan,
    World,
    make_world,
    populate_world,
)
from trestledock.request import LengthClass, Outcome, Reason
from trestledock.standin import EngineSpec
from trestledock.version import Team

#: The instant of the first arrivals, in seconds.
START_S = 12.0
#: The time from then to the steady state, in seconds.
WARM_UP_S = 30.0
#: The time that a run continues after the last arrival, in seconds.
TAIL_S = 120.0
TEAMS = ('desk', 'retail', 'disputes', 'settlement')
#: The numbers and specifications of engines with newer and older hardware.
NEWER = 12
OLDER = 6
NEWER_SPEC = EngineSpec(
    rate=12_000,
    itl_s=0.02,
    capacity_tokens=420_000,
    stride=32,
)
OLDER_SPEC = EngineSpec(
    rate=6_000,
    itl_s=0.03,
    capacity_tokens=300_000,
    stride=32,
)
PERCENT = 100
ANSWERED = Outcome.answered.value
#: The indices of the 50th, 95th and 99th percentile among the quantiles.
CUTS = (49, 94, 98)

Varied = TypeVar('Varied', 'Case', Policy)


@dataclass(frozen=True)
class Case:
    """One run: a policy, its load and the conditions of the run.

    `load` is a share of the prefill capacity of the fleet, `lag_s` the age of
    load reports, and `poll_s` the interval in which instances read them.
    """

    name: str
    policy: Policy = Policy()
    load: float = 0.7
    seed: int = 7
    seconds: float = 90
    instances: int = 3
    lag_s: float = 0.2
    poll_s: float = 0.5
    short_only: bool = False
    engines_die: bool = False


@dataclass(frozen=True)
class Row:
    """The results of a run: times in seconds, goodput in tokens a second."""

    name: str
    load: float
    sent: int
    answered: int
    refused: int
    late: int
    unanswered: int
    still_open: int
    goodput: float
    jain: float
    ttft: dict[str, tuple[float, float, float]] = field(default_factory=dict)

    def get_p95(self, name: LengthClass) -> float:
        """Return the 95th percentile of the time to first token."""
        return self.ttft.get(name.value, (0, 0, 0))[1]


def get_capacity() -> float:
    """Return the prefill rate of the whole fleet in tokens a second."""
    return NEWER * NEWER_SPEC.rate + OLDER * OLDER_SPEC.rate


def get_trace(case: Case) -> list[Arrival]:
    """Return the trace of a case, drawn from its seed."""
    rate = case.load * get_capacity() / get_mean_tokens()
    stop = START_S + case.seconds
    trace = make_trace(case.seed, rate, START_S, stop, TEAMS)
    return keep_short(trace) if case.short_only else trace


def replay(case: Case) -> Row:
    """Run a case and return its results."""
    world = _build_world(case)
    trace = get_trace(case)
    hosts = list(world.hosts.values())
    first_token_times: dict[str, float] = {}
    for arrival in trace:
        host = world.rng.choice(hosts)
        world.schedule(arrival.at, partial(world.invoke, host, arrival.req))

    def record_first_token(req_id: str) -> None:  # noqa: WPS430
        first_token_times.setdefault(req_id, world.now)

    world.on_first_token = record_first_token
    if case.engines_die:
        middle = START_S + case.seconds / 2
        for number in range((NEWER + OLDER) // 6):
            name = f'engine-{number * 5}'
            world.schedule(middle, partial(world.kill_engine, name))
    world.run_until(START_S + case.seconds + TAIL_S)
    return _measure(case, world, trace, first_token_times)


def _build_world(case: Case) -> World:
    world = make_world(
        case.seed,
        policy=case.policy,
        load_poll_s=case.poll_s,
    )
    world.records_chunks = False
    world.faults.report_lag_s = case.lag_s
    plan = Plan(
        seed=case.seed,
        data_centres=(DataCentre('a', case.instances, 0, 0),),
        teams=tuple(Team(name) for name in TEAMS),
    )
    for number in range(NEWER + OLDER):
        spec = NEWER_SPEC if number < NEWER else OLDER_SPEC
        labels = {'role': 'assistant', 'data_centre': 'a'}
        loaded = frozenset((str(MODEL),))
        world.add_engine(f'engine-{number}', labels, spec, loaded)
    populate_world(plan, world)
    world.on_finish = None
    world.on_broken = None
    return world


@dataclass
class Totals:
    """The totals of a run, which are counted request by request."""

    times: dict[str, list[float]] = field(default_factory=dict)
    served: dict[str, float] = field(default_factory=dict)
    counts: dict[str, int] = field(default_factory=dict)
    goodput: float = 0

    def count(self, name: str) -> None:
        """Count a request by its result."""
        self.counts[name] = self.counts.get(name, 0) + 1

    def add_answered(self, arrival: Arrival, first_s: float) -> None:
        """Count an answered request and its time to first token."""
        req = arrival.req
        self.count(ANSWERED)
        self.served[req.team] = self.served.get(req.team, 0) + req.total_tokens
        self.times.setdefault(req.length_class.value, []).append(first_s)


def _measure(
    case: Case,
    world: World,
    trace: list[Arrival],
    first_token_times: dict[str, float],
) -> Row:
    ends = {event.req_id: event for event in world.history if event.text}
    totals = Totals()
    steady = START_S + WARM_UP_S
    stop = START_S + case.seconds
    for arrival in trace:
        end = ends.get(arrival.req.req_id)
        name = _classify(arrival, end, world.now)
        if end and name == ANSWERED:
            first_s = first_token_times[arrival.req.req_id] - arrival.at
            totals.add_answered(arrival, first_s)
            is_steady = steady <= end.at < stop
            totals.goodput += arrival.req.total_tokens * is_steady
        else:
            totals.count(name)
    return _make_row(case, trace, totals)


def _classify(arrival: Arrival, end: Event | None, now: float) -> str:
    """Return the result of a request."""
    if end is None or end.text not in Outcome.__members__:
        return 'unanswered' if arrival.req.deadline < now else 'open'
    if end.text == ANSWERED:
        return ANSWERED
    late = end.key == Reason.deadline_passed.value
    return 'late' if late else 'refused'


def _make_row(case: Case, trace: list[Arrival], totals: Totals) -> Row:
    shares = [totals.served.get(team, 0) for team in TEAMS]
    counts = totals.counts
    return Row(
        name=case.name,
        load=case.load,
        sent=len(trace),
        answered=counts.get(ANSWERED, 0),
        refused=counts.get('refused', 0),
        late=counts.get('late', 0),
        unanswered=counts.get('unanswered', 0),
        still_open=counts.get('open', 0),
        goodput=round(totals.goodput / (case.seconds - WARM_UP_S), 1),
        jain=round(get_jain(shares), 4),
        ttft={
            name: get_percentiles(times) for name, times in totals.times.items()
        },
    )


def get_percentiles(times: list[float]) -> tuple[float, float, float]:
    """Return the 50th, 95th and 99th percentile."""
    if len(times) < 2:
        return (times[0], times[0], times[0]) if times else (0, 0, 0)
    cuts = quantiles(times, n=PERCENT, method='inclusive')
    middle, high, highest = (round(cuts[index], 4) for index in CUTS)
    return middle, high, highest


def get_jain(shares: list[float]) -> float:
    """Return the Jain fairness index of the shares of the teams.

    >>> get_jain([1.0, 1.0])
    1.0
    """
    squares = sum(share**2 for share in shares)
    if not squares:
        return 0
    return sum(shares) ** 2 / (len(shares) * squares)


def vary(base: Varied, **changes: Any) -> Varied:
    """Return a copy of a case or policy with other values in some fields."""
    return replace(base, **changes)
