"""
Measurement of paces
====================

Derives the pace of engines from the pauses between the events of streams.  An
engine sends one event of each stream it decodes after each pass.  Much besides
the engine lengthens a pause: prefill in the pass, the network, a busy instance.
So the pace is the lowest of several passes without known prefill.
"""

from collections import deque
from dataclasses import dataclass, field, replace

from trestledock.relay._engine_load import EngineLoad
from trestledock.relay._load_table import Flight, Phase
from trestledock.relay._paces import KEPT_PACE, MIN_PACE

#: The number of passes that a pace is the lowest of.
MIN_PASSES = 4
#: How long a pass counts, in seconds.
WINDOW_S = 5.0
#: The least share of a nominal pass that a pause takes.  A shorter pause means
#: that the event before it was delayed, so neither of the two pauses shows the
#: duration of a pass, or that the last event of a stream came before the end of
#: its pass.
MIN_SHARE = 0.7
#: The part of a nominal pass by which the start of a decode may precede the
#: pass that it joined: other instances round their ages.
START_TOLERANCE = 0.5
#: Decimals of a pace: measurements are no better than that.
DECIMALS = 1


@dataclass(frozen=True)
class MeasuredPass:
    """A pass between two instants, and its duration by the nominal one."""

    began_at: float
    ended_at: float
    ratio: float


def is_pure_decode(load: EngineLoad, began_at: float) -> bool:
    """Return whether an engine is known to have only decoded since an instant.

    `load` is its load at the end.  A group of engines that holds one prompt
    doesn't follow the formula of a single engine.
    """
    tolerance_s = load.nominal_base_s * START_TOLERANCE
    return all(
        _is_decoding_since(flight, began_at + tolerance_s)
        for flight in load.flights
    )


def _is_decoding_since(flight: Flight, instant: float) -> bool:
    return (
        flight.phase is Phase.decode
        and flight.since <= instant
        and not flight.reservations
    )


@dataclass
class StreamMeter:
    """The passes of one stream, each confirmed by the event after it."""

    _unconfirmed: MeasuredPass | None = None

    def add(self, measured: MeasuredPass | None) -> MeasuredPass | None:
        """Add a pass, None for a pause that is no measurement.

        Return the pass before it, unless this one is so short that neither
        counts.
        """
        confirmed = self._unconfirmed
        if measured and measured.ratio < MIN_SHARE:
            measured = None
            confirmed = None
        self._unconfirmed = measured
        return confirmed


@dataclass
class PaceMeter:
    """The recent passes of engines, as one instance measured them.

    >>> meter = PaceMeter()
    >>> for start in range(4):
    ...     pace = meter.add('t1', MeasuredPass(start, start + 1, ratio=1.52))
    >>> pace
    1.5
    """

    _passes: dict[str, deque[MeasuredPass]] = field(default_factory=dict)

    def add(
        self, target: str, measured: MeasuredPass, *, is_slow: bool = False
    ) -> float | None:
        """Add a pass; return the pace, or None with too few passes.

        The pace of an engine that `is_slow` so far may be as low as `KEPT_PACE`
        and is 1 below that.
        """
        now = measured.ended_at
        if target not in self._passes:
            self._forget_old(now)
        passes = self._passes.setdefault(target, deque(maxlen=MIN_PASSES))
        if passes and measured.began_at < passes[-1].ended_at:
            # Another stream that took part in the same pass.
            ratio = min(passes[-1].ratio, measured.ratio)
            passes[-1] = replace(passes[-1], ratio=ratio)
        else:
            passes.append(measured)
        recent = [one.ratio for one in passes if now - one.ended_at <= WINDOW_S]
        if len(recent) < MIN_PASSES:
            return None
        lowest = min(recent)
        least_slow = KEPT_PACE if is_slow else MIN_PACE
        if lowest < least_slow:
            return 1
        return max(MIN_PACE, round(lowest, DECIMALS))

    def _forget_old(self, now: float) -> None:
        self._passes = {
            name: passes
            for name, passes in self._passes.items()
            if now - passes[-1].ended_at <= WINDOW_S
        }
