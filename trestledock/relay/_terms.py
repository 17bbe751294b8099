"""
Terms of placement
==================

The mechanisms of placement and of the decisions on it, one field each, so that
each can be switched off alone and its worth be measured
(`make ablation`).  The defaults are what runs.
"""

from dataclasses import dataclass


@dataclass(frozen=True)
class PlacementPolicy:
    """What placements are chosen and decided by.

    `packing`: short requests share few engines, so that others stay free for
    long prompts.  `helpers`: long prompts are read in parts.  `prefer_local`:
    the own data centre goes first, since the way to others may be cut.
    `weigh_cost_to_others`: what those lose who are at an engine counts.
    `abandonment`: nobody waits longer than its patience.  `waiting`: what costs
    much waits for a better place while it can still be in time.  `queueing`:
    what can't waits for others.  `remote_targets`: what finds no good place in
    the own data centre, where instances are many, asks the others for what
    their targets have to do.

    `claims`: a long prompt is told to the others before it is sent.

    `idle_engine_cost` is the cost of a second of the last idle engine for a
    request that is late anyway, in units of worth: an engine that is packed
    with short requests answers 3.5 of them a second, which lose 1 each by
    lateness.  Without it, a giant that takes all idle engines meets the next
    burst: the worst of 24 simulated days earns 0.81 instead of 0.87.

    `max_cost_to_others` is what a request may cost others at most, as a part of
    what it earns itself.  Where long prompts and bursts of short ones meet, the
    mean of 24 simulated days is 0.3 in 100 higher with 0.7 than with 1.
    """

    packing: bool = True
    helpers: bool = True
    prefer_local: bool = True
    weigh_cost_to_others: bool = True
    abandonment: bool = True
    waiting: bool = True
    queueing: bool = True
    remote_targets: bool = True
    claims: bool = True
    idle_engine_cost: float = 3.0
    max_cost_to_others: float = 0.7


#: What runs.
DEFAULT_POLICY = PlacementPolicy()
