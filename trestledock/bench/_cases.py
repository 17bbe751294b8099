"""
Benchmark cases
===============

The runs of `make bench`: the full policy, baselines and ablations, and the full
policy under several loads, report lags, numbers of instances and engine
failures.
"""

from trestledock.bench._replay import Case, vary
from trestledock.process import BASELINE, Chooser, Policy

FULL = Policy()
BASE_LOAD = 0.7
OVERLOAD = 3.0


def make_cases(seed: int) -> tuple[Case, ...]:
    """Return all benchmark cases for a seed."""
    base = Case('full', FULL, BASE_LOAD, seed)
    return (
        base,
        vary(base, name='full, short only', short_only=True),
        *_make_baselines(base),
        *_make_loads(base),
        *_make_conditions(base),
    )


def _make_baselines(base: Case) -> tuple[Case, ...]:
    policies = (
        ('round robin (plain)', BASELINE),
        ('least in flight', vary(BASELINE, chooser=Chooser.least_in_flight)),
        ('join shortest predicted', vary(BASELINE, chooser=Chooser.predicted)),
        (
            'and priorities',
            vary(BASELINE, chooser=Chooser.predicted, priorities=True),
        ),
        ('all but pieces', vary(FULL, prefill_chunk_s=0)),
        ('all but whole short prompts', vary(FULL, max_unchunked_tokens=0)),
        ('all but affinity', vary(FULL, affinity=False)),
        ('all but admission', vary(FULL, admission=False)),
        ('all but the band of equals', vary(FULL, tie_s=0)),
    )
    return (
        *(vary(base, name=name, policy=policy) for name, policy in policies),
        vary(
            base,
            name='plain, short only',
            policy=BASELINE,
            short_only=True,
        ),
    )


def _make_loads(base: Case) -> tuple[Case, ...]:
    return (
        *(
            vary(base, name=f'load {load}', load=load)
            for load in (1.0, 2.0, OVERLOAD)
        ),
        vary(base, name='plain, load 3.0', load=OVERLOAD, policy=BASELINE),
    )


def _make_conditions(base: Case) -> tuple[Case, ...]:
    lags = (1.0, 3.0)
    counts = (1, 8)
    return (
        *(vary(base, name=f'lag {lag} s', lag_s=lag) for lag in lags),
        *(
            vary(base, name=f'{count} instances', instances=count)
            for count in counts
        ),
        vary(
            base,
            name='8 instances, lag 3 s',
            instances=counts[1],
            lag_s=lags[1],
        ),
        vary(base, name='a sixth of the engines dies', engines_die=True),
        vary(
            base,
            name='oracle',
            instances=1,
            lag_s=0,
            poll_s=0.02,
            policy=vary(FULL, tie_s=0),
        ),
    )
