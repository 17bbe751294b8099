"""
Policy
======

The knobs of placement and admission, with the values that the replay spoke
for (docs/MEASUREMENTS.md).  `BASELINE` is the baseline without the mechanisms.
"""

from dataclasses import dataclass
from enum import Enum


class Chooser(str, Enum):
    """How an engine is picked among the permitted ones."""

    predicted = 'predicted'
    round_robin = 'round_robin'
    least_in_flight = 'least_in_flight'


@dataclass(frozen=True)
class Policy:
    """One set of decisions.

    `prefill_chunk_s` is the length of a prefill piece in engine seconds, zero
    for whole prompts; a prompt of up to `max_unchunked_tokens` is never cut,
    since another prompt's piece would get in between.  `window_s` is how much
    prefill may wait at an engine before the rest waits in the fair queue.
    `tie_s` is the band of predictions that count as equal and among which one
    is drawn.  `uses_pace` says whether the pace of own pieces counts for cut
    prompts, `subset_size` is how many of the permitted engines an instance
    looks at.
    """

    chooser: Chooser = Chooser.predicted
    prefill_chunk_s: float = 0.1
    max_unchunked_tokens: int = 8_192
    priorities: bool = True
    affinity: bool = True
    tie_s: float = 0.05
    window_s: float = 0.4
    admission: bool = True
    deadline_margin: float = 1.15
    preference_penalty_s: float = 0.5
    urgent_slack_s: float = 1.0
    subset_size: int = 24
    uses_pace: bool = True


#: Everything off: whole prompts in order of arrival, round robin.
BASELINE = Policy(
    chooser=Chooser.round_robin,
    prefill_chunk_s=0,
    priorities=False,
    affinity=False,
    tie_s=0,
    window_s=float('inf'),
    admission=False,
)
