"""
Placement policy
================

The parameters of placement and admission.  Their default values come from the
replay (docs/MEASUREMENTS.md).  `BASELINE` has all mechanisms disabled.
"""

from dataclasses import dataclass
from enum import Enum


class Chooser(str, Enum):
    """The method of choosing among the permitted engines."""

    predicted = 'predicted'
    round_robin = 'round_robin'
    least_in_flight = 'least_in_flight'


@dataclass(frozen=True)
class Policy:
    """The parameters of placement and admission.

    `prefill_chunk_s` is the length of a prefill chunk in engine seconds, 0 for
    whole prompts.  Prompts of up to `max_unchunked_tokens` are never split,
    because chunks of other prompts would run in between.  `window_s` limits the
    predicted prefill wait at an engine; further requests stay in the fair
    queue.  Predictions within `tie_s` of the best count as equal, and one of
    them is drawn at random.  `uses_pace` enables the measured pace of chunks in
    predictions for split prompts.  `subset_size` is the number of permitted
    engines that an instance considers.  `deadline_margin` multiplies the
    predicted time that is compared with the deadline, `preference_penalty_s` is
    added for each level of preference that is missed, and work with less slack
    than `urgent_slack_s` gets the urgent priority.
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


#: The baseline: whole prompts in order of arrival, round robin.
BASELINE = Policy(
    chooser=Chooser.round_robin,
    prefill_chunk_s=0,
    priorities=False,
    affinity=False,
    tie_s=0,
    window_s=float('inf'),
    admission=False,
)
